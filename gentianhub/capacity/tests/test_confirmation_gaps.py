"""Orders and runs whose end depended on one message, or that ended too early."""

import unittest

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity.jobs import TaskKey
from gentianhub.capacity.leases import (
    JOB_CONFIRMATION_TIMEOUT_S,
    RENEWAL_WAIT_S,
    START_CONFIRMATION_S,
)
from gentianhub.capacity.tests.builders import (
    CELL,
    SchedulerDriver,
    build_key,
    build_request,
    build_step,
    build_target,
    find_ends,
    find_starts,
    find_stops,
)
from gentianhub.capacity.tests.test_confirmations import (
    FRONT_HOST,
    OTHER_FRONT_HOST,
    RESUBMISSION_S,
    STOP_S,
    TICK_S,
    ConfirmationTest,
)

LONG = {"objective_s": 20.0, "deadline_in_s": 20.0}


class TestHeldOrders(ConfirmationTest):
    def setUp(self):
        super().setUp()
        self.driver.now_s = 10.0
        self.late_s = 10.0 - START_CONFIRMATION_S - 0.1
        self.feed(build_request("a", **LONG), self.late_s)

    def test_the_front_host_of_a_dropped_order_is_told(self):
        """A host that was silent for 0.6 s waited until its callers' deadline."""
        effects = self.feed(ev.FrontLost(front_host=FRONT_HOST))
        # The host goes on, and its link has never been replaced.
        effects += self.list_jobs("a")
        self.assertTrue(find_ends(effects) or find_starts(effects))

    def test_late_confirmations_do_not_prolong_the_wait_of_a_held_order(self):
        """Each late list started the time-out of the order anew."""
        effects = []
        for _ in range(10):
            effects += self.tick(0.2)
            late_s = self.driver.now_s - START_CONFIRMATION_S - 0.1
            effects += self.list_jobs("a", confirmed_s=late_s)
        self.assertEqual(["a"], [end.job for end in find_ends(effects)])


class TestUnconfirmedTasks(ConfirmationTest):
    def test_a_task_that_was_given_up_is_not_kept_as_work(self):
        """A draining owner waited for a task that had ended without confirmation."""
        (start,) = find_starts(self.feed(build_request("a")))
        self.driver.answer(start)
        self.feed(build_request("b", **LONG))
        self.tick(JOB_CONFIRMATION_TIMEOUT_S + 2 * TICK_S)
        self.driver.end(start, number=1, end=ev.RunEnd.STOPPED)
        self.tick(5.0)
        self.assertEqual({}, self.scheduler.jobs)
        hosts = self.scheduler.find_unconfirmed_hosts(self.driver.now_s)
        self.assertEqual([], list(hosts))
        self.assertFalse(self.scheduler.has_work())


class TestSameFrontHost(ConfirmationTest):
    """The withdrawal of the first submission is lost with its link."""

    def test_a_job_that_was_given_up_can_be_submitted_again(self):
        """It was refused for 3 s, since no list tells that the first one has ended."""
        (start,) = find_starts(self.feed(build_request("a")))
        self.driver.answer(start)
        self.tick(JOB_CONFIRMATION_TIMEOUT_S + 2 * TICK_S)
        self.driver.end(start, number=1, end=ev.RunEnd.STOPPED)
        hosts = self.scheduler.find_unconfirmed_hosts(self.driver.now_s)
        if FRONT_HOST in hosts:
            self.list_jobs()
        self.tick(RESUBMISSION_S - JOB_CONFIRMATION_TIMEOUT_S)
        effects = self.feed(build_request("a"))
        self.assertEqual([], [(end.job, end.end) for end in find_ends(effects)])
        self.assertEqual(1, len(find_starts(effects)))

    def test_a_job_that_was_given_up_and_cancelled_can_be_submitted_again(self):
        """The same with a withdrawal that arrives."""
        (start,) = find_starts(self.feed(build_request("a")))
        self.driver.answer(start)
        self.tick(JOB_CONFIRMATION_TIMEOUT_S + 2 * TICK_S)
        self.driver.end(start, number=1, end=ev.RunEnd.STOPPED)
        self.feed(ev.CancelTasks(cell=CELL, job="a"))
        self.tick(RESUBMISSION_S - JOB_CONFIRMATION_TIMEOUT_S)
        self.assertEqual(1, len(find_starts(self.feed(build_request("a")))))

    def test_a_list_does_not_revive_tasks_that_are_past_their_time_out(self):
        """The owner was frozen; the list meant a later submission of the job.

        Its front host has sent the second task to another cell by then.
        """
        (start,) = find_starts(self.feed(build_request("x")))
        self.driver.answer(start)
        self.feed(build_request("a", build_step(count=2), **LONG))
        self.driver.now_s += RESUBMISSION_S + 0.1
        second = build_request("a", build_step(count=2), **LONG | {"indexes": (0,)})
        effects = self.feed(second)
        effects += self.list_jobs("a", "x")
        effects += self.driver.end(start, number=1)
        for first in find_starts(effects):
            effects += self.driver.end(first, number=2)
        started = {start.key for start in find_starts(effects)}
        self.assertNotIn(TaskKey(job="a", step=0, index=1), started)


class TestEarlierSubmission(ConfirmationTest):
    def test_a_late_order_of_the_earlier_submission_does_not_end_the_later_one(self):
        """The caller that waits lost its run to the caller that had left.

        The first front host has not noticed that the connection is broken.
        """
        self.driver.now_s = 10.0
        self.feed(build_request("c", age_s=0.1), 10.0 - START_CONFIRMATION_S - 1.0)
        effects = self.feed(build_request("c"), front_host=OTHER_FRONT_HOST)
        (start,) = find_starts(effects)
        self.driver.answer(start)
        effects = self.list_jobs("c")
        self.assertEqual([], find_stops(effects))
        told = [e for e in find_ends(effects) if e.end is ev.TaskEnd.EXPIRED]
        self.assertLessEqual(len(told), 1)

    def test_repeated_orders_at_a_new_owner_do_not_end_the_later_submission(self):
        """The order in which two front hosts repeat a job decided which one is run."""
        request = build_request("c", is_repeat=True, age_s=0.1, **LONG)
        effects = self.feed(request, front_host=OTHER_FRONT_HOST)
        request = build_request("c", is_repeat=True, age_s=1.5, **LONG)
        effects += self.feed(request, front_host=FRONT_HOST)
        expired = [
            effect.front_host
            for effect in effects
            if isinstance(effect, fx.SendToFront)
            and effect.message.end is ev.TaskEnd.EXPIRED
        ]
        self.assertNotIn(OTHER_FRONT_HOST, expired)


class TestAdoptedRuns(unittest.TestCase):
    """The owner fails at the moment when a caller leaves, or with its front host."""

    # Silence time-out, a tick, and the interval at which claims are reconsidered.
    CLAIM_S = 0.7

    def test_a_run_that_no_front_host_asks_for_ends_before_a_resubmission(self):
        """A new owner keeps it alive with its renewals for a grace period."""
        driver = SchedulerDriver([], owner_since_s=self.CLAIM_S)
        driver.confirms_jobs = False
        driver.list_targets(build_target("t1"))
        row = ev.RunReport(key=build_key("a"), run=1, percent=10)
        driver.now_s += 0.02
        stops = find_stops(driver.report("t1", running=(row,)))
        while not stops:
            driver.now_s += RENEWAL_WAIT_S
            stops = find_stops(driver.report("t1", running=(row,)))
        self.assertLess(driver.now_s + STOP_S, RESUBMISSION_S)


if __name__ == "__main__":
    unittest.main()
