"""Departures that do not reach the coordinator, or only after an order was sent."""

import contextlib
import json
import unittest
from types import SimpleNamespace
from unittest import mock

import gevent
import gevent.socket

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity.answer_times import AnswerTimes
from gentianhub.capacity.leases import LEASE_S
from gentianhub.capacity.tests.builders import build_host, build_key, build_target
from gentianhub.core import Mailbox, read_monotonic_s
from gentianhub.host import callers
from gentianhub.host import messages as ms
from gentianhub.host.progress import return_behind_departures
from gentianhub.host.target_ports import MAX_COMMAND_CONNECTIONS, TargetConnections
from gentianhub.host.tests.simulated_hosts import SimulatedHost
from gentianhub.host.tests.test_departures import (
    JOB,
    OCCUPANTS,
    RESUBMISSION_S,
    DepartureTest,
)
from gentianhub.linking.link_events import MessageReceived
from gentianhub.web import ConnectionEnd, ConnectionWatches

JOB_2 = "00000000000000b2"


class TestFullMailbox(unittest.TestCase):
    def test_a_departure_is_reported_once_the_mailbox_has_room(self):
        """The front host went on confirming the job until its caller's deadline."""
        mailbox = Mailbox(limit=1)
        handler = callers.CallerHandler(coordinator=mailbox, is_draining=lambda: False)
        reports = []

        @contextlib.contextmanager
        def watch(connection, report):
            reports.append(report)
            yield

        connection, peer = gevent.socket.socketpair()
        self.addCleanup(connection.close)
        self.addCleanup(peer.close)
        request = SimpleNamespace(
            method="POST", headers={}, path="/q/1", body=b"", connection=connection
        )
        with mock.patch.object(
            ConnectionWatches, "watch", lambda _, *arguments: watch(*arguments)
        ):
            handling = gevent.spawn(handler.handle, request)
            gevent.sleep(0)
            # The request still fills the mailbox when the connection closes.
            gevent.spawn(reports[0], ConnectionEnd.CLOSED)
            gevent.sleep(0)
            self.assertIsInstance(mailbox.get(0.1), ms.CallerRequest)
            received = mailbox.get(0.5)
            handling.kill()
        self.assertIsInstance(received, ms.CallerConnectionClosed)


class TestQueuedStart(unittest.TestCase):
    def test_the_lease_of_a_start_counts_from_its_decision(self):
        """A start that waited for a connection got a whole lease when it was sent.

        The confirmation of its job was recent when the start was decided only.
        """
        connections = TargetConnections(
            target=build_target("t1"),
            answers=Mailbox(limit=100),
            answer_times=AnswerTimes(),
        )
        self.addCleanup(connections.close)
        connections.clock.update(round(read_monotonic_s() * 1000))
        sent = []

        def send_command(client, path, command):
            if path == "/api/run-start":
                sent.append(command)
            else:
                gevent.sleep(0.5)
            return 200, {}

        base = "gentianhub.platform.targets."
        self.enterContext(mock.patch(base + "TargetClient._send_command", send_command))
        self.enterContext(mock.patch(base + "HttpConnection.connect"))
        for number in range(MAX_COMMAND_CONNECTIONS):
            key = build_key("b", number)
            stop = fx.StopRun(
                target=connections.target,
                key=key,
                run=1,
                term=1,
                reason=fx.StopReason.CANCELLED,
            )
            connections.enqueue(stop)
            gevent.sleep(0)
        decided_s = read_monotonic_s()
        start = fx.StartRun(
            target=connections.target,
            key=build_key("a"),
            run=1,
            payload="",
            term=1,
            decided_s=decided_s,
            lease_s=LEASE_S,
            inputs={},
        )
        connections.enqueue(start)
        gevent.sleep(1.2)
        ends_s = [command["until_ms"] / 1000 - decided_s for command in sent]
        self.assertEqual([], [f"{s:.2f} s" for s in ends_s if s > LEASE_S + 0.1])


class TestOrderInTheSameBatch(DepartureTest):
    def test_a_job_whose_caller_has_left_is_not_started_after_a_pause(self):
        """The order named a heartbeat that was ahead of the departure.

        A frozen host reads the heartbeats, the request and the departure at once.
        """
        for job in OCCUPANTS:
            self.deployment.end_job(job)
        self.deployment.run(0.5)
        with mock.patch.object(self.front, "handle_messages"):
            left_s = self.deployment.now_s
            self.deployment.run(RESUBMISSION_S + 0.1)
        caller = self.front.submit(JOB)
        self.front.leave(caller)
        self.deployment.run(1.0)
        late = [at - left_s for at in self.deployment.list_starts(JOB)]
        self.assertEqual([], [f"{s:.2f} s after the caller left" for s in late])


