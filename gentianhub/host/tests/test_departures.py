"""Callers that leave while the owner of a cell cannot hear of it.

A caller whose connection breaks submits its job again after 1.3 s through another host.
By then no run of the first submission may exist, and none may start any more.
"""

import unittest

from gentianhub.capacity import events as ev
from gentianhub.host import messages as ms
from gentianhub.host.tests.simulated_hosts import SimulatedDeployment
from gentianhub.linking.link_events import MessageReceived

RESUBMISSION_S = 1.3
OCCUPANTS = ("00000000000000a1", "00000000000000a2")
JOB = "00000000000000b1"


class DepartureTest(unittest.TestCase):
    """Both targets are occupied at first, so that the job waits in a queue."""

    def setUp(self):
        self.deployment = SimulatedDeployment()
        self.enterContext(self.deployment)
        self.owner = self.deployment.owners[0]
        self.front, self.other_front = self.deployment.fronts
        self.occupants = [self.other_front.submit(job) for job in OCCUPANTS]
        self.deployment.run(0.1)
        for job in OCCUPANTS:
            self.assertEqual(1, self.deployment.count_running(job))

    def submit_to_owner(self) -> tuple:
        """Submit the job, and return its caller and the owner of its cell."""
        caller = self.front.submit(JOB)
        self.deployment.run(0.05)
        for owner in self.deployment.owners:
            for scheduler in owner.coordinator.cells._schedulers.values():
                job = scheduler.jobs.get((self.front.incarnation, JOB))
                if job is not None and job.tasks:
                    return caller, owner
        self.fail("no owner has the job")

    def assert_ended_before_resubmission(self, left_s: float) -> None:
        self.deployment.run(left_s + RESUBMISSION_S - self.deployment.now_s)
        self.assertEqual(0, self.deployment.count_running(JOB))
        for job in OCCUPANTS:
            self.deployment.end_job(job)
        resubmitted_s = self.deployment.now_s
        self.deployment.run(6.0)
        starts = self.deployment.list_starts(JOB)
        late = [at - left_s for at in starts if at > resubmitted_s - 1e-9]
        self.assertEqual([], [f"{s:.2f} s after the caller left" for s in late])

    def assert_occupants_answered(self) -> None:
        """The jobs whose callers stayed have run once and are answered."""
        for job, caller in zip(OCCUPANTS, self.occupants, strict=True):
            self.assertEqual(1, len(self.deployment.list_starts(job)))
            self.assertEqual(1, len(caller), f"answers to the caller of {job}")
            self.assertEqual(200, caller.get().status)


class TestLostWithdrawal(DepartureTest):
    def test_a_withdrawal_lost_with_its_link_ends_the_task_all_the_same(self):
        """The owner kept the task and started it after its caller had come again."""
        caller, owner = self.submit_to_owner()
        link = self.deployment.find_link(self.front, owner)
        link.is_held = True
        left_s = self.deployment.now_s
        self.front.leave(caller)
        self.deployment.run(0.02)
        link.drop_messages()
        link.close(self.front)
        link.close(owner)
        self.deployment.run(0.2)
        self.deployment.open_link(self.front, owner)
        self.assert_ended_before_resubmission(left_s)
        self.assert_occupants_answered()

    def test_a_withdrawal_without_a_link_ends_the_task_all_the_same(self):
        """It was not sent at all, and the next link repeats open jobs only."""
        caller, owner = self.submit_to_owner()
        link = self.deployment.find_link(self.front, owner)
        link.is_held = True
        link.close(self.front)
        self.deployment.run(0.02)
        left_s = self.deployment.now_s
        self.front.leave(caller)
        self.deployment.run(0.2)
        self.deployment.open_link(self.front, owner)
        self.assert_ended_before_resubmission(left_s)
        self.assert_occupants_answered()


