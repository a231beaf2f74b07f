"""Stops that a target leaves unanswered while its lease is renewed for its other runs.

A caller that has left submits its job again after 1.3 s, at any host. By then no run of
its first submission may be alive.
"""

import unittest

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity.answer_times import MIN_TIMEOUT_S
from gentianhub.capacity.leases import (
    LEASE_S,
    RENEWAL_WAIT_S,
    STOP_CONFIRMATION_S,
    bound_lease_expiry,
)
from gentianhub.capacity.target_tracker import ORPHAN_GRACE_S, STOP_RETRY_S
from gentianhub.capacity.tests.builders import (
    CELL,
    SchedulerDriver,
    build_key,
    build_request,
    build_step,
    build_target,
    find_renewals,
    find_starts,
    find_stops,
)
from gentianhub.capacity.tests.leased_targets import STOP_S, LeasedTargets
from gentianhub.capacity.tests.lossy_targets import TICK_S

# Time after which a caller that has left submits its job again.
CALLER_RETURN_S = 1.3
# The same less the time of the message of its front host to the owner.
RUN_END_BOUND_S = CALLER_RETURN_S - 0.1


class TestRetries(unittest.TestCase):
    """Guards against runs that go on because a single stop is lost."""

    def setUp(self):
        self.driver = SchedulerDriver([build_target("t1")])
        (self.start,) = find_starts(self.driver.feed(build_request("a")))
        self.driver.answer(self.start)
        cancel = ev.CancelTasks(cell=CELL, job="a")
        (self.stop,) = find_stops(self.driver.feed(cancel))

    def miss_answer(self) -> list:
        return find_stops(
            self.driver.feed(
                ev.StopAnswered(
                    target="t1",
                    key=self.stop.key,
                    run=self.stop.run,
                    is_confirmed=False,
                )
            )
        )

    def test_a_stop_whose_answer_is_overdue_is_sent_again_at_once(self):
        """It was sent again only 0.15 to 0.2 s after the first one."""
        self.driver.now_s += MIN_TIMEOUT_S
        self.assertEqual([self.stop], self.miss_answer())

    def test_a_stop_that_fails_immediately_is_sent_again_later(self):
        """Otherwise a target that refuses connections is called without a pause."""
        self.driver.now_s += MIN_TIMEOUT_S / 10
        self.assertEqual([], self.miss_answer())
        self.driver.now_s += STOP_RETRY_S
        self.assertEqual([self.stop], find_stops(self.driver.feed(ev.Tick())))

    def test_two_answers_that_are_overdue_together_send_one_stop(self):
        """Otherwise each stop that is sent beside another one doubles their number."""
        self.driver.now_s += MIN_TIMEOUT_S
        self.assertEqual([self.stop], self.miss_answer() + self.miss_answer())

    def test_a_stop_is_sent_again_while_its_target_is_silent(self):
        """A target is taken as silent after two lost answers, and renewed later."""
        self.driver.feed(ev.TargetSilent(target="t1", reason="time-out"))
        self.driver.now_s += STOP_RETRY_S + 0.01
        self.assertEqual([self.stop], find_stops(self.driver.feed(ev.Tick())))

    def test_a_run_that_has_ended_is_not_stopped_again(self):
        self.driver.end(self.start, 1, ev.RunEnd.STOPPED)
        self.driver.now_s += STOP_RETRY_S + 0.01
        self.assertEqual([], self.miss_answer())
        self.assertEqual([], find_stops(self.driver.feed(ev.Tick())))