class TestNextStepInTheSameBatch(DepartureTest):
    def submit_two_steps(self) -> Mailbox:
        replies = Mailbox(limit=2)
        phases = [
            {"count": 1, "cpu": 27_000, "mem_mb": 1},
            {"count": 1, "cpu": 27_000, "mem_mb": 1, "after": [0]},
        ]
        body = {"spec": "text", "best_effort": True, "phases": phases}
        request = ms.CallerRequest(
            method="POST",
            host="queue.example",
            path=f"/queue/{JOB}",
            body=json.dumps(body).encode(),
            wait_s=20.0,
            reply_to=replies,
        )
        self.front.receive(request)
        return replies

    def test_the_next_step_is_not_started_if_the_departure_is_read_with_it(self):
        """The end of a step was read behind the heartbeats of another cell's owner.

        The order for the next step named the last of them, and the departure of the
        caller was behind all of it.
        """
        for job in OCCUPANTS:
            self.deployment.end_job(job)
        self.deployment.run(0.5)
        caller = self.submit_two_steps()
        self.deployment.run(0.3)
        first, second = sorted(
            self.deployment.owners, key=lambda owner: -owner.targets.count_running(JOB)
        )
        self.assertEqual(1, first.targets.count_running(JOB))
        with mock.patch.object(self.front, "handle_messages"):
            left_s = self.deployment.now_s
            first.targets.end_job(JOB)
            self.deployment.run(0.3)
            first.submit(JOB_2)
            self.deployment.run(RESUBMISSION_S - 0.2)
            self.assertEqual(1, first.targets.count_running(JOB_2))
        # Links are read one after another.
        arrived = [
            message
            for _, message in self.front._arrived
            if isinstance(message, MessageReceived)
        ]
        arrived.sort(key=lambda m: m.link.incarnation != second.incarnation)
        self.front._arrived.clear()
        for message in arrived:
            self.front.receive(message)
        self.front.leave(caller)
        self.deployment.run(1.0)
        late = [at - left_s for at in self.deployment.list_starts(JOB) if at > left_s]
        self.assertEqual([], [f"{s:.2f} s after the caller left" for s in late])


class TestManyDepartures(DepartureTest):
    """One call of epoll returns 64 events at first, in the order of their arrival."""

    JOBS = 100

    def serve_front_host(self) -> None:
        while True:
            self.front.mailbox._queue.peek()
            self.front.coordinator.run()

    def watch(self, watches: ConnectionWatches, connection, reply_to) -> None:
        def report(end: ConnectionEnd) -> bool:
            closed = ms.CallerConnectionClosed(reply_to=reply_to, end=end)
            return self.front.mailbox.try_put(closed)

        with watches.watch(connection, report):
            gevent.sleep(10)

    def test_jobs_of_callers_that_left_during_a_pause_are_not_confirmed(self):
        """The answer stood ahead of the departures that the next call returned."""
        callers_ = [self.front.submit(f"{n + 1:016x}") for n in range(self.JOBS)]
        self.deployment.run(0.1)
        owner = self.deployment.owners[0]
        link = self.deployment.find_link(self.front, owner)
        (_, front_link) = next(end for end in link.ends if end[0] is self.front)
        heartbeat = ev.HostHeartbeat(
            number=1_000_000,
            claims=tuple(owner.coordinator.cells.build_claims(self.deployment.now_s)),
            configuration_version=1,
            requests_open_jobs=True,
        )
        message = MessageReceived(link=front_link, message=heartbeat)
        socket, remote_socket = gevent.socket.socketpair()

        def read_link():
            socket.recv(1)
            self.front.mailbox.put(message)

        watches = ConnectionWatches()
        greenlets = [
            gevent.spawn(self.serve_front_host),
            gevent.spawn(read_link),
            gevent.spawn(
                return_behind_departures,
                self.front.coordinator.departure_marks,
                self.front.mailbox,
                watches.report_ended,
            ),
        ]
        connections = [gevent.socket.socketpair() for _ in callers_]
        for (connection, _), reply_to in zip(connections, callers_, strict=True):
            greenlets.append(gevent.spawn(self.watch, watches, connection, reply_to))
        self.addCleanup(gevent.killall, greenlets)
        gevent.sleep(0.05)
        # All of it arrives while the event loop does not run.
        remote_socket._sock.send(b"1")
        for _, remote_connection in connections:
            remote_connection._sock.close()
        gevent.sleep(0.3)
        sent = [
            owner.codec.decode(front_link.outgoing_queue.get())
            for _ in range(len(front_link.outgoing_queue))
        ]
        (answer,) = (m for m in sent if isinstance(m, ev.OpenJobs))
        self.assertEqual({}, self.front.coordinator.requests.job_registry.jobs)
        self.assertEqual(0, len(answer.jobs))