class TestLogLines(DepartureTest):
    def test_messages_lost_with_a_link_are_counted_in_its_log_line(self):
        """A withdrawal that was queued on a link which then closed left no line."""
        caller, owner = self.submit_to_owner()
        link = self.deployment.find_link(self.front, owner)
        link.is_held = True
        self.front.leave(caller)
        with self.assertLogs("gentianhub.host") as logs:
            self.deployment.run(0.02)
            link.close(self.front)
            self.deployment.run(0.02)
        lost = [r for r in logs.records if r.getMessage() == "link lost"]
        self.assertGreaterEqual(lost[0].unsent, 1)

    def test_the_reason_of_a_stop_is_logged(self):
        """A stop because of a later submission looked like any other one."""
        job = OCCUPANTS[0]
        with self.assertLogs("gentianhub.host") as logs:
            self.other_front.leave(self.occupants[0])
            self.deployment.run(0.2)
        stops = [
            r for r in logs.records if r.getMessage() == "stop" and r.id.startswith(job)
        ]
        self.assertEqual(["cancelled"], [r.reason for r in stops])

    def test_the_suspension_of_a_machine_is_logged(self):
        """No line told that a machine had been suspended."""
        self.front.time_suspended_s += 1.9
        with self.assertLogs("gentianhub.host") as logs:
            self.deployment.run(0.1)
        (line,) = (r for r in logs.records if r.getMessage() == "machine suspended")
        self.assertEqual(str(self.front.incarnation), line.id)
        self.assertEqual(1.9, line.suspended_s)

    def test_the_pause_of_a_process_is_logged(self):
        tick = ms.TimerTick(count=4, sent_s=self.deployment.now_s, late_s=0.7)
        self.front.receive(tick)
        with self.assertLogs("gentianhub.host") as logs:
            self.deployment.run(0.1)
        (line,) = (r for r in logs.records if r.getMessage() == "process paused")
        self.assertEqual(0.7, line.late_s)

    def test_the_lag_of_a_mailbox_is_logged(self):
        """A host that was seconds behind looked like any other in its log."""
        self.front.slow_down(0.5)
        with self.assertLogs("gentianhub.host") as logs:
            self.deployment.run(2.0)
        lags = [r.lag_s for r in logs.records if r.getMessage() == "mailbox behind"]
        self.assertGreater(max(lags), 0.5)


class TestLateOrder(DepartureTest):
    def test_an_order_that_arrives_after_its_caller_came_again_is_not_run(self):
        """The owner took an order that had stood in a socket for 1.4 s as new."""
        links = [
            self.deployment.find_link(self.front, owner)
            for owner in self.deployment.owners
        ]
        for link in links:
            link.is_held = True
        caller = self.front.submit(JOB)
        self.deployment.run(0.05)
        left_s = self.deployment.now_s
        for link in links:
            link.close(self.front)
        self.deployment.run(0.01)
        self.front.leave(caller)
        for job in OCCUPANTS:
            self.deployment.end_job(job)
        self.deployment.run(RESUBMISSION_S + 0.1)
        for link, owner in zip(links, self.deployment.owners, strict=True):
            link.is_held = False
            link.transfer()
            link.close(owner)
        self.deployment.run(2.0)
        late = [at - left_s for at in self.deployment.list_starts(JOB)]
        self.assertEqual([], [f"{s:.2f} s after the caller left" for s in late])
        self.assert_occupants_answered()


class TestSlowFrontHost(DepartureTest):
    def test_a_departure_in_the_mailbox_of_a_slow_host_ends_the_task(self):
        """Heartbeats kept a front host live that was seconds behind its callers."""
        caller, _ = self.submit_to_owner()
        self.front.slow_down(0.5)
        self.deployment.run(2.0)
        left_s = self.deployment.now_s
        self.front.leave(caller)
        self.assert_ended_before_resubmission(left_s)
        self.assert_occupants_answered()


