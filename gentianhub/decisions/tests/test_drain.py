"""Expiry of a drain."""

import unittest

from gentianhub.core import (
    Complete,
    Incarnation,
    JobFailed,
    JobRequest,
    Mailbox,
    NotRun,
    ProcessName,
    ServiceRow,
    Table,
    TargetAddress,
    TargetRow,
    Task,
    Unknown,
)
from gentianhub.core import effects as fx
from gentianhub.core import events as ev
from gentianhub.decisions import Dispatcher

OWNER = Incarnation(name=ProcessName(data_centre="olten", process="e1"), token="0" * 16)
TABLE = Table(
    version=1,
    services={"orders": ServiceRow(name="orders", team="desk")},
    targets={"t1": TargetRow(name="t1", slots=1)},
)
TARGET = TargetAddress(name="t1", data_centre="olten", host="127.0.0.1", port=1)


class DrainExpiredTest(unittest.TestCase):
    """Guards against jobs left without a complete answer by a shutdown."""

    def test_tasks_in_flight_are_unknown_and_the_rest_not_run(self):
        dispatcher = Dispatcher(owner=OWNER)
        request = JobRequest(
            service="orders",
            tasks=(Task(kind="check", body=b""),) * 3,
            deadline_s=60.0,
            idempotent=False,
            digest="d",
        )
        watcher, drain = Mailbox(limit=2), Mailbox(limit=1)
        effects = []
        for event in (
            ev.TableAdopted(table=TABLE),
            ev.TargetsListed(targets=(TARGET,)),
            ev.SubmitJob(request=request, reply_to=watcher),
            ev.DrainStarted(reply_to=drain),
            ev.DrainTimedOut(),
        ):
            effects += dispatcher.handle(event, 1.0)
        (start,) = (effect for effect in effects if isinstance(effect, fx.StartTask))
        (ended,) = (effect for effect in effects if isinstance(effect, fx.JobEnded))
        self.assertIsInstance(ended.answer, JobFailed)
        kinds = [type(outcome) for outcome in ended.answer.outcomes]
        self.assertEqual(kinds, [Unknown, NotRun, NotRun])
        self.assertIn(fx.Reply(recipient=drain, message=ev.Drained()), effects)
        late = ev.AttemptEnded(
            task_id=start.task_id,
            target="t1",
            outcome=Complete(result=b"", run_s=1.0),
        )
        late_effects = list(dispatcher.handle(late, 2.0))
        self.assertFalse(any(isinstance(e, fx.JobEnded) for e in late_effects))