class TestSameFrontHost(DepartureTest):
    def test_a_job_whose_withdrawal_was_lost_runs_when_its_caller_comes_again(self):
        """The owner, which had given the job up, refused it for 3 s.

        It asks only for jobs that it has not given up, so that nothing tells it that
        the first submission has ended.
        """
        caller, owner = self.submit_to_owner()
        for job in OCCUPANTS:
            if owner.targets.count_running(job):
                owner.targets.end_job(job)
        self.deployment.run(0.3)
        self.assertEqual(1, owner.targets.count_running(JOB))
        link = self.deployment.find_link(self.front, owner)
        link.is_held = True
        self.front.leave(caller)
        self.deployment.run(0.02)
        link.drop_messages()
        link.close(self.front)
        link.close(owner)
        self.deployment.run(0.95)
        self.deployment.open_link(self.front, owner)
        self.deployment.run(RESUBMISSION_S - 0.97)
        self.assertEqual(0, self.deployment.count_running(JOB))
        caller = self.front.submit(JOB)
        self.deployment.run(0.5)
        self.assertEqual(1, owner.targets.count_running(JOB))
        self.assertEqual(0, len(caller))


class TestPipelinedRequest(unittest.TestCase):
    def test_a_departure_behind_further_bytes_is_noticed(self):
        """Any byte after the request ended the observation of the connection."""
        connection, peer = gevent.socket.socketpair()
        self.addCleanup(connection.close)
        reports = Mailbox(limit=2)
        with ConnectionWatches().watch(connection, reports.try_put):
            peer.sendall(b"POST")
            gevent.sleep(0.02)
            peer.close()
            self.assertEqual(ConnectionEnd.CLOSED, reports.get(0.3))


class TestLaggingOwner(DepartureTest):
    def submit_to_lagging_owners(self, lag_s: float) -> Mailbox:
        for job in OCCUPANTS:
            self.deployment.end_job(job)
        for owner in self.deployment.owners:
            self.enterContext(
                mock.patch.object(
                    owner,
                    "_compute_turn_s",
                    lambda owner=owner: owner._arrived[0][0] + lag_s,
                )
            )
        self.deployment.run(3.0)
        return self.front.submit(JOB)

    def test_an_owner_that_is_somewhat_behind_serves_its_callers(self):
        """It started nothing at all as soon as it was 0.4 s behind."""
        self.submit_to_lagging_owners(0.45)
        self.deployment.run(2.0)
        self.assertEqual(1, self.deployment.count_running(JOB))

    def test_a_caller_whose_order_is_held_is_answered(self):
        """An owner that stayed 0.9 s behind held the order until the deadline.

        Each of its confirmations was too old to start the task, and each one started
        the time-out of the held order anew.
        """
        caller = self.submit_to_lagging_owners(0.9)
        self.deployment.run(3.0)
        is_running = self.deployment.count_running(JOB) > 0
        self.assertTrue(is_running or len(caller), "neither started nor answered")


