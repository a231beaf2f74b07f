"""Guards against refusals that are untrue and small services shut out by a peak."""

import unittest

from gentianhub.core import (
    Complete,
    Incarnation,
    JobRequest,
    Mailbox,
    ProcessName,
    Refusal,
    RefusalKind,
    RunState,
    ServiceRow,
    Table,
    TargetAddress,
    Task,
)
from gentianhub.core import effects as fx
from gentianhub.core import events as ev
from gentianhub.decisions import Dispatcher, JobAccepted
from gentianhub.decisions.ledger import ANSWER_RETENTION_S
from gentianhub.decisions.runtimes import WINDOW_S

OWNER = Incarnation(name=ProcessName(data_centre="d", process="p"), token="0" * 16)
RUN_S = 0.5


def build_request(service="big", tasks=20, deadline_s=10.0, digest="x"):
    return JobRequest(
        service=service,
        tasks=tuple(
            Task(kind="k", body=b"", declared_run_ms=1e9) for _ in range(tasks)
        ),
        deadline_s=deadline_s,
        idempotent=False,
        digest=digest,
    )


class TestLoadShedding(unittest.TestCase):
    def setUp(self):
        self.dispatcher = Dispatcher(owner=OWNER)
        self.started = []
        names = ("big", "small", "bounded", "closed")
        rows = {name: ServiceRow(name=name, team=name) for name in names}
        rows["bounded"] = ServiceRow(name="bounded", team="big", max_queued_s=10.0)
        rows["closed"] = ServiceRow(name="closed", team="big", max_running=0)
        self.handle(ev.TableAdopted(table=Table(version=1, services=rows)))
        target = TargetAddress(name="t", data_centre="d", host="127.0.0.1", port=1)
        self.handle(ev.TargetsListed(targets=(target,)))
        self.submit(tasks=8)
        for start in list(self.started):
            self.end(start)

    def handle(self, event, now_s=0.0):
        effects = list(self.dispatcher.handle(event, now_s))
        self.started += [e for e in effects if isinstance(e, fx.StartTask)]
        return effects

    def end(self, start, run_s=RUN_S, now_s=0.0):
        outcome = Complete(result=b"", run_s=run_s)
        event = ev.AttemptEnded(
            task_id=start.task_id, target=start.target, outcome=outcome
        )
        self.handle(event, now_s)

    def submit(self, job_id=None, now_s=0.0, **options):
        event = ev.SubmitJob(
            request=build_request(**options), reply_to=None, job_id=job_id
        )
        replies = [e for e in self.handle(event, now_s) if isinstance(e, fx.Reply)]
        return replies[0].message

    def fill(self, service="big"):
        """Submit until a job is refused; return the accepted ones and the refusal."""
        accepted = []
        while isinstance(reply := self.submit(service=service), JobAccepted):
            accepted.append(reply)
            self.assertLess(len(accepted), 1000)
        return accepted, reply

    def test_a_peak_of_one_service_is_refused_and_a_small_one_is_admitted(self):
        accepted, refusal = self.fill()
        self.assertIs(refusal.kind, RefusalKind.UNAVAILABLE)
        self.assertIs(refusal.run, RunState.NOT_RUN)
        self.assertGreater(len(accepted), 0)
        waits = {self.submit().retry_after_s for _ in range(5)}
        self.assertEqual(len(waits), 5, "callers would retry at the same time")
        small = self.submit(service="small", tasks=2)
        self.assertIsInstance(small, JobAccepted)
        running = list(self.started)[-8:]
        self.started.clear()
        for start in running[:4]:
            self.end(start)
        self.assertIn("small", {start.service for start in self.started})

    def test_a_known_job_is_never_reported_as_not_run(self):
        accepted, _ = self.fill()
        again = self.submit(job_id=accepted[0].job_id)
        self.assertEqual(again.known, True)
        self.handle(ev.DrainStarted(reply_to=Mailbox(limit=1)))
        self.assertEqual(self.submit(job_id=accepted[0].job_id).known, True)

    def test_a_forgotten_job_is_unknown_while_draining(self):
        job_id = self.submit(tasks=1).job_id
        self.end(self.started[-1])
        later_s = ANSWER_RETENTION_S + 1
        self.handle(ev.Tick(), later_s)
        self.handle(ev.DrainStarted(reply_to=Mailbox(limit=1)), later_s)
        refusal = self.submit(job_id=job_id, now_s=later_s)
        self.assertIs(refusal.run, RunState.UNKNOWN)

    def test_limits_of_the_table_are_distinguished_from_lack_of_capacity(self):
        self.fill()
        _, refusal = self.fill("bounded")
        self.assertIs(refusal.kind, RefusalKind.OVER_LIMIT)
        self.assertIn("max_queued_s", refusal.expected)

    def test_jobs_that_can_never_run_are_refused_with_the_reason(self):
        for options, kind, word in (
            ({"service": "none"}, RefusalKind.MALFORMED, "no service"),
            ({"service": "closed"}, RefusalKind.OVER_LIMIT, "no running task"),
            ({"tasks": 171}, RefusalKind.TOO_LARGE, "171"),
            ({"deadline_s": 0.4}, RefusalKind.MALFORMED, "fastest run"),
        ):
            refusal = self.submit(**options)
            self.assertIsInstance(refusal, Refusal, options)
            self.assertIs(refusal.kind, kind)
            self.assertIn(word, refusal.reason)
            self.assertIsNone(refusal.retry_after_s)

    def test_a_fastest_run_expires_though_all_jobs_are_refused_by_it(self):
        self.assertIsInstance(self.submit(deadline_s=0.4), Refusal)
        later_s = 2 * WINDOW_S + 1
        reply = self.submit(deadline_s=0.4, now_s=later_s)
        self.assertIsInstance(reply, JobAccepted)
