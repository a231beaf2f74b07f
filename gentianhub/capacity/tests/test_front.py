"""Tests of the front host's job registry: complete answers and correct refusals."""

import unittest

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity.front import (
    CONFIRMATION_TIMEOUT_S,
    OWNERLESS_TIMEOUT_S,
    STARTUP_GRACE_S,
    FrontJobRegistry,
)
from gentianhub.capacity.jobs import CapacityJob, Cell, Route
from gentianhub.capacity.ownership import CellOwner
from gentianhub.capacity.submissions import (
    CallerDisconnected,
    InterruptJobs,
    LoadsReported,
    MachineSuspended,
    OwnersChanged,
    RequestNotSent,
    SubmitCapacityJob,
)
from gentianhub.capacity.tests.builders import build_host, build_step

LOCAL_CELL = Cell(data_centre="olten")
REMOTE_CELL = Cell(data_centre="aarau")
ROUTE = Route(
    name="swap",
    host="a.example",
    prefix="/a/",
    service="order-desk",
    max_attempts=2,
    objective_s=0.06,
    stretch=1.6,
)


def build_owner(cell: Cell, free_cores: int, term: int = 1) -> CellOwner:
    claim = ev.CellClaim(
        cell=cell,
        term=term,
        free_millicores=free_cores * 1000,
        total_millicores=500_000,
    )
    owner = build_host(f"{cell.data_centre}-1", "c", cell.data_centre)
    return CellOwner(owner=owner, claim=claim)


class FrontTest(unittest.TestCase):
    def setUp(self):
        self.job_registry = FrontJobRegistry(data_centre="olten")
        self.now_s = 10.0
        self.feed(OwnersChanged(owners={LOCAL_CELL: build_owner(LOCAL_CELL, 500)}))

    def feed(self, event) -> list:
        return list(self.job_registry.handle(event, self.now_s))

    def submit(self, *steps, job_id: str = "a", **options) -> list:
        job = CapacityJob(payload="", steps=steps or (build_step(),), **options)
        return self.feed(
            SubmitCapacityJob(
                job_id=job_id, job=job, route=ROUTE, wait_s=2.0, reply_to=job_id
            )
        )

    def end(self, indexes=(0,), end=ev.TaskEnd.DONE, step=0, **options) -> list:
        is_done = end is ev.TaskEnd.DONE
        values = {"cell": LOCAL_CELL, "term": 1, "job": "a", "has_started": is_done}
        return self.feed(
            ev.TasksEnded(
                step_number=step, indexes=indexes, end=end, **values | options
            )
        )


def find_requests(effects) -> list:
    return [e.message for e in effects if isinstance(e, fx.SendToOwner)]


def find_answers(effects) -> list[fx.AnswerCaller]:
    return [effect for effect in effects if isinstance(effect, fx.AnswerCaller)]


def find_verdicts(effects) -> list[fx.JobVerdict]:
    return [answer.verdict for answer in find_answers(effects)]


class TestLoads(FrontTest):
    def test_newer_loads_of_the_known_owner_are_used(self):
        """Tasks would be sent to cells that have become full since the claim."""
        known = build_owner(LOCAL_CELL, 0)
        self.feed(LoadsReported(owner=known.owner, claims=(known.claim,)))
        self.assertEqual(
            0, self.job_registry.loads.estimate_free_millicores(LOCAL_CELL)
        )

    def test_loads_of_another_owner_or_term_are_ignored(self):
        """Outdated loads of an earlier owner would hide the capacity of the cell."""
        stale = build_owner(LOCAL_CELL, 0, term=0)
        self.feed(LoadsReported(owner=stale.owner, claims=(stale.claim,)))
        other = build_owner(LOCAL_CELL, 0)
        self.feed(LoadsReported(owner=build_host("e9"), claims=(other.claim,)))
        self.assertEqual(
            500_000, self.job_registry.loads.estimate_free_millicores(LOCAL_CELL)
        )


