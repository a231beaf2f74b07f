"""Tests of the cell scheduler: placement, and at most one run of a task at a time."""

import unittest

from gentianhub.capacity import events as ev
from gentianhub.capacity.effects import LogDecision
from gentianhub.capacity.leases import LEASE_S, bound_lease_expiry
from gentianhub.capacity.target_tracker import ORPHAN_GRACE_S, STALL_TIMEOUT_S
from gentianhub.capacity.tests.builders import (
    FRONT_HOST,
    SchedulerDriver,
    build_host,
    build_key,
    build_request,
    build_step,
    build_target,
    find_ends,
    find_list_requests,
    find_renewals,
    find_starts,
    find_stops,
)


class TestStarts(unittest.TestCase):
    def test_no_start_exceeds_the_capacity_of_a_target(self):
        driver = SchedulerDriver([build_target("t1")])
        starts = find_starts(driver.feed(build_request("a", build_step(count=5))))
        self.assertEqual(2, len(starts))

    def test_capacity_is_freed_only_when_the_end_is_listed(self):
        """A run that is being stopped still uses capacity of the target."""
        driver = SchedulerDriver([build_target("t1", cores=32)])
        (start,) = find_starts(driver.feed(build_request("a")))
        driver.answer(start)
        driver.feed(build_request("b"))
        effects = driver.feed(ev.CancelTasks(cell=get_cell(), job="a"))
        self.assertEqual([], find_starts(effects))
        stopped = driver.end(start, 1, ev.RunEnd.STOPPED)
        self.assertEqual(["b"], [s.key.job for s in find_starts(stopped)])

    def test_no_task_starts_on_a_leaving_target(self):
        driver = SchedulerDriver([build_target("t1")])
        driver.list_targets(build_target("t1", is_leaving=True))
        self.assertEqual([], find_starts(driver.feed(build_request("a"))))

    def test_a_task_starts_only_on_a_target_with_its_required_label(self):
        targets = [build_target("t1"), build_target("t2", labels=("b",))]
        driver = SchedulerDriver(targets)
        request = build_request("a", build_step(required_label="b"))
        (start,) = find_starts(driver.feed(request))
        self.assertEqual("t2", start.target.name)

    def test_a_failed_task_is_retried_on_another_target_up_to_its_maximum_of_attempts(
        self,
    ):
        driver = SchedulerDriver([build_target("t1"), build_target("t2")])
        (first,) = find_starts(driver.feed(build_request("a")))
        driver.answer(first)
        (second,) = find_starts(driver.end(first, 1, ev.RunEnd.FAILED))
        self.assertNotEqual(first.target.name, second.target.name)
        driver.answer(second)
        (end,) = find_ends(driver.end(second, 1, ev.RunEnd.FAILED))
        self.assertIs(ev.TaskEnd.FAILED, end.end)

    def test_a_refused_start_is_retried_on_another_target(self):
        driver = SchedulerDriver([build_target("t1"), build_target("t2")])
        (first,) = find_starts(driver.feed(build_request("a")))
        (second,) = find_starts(driver.answer(first, ev.StartVerdict.NO_CAPACITY))
        self.assertNotEqual(first.target.name, second.target.name)
        self.assertGreater(second.run, first.run)


class TestDecisionLog(unittest.TestCase):
    def test_the_log_names_the_tasks_that_are_lost_with_a_target(self):
        """Which task had crashed a target could not be told from the logs."""
        driver = SchedulerDriver([build_target("t1")])
        driver.feed(build_request("a", build_step(count=2)))
        refused = ev.TargetSilent(target="t1", reason="refused", is_refused=True)
        effects = driver.feed(refused)
        driver.now_s += 1.0
        effects += driver.feed(ev.Tick())
        logged = {e.decision: e.inputs for e in effects if isinstance(e, LogDecision)}
        self.assertTrue(logged["target silent"]["refused"])
        for decision in ("target silent", "leases lapsed"):
            self.assertEqual(["a/0/0", "a/0/1"], logged[decision]["tasks"])


