"""Hosts whose machine is suspended for seconds while callers leave.

A suspended machine does nothing, and its steady clock leaves the time out. A host that
wakes must not take a confirmation, an order or a heartbeat from before for a new one: a
caller whose connection broke submits its job again after 1.3 s through another host.
"""

import unittest

from gentianhub.capacity import events as ev
from gentianhub.host import messages as ms
from gentianhub.host.tests.simulated_hosts import Clock, SimulatedDeployment
from gentianhub.linking.link_events import LinkClosed, MessageReceived

RESUBMISSION_S = 1.3
# Other hosts close the links to a silent one after this time.
LINK_SILENCE_S = 0.8
# Time after the end of a suspension until other hosts have links to the host again.
RECONNECTION_S = 0.3
# The runs ahead of a waiting one end this long after their owner was suspended. Their
# target says so in its answer to the renewal that the owner had sent before.
ENDED_AFTER_S = 0.1
# Time from the end of the runs ahead of a job until its owner is suspended, right after
# its front host has confirmed it. With an older confirmation it is not repeated,
# whatever the clock.
STARTED_S = 0.4
OCCUPANTS = ("00000000000000a1", "00000000000000a2")
JOB = "00000000000000b1"


def is_target_answer(message) -> bool:
    """Whether it is an answer of a target, which may tell of lapsed runs."""
    return isinstance(message, ev.RunsReported | ev.StartAnswered)


def is_timer(message) -> bool:
    return isinstance(message, ms.TimerTick | ms.DeparturesRead)


def is_of_link(message) -> bool:
    return isinstance(message, MessageReceived | LinkClosed)


# A host that wakes reads its sockets in any order: as the messages arrived, or with
# those of one kind before all others.
READING_ORDERS = {
    "as they arrived": lambda message: False,
    "answers of targets first": is_target_answer,
    "timer first": is_timer,
    "hosts first": is_of_link,
}


class SuspensionTest(unittest.TestCase):
    """Both targets are occupied, so that a job submitted next waits in a queue."""

    def start_deployment(self, clock: Clock = Clock.BOOT) -> None:
        self.deployment = SimulatedDeployment(clock)
        self.enterContext(self.deployment)
        self.front, self.other_front = self.deployment.fronts
        self.occupants = [self.other_front.submit(job) for job in OCCUPANTS]
        self.deployment.run(0.1)
        for job in OCCUPANTS:
            self.assertEqual(1, self.deployment.count_running(job))

    def find_owner(self, front):
        """Return the owner that has the tasks of the job of a front host."""
        for owner in self.deployment.owners:
            for scheduler in owner.coordinator.cells._schedulers.values():
                job = scheduler.jobs.get((front.incarnation, JOB))
                if job is not None and job.tasks:
                    return owner
        self.fail("no owner has the job")

    def submit_waiting(self, front=None):
        """Submit the job, which waits; return its caller and its owner."""
        front = front or self.front
        caller = front.submit(JOB)
        self.deployment.run(0.3)
        self.assertEqual([], self.deployment.list_starts(JOB))
        return caller, self.find_owner(front)

    def submit_running(self):
        """Submit the job and let it run; return its caller and its owner."""
        caller, owner = self.submit_waiting()
        self.end_occupants()
        self.deployment.run(STARTED_S)
        self.assertEqual(1, self.deployment.count_running(JOB))
        return caller, owner

    def end_occupants(self) -> None:
        """End the runs of the occupants as done."""
        for job in OCCUPANTS:
            self.deployment.end_job(job)

    def list_other_hosts(self, host) -> list:
        return [other for other in self.deployment.hosts if other is not host]

    def close_links(self, host) -> None:
        """Let all others close their links to a silent host."""
        for other in self.list_other_hosts(host):
            link = self.deployment.find_link(host, other)
            link.close(other)
            link.drop_messages()
            link.is_held = True

    def reconnect(self, host) -> None:
        """Let a host that has waked read the ends of its links, and get new ones."""
        for other in self.list_other_hosts(host):
            self.deployment.find_link(host, other).close(host)
        self.deployment.run(RECONNECTION_S)
        for other in self.list_other_hosts(host):
            self.deployment.open_link(other, host)

    def list_late_starts(self, left_s: float) -> list[str]:
        """Describe the starts of the job after its caller has left."""
        starts = self.deployment.list_starts(JOB)
        return [
            f"{start_s - left_s:.2f} s after the caller left"
            for start_s in starts
            if start_s > left_s
        ]

    def assert_ended_by_resubmission(self, left_s: float) -> None:
        """No run of the job exists when its caller comes again, or begins later."""
        self.end_occupants()
        remaining_s = left_s + RESUBMISSION_S - self.deployment.now_s
        self.deployment.run(max(0.0, remaining_s))
        resubmitted_s = left_s + RESUBMISSION_S
        self.assertEqual(0, self.deployment.count_running(JOB))
        self.deployment.run(4.0)
        starts = self.deployment.list_starts(JOB)
        self.assertEqual([], [s - left_s for s in starts if s >= resubmitted_s])


