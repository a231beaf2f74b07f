"""Jobs that their front hosts confirm, and what ends without a confirmation."""

import unittest

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity.confirmations import (
    CONFIRMATION_DUE_S,
    HEARTBEAT_RETENTION_S,
    REQUEST_INTERVAL_S,
    SentHeartbeats,
)
from gentianhub.capacity.leases import (
    JOB_CONFIRMATION_TIMEOUT_S,
    LEASE_S,
    RENEWAL_WAIT_S,
    START_CONFIRMATION_S,
    bound_lease_expiry,
    choose_lease_s,
)
from gentianhub.capacity.tests.builders import (
    CELL,
    FRONT_HOST,
    SchedulerDriver,
    build_host,
    build_request,
    build_target,
    find_ends,
    find_starts,
    find_stops,
)

RESUBMISSION_S = 1.3
STOP_S = 0.05
TICK_S = 0.05
OTHER_FRONT_HOST = build_host("e2", "b")


def find_requests(effects) -> list:
    return [e.front_host for e in effects if isinstance(e, fx.RequestOpenJobs)]


class TestArithmetic(unittest.TestCase):
    def test_a_run_that_starts_at_the_last_moment_ends_before_a_resubmission(self):
        """Its target may be cut off from the owner right after the start."""
        for age_s in (0.0, 0.2, 0.4, START_CONFIRMATION_S):
            unused_s = LEASE_S - choose_lease_s(age_s)
            expiry_s = bound_lease_expiry(age_s - unused_s)
            self.assertLess(expiry_s, RESUBMISSION_S)
            self.assertGreater(choose_lease_s(age_s), RENEWAL_WAIT_S)

    def test_the_lease_of_a_start_with_a_recent_confirmation_is_not_shortened(self):
        """Each lost renewal would end runs whose callers wait."""
        self.assertEqual(LEASE_S, choose_lease_s(0.3))
        self.assertGreater(choose_lease_s(0.35), 3 * RENEWAL_WAIT_S)

    def test_a_run_without_confirmation_is_stopped_before_a_resubmission(self):
        detected_s = JOB_CONFIRMATION_TIMEOUT_S + TICK_S
        self.assertLess(detected_s + 2 * STOP_S, RESUBMISSION_S)

    def test_heartbeats_are_known_for_as_long_as_they_confirm_anything(self):
        self.assertGreater(HEARTBEAT_RETENTION_S, JOB_CONFIRMATION_TIMEOUT_S)


class TestSentHeartbeats(unittest.TestCase):
    def setUp(self):
        self.sent = SentHeartbeats()
        self.sent.record(5, 10.0)

    def test_a_message_is_as_old_as_the_heartbeat_that_it_names(self):
        self.assertEqual(10.0, self.sent.find_confirmed_s(5))

    def test_an_unknown_heartbeat_confirms_nothing(self):
        """A late message would be taken as new."""
        self.assertEqual(float("-inf"), self.sent.find_confirmed_s(6))
        self.sent.record(7, 10.0 + HEARTBEAT_RETENTION_S + 0.1)
        self.assertEqual(float("-inf"), self.sent.find_confirmed_s(5))

    def test_orders_of_an_earlier_version_are_taken_as_new(self):
        """Hosts of two versions would not serve each other during an update."""
        self.assertEqual(float("inf"), self.sent.find_confirmed_s(0))


class ConfirmationTest(unittest.TestCase):
    def setUp(self):
        self.driver = SchedulerDriver([build_target("t1", cores=27)])
        self.driver.confirms_jobs = False
        self.scheduler = self.driver.scheduler

    def feed(self, event, confirmed_s: float | None = None, front_host=FRONT_HOST):
        return list(
            self.scheduler.handle(event, self.driver.now_s, front_host, confirmed_s)
        )

    def list_jobs(self, *jobs: str, confirmed_s=None, front_host=FRONT_HOST) -> list:
        message = ev.OpenJobs(cell=CELL, jobs=jobs)
        return self.feed(message, confirmed_s, front_host)

    def tick(self, seconds: float) -> list:
        effects = []
        end_s = self.driver.now_s + seconds
        while self.driver.now_s < end_s - 1e-9:
            self.driver.now_s += TICK_S
            effects += self.feed(ev.Tick(), None)
        return effects