class TestUnsentRequests(FrontTest):
    """An owner counts as live for a while after its link has closed."""

    def setUp(self):
        super().setUp()
        self.owners = {
            LOCAL_CELL: build_owner(LOCAL_CELL, 500),
            REMOTE_CELL: build_owner(REMOTE_CELL, 300),
        }
        self.feed(OwnersChanged(owners=self.owners))

    def test_tasks_that_could_not_be_sent_go_to_another_cell(self):
        """They waited for a new link or another owner, up to a second."""
        (request,) = find_requests(self.submit())
        self.assertEqual(LOCAL_CELL, request.cell)
        (other,) = find_requests(self.feed(RequestNotSent(request=request)))
        self.assertEqual((REMOTE_CELL, request.indexes), (other.cell, other.indexes))

    def test_a_cell_is_used_again_once_its_owner_is_heard(self):
        (request,) = find_requests(self.submit())
        self.feed(RequestNotSent(request=request))
        claim = self.owners[LOCAL_CELL].claim
        owner = self.owners[LOCAL_CELL].owner
        self.feed(LoadsReported(owner=owner, claims=(claim,)))
        (request,) = find_requests(self.submit(job_id="b"))
        self.assertEqual(LOCAL_CELL, request.cell)

    def test_a_job_that_was_not_sent_is_refused_without_a_confirmation(self):
        """It was answered as interrupted, since no owner could confirm anything."""
        (request,) = find_requests(self.submit())
        (other,) = find_requests(self.feed(RequestNotSent(request=request)))
        self.feed(RequestNotSent(request=other))
        self.now_s += 2.1
        self.assertEqual([fx.JobVerdict.NOT_RUN], find_verdicts(self.feed(ev.Tick())))

    def test_a_repeated_request_stays_with_its_cell(self):
        """An earlier owner may have started its tasks."""
        self.submit()
        self.owners[LOCAL_CELL] = build_owner(LOCAL_CELL, 500, term=2)
        effects = self.feed(OwnersChanged(owners=self.owners))
        (request,) = find_requests(effects)
        self.assertTrue(request.is_repeat)
        self.assertEqual([], find_requests(self.feed(RequestNotSent(request=request))))
        self.assertEqual([], find_requests(self.feed(ev.Tick())))


class TestJobAnswers(FrontTest):
    def test_a_job_is_answered_when_all_its_tasks_are_done(self):
        self.submit(build_step(count=2))
        self.assertEqual([], find_verdicts(self.end((0,))))
        self.assertEqual([fx.JobVerdict.COMPLETED], find_verdicts(self.end((1,))))

    def test_an_end_that_is_reported_twice_counts_once(self):
        """A cell repeats its reports after a link was replaced."""
        self.submit(build_step(count=2))
        self.end((0,))
        self.assertEqual([], find_verdicts(self.end((0,))))

    def test_a_step_starts_when_the_steps_before_it_are_done(self):
        first = find_requests(self.submit(build_step(), build_step(after=(0,))))
        self.assertEqual([0], [request.step_number for request in first])
        then = find_requests(self.end((0,)))
        self.assertEqual([1], [request.step_number for request in then])

    def test_a_submission_that_is_repeated_after_its_answer_is_not_run_again(self):
        """Proxies of callers resend a job seconds after its answer."""
        self.submit()
        self.end()
        effects = self.submit()
        self.assertEqual([fx.JobVerdict.COMPLETED], find_verdicts(effects))
        self.assertEqual([], find_requests(effects))

    def test_a_job_that_has_failed_is_not_run_again(self):
        """Its tasks were started beyond their attempts, or crashed more targets."""
        for job_id, end in (("a", ev.TaskEnd.FAILED), ("b", ev.TaskEnd.CRASHED)):
            with self.subTest(end):
                self.submit(job_id=job_id)
                self.end(end=end, job=job_id)
                effects = self.submit(job_id=job_id)
                self.assertEqual([fx.JobVerdict.FAILED], find_verdicts(effects))
                self.assertEqual([], find_requests(effects))

    def test_the_caller_of_a_job_that_crashes_targets_is_told_so(self):
        """Its caller read "no capacity before the deadline" and submitted it again."""
        self.submit(build_step(count=2))
        (answer,) = find_answers(self.end((0,), ev.TaskEnd.CRASHED))
        self.assertIs(fx.JobVerdict.FAILED, answer.verdict)
        self.assertIn("crashed the targets", answer.reason)

    def test_the_caller_of_a_job_that_lost_its_target_is_told_so(self):
        self.submit(build_step(count=2))
        (answer,) = find_answers(self.end((0,), ev.TaskEnd.LOST))
        self.assertIs(fx.JobVerdict.INTERRUPTED, answer.verdict)
        self.assertIn("lost with its target", answer.reason)

    def test_a_failed_task_ends_the_job_and_cancels_the_rest(self):
        self.submit(build_step(count=2))
        effects = self.end((0,), ev.TaskEnd.FAILED, has_started=True)
        self.assertEqual([fx.JobVerdict.FAILED], find_verdicts(effects))
        self.assertIsInstance(find_requests(effects)[0], ev.CancelTasks)

    def test_the_tasks_of_a_caller_that_left_are_cancelled(self):
        self.submit()
        effects = self.feed(CallerDisconnected(job_id="a", reply_to="a"))
        self.assertIsInstance(find_requests(effects)[0], ev.CancelTasks)
        self.assertEqual({}, self.job_registry.jobs)

    def test_all_open_jobs_are_answered_when_the_host_stops(self):
        """A host closed connections without an answer after its grace period."""
        self.submit()
        verdicts = find_verdicts(self.feed(InterruptJobs(reason="the host stops")))
        self.assertEqual([fx.JobVerdict.INTERRUPTED], verdicts)