class SuspendedOwnerTest(SuspensionTest):
    """The owner is suspended; callers leave while it has no link to any host."""

    def suspend_owner(self, owner, caller, suspended_s: float, left_after_s: float):
        """Suspend the owner, and let the caller leave; return when it has left, s."""
        owner.suspend()
        self.deployment.run(ENDED_AFTER_S)
        self.end_occupants()
        self.deployment.run(LINK_SILENCE_S - ENDED_AFTER_S)
        self.close_links(owner)
        self.deployment.run(left_after_s - LINK_SILENCE_S)
        self.front.leave(caller)
        left_s = self.deployment.now_s
        self.deployment.run(suspended_s - left_after_s)
        return left_s

    def wake_owner(self, owner, first) -> None:
        owner.resume(first)
        self.deployment.run(0.01)
        self.reconnect(owner)


class TestSuspendedOwner(SuspendedOwnerTest):
    """Guards against starts on confirmations from before a suspension."""

    SUSPENSIONS_S = (1.0, 1.7, 2.5)

    def play(self, submit, suspended_s: float, first, clock: Clock) -> list[str]:
        """Submit a job; return its starts after its caller has left."""
        self.start_deployment(clock)
        caller, owner = submit()
        left_after_s = min(1.1, suspended_s - 0.05)
        left_s = self.suspend_owner(owner, caller, suspended_s, left_after_s)
        self.wake_owner(owner, first)
        self.deployment.run(2.0)
        return self.list_late_starts(left_s)

    def assert_no_late_start(self, submit) -> None:
        for suspended_s in self.SUSPENSIONS_S:
            for order, first in READING_ORDERS.items():
                with self.subTest(suspended_s=suspended_s, order=order):
                    starts = self.play(submit, suspended_s, first, Clock.BOOT)
                    self.assertEqual([], starts)

    def test_a_waiting_task_of_a_caller_that_left_is_not_started(self):
        """The runs ahead of it had ended, so that its target was free on waking."""
        self.assert_no_late_start(self.submit_waiting)

    def test_a_lapsed_task_of_a_caller_that_left_is_not_repeated(self):
        """On real processes 44 pairs of runs of one task existed at once."""
        self.assert_no_late_start(self.submit_running)

    def test_the_simulation_shows_the_starts_of_a_clock_that_stands_still(self):
        """Without them, the tests above would pass whichever clock is read."""
        for submit in (self.submit_waiting, self.submit_running):
            with self.subTest(submit.__name__):
                starts = self.play(submit, 2.0, is_target_answer, Clock.STEADY)
                self.assertNotEqual([], starts)


class TestCallersOfASuspendedOwner(SuspendedOwnerTest):
    """Guards against callers that stay and are neither served nor told."""

    ANSWER_S = 4.0

    def test_callers_that_stay_are_answered_once(self):
        for suspended_s in (0.4, 1.0, 2.5):
            for order, first in READING_ORDERS.items():
                with self.subTest(suspended_s=suspended_s, order=order):
                    self.check_callers(suspended_s, first)

    def check_callers(self, suspended_s: float, first) -> None:
        self.start_deployment()
        caller, owner = self.submit_waiting()
        owner.suspend()
        self.deployment.run(min(suspended_s, LINK_SILENCE_S))
        if suspended_s > LINK_SILENCE_S:
            self.close_links(owner)
            self.deployment.run(suspended_s - LINK_SILENCE_S)
            self.wake_owner(owner, first)
        else:
            owner.resume(first)
        end_s = self.deployment.now_s + self.ANSWER_S
        while self.deployment.now_s < end_s:
            self.deployment.run(0.2)
            for job in (*OCCUPANTS, JOB):
                self.deployment.end_job(job)
        for waiting in (*self.occupants, caller):
            self.assertEqual(1, len(waiting))
        statuses = [waiting.get().status for waiting in (*self.occupants, caller)]
        if suspended_s < LINK_SILENCE_S:
            self.assertEqual([200, 200, 200], statuses)
        # 504: whether a task has run at an owner that is silent cannot be known.
        self.assertLessEqual(set(statuses), {200, 503, 504})
        for job in (*OCCUPANTS, JOB):
            self.assertEqual(0, self.deployment.count_running(job))