class TestAtMostOneRun(unittest.TestCase):
    def test_runs_on_a_silent_target_are_not_repeated_before_their_leases_expire(self):
        """A target that is partitioned continues its runs until its lease expires."""
        driver = SchedulerDriver([build_target("t1"), build_target("t2")])
        (start,) = find_starts(driver.feed(build_request("a", deadline_in_s=9.0)))
        driver.answer(start)
        sent_s = driver.now_s
        driver.feed(ev.TargetSilent(target=start.target.name, reason="time-out"))
        driver.now_s = sent_s + LEASE_S
        self.assertEqual([], find_starts(driver.feed(ev.Tick())))
        driver.now_s = bound_lease_expiry(sent_s) + 0.01
        job = driver.scheduler.jobs[(FRONT_HOST, "a")]
        job.tasks[build_key("a")].cutoff_start_s = driver.now_s + 1
        (again,) = find_starts(driver.feed(ev.Tick()))
        self.assertNotEqual(start.target.name, again.target.name)

    def test_a_job_that_is_submitted_again_runs_after_its_earlier_run_has_ended(self):
        """A caller submits again 1.3 s after an answer 504, often to the same host.

        For 3 s the job was refused as cancelled, for lack of capacity.
        """
        driver = SchedulerDriver([build_target("t1")])
        (start,) = find_starts(driver.feed(build_request("a")))
        driver.answer(start)
        driver.feed(ev.CancelTasks(cell=get_cell(), job="a"))
        again = driver.feed(build_request("a"))
        self.assertEqual(([], []), (find_starts(again), find_ends(again)))
        ended = driver.end(start, 1, ev.RunEnd.STOPPED)
        (again,) = find_starts(ended)
        self.assertEqual(("a", start.run + 1), (again.key.job, again.run))

    def test_a_job_that_its_owner_gave_up_is_not_taken_up_by_a_late_request(self):
        """The request crosses the report that the job has been given up."""
        driver = SchedulerDriver([build_target("t1")])
        driver.feed(build_request("a", build_step(count=2)))
        driver.feed(ev.FrontLost(front_host=FRONT_HOST))
        (refusal,) = find_ends(driver.feed(build_request("a", build_step(count=2))))
        self.assertIs(ev.TaskEnd.EXPIRED, refusal.end)

    def test_one_lost_answer_to_a_renewal_does_not_silence_a_target(self):
        """With 5% of answers lost, targets were idle and leases expired."""
        driver = SchedulerDriver([build_target("t1")])
        missed = ev.RenewalMissed(target="t1", reason="time-out")
        (renewal,) = find_renewals(driver.feed(missed))
        self.assertEqual((LEASE_S, 0.0), (renewal.lease_s, renewal.wait_s))
        self.assertTrue(renewal.is_retry)
        self.assertEqual(1, len(find_starts(driver.feed(build_request("a")))))

    def test_a_silent_target_is_polled_without_renewing_its_lease(self):
        """Its runs would outlive the time after which they are repeated elsewhere."""
        driver = SchedulerDriver([build_target("t1")])
        silent = ev.TargetSilent(target="t1", reason="time-out")
        (renewal,) = find_renewals(driver.feed(silent))
        self.assertEqual(0.0, renewal.lease_s)
        self.assertTrue(renewal.is_retry, "a poll that is missed is not retried")

    def test_an_unanswered_start_is_stopped_before_the_task_runs_elsewhere(self):
        """A start without an answer may still take effect seconds later."""
        driver = SchedulerDriver([build_target("t1"), build_target("t2")])
        (start,) = find_starts(driver.feed(build_request("a")))
        name = start.target.name
        driver.now_s += 0.12
        unanswered = driver.answer(start, ev.StartVerdict.UNANSWERED)
        self.assertEqual([], find_starts(unanswered))
        listed = driver.report(name)
        self.assertEqual([], find_starts(listed))
        (stop,) = find_stops(listed)
        answered = driver.feed(
            ev.StopAnswered(target=name, key=stop.key, run=stop.run, is_confirmed=True)
        )
        # The start may have taken effect just before the stop, which takes 50 ms.
        self.assertEqual([], find_starts(answered))
        driver.now_s += 0.01
        self.assertEqual(1, len(find_starts(driver.report(name))))

    def test_an_unanswered_start_that_took_effect_is_awaited_after_a_stop(self):
        """The task was started elsewhere on the confirmation of the stop, and both runs
        were active for the 50 ms that the stop took."""
        driver = SchedulerDriver([build_target("t1"), build_target("t2")])
        (start,) = find_starts(driver.feed(build_request("a")))
        name = start.target.name
        driver.now_s += 0.12
        driver.answer(start, ev.StartVerdict.UNANSWERED)
        (stop,) = find_stops(driver.report(name))
        driver.feed(
            ev.StopAnswered(target=name, key=stop.key, run=stop.run, is_confirmed=True)
        )
        driver.now_s += 0.01
        row = ev.RunReport(key=start.key, run=start.run, percent=1)
        self.assertEqual([], find_starts(driver.report(name, running=(row,))))
        driver.now_s += 0.05
        self.assertEqual(1, len(find_starts(driver.end(start, 1, ev.RunEnd.STOPPED))))

    def test_the_runs_are_listed_at_once_after_an_unanswered_start(self):
        """Otherwise the run is reported only by the pending renewal, 0.25 s later."""
        driver = SchedulerDriver([build_target("t1")])
        (start,) = find_starts(driver.feed(build_request("a")))
        effects = driver.answer(start, ev.StartVerdict.UNANSWERED)
        self.assertEqual(
            ["t1"], [effect.target.name for effect in find_list_requests(effects)]
        )

    def test_a_report_that_only_lists_runs_renews_no_lease(self):
        """Each renewal is followed by another one, so renewals would multiply."""
        driver = SchedulerDriver([build_target("t1")])
        self.assertEqual([], find_renewals(driver.report("t1", is_renewal=False)))

    def test_an_older_list_that_arrives_later_does_not_revive_an_ended_run(self):
        """Answers on two connections to a target may arrive out of order."""
        driver = SchedulerDriver([build_target("t1")])
        requested_s = driver.now_s
        driver.now_s += 0.1
        (start,) = find_starts(driver.feed(build_request("a")))
        driver.answer(start)
        driver.now_s += 0.1
        row = ev.RunReport(key=start.key, run=start.run, percent=5)
        driver.report("t1", running=(row,), is_renewal=False)
        driver.end(start, 1)
        effects = driver.report("t1", running=(row,), sent_s=requested_s)
        self.assertEqual([], find_stops(effects) + find_starts(effects))

    def test_an_unanswered_start_that_is_listed_continues(self):
        """Stopping it would waste the work of a run that is in progress."""
        driver = SchedulerDriver([build_target("t1")])
        (start,) = find_starts(driver.feed(build_request("a")))
        driver.now_s += 0.12
        driver.answer(start, ev.StartVerdict.UNANSWERED)
        row = ev.RunReport(key=start.key, run=start.run, percent=10)
        self.assertEqual([], find_stops(driver.report("t1", running=(row,))))

    def test_a_job_from_another_front_host_waits_for_the_end_of_its_first_runs(self):
        """A caller whose front host failed resubmits its job through another one."""
        driver = SchedulerDriver([build_target("t1"), build_target("t2")])
        (first,) = find_starts(driver.feed(build_request("a")))
        driver.answer(first)
        other = build_host("e2", "b")
        effects = driver.feed(build_request("a"), other)
        self.assertEqual([], find_starts(effects))
        self.assertEqual([first.key], [stop.key for stop in find_stops(effects)])
        stopped = driver.end(first, 1, ev.RunEnd.STOPPED)
        self.assertEqual(1, len(find_starts(stopped)))

    def test_the_runs_of_a_lost_front_host_are_stopped(self):
        """Its caller may have resubmitted the job: the tasks would run twice."""
        driver = SchedulerDriver([build_target("t1")])
        (start,) = find_starts(driver.feed(build_request("a")))
        driver.answer(start)
        stops = find_stops(driver.feed(ev.FrontLost(front_host=FRONT_HOST), None))
        self.assertEqual([start.key], [stop.key for stop in stops])

    def test_a_front_host_taken_as_lost_is_told_that_its_job_is_given_up(self):
        """A host that was paused waited for its tasks until its callers' deadline."""
        driver = SchedulerDriver([build_target("t1")])
        driver.feed(build_request("a"))
        driver.feed(ev.FrontLost(front_host=FRONT_HOST), None)
        (end,) = find_ends(driver.feed(build_request("a", is_repeat=True)))
        self.assertIs(ev.TaskEnd.EXPIRED, end.end)
        self.assertTrue(end.has_started)

    def test_a_front_host_taken_as_lost_is_told_at_once(self):
        """A host that was only slow, and whose link stayed open, does not repeat its
        requests: its callers waited until their deadline."""
        driver = SchedulerDriver([build_target("t1")])
        driver.feed(build_request("a"))
        ends = find_ends(driver.feed(ev.FrontLost(front_host=FRONT_HOST), None))
        self.assertEqual([("a", ev.TaskEnd.EXPIRED)], [(e.job, e.end) for e in ends])

    def test_the_runs_of_a_restarted_target_are_started_again(self):
        driver = SchedulerDriver([build_target("t1")])
        (start,) = find_starts(driver.feed(build_request("a")))
        driver.answer(start)
        driver.now_s += 0.01
        driver.report("t1", incarnation=2)
        again = find_starts(driver.list_targets(build_target("t1", incarnation=2)))
        self.assertEqual([start.key], [s.key for s in again])