class TestRefusals(FrontTest):
    def test_an_unsupported_job_is_refused_at_once_and_never_sent(self):
        effects = self.submit(unsupported="jobs that are kept")
        self.assertEqual([fx.JobVerdict.NOT_RUN], find_verdicts(effects))
        self.assertEqual([], find_requests(effects))

    def test_not_run_is_answered_only_after_the_cell_has_confirmed_it(self):
        """A task that starts while the refusal is being sent would make it wrong."""
        self.submit()
        effects = self.end(end=ev.TaskEnd.EXPIRED)
        self.assertEqual([], find_verdicts(effects))
        self.assertIsInstance(find_requests(effects)[0], ev.CancelTasks)
        confirmed = self.end((), ev.TaskEnd.CANCELLED)
        self.assertEqual([fx.JobVerdict.NOT_RUN], find_verdicts(confirmed))

    def test_a_job_is_interrupted_if_a_cell_has_started_a_task(self):
        self.submit()
        self.end(end=ev.TaskEnd.EXPIRED)
        confirmed = self.end((), ev.TaskEnd.CANCELLED, has_started=True)
        self.assertEqual([fx.JobVerdict.INTERRUPTED], find_verdicts(confirmed))

    def test_not_run_is_not_answered_without_a_confirmation(self):
        self.submit()
        self.end(end=ev.TaskEnd.EXPIRED)
        self.now_s += CONFIRMATION_TIMEOUT_S + 0.01
        verdicts = find_verdicts(self.feed(ev.Tick()))
        self.assertEqual([fx.JobVerdict.INTERRUPTED], verdicts)


class TestSuspendedHost(FrontTest):
    """Guards against work for a caller whose departure was lost in a suspension.

    A machine that is suspended receives nothing. The end of a caller's connection comes
    again after growing gaps, later than the caller itself at another host.
    """

    def suspend(self, suspended_s: float) -> list:
        self.now_s += suspended_s
        return self.feed(MachineSuspended(suspended_s=suspended_s))

    def test_a_job_from_before_a_suspension_is_not_confirmed_any_more(self):
        self.submit()
        self.assertEqual(("a",), self.job_registry.list_open_jobs(LOCAL_CELL))
        effects = self.suspend(1.9)
        cancel = ev.CancelTasks(cell=LOCAL_CELL, job="a")
        self.assertEqual([cancel], find_requests(effects))
        self.assertEqual((), self.job_registry.list_open_jobs(LOCAL_CELL))

    def test_its_caller_is_told_whether_it_has_run(self):
        for has_started, verdict in (
            (False, fx.JobVerdict.NOT_RUN),
            (True, fx.JobVerdict.INTERRUPTED),
        ):
            with self.subTest(has_started=has_started):
                self.submit()
                self.suspend(1.9)
                effects = self.end(end=ev.TaskEnd.CANCELLED, has_started=has_started)
                self.assertEqual([verdict], find_verdicts(effects))

    def test_a_job_is_served_after_a_short_suspension(self):
        """The end of a connection is repeated at once after it."""
        self.submit()
        self.assertEqual([], self.suspend(0.15))
        self.assertEqual([fx.JobVerdict.COMPLETED], find_verdicts(self.end()))

    def test_a_job_that_is_submitted_after_it_is_served(self):
        self.suspend(1.9)
        self.submit()
        self.assertEqual([fx.JobVerdict.COMPLETED], find_verdicts(self.end()))