class TestLateOrders(ConfirmationTest):
    def setUp(self):
        super().setUp()
        self.driver.now_s = 10.0
        self.held = self.feed(build_request("a"), 10.0 - START_CONFIRMATION_S - 0.1)

    def test_a_late_order_waits_for_a_confirmation(self):
        """It was run although its caller had left before it arrived."""
        self.assertEqual([], find_starts(self.held))
        self.assertEqual([FRONT_HOST], find_requests(self.held))

    def test_a_late_order_of_an_open_job_is_run(self):
        (start,) = find_starts(self.list_jobs("a", "b"))
        self.assertEqual("a", start.key.job)

    def test_the_deadline_of_a_held_order_does_not_move(self):
        """A task was started after its caller's deadline, by the time it was held."""
        self.feed(build_request("c", deadline_in_s=0.3, objective_s=20.0), 9.0)
        self.driver.now_s += 0.25
        effects = self.list_jobs("c", confirmed_s=self.driver.now_s)
        self.assertEqual([], find_starts(effects))
        self.assertIn(ev.TaskEnd.EXPIRED, [end.end for end in find_ends(effects)])

    def test_a_late_order_of_a_job_that_is_not_open_is_dropped(self):
        self.list_jobs("b")
        self.assertEqual([], find_starts(self.list_jobs("a")))

    def test_a_confirmation_that_is_late_itself_releases_nothing(self):
        late_s = 10.0 - START_CONFIRMATION_S - 0.05
        self.assertEqual([], find_starts(self.list_jobs("a", confirmed_s=late_s)))

    def test_a_cancelled_order_is_dropped(self):
        effects = self.feed(ev.CancelTasks(cell=CELL, job="a"))
        (end,) = find_ends(effects)
        self.assertEqual(
            (ev.TaskEnd.CANCELLED, False),
            (
                end.end,
                end.has_started,
            ),
        )
        self.assertEqual([], find_starts(self.list_jobs("a")))

    def test_another_host_does_not_confirm_it(self):
        effects = self.list_jobs("a", front_host=OTHER_FRONT_HOST)
        self.assertEqual([], find_starts(effects))

    def test_a_front_host_without_confirmation_is_told_that_nothing_has_run(self):
        """It would wait for its tasks until its callers' deadline."""
        ends = find_ends(self.tick(JOB_CONFIRMATION_TIMEOUT_S + 2 * TICK_S))
        self.assertEqual([(ev.TaskEnd.EXPIRED, False)], [_describe(e) for e in ends])
        self.assertFalse(self.scheduler.has_work())

    def test_the_request_of_a_lost_front_host_is_dropped(self):
        self.feed(ev.FrontLost(front_host=FRONT_HOST))
        self.assertEqual([], find_starts(self.list_jobs("a")))

    def test_many_late_orders_cause_few_requests(self):
        """Heartbeats out of turn for each order would add to what made it late."""
        effects = [
            effect
            for number in range(50)
            for effect in self.feed(build_request(f"b{number}"), 9.0)
        ]
        self.assertEqual([], find_requests(effects))
        self.driver.now_s += REQUEST_INTERVAL_S
        self.assertEqual(1, len(find_requests(self.feed(build_request("c"), 9.0))))