class TestReportedStarts(unittest.TestCase):
    """Guards against the answer 504 to a caller whose job has provably not run.

    Callers may repeat a job that has not run, but not one whose outcome is unknown.
    """

    def has_started(self, driver: SchedulerDriver) -> bool:
        (end,) = find_ends(driver.feed(ev.CancelTasks(cell=get_cell(), job="a")))
        return end.has_started

    def test_a_refused_start_is_no_start(self):
        """A stale run has an earlier one, and an unknown refusal says nothing."""
        unclear = {
            ev.StartVerdict.STARTED,
            ev.StartVerdict.UNANSWERED,
            ev.StartVerdict.STALE_RUN,
            ev.StartVerdict.REJECTED,
        }
        for verdict in ev.StartVerdict:
            with self.subTest(verdict=verdict):
                driver = SchedulerDriver([build_target("t1")])
                (start,) = find_starts(driver.feed(build_request("a")))
                driver.list_targets(build_target("t1", is_leaving=True))
                driver.answer(start, verdict)
                self.assertEqual(verdict in unclear, self.has_started(driver))

    def test_an_unanswered_start_counts_until_its_stop_is_confirmed(self):
        driver = SchedulerDriver([build_target("t1")])
        (start,) = find_starts(driver.feed(build_request("a")))
        driver.list_targets(build_target("t1", is_leaving=True))
        driver.now_s += 0.12
        driver.answer(start, ev.StartVerdict.UNANSWERED)
        driver.report("t1")
        driver.feed(
            ev.StopAnswered(
                target="t1", key=start.key, run=start.run, is_confirmed=True
            )
        )
        driver.now_s += 0.01
        driver.report("t1")
        self.assertFalse(self.has_started(driver))

    def test_an_unanswered_start_whose_lease_expires_may_have_run(self):
        driver = SchedulerDriver([build_target("t1")])
        (start,) = find_starts(driver.feed(build_request("a")))
        driver.answer(start, ev.StartVerdict.UNANSWERED)
        driver.feed(ev.TargetSilent(target="t1", reason="timeout"))
        driver.now_s = bound_lease_expiry(driver.now_s) + 0.01
        driver.feed(ev.Tick())
        self.assertTrue(self.has_started(driver))

    def test_a_stopped_run_has_started(self):
        driver = SchedulerDriver([build_target("t1")])
        (start,) = find_starts(driver.feed(build_request("a")))
        driver.answer(start)
        driver.list_targets(build_target("t1", is_leaving=True))
        driver.end(start, 1, ev.RunEnd.STOPPED)
        self.assertTrue(self.has_started(driver))