class TestStartup(unittest.TestCase):
    def test_a_host_that_has_just_started_keeps_jobs_until_a_cell_has_an_owner(self):
        """After a loss of all hosts, jobs were refused although cells had owners a few
        tenths of a second later."""
        job_registry = FrontJobRegistry(data_centre="olten", started_s=10.0)
        job = CapacityJob(payload="", steps=(build_step(),))
        submit = SubmitCapacityJob(
            job_id="a", job=job, route=ROUTE, wait_s=2.0, reply_to="a"
        )
        self.assertEqual([], list(job_registry.handle(submit, 10.1)))
        owners = {LOCAL_CELL: build_owner(LOCAL_CELL, 500)}
        (request,) = find_requests(
            job_registry.handle(OwnersChanged(owners=owners), 10.3)
        )
        self.assertEqual((0,), request.indexes)

    def test_a_host_refuses_jobs_without_an_owner_after_the_startup_grace(self):
        job_registry = FrontJobRegistry(data_centre="olten", started_s=10.0)
        job = CapacityJob(payload="", steps=(build_step(),))
        submit = SubmitCapacityJob(
            job_id="a", job=job, route=ROUTE, wait_s=2.0, reply_to="a"
        )
        verdicts = find_verdicts(
            job_registry.handle(submit, 10.0 + STARTUP_GRACE_S + 0.1)
        )
        self.assertEqual([fx.JobVerdict.NOT_RUN], verdicts)


class TestWorkingOwners(FrontTest):
    """Guards against frequent heartbeats that are expected but not due.

    An owner sends rare heartbeats to a host whose tasks it has finished. The host took
    it as lost while a longer task of the same job went on elsewhere.
    """

    def setUp(self):
        super().setUp()
        self.owners = {
            cell: build_owner(cell, 30) for cell in (LOCAL_CELL, REMOTE_CELL)
        }
        self.feed(OwnersChanged(owners=self.owners))
        self.submit(build_step(count=2))

    def test_the_owners_of_open_tasks_are_working(self):
        working = {known.owner for known in self.owners.values()}
        self.assertEqual(working, self.job_registry.collect_working_owners())

    def test_an_owner_whose_tasks_ended_since_the_last_heartbeat_is(self):
        """It expects frequent heartbeats since the request, and took this host as lost
        if none announced the rare ones."""
        self.end((0,))
        self.end((1,), cell=REMOTE_CELL)
        working = {known.owner for known in self.owners.values()}
        self.assertEqual(working, self.job_registry.collect_working_owners())
        self.assertEqual(frozenset(), self.job_registry.collect_working_owners())

    def test_an_owner_that_has_finished_its_tasks_is_not(self):
        self.job_registry.collect_working_owners()
        self.end((0,))
        working = {self.owners[REMOTE_CELL].owner}
        self.assertEqual(working, self.job_registry.collect_working_owners())

    def test_an_owner_that_has_to_confirm_a_cancellation_is(self):
        self.end((0,), ev.TaskEnd.EXPIRED, has_started=False)
        working = {known.owner for known in self.owners.values()}
        self.assertEqual(working, self.job_registry.collect_working_owners())