class TestWaitingTasks(ConfirmationTest):
    def setUp(self):
        super().setUp()
        (self.start,) = find_starts(self.feed(build_request("a")))
        self.driver.answer(self.start)
        self.feed(build_request("b", objective_s=20.0, deadline_in_s=20.0))

    def free_target(self) -> list:
        return self.driver.end(self.start, number=1)

    def test_a_task_without_recent_confirmation_does_not_start(self):
        """The withdrawal of its job had been lost."""
        effects = self.tick(START_CONFIRMATION_S + TICK_S)
        self.assertEqual([FRONT_HOST], find_requests(effects))
        self.assertEqual([], find_starts(self.free_target()))
        (start,) = find_starts(self.list_jobs("b"))
        self.assertEqual("b", start.key.job)

    def test_a_confirmed_task_starts_however_long_it_has_waited(self):
        for _ in range(10):
            self.tick(0.3)
            self.list_jobs("a", "b")
        self.assertEqual(1, len(find_starts(self.free_target())))

    def test_the_tasks_of_a_job_that_is_not_listed_end(self):
        """On a new link, the withdrawal that the old one lost is not repeated."""
        effects = self.list_jobs("b")
        self.assertEqual(["a"], [stop.key.job for stop in find_stops(effects)])
        effects = self.list_jobs()
        self.assertEqual([], find_starts(self.free_target()))

    def test_a_job_that_is_not_listed_can_be_submitted_again(self):
        self.list_jobs("a")
        self.free_target()
        (start,) = find_starts(self.feed(build_request("b")))
        self.assertEqual("b", start.key.job)

    def test_unconfirmed_runs_are_stopped_and_reported(self):
        """A run went on until its end because only a message could end it."""
        effects = self.tick(JOB_CONFIRMATION_TIMEOUT_S + 2 * TICK_S)
        self.assertEqual(["a"], [stop.key.job for stop in find_stops(effects)][:1])
        self.assertEqual(
            {("a", ev.TaskEnd.EXPIRED), ("b", ev.TaskEnd.EXPIRED)},
            {(end.job, end.end) for end in find_ends(effects)},
        )

    def test_hosts_are_asked_before_their_confirmations_become_too_old(self):
        self.tick(CONFIRMATION_DUE_S - TICK_S)
        hosts = self.scheduler.find_unconfirmed_hosts(self.driver.now_s)
        self.assertEqual(set(), set(hosts))
        self.tick(2 * TICK_S)
        hosts = self.scheduler.find_unconfirmed_hosts(self.driver.now_s)
        self.assertEqual({FRONT_HOST}, set(hosts))

    def test_a_short_lease_is_all_that_a_start_gets(self):
        """The arithmetic of resubmissions counts a single lease."""
        self.assertEqual(LEASE_S, self.start.lease_s)


class TestSecondSubmission(ConfirmationTest):
    """A caller whose connection broke unnoticed comes again through another host."""

    def setUp(self):
        super().setUp()
        self.driver.list_targets(
            build_target("t1", cores=27), build_target("t2", cores=27)
        )
        self.driver.report("t2")
        self.starts = find_starts(self.feed(build_request("a")))
        self.starts += find_starts(self.feed(build_request("b")))

    def submit(self, front_host) -> list:
        request = build_request("c", objective_s=20.0, deadline_in_s=20.0)
        return self.feed(request, front_host=front_host)

    def test_two_submissions_that_wait_are_run_once(self):
        """Both front hosts had the job open, and its task ran twice at once."""
        self.submit(FRONT_HOST)
        ends = find_ends(self.submit(OTHER_FRONT_HOST))
        started = [
            start
            for earlier in self.starts
            for start in find_starts(self.driver.end(earlier, number=1))
        ]
        self.assertEqual(["c"], [start.key.job for start in started])
        expired = [(end.job, end.end) for end in ends]
        self.assertEqual([("c", ev.TaskEnd.EXPIRED)], expired)

    def test_the_run_of_the_first_submission_ends_before_the_second_starts(self):
        self.driver.end(self.starts[0], number=1)
        (first,) = find_starts(self.submit(FRONT_HOST))
        self.driver.answer(first)
        self.driver.end(self.starts[1], number=1)
        effects = self.submit(OTHER_FRONT_HOST)
        self.assertEqual([], find_starts(effects))
        self.assertEqual(["c"], [stop.key.job for stop in find_stops(effects)])
        ended = self.driver.end(first, number=2, end=ev.RunEnd.STOPPED)
        (second,) = find_starts(ended)
        self.assertGreater(second.run, first.run)


def _describe(end: ev.TasksEnded) -> tuple[ev.TaskEnd, bool]:
    return end.end, end.has_started


if __name__ == "__main__":
    unittest.main()