class TestTakeover(unittest.TestCase):
    def test_a_repeated_task_waits_until_every_target_has_listed_its_runs(self):
        """An earlier owner may have started it on a target without a report yet."""
        driver = SchedulerDriver()
        driver.list_targets(build_target("t1"), build_target("t2"))
        driver.report("t1")
        effects = driver.feed(build_request("a", is_repeat=True))
        self.assertEqual([], find_starts(effects))
        row = ev.RunReport(key=build_key("a"), run=3, percent=40)
        listed = driver.report("t2", running=(row,))
        self.assertEqual([], find_starts(listed) + find_stops(listed))
        end = ev.EndReport(number=1, key=build_key("a"), run=3, end=ev.RunEnd.DONE)
        (ended,) = find_ends(driver.report("t2", ended=(end,)))
        self.assertIs(ev.TaskEnd.DONE, ended.end)

    def test_a_repeated_task_that_has_ended_is_reported_and_not_run_again(self):
        driver = SchedulerDriver()
        driver.list_targets(build_target("t1"))
        end = ev.EndReport(number=4, key=build_key("a"), run=1, end=ev.RunEnd.DONE)
        driver.report("t1", ended=(end,))
        effects = driver.feed(build_request("a", is_repeat=True))
        self.assertEqual([], find_starts(effects))
        self.assertEqual([ev.TaskEnd.DONE], [e.end for e in find_ends(effects)])

    def test_a_task_waits_for_the_end_of_its_earlier_run_that_is_being_stopped(self):
        """A front host that repeated its request late had its task started while the
        unclaimed run of the earlier owner still took 50 ms to stop."""
        driver = SchedulerDriver([build_target("t1"), build_target("t2")])
        row = ev.RunReport(key=build_key("a"), run=1, percent=10)
        driver.report("t1", running=(row,))
        driver.now_s += ORPHAN_GRACE_S + 0.01
        self.assertEqual(1, len(find_stops(driver.report("t1", running=(row,)))))
        driver.now_s = bound_lease_expiry(0.0) + 1.0
        driver.report("t1", running=(row,))
        request = build_request("a", is_repeat=True, deadline_in_s=9.0, stretch=50.0)
        self.assertEqual([], find_starts(driver.feed(request)))
        driver.now_s += 0.05
        end = ev.EndReport(number=1, key=row.key, run=1, end=ev.RunEnd.STOPPED)
        self.assertEqual(1, len(find_starts(driver.report("t1", ended=(end,)))))

    def test_a_stopped_run_that_is_no_longer_listed_blocks_nothing(self):
        driver = SchedulerDriver([build_target("t1")])
        row = ev.RunReport(key=build_key("a"), run=1, percent=10)
        driver.report("t1", running=(row,))
        driver.now_s += ORPHAN_GRACE_S + 0.01
        driver.report("t1", running=(row,))
        driver.now_s += 0.1
        driver.report("t1")
        self.assertEqual(1, len(find_starts(driver.feed(build_request("b")))))

    def test_runs_that_no_front_host_claims_are_stopped(self):
        driver = SchedulerDriver()
        driver.list_targets(build_target("t1"))
        row = ev.RunReport(key=build_key("z"), run=1, percent=1)
        self.assertEqual([], find_stops(driver.report("t1", running=(row,))))
        driver.now_s += ORPHAN_GRACE_S + 0.1
        stops = find_stops(driver.report("t1", running=(row,)))
        self.assertEqual([build_key("z")], [stop.key for stop in stops])

    def test_a_run_that_ends_before_it_is_claimed_is_not_run_again(self):
        """An earlier owner's run ended before the front host repeated its request."""
        driver = SchedulerDriver()
        driver.list_targets(build_target("t1"))
        key = build_key("a")
        row = ev.RunReport(key=key, run=1, percent=50)
        driver.report("t1", running=(row,))
        end = ev.EndReport(number=1, key=key, run=1, end=ev.RunEnd.DONE)
        driver.report("t1", ended=(end,))
        effects = driver.feed(build_request("a", is_repeat=True))
        self.assertEqual([], find_starts(effects))
        self.assertEqual([ev.TaskEnd.DONE], [e.end for e in find_ends(effects)])