class TestReplacedLinks(DepartureTest):
    def replace_link(self, owner, dialler, other):
        link = self.deployment.find_link(self.front, owner)
        link.is_held = True
        # A link dialled by the host with the greater name is only kept without traffic.
        self.deployment.run(0.4)
        self.deployment.links.pop((owner, self.front), None)
        self.deployment.links.pop((self.front, owner), None)
        self.deployment.open_link(dialler, other)
        return link

    def test_a_withdrawal_on_a_link_that_a_new_one_replaces_ends_the_task(self):
        """Both hosts dial; no host sees the end of the old connection first."""
        for is_front in (False, True):
            with self.subTest(dialled_by_front=is_front):
                caller, owner = self.submit_to_owner()
                left_s = self.deployment.now_s
                self.front.leave(caller)
                self.deployment.find_link(self.front, owner).is_held = True
                ends = (self.front, owner) if is_front else (owner, self.front)
                self.replace_link(owner, *ends)
                self.deployment.run(left_s + RESUBMISSION_S - self.deployment.now_s)
                for scheduler in owner.coordinator.cells._schedulers.values():
                    job = scheduler.jobs.get((self.front.incarnation, JOB))
                    self.assertTrue(job is None or job.is_cancelled)

    def test_a_second_link_beside_the_first_ends_no_task_of_a_caller_that_stays(self):
        caller, owner = self.submit_to_owner()
        self.deployment.run(0.5)
        for ends in ((self.front, owner), (owner, self.front)):
            self.deployment.open_link(*ends)
            self.deployment.run(1.0)
        for job in OCCUPANTS:
            self.deployment.end_job(job)
        self.deployment.run(0.3)
        self.assertEqual(1, self.deployment.count_running(JOB))
        self.assertEqual(0, len(caller))


class TestChangeOfOwner(DepartureTest):
    def fence(self, owner) -> None:
        (scheduler,) = owner.coordinator.cells._schedulers.values()
        event = ev.FencedByTarget(
            target=next(iter(scheduler.targets)), term=scheduler.term
        )
        owner.receive(event)

    def test_a_withdrawal_lost_while_the_owner_claims_again_ends_the_task(self):
        caller, owner = self.submit_to_owner()
        link = self.deployment.find_link(self.front, owner)
        link.is_held = True
        left_s = self.deployment.now_s
        self.front.leave(caller)
        self.fence(owner)
        self.deployment.run(0.02)
        link.drop_messages()
        link.is_held = False
        self.assert_ended_before_resubmission(left_s)

    def test_a_task_of_a_caller_that_stays_survives_another_claim(self):
        caller, owner = self.submit_to_owner()
        self.fence(owner)
        self.deployment.run(2.0)
        for job in OCCUPANTS:
            self.deployment.end_job(job)
        self.deployment.run(0.5)
        self.assertEqual(1, self.deployment.count_running(JOB))
        self.assertEqual(0, len(caller))


class TestRestartedFrontHost(DepartureTest):
    def test_a_job_of_the_earlier_incarnation_ends(self):
        _, owner = self.submit_to_owner()
        link = self.deployment.find_link(self.front, owner)
        link.is_held = True
        left_s = self.deployment.now_s
        for other in (*self.deployment.owners, self.other_front):
            old = self.deployment.find_link(self.front, other)
            old.is_held = True
        restarted = SimulatedHost(
            self.deployment,
            build_host("f1", "e", data_centre="aarau"),
        )
        hosts = tuple(h for h in self.deployment.hosts if h is not self.front)
        self.deployment.hosts = (*hosts, restarted)
        for other in hosts:
            self.deployment.open_link(restarted, other)
        self.deployment.run(0.2)
        # The order of the earlier process arrives after the new link.
        link.is_held = False
        self.assert_ended_before_resubmission(left_s)


class TestOwnFrontHost(DepartureTest):
    def test_a_job_that_an_owner_accepts_itself_waits_and_runs(self):
        callers_ = [
            owner.submit(job)
            for owner, job in zip(self.deployment.owners, (JOB, JOB_2), strict=True)
        ]
        self.deployment.run(3.0)
        for job in OCCUPANTS:
            self.deployment.end_job(job)
        self.deployment.run(0.3)
        for job in (JOB, JOB_2):
            self.assertEqual(1, self.deployment.count_running(job))
            self.deployment.end_job(job)
        self.deployment.run(0.3)
        self.assertEqual([200, 200], [c.get(0.0).status for c in callers_])


class TestIdleLinks(DepartureTest):
    def test_a_first_task_after_a_quiet_time_starts_after_one_round_trip(self):
        """Heartbeats on idle links are a second apart, so that its order is held."""
        for job in OCCUPANTS:
            self.deployment.end_job(job)
        for wait_s in (5.0, 3.3, 4.47, 3.81):
            self.deployment.run(wait_s)
            sent_s = self.deployment.now_s
            job = f"{int(wait_s * 100):016x}"
            caller = self.front.submit(job)
            self.deployment.run(0.1)
            (start_s,) = self.deployment.list_starts(job)
            self.assertLess(start_s - sent_s, 0.05)
            self.deployment.end_job(job)
            self.deployment.run(0.1)
            self.assertEqual(200, caller.get(0.0).status)


if __name__ == "__main__":
    unittest.main()