class TestTaskAssignment(FrontTest):
    def test_declined_tasks_are_sent_to_a_cell_with_capacity(self):
        owners = {
            LOCAL_CELL: build_owner(LOCAL_CELL, 54),
            REMOTE_CELL: build_owner(REMOTE_CELL, 500),
        }
        self.feed(OwnersChanged(owners=owners))
        requests = find_requests(self.submit(build_step(count=3)))
        placed = {request.cell: len(request.indexes) for request in requests}
        self.assertEqual({LOCAL_CELL: 2, REMOTE_CELL: 1}, placed)
        again = find_requests(self.end((0,), ev.TaskEnd.DECLINED))
        self.assertEqual([REMOTE_CELL], [request.cell for request in again])

    def test_a_decline_that_crosses_a_repeated_request_is_ignored(self):
        """The owner runs the tasks of the repeated request, which it may not decline;
        they ran in another cell as well."""
        owners = {cell: build_owner(cell, 60) for cell in (LOCAL_CELL, REMOTE_CELL)}
        self.feed(OwnersChanged(owners=owners))
        (request,) = find_requests(self.submit(build_step(count=2)))
        self.assertTrue(request.may_decline)
        (repeated,) = find_requests(
            self.job_registry.resend_requests(request.cell, self.now_s)
        )
        self.assertFalse(repeated.may_decline)
        declined = self.end((0, 1), ev.TaskEnd.DECLINED, has_started=False)
        self.assertEqual([], find_requests(declined))
        self.assertEqual(
            [fx.JobVerdict.COMPLETED], find_verdicts(self.end((0, 1), cell=LOCAL_CELL))
        )

    def test_open_tasks_are_sent_again_to_a_new_owner(self):
        self.submit()
        changed = OwnersChanged(
            owners={LOCAL_CELL: build_owner(LOCAL_CELL, 500, term=2)}
        )
        (request,) = find_requests(self.feed(changed))
        self.assertTrue(request.is_repeat)

    def test_not_run_is_answered_although_a_cell_that_declined_all_has_a_new_owner(
        self,
    ):
        """Callers got the answer "interrupted" and could not resubmit the job."""
        owners = {
            LOCAL_CELL: build_owner(LOCAL_CELL, 54),
            REMOTE_CELL: build_owner(REMOTE_CELL, 54),
        }
        self.feed(OwnersChanged(owners=owners))
        self.submit()
        self.end(end=ev.TaskEnd.DECLINED)
        new_owners = {
            LOCAL_CELL: build_owner(LOCAL_CELL, 54, term=2),
            REMOTE_CELL: build_owner(REMOTE_CELL, 54),
        }
        self.feed(OwnersChanged(owners=new_owners))
        effects = self.end(end=ev.TaskEnd.EXPIRED, cell=REMOTE_CELL)
        self.assertEqual(
            [REMOTE_CELL], [request.cell for request in find_requests(effects)]
        )
        confirmed = self.end((), ev.TaskEnd.CANCELLED, cell=REMOTE_CELL)
        self.assertEqual([fx.JobVerdict.NOT_RUN], find_verdicts(confirmed))

    def test_not_run_is_not_answered_for_a_job_that_an_earlier_owner_had(self):
        """The owner failed after it had started a task, of which its successor did not
        know; the caller got the answer "not run"."""
        self.submit()
        self.feed(
            OwnersChanged(owners={LOCAL_CELL: build_owner(LOCAL_CELL, 500, term=2)})
        )
        effects = self.end(end=ev.TaskEnd.EXPIRED, term=2)
        self.assertEqual([fx.JobVerdict.INTERRUPTED], find_verdicts(effects))

    def test_an_earlier_owner_cannot_decline_tasks_that_were_sent_to_the_new_one(self):
        """The task was sent to a third cell as well and ran twice."""
        self.submit()
        owners = {
            LOCAL_CELL: build_owner(LOCAL_CELL, 500, term=2),
            REMOTE_CELL: build_owner(REMOTE_CELL, 500),
        }
        self.feed(OwnersChanged(owners=owners))
        self.assertEqual([], self.end(end=ev.TaskEnd.DECLINED, term=1))
        self.assertEqual([], self.end(end=ev.TaskEnd.EXPIRED, term=1))
        verdicts = find_verdicts(self.end(term=1))
        self.assertEqual([fx.JobVerdict.COMPLETED], verdicts)

    def test_a_job_is_abandoned_when_the_cell_of_a_task_has_no_owner(self):
        self.submit()
        self.feed(OwnersChanged(owners={REMOTE_CELL: build_owner(REMOTE_CELL, 500)}))
        self.feed(ev.Tick())
        self.now_s += OWNERLESS_TIMEOUT_S + 0.1
        self.feed(ev.Tick())
        self.now_s += CONFIRMATION_TIMEOUT_S + 0.1
        verdicts = find_verdicts(self.feed(ev.Tick()))
        self.assertEqual([fx.JobVerdict.INTERRUPTED], verdicts)


if __name__ == "__main__":
    unittest.main()