class TestMissingTargets(unittest.TestCase):
    def test_a_target_that_answers_is_used_while_its_entry_is_missing(self):
        """Entries expire during an outage of the store and come back after it."""
        driver = SchedulerDriver([build_target("t1")])
        driver.list_targets()
        driver.now_s += 1.0
        driver.feed(ev.Tick())
        self.assertEqual(1, len(find_starts(driver.feed(build_request("a")))))

    def test_a_target_whose_entry_stays_missing_gets_no_more_tasks(self):
        driver = SchedulerDriver([build_target("t1")])
        driver.list_targets()
        driver.now_s += 3.0
        driver.feed(ev.Tick())
        self.assertEqual([], find_starts(driver.feed(build_request("a"))))


class TestStalledRuns(unittest.TestCase):
    def test_a_run_without_progress_is_stopped_and_run_elsewhere(self):
        """A stalled task would occupy its slot and delay its caller indefinitely."""
        driver = SchedulerDriver([build_target("t1"), build_target("t2")])
        (start,) = find_starts(driver.feed(build_request("a", deadline_in_s=9.0)))
        driver.answer(start)
        driver.now_s += STALL_TIMEOUT_S + 0.1
        job = driver.scheduler.jobs[(FRONT_HOST, "a")]
        job.tasks[start.key].cutoff_start_s = driver.now_s + 1
        row = ev.RunReport(key=start.key, run=start.run, percent=0)
        driver.report(start.target.name, running=(row,))
        driver.now_s += STALL_TIMEOUT_S + 0.1
        driver.report(start.target.name, running=(row,))
        (stop,) = find_stops(driver.feed(ev.Tick()))
        self.assertEqual(start.key, stop.key)
        (again,) = find_starts(driver.end(start, 1, ev.RunEnd.STOPPED))
        self.assertNotEqual(start.target.name, again.target.name)

    def test_a_run_on_a_target_that_has_not_reported_is_not_taken_as_stalled(self):
        """After lost answers, owners stopped runs that were making progress."""
        driver = SchedulerDriver([build_target("t1"), build_target("t2")])
        (start,) = find_starts(driver.feed(build_request("a", deadline_in_s=9.0)))
        driver.answer(start)
        driver.now_s += STALL_TIMEOUT_S + 0.1
        self.assertEqual([], find_stops(driver.feed(ev.Tick())))

    def test_a_report_that_has_waited_for_its_owner_shows_no_stalled_run(self):
        """An owner that had not run for 0.7 s ejected targets whose runs went on.

        A target answers within the time of a renewal; the answer was dated from its
        handling, so that a run seemed to have made no progress until then.
        """
        driver = SchedulerDriver([build_target("t1"), build_target("t2")])
        (start,) = find_starts(driver.feed(build_request("a", deadline_in_s=9.0)))
        driver.answer(start)
        driver.now_s += 0.1
        row = ev.RunReport(key=start.key, run=start.run, percent=10)
        driver.report(start.target.name, running=(row,))
        renewed_s = driver.now_s
        driver.now_s += STALL_TIMEOUT_S + 0.3
        driver.report(start.target.name, running=(row,), sent_s=renewed_s)
        self.assertEqual([], find_stops(driver.feed(ev.Tick())))