class TestWithheldLeases(unittest.TestCase):
    """Guards against a run whose lease is renewed for the other runs of its target.

    The target runs the first task of job a and lists it. The start of the second one is
    neither answered nor carried out.
    """

    def setUp(self):
        self.driver = SchedulerDriver([build_target("t1", cores=90)])
        step = build_step(count=2)
        (self.start, _) = find_starts(self.driver.feed(build_request("a", step)))
        self.driver.answer(self.start)
        self.driver.feed(build_request("b"))
        self.driver.feed(ev.CancelTasks(cell=CELL, job="a"))
        self.stop_decided_s = self.driver.now_s

    def report(self, *ended) -> list:
        ended_keys = {end.key for end in ended}
        running = [
            ev.RunReport(key=key, run=1, percent=10)
            for key in (build_key("a"), build_key("b"))
            if key not in ended_keys
        ]
        return self.driver.report("t1", running, ended)

    def renew(self, *ended) -> fx.RenewLease:
        (renewal,) = find_renewals(self.report(*ended))
        return renewal

    def wait_for_confirmation(self) -> None:
        self.driver.now_s = self.stop_decided_s + STOP_CONFIRMATION_S + 0.01

    def confirm(self, index: int) -> None:
        key = build_key("a", index)
        self.driver.feed(
            ev.StopAnswered(target="t1", key=key, run=1, is_confirmed=True)
        )

    def test_the_lease_is_renewed_while_the_answer_to_a_stop_may_come(self):
        self.driver.now_s += STOP_CONFIRMATION_S
        self.assertEqual(LEASE_S, self.renew().lease_s)

    def test_no_lease_is_granted_while_a_stop_is_overdue(self):
        """The run went on with the leases of its neighbours until a stop arrived."""
        self.wait_for_confirmation()
        renewal = self.renew()
        self.assertEqual((0.0, RENEWAL_WAIT_S), (renewal.lease_s, renewal.wait_s))
        missed = ev.RenewalMissed(target="t1", reason="time-out")
        (retry,) = find_renewals(self.driver.feed(missed))
        self.assertEqual(0.0, retry.lease_s)

    def test_no_task_starts_while_a_stop_is_overdue(self):
        """The lease of a start is one of all runs of its target."""
        end = ev.EndReport(number=1, key=build_key("b"), run=1, end=ev.RunEnd.DONE)
        self.wait_for_confirmation()
        self.report(end)
        self.assertEqual([], find_starts(self.driver.feed(build_request("c"))))

    def test_the_lease_is_renewed_again_once_the_stops_are_confirmed(self):
        self.wait_for_confirmation()
        self.confirm(0)
        self.assertEqual(0.0, self.renew().lease_s)
        self.confirm(1)
        self.assertEqual(LEASE_S, self.renew().lease_s)

    def test_the_lease_is_renewed_again_once_the_runs_have_ended(self):
        self.wait_for_confirmation()
        self.confirm(1)
        end = ev.EndReport(number=1, key=build_key("a"), run=1, end=ev.RunEnd.STOPPED)
        self.assertEqual(LEASE_S, self.renew(end).lease_s)

    def test_a_target_that_answers_no_stop_is_used_again_after_its_last_lease(self):
        """A start that was never carried out is listed neither as running nor ended."""
        self.wait_for_confirmation()
        self.report()
        self.driver.now_s = bound_lease_expiry(self.stop_decided_s) + 0.01
        self.driver.report(
            "t1",
            ended=[
                ev.EndReport(
                    number=number,
                    key=build_key(job),
                    run=1,
                    end=ev.RunEnd.LEASE_EXPIRED,
                )
                for number, job in ((1, "a"), (2, "b"))
            ],
        )
        self.driver.feed(ev.Tick())
        (renewal,) = find_renewals(self.driver.report("t1"))
        self.assertEqual(LEASE_S, renewal.lease_s)
        self.assertEqual(1, len(find_starts(self.driver.feed(build_request("c")))))

    def test_each_run_ends_before_its_caller_comes_again(self):
        """No stop is answered, and some other orders are not."""
        for seed in range(1, 11):
            with self.subTest(seed=seed):
                targets = LeasedTargets(seed, 0.055, answers_stops=False)
                targets.submit_jobs(0.0, 6.0, per_s=40, tasks=2)
                targets.submit_jobs_that_are_left(0.0, 6.0, per_s=7, tasks=2)
                targets.run(until_s=10.0)
                self.assertTrue(targets.overtimes_s)
                self.assertLessEqual(max(targets.overtimes_s), RUN_END_BOUND_S)


class TestOrphans(unittest.TestCase):
    """Guards against runs of a lost owner that outlive the lease which it granted.

    The host that owned the cell was the front host of the run, too. Its successor has
    claimed the cell at 0 s, when the run would soon have ended with its lease, and
    renews the lease, because front hosts may claim the other runs.
    """

    ORPHAN = build_key("z")

    def setUp(self):
        self.driver = SchedulerDriver()
        self.driver.list_targets(build_target("t1"))
        self.report()

    def report(self) -> list:
        row = ev.RunReport(key=self.ORPHAN, run=1, percent=10)
        return self.driver.report("t1", running=(row,))

    def tick_until(self, until_s: float) -> list:
        """Return what ticks cause, without a report."""
        effects = []
        while self.driver.now_s + TICK_S <= until_s:
            self.driver.now_s += TICK_S
            effects += self.driver.feed(ev.Tick())
        return effects

    def miss_answer(self) -> list:
        return self.driver.feed(
            ev.StopAnswered(target="t1", key=self.ORPHAN, run=1, is_confirmed=False)
        )

    def test_an_unclaimed_run_is_stopped_before_its_caller_comes_again(self):
        """A longer grace period let it go on until after its caller had come again."""
        last_claim_s = bound_lease_expiry(0.0)
        effects = self.tick_until(CALLER_RETURN_S - last_claim_s - STOP_S)
        self.assertEqual([self.ORPHAN], [stop.key for stop in find_stops(effects)][:1])

    def test_an_unclaimed_run_is_stopped_without_a_report(self):
        """Its stop waited for the next report, for up to 0.35 s."""
        stops = find_stops(self.tick_until(ORPHAN_GRACE_S + 2 * TICK_S))
        self.assertEqual([self.ORPHAN], [stop.key for stop in stops])

    def test_a_report_does_not_repeat_a_stop_that_may_be_answered(self):
        """The end of each other run of the target brings a report."""
        self.driver.now_s += ORPHAN_GRACE_S
        stops = [stop for _ in range(5) for stop in find_stops(self.report())]
        self.assertEqual(1, len(stops))

    def test_a_stop_whose_answer_is_overdue_is_sent_again_at_once(self):
        self.driver.now_s += ORPHAN_GRACE_S
        (stop,) = find_stops(self.report())
        self.driver.now_s += MIN_TIMEOUT_S
        self.assertEqual([stop], find_stops(self.miss_answer()))

    def test_no_lease_is_granted_while_a_stop_is_overdue(self):
        """A target that answered no stop had its lease renewed as long as it listed the
        run."""
        self.driver.now_s += ORPHAN_GRACE_S
        self.report()
        self.driver.now_s += STOP_CONFIRMATION_S + 0.01
        (renewal,) = find_renewals(self.report())
        self.assertEqual(0.0, renewal.lease_s)

    def test_a_target_is_used_again_after_the_last_lease_of_an_unclaimed_run(self):
        self.driver.now_s += ORPHAN_GRACE_S
        self.report()
        self.driver.now_s = bound_lease_expiry(self.driver.now_s) + 0.01
        self.driver.report("t1")
        self.assertEqual(1, len(find_starts(self.driver.feed(build_request("c")))))
        self.assertEqual([], find_stops(self.tick_until(self.driver.now_s + 1.0)))


if __name__ == "__main__":
    unittest.main()