class TestDepartureInTheSameBatch(DepartureTest):
    """After a pause of a host, everything that has arrived is read at once."""

    HEARTBEAT = 1_000_000

    def test_a_job_whose_caller_has_left_is_not_confirmed_to_its_owner(self):
        """The departure was behind the heartbeat of the owner in the mailbox."""
        for quiet_s in (0.1, 1.0):
            with self.subTest(f"{quiet_s} s after the last heartbeat"):
                answer = self.ask_for_departed_job(quiet_s)
                is_new = answer.heard_heartbeat == self.HEARTBEAT
                self.assertFalse(is_new and JOB in answer.jobs)

    def ask_for_departed_job(self, quiet_s: float) -> ev.OpenJobs:
        caller, owner = self.submit_to_owner()
        link = self.deployment.find_link(self.front, owner)
        self.deployment.run(0.1)
        link.is_held = True
        self.deployment.now_s += quiet_s
        (_, front_link) = next(end for end in link.ends if end[0] is self.front)
        heartbeat = ev.HostHeartbeat(
            number=self.HEARTBEAT,
            claims=tuple(owner.coordinator.cells.build_claims(self.deployment.now_s)),
            configuration_version=1,
            requests_open_jobs=True,
        )
        self.front.receive(MessageReceived(link=front_link, message=heartbeat))
        self.front.leave(caller)
        self.front.handle_messages()
        sent = [
            owner.codec.decode(front_link.outgoing_queue.get())
            for _ in range(len(front_link.outgoing_queue))
        ]
        link.is_held = False
        self.deployment.run(2.0)
        (answer,) = (m for m in sent if isinstance(m, ev.OpenJobs))
        return answer

    def test_an_owner_does_not_start_its_own_job_after_a_pause(self):
        """A tick was ahead of the departure and confirmed the job."""
        caller = self.owner.submit(JOB)
        self.deployment.run(0.3)
        (scheduler,) = (
            host.coordinator.cells.find_scheduler(name)
            for host, name in zip(self.deployment.owners, ("t1", "t2"), strict=True)
            if (self.owner.incarnation, JOB)
            in host.coordinator.cells.find_scheduler(name).jobs
            and host is self.owner
        )
        paused_s = 1.4
        self.deployment.now_s += paused_s
        now_s = self.deployment.now_s
        self.owner.receive(ms.TimerTick(count=4, sent_s=now_s))
        self.owner.leave(caller)
        self.owner.handle_messages()
        confirmed_s = scheduler.jobs[self.owner.incarnation, JOB].confirmed_s
        self.assertLessEqual(confirmed_s, now_s - paused_s)


class TestSlowOwner(DepartureTest):
    def test_a_departure_in_the_mailbox_of_a_slow_owner_ends_the_task(self):
        """An owner that was seconds behind started what was withdrawn long before."""
        caller, owner = self.submit_to_owner()
        owner.slow_down(0.5)
        self.deployment.run(2.0)
        for job in OCCUPANTS:
            self.deployment.end_job(job)
        while not owner.has_waiting_end():
            self.deployment.run(0.01)
        left_s = self.deployment.now_s
        self.front.leave(caller)
        self.assert_ended_before_resubmission(left_s)


class TestSteadyCallers(DepartureTest):
    def test_a_task_of_a_caller_that_stays_is_run_when_a_target_is_free(self):
        """Ending withdrawn tasks must not end those that wait for long."""
        caller, _ = self.submit_to_owner()
        self.deployment.run(3.0)
        for job in OCCUPANTS:
            self.deployment.end_job(job)
        self.deployment.run(0.2)
        self.assertEqual(1, len(self.deployment.list_starts(JOB)))
        self.deployment.end_job(JOB)
        self.deployment.run(0.2)
        self.assertEqual(200, caller.get(0.0).status)
        self.assert_occupants_answered()

    def test_a_replaced_link_does_not_end_a_task_whose_caller_stays(self):
        caller, owner = self.submit_to_owner()
        link = self.deployment.find_link(self.front, owner)
        link.is_held = True
        self.deployment.run(0.1)
        link.close(self.front)
        link.close(owner)
        self.deployment.run(0.2)
        self.deployment.open_link(self.front, owner)
        self.deployment.run(1.0)
        for job in OCCUPANTS:
            self.deployment.end_job(job)
        self.deployment.run(0.2)
        self.assertEqual(1, len(self.deployment.list_starts(JOB)))


if __name__ == "__main__":
    unittest.main()