class TestReportedLoad(unittest.TestCase):
    def test_capacity_too_small_for_a_typical_task_is_not_reported_as_free(self):
        """Front hosts sent tasks there that were declined, while other tasks waited."""
        driver = SchedulerDriver([build_target("t1", 40), build_target("t2", 40)])
        driver.feed(build_request("a", build_step(count=2)))
        claim = driver.scheduler.build_claim(driver.now_s)
        self.assertEqual(0, claim.free_millicores)
        self.assertEqual(80_000, claim.total_millicores)


class TestOverload(unittest.TestCase):
    """Scheduling while more work arrives than the cell can run."""

    def test_a_task_that_is_too_late_to_be_of_use_expires(self):
        driver = SchedulerDriver([build_target("t1", cores=32)])
        (first,) = find_starts(driver.feed(build_request("a")))
        driver.answer(first)
        driver.feed(build_request("b"))
        # The objective is 0.06 s plus 1.6 times the run time of 0.1 s, which is 0.22 s.
        # A task that starts after 0.56 s would end after 3 times the objective.
        driver.now_s += 0.55
        self.assertEqual([], find_ends(driver.feed(ev.Tick())))
        driver.now_s += 0.02
        effects = driver.feed(ev.Tick())
        ends = find_ends(effects)
        self.assertEqual([("b", ev.TaskEnd.EXPIRED)], [(e.job, e.end) for e in ends])
        self.assertFalse(ends[0].has_started)

    def test_a_task_that_lost_its_run_is_started_again_before_its_cutoff(self):
        """A late answer is still of use if the loss of a target delayed the task."""
        driver = SchedulerDriver([build_target("t1"), build_target("t2")])
        (start,) = find_starts(driver.feed(build_request("a")))
        driver.answer(start)
        driver.now_s += 0.3
        again = find_starts(driver.end(start, 1, ev.RunEnd.LEASE_EXPIRED))
        self.assertEqual([start.key], [s.key for s in again])

    def test_tasks_without_capacity_that_may_be_declined_are_declined_at_once(self):
        driver = SchedulerDriver([build_target("t1")])
        step = build_step(count=3)
        effects = driver.feed(build_request("a", step, may_decline=True))
        self.assertEqual(2, len(find_starts(effects)))
        (declined,) = find_ends(effects)
        self.assertEqual((2,), declined.indexes)
        self.assertIs(ev.TaskEnd.DECLINED, declined.end)

    def test_a_job_of_many_tasks_starts_before_one_of_few_tasks_with_equal_slack(self):
        """Slots become free one after another, so its last task starts later."""
        driver = SchedulerDriver([build_target("t1", cores=32)])
        (first,) = find_starts(driver.feed(build_request("a")))
        driver.answer(first)
        driver.feed(build_request("narrow"))
        driver.feed(build_request("wide", build_step(count=4)))
        (start,) = find_starts(driver.end(first, 1))
        self.assertEqual("wide", start.key.job)

    def test_a_late_job_that_has_started_precedes_a_late_job_that_has_not(self):
        """Otherwise the completed work of the late job would be lost."""
        driver = SchedulerDriver([build_target("t1", cores=32)])
        (first,) = find_starts(driver.feed(build_request("a", build_step(count=2))))
        driver.answer(first)
        driver.now_s += 0.2
        driver.feed(build_request("b", age_s=0.19))
        (start,) = find_starts(driver.end(first, 1))
        self.assertEqual("a", start.key.job)


def get_cell():
    return build_request("a").cell


if __name__ == "__main__":
    unittest.main()