class TestSuspendedFrontHost(SuspensionTest):
    """Guards against a host that confirms on waking what it knew before."""

    def play(self, suspended_s: float, left_after_s: float, first) -> None:
        """Suspend the front host; wake it after its caller has left."""
        self.start_deployment()
        caller, owner = self.submit_waiting()
        self.front.suspend()
        self.deployment.run(left_after_s)
        self.front.leave(caller)
        left_s = self.deployment.now_s
        if suspended_s > LINK_SILENCE_S:
            self.deployment.run(LINK_SILENCE_S - left_after_s)
            self.close_links(self.front)
        self.deployment.run(left_s - left_after_s + suspended_s - self.deployment.now_s)
        self.front.resume(first)
        self.assert_not_confirmed(owner, left_s, 0.01)
        if suspended_s > LINK_SILENCE_S:
            self.reconnect(self.front)
        self.assert_not_confirmed(owner, left_s, 0.3)
        self.assert_ended_by_resubmission(left_s)

    def assert_not_confirmed(self, owner, left_s: float, duration_s: float) -> None:
        """The owner gets no confirmation of a time after the caller has left."""
        end_s = self.deployment.now_s + duration_s
        while self.deployment.now_s < end_s:
            self.deployment.run(0.01)
            for scheduler in owner.coordinator.cells._schedulers.values():
                job = scheduler.jobs.get((self.front.incarnation, JOB))
                if job is not None:
                    self.assertLessEqual(job.confirmed_s, left_s)

    def test_a_job_is_not_confirmed_whose_caller_left_meanwhile(self):
        for suspended_s, left_after_s in (
            (0.3, 0.05),
            (0.5, 0.4),
            (1.2, 0.6),
            (2.5, 0.1),
        ):
            for order, first in READING_ORDERS.items():
                with self.subTest(suspended_s=suspended_s, order=order):
                    self.play(suspended_s, left_after_s, first)


class TestSuspendedCandidate(SuspensionTest):
    """Guards against a host that claims on waking the cell of an owner that lives."""

    def test_a_host_that_wakes_takes_no_cell_of_a_live_owner(self):
        """It heard another host first, so that the owner seemed to be silent."""
        for suspended_s in (1.0, 2.5):
            with self.subTest(suspended_s=suspended_s):
                self.play(suspended_s)

    def play(self, suspended_s: float) -> None:
        self.start_deployment()
        fronts = self.deployment.fronts
        for front in fronts:
            front.receive(ms.LayoutRead(cells=1))
        self.deployment.run(3.0)
        (owner,) = (front for front in fronts if front.coordinator.cells)
        (candidate,) = (front for front in fronts if front is not owner)

        def is_of_another_host(message) -> bool:
            return (
                isinstance(message, MessageReceived)
                and message.link.incarnation != owner.incarnation
            )

        candidate.suspend()
        self.deployment.run(suspended_s)
        candidate.resume(is_of_another_host)
        self.deployment.run(2.0)
        self.assertEqual(1, len(owner.coordinator.cells.list_cells()))
        self.assertEqual((), candidate.coordinator.cells.list_cells())


class TestSuspendedOwnerOfItsOwnJobs(SuspensionTest):
    """Guards against a host that confirms its own jobs to itself on waking.

    The caller's host is the owner of the cell, so that no link is between them.
    """

    def play(self, suspended_s: float, left_after_s: float, first, clock: Clock):
        """Return when the caller has left, s; its host has been awake for 2 s."""
        self.start_deployment(clock)
        owner = self.deployment.owners[0]
        caller, found = self.submit_waiting(owner)
        self.assertIs(owner, found)
        owner.suspend()
        self.deployment.run(ENDED_AFTER_S)
        self.end_occupants()
        self.deployment.run(left_after_s - ENDED_AFTER_S)
        owner.leave(caller)
        left_s = self.deployment.now_s
        self.deployment.run(suspended_s - left_after_s)
        owner.resume(first)
        self.deployment.run(0.01)
        return left_s

    def test_a_waiting_task_of_a_caller_that_left_is_not_started(self):
        for suspended_s, left_after_s in ((1.0, 0.3), (1.5, 0.1), (2.5, 0.6)):
            for order, first in READING_ORDERS.items():
                with self.subTest(suspended_s=suspended_s, order=order):
                    left_s = self.play(suspended_s, left_after_s, first, Clock.BOOT)
                    self.assertEqual([], self.list_late_starts(left_s))
                    self.assert_ended_by_resubmission(left_s)

    def test_a_job_whose_departure_was_lost_is_not_started(self):
        """A suspended machine receives nothing, and the end of a caller's connection
        comes again later than the caller at another host."""
        for suspended_s in (0.6, 0.75, 1.5, 2.5):
            with self.subTest(suspended_s=suspended_s):
                self.start_deployment()
                owner = self.deployment.owners[0]
                self.submit_waiting(owner)
                owner.suspend()
                self.deployment.run(ENDED_AFTER_S)
                self.end_occupants()
                left_s = self.deployment.now_s
                self.deployment.run(suspended_s - ENDED_AFTER_S)
                owner.resume()
                self.deployment.run(2.0)
                self.assertEqual([], self.list_late_starts(left_s))

    def test_the_simulation_shows_the_starts_of_a_clock_that_stands_still(self):
        """Without them, the test above would pass whichever clock is read."""
        left_s = self.play(2.5, 0.6, is_target_answer, Clock.STEADY)
        self.assertNotEqual([], self.list_late_starts(left_s))


if __name__ == "__main__":
    unittest.main()
