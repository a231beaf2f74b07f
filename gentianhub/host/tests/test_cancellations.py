"""Jobs that are cancelled at another host than the one to which they were submitted.

The answer was 410, "no such job", and the job went on: a caller's new connection may
reach any host. Later it went on because the host of the job was not asked, and it
started anew because no host remembered the cancel.
"""

import json
import unittest
from unittest import mock

from attrs import evolve

from gentianhub.capacity import events as ev
from gentianhub.capacity.cancelled_jobs import CancelledJobs
from gentianhub.capacity.tests.builders import build_host
from gentianhub.host import messages as ms
from gentianhub.host.cancellations import (
    ANSWER_TIMEOUT_S,
    MAX_JOBS_PER_MESSAGE,
    MAX_OPEN_QUESTIONS,
    RELAY_INTERVAL_S,
    Cancellations,
    JobCancelled,
    NoSuchJob,
    NotKnown,
)
from gentianhub.host.membership import LOSS_NOTICE_S, Membership
from gentianhub.host.tests.simulated_hosts import (
    STOP_S,
    SimulatedDeployment,
    SimulatedHost,
)

JOB = "00000000000000b1"


class CancellationTest(unittest.TestCase):
    """A job runs in one of the cells; its caller is connected to the first host."""

    def setUp(self):
        self.deployment = SimulatedDeployment()
        self.enterContext(self.deployment)
        self.front, self.other_front = self.deployment.fronts
        self.caller = self.front.submit(JOB)
        self.deployment.run(0.1)
        self.assertEqual(1, self.deployment.count_running(JOB))

    def cancel_at(self, host: SimulatedHost, job: str = JOB) -> int:
        """Return the status of the answer."""
        replies = host.cancel(job)
        self.deployment.run(0.1)
        self.assertEqual(1, len(replies))
        return replies.get().status

    def disconnect(self, host: SimulatedHost, other: SimulatedHost) -> None:
        link = self.deployment.find_link(host, other)
        for end in (host, other):
            link.close(end)

    def assert_cancelled(self) -> None:
        self.deployment.run(2 * STOP_S)
        self.assertEqual(0, self.deployment.count_running(JOB))
        answer = self.caller.get()
        self.assertEqual("cancelled", json.loads(answer.body)["state"])


class TestOpenJobs(CancellationTest):
    """Guards against an untrue "no such job"."""

    def test_a_job_is_cancelled_at_its_own_host(self):
        self.assertEqual(200, self.cancel_at(self.front))
        self.assert_cancelled()

    def test_a_job_is_cancelled_at_a_host_with_a_link_to_its_own(self):
        self.assertEqual(200, self.cancel_at(self.other_front))
        self.assert_cancelled()

    def test_a_job_is_cancelled_at_each_owner(self):
        """The very host that went on to start its tasks had answered 410."""
        for number, _ in enumerate(self.deployment.owners):
            with self.subTest(number):
                self.setUp()
                owner = self.deployment.owners[number]
                self.assertEqual(200, self.cancel_at(owner))
                self.assert_cancelled()

    def test_a_job_is_cancelled_through_the_owner_of_its_cell(self):
        """Hosts of different data centres have links only to owners."""
        self.disconnect(self.front, self.other_front)
        self.assertEqual(200, self.cancel_at(self.other_front))
        self.assert_cancelled()


class QuestionTest(unittest.TestCase):
    """One host and a record of its messages, without the other hosts."""

    def setUp(self):
        self.local = build_host("o1", "a", data_centre="olten")
        self.owner = build_host("o2", "b", data_centre="bern")
        self.neighbour = build_host("o3", "c", data_centre="olten")
        self.sought = build_host("f1", "d", data_centre="bern")
        self.linked = [self.owner, self.neighbour]
        self.lost = frozenset()
        self.outbox = mock.Mock()
        self.cancellations = Cancellations(
            local_host=self.local,
            outbox=self.outbox,
            find_hosts=lambda: frozenset(
                host.name for host in (self.owner, self.neighbour, self.sought)
            ),
            find_lost=lambda names, now_s: self.lost & frozenset(names),
            find_linked=lambda: self.linked,
            find_owners=lambda: (self.owner,),
        )

    def ask(self, was_open: bool = False) -> list:
        return list(self.cancellations.ask(JOB, was_open, None, 0.0))

    def reply(self, sender, **fields) -> list:
        values = {"asked_by": self.local, "number": 1, "was_open": False}
        reply = ev.CancelReply(**values | fields)
        return list(self.cancellations.handle_reply(reply, sender))

    def pop_sent(self) -> list:
        sent = [call.args for call in self.outbox.send.call_args_list]
        self.outbox.send.reset_mock()
        return sent


class TestAskedHosts(QuestionTest):
    """Guards against an answer before each host that may have the job was asked."""

    def test_each_linked_host_is_asked_and_the_others_through_their_neighbours(self):
        self.assertEqual([], self.ask())
        question = ev.CancelRequest(job=JOB, asked_by=self.local, number=1)
        relayed = ev.CancelRequest(
            job=JOB, asked_by=self.local, number=1, pass_on_to=(self.sought.name,)
        )
        expected = [(self.owner, question), (self.neighbour, question)]
        self.assertEqual([*expected, (self.owner, relayed)], self.pop_sent())

    def test_the_answer_awaits_the_reply_of_each_host(self):
        self.ask()
        self.assertEqual([], self.reply(self.neighbour, was_open=True))
        self.assertEqual([], self.reply(self.owner))
        replied = self.reply(self.owner, recorded=(self.sought.name,))
        self.assertEqual([JobCancelled(reply_to=None)], replied)

    def test_a_host_that_a_relay_knows_to_be_lost_is_not_awaited(self):
        self.ask()
        self.reply(self.neighbour)
        replied = self.reply(self.owner, lost=(self.sought.name,))
        self.assertEqual([NoSuchJob(reply_to=None)], replied)

    def test_a_host_that_this_one_knows_to_be_lost_is_not_awaited(self):
        self.ask()
        self.reply(self.neighbour)
        self.reply(self.owner)
        self.lost = frozenset({self.sought.name})
        outcomes = list(self.cancellations.handle_tick(0.1))
        self.assertEqual([NoSuchJob(reply_to=None)], outcomes)

    def test_a_host_without_an_answer_is_asked_through_another_relay(self):
        """A relay may be frozen or without a link itself."""
        other = build_host("o4", "e", data_centre="bern")
        self.linked.append(other)
        self.ask()
        self.pop_sent()
        self.assertEqual([], list(self.cancellations.handle_tick(RELAY_INTERVAL_S)))
        [(relay, message)] = self.pop_sent()
        self.assertEqual(other, relay)
        self.assertEqual((self.sought.name,), message.pass_on_to)

    def test_a_host_elsewhere_is_a_relay_only_without_one_in_the_data_centre(self):
        """It can't tell a cut between the data centres from a loss."""
        remote = build_host("o5", "f", data_centre="aarau")
        self.linked[:] = [remote, self.neighbour]
        self.cancellations.find_owners = lambda: (remote,)
        self.ask()
        relays = [to for to, message in self.pop_sent() if message.pass_on_to]
        self.assertEqual([remote], relays)

    def test_a_question_is_asked_again_over_a_new_link_before_the_record(self):
        """The first link may have been lost with the question, or with its reply."""
        self.linked.append(self.sought)
        self.ask()
        for number in range(MAX_JOBS_PER_MESSAGE + 1):
            self.cancellations.record.record(f"{number:016x}", 0.0)
        self.pop_sent()
        self.cancellations.handle_link(self.sought, 0.1)
        messages = [message for to, message in self.pop_sent() if to == self.sought]
        counts = [len(message.jobs) for message in messages[1:]]
        self.assertIs(ev.CancelRequest, type(messages[0]))
        self.assertEqual([MAX_JOBS_PER_MESSAGE, 1], counts)

    def test_a_relay_passes_questions_on_and_replies_back(self):
        asked_by = build_host("f9", "9", data_centre="aarau")
        self.linked.append(self.sought)
        gone = build_host("f8", "8", data_centre="bern").name
        self.lost = frozenset({gone})
        question = ev.CancelRequest(job=JOB, asked_by=asked_by, number=4)
        relayed = ev.CancelRequest(
            job=JOB, asked_by=asked_by, number=4, pass_on_to=(self.sought.name, gone)
        )
        self.cancellations.answer(relayed, asked_by, False, 0.0)
        passed_on = evolve(question, is_passed_on=True)
        self.assertEqual([(self.sought, passed_on)], self.pop_sent())
        self.reply(self.sought, asked_by=asked_by, number=4, was_open=True)
        [(to, reply)] = self.pop_sent()
        self.assertEqual((asked_by, (gone,)), (to, reply.lost))
        self.assertEqual(((self.sought.name,), True), (reply.recorded, reply.was_open))

    def test_a_relay_reports_what_it_knows_while_a_host_does_not_reply(self):
        """The answer would wait for a frozen host that another one knows to be lost."""
        asked_by = build_host("f9", "9", data_centre="aarau")
        names = (self.owner.name, self.neighbour.name)
        relayed = ev.CancelRequest(
            job=JOB, asked_by=asked_by, number=4, pass_on_to=names
        )
        self.cancellations.answer(relayed, asked_by, False, 0.0)
        self.reply(self.owner, asked_by=asked_by, number=4)
        self.pop_sent()
        list(self.cancellations.handle_tick(0.1))
        [(_, reply)] = self.pop_sent()
        self.assertEqual((self.owner.name,), reply.recorded)
        list(self.cancellations.handle_tick(0.2))
        self.assertEqual([], self.pop_sent())

    def test_a_host_is_asked_once_its_link_has_room(self):
        """A link with a full queue is closed."""
        full = {self.owner}
        self.cancellations.has_room = lambda peer: peer not in full
        self.ask()
        self.assertEqual([self.neighbour], [to for to, _ in self.pop_sent()])
        full.clear()
        list(self.cancellations.handle_tick(0.1))
        self.assertEqual([self.owner], [to for to, _ in self.pop_sent()])

    def test_further_questions_than_links_can_queue_are_answered_as_unknown(self):
        for _ in range(MAX_OPEN_QUESTIONS):
            self.assertEqual([], self.ask())
        self.assertEqual([NotKnown(reply_to=None)], self.ask())


class TestLostHosts(unittest.TestCase):
    """Guards against a 410 of a host that is itself the one that is cut off."""

    def setUp(self):
        self.peers = [build_host(f"e{n}", str(n)) for n in range(3)]
        self.links = mock.Mock()
        self.links.find_linked.return_value = ()
        self.membership = Membership(
            local_host=build_host("e9", "9"),
            links=self.links,
            registry_commands=mock.Mock(),
            started_s=0.0,
        )
        self.membership.heartbeat_peers = frozenset(p.name for p in self.peers[:2])

    def find_lost(self, now_s: float) -> frozenset:
        return self.membership.find_lost([peer.name for peer in self.peers], now_s)

    def hear(self, peer, now_s: float) -> None:
        heartbeat = ev.HostHeartbeat(number=1, claims=(), configuration_version=0)
        self.membership.ownership.handle_heartbeat(peer, heartbeat, now_s)

    def test_a_host_that_is_neither_heard_nor_linked_is_lost(self):
        """One that this host keeps no link with is not."""
        self.hear(self.peers[0], 10.0)
        self.assertEqual({self.peers[1].name}, self.find_lost(10.0))

    def test_a_host_with_a_link_is_not_lost(self):
        self.hear(self.peers[0], 10.0)
        self.links.find_linked.return_value = (self.peers[1],)
        self.assertEqual(frozenset(), self.find_lost(10.0))

    def test_a_host_that_hears_no_other_knows_none_to_be_lost(self):
        self.assertEqual(frozenset(), self.find_lost(10.0))

    def test_a_host_that_has_just_started_or_resumed_knows_none_to_be_lost(self):
        self.hear(self.peers[0], 1.0)
        self.assertEqual(frozenset(), self.find_lost(1.0))
        self.membership.ownership.record_pause(10.0)
        last_s = 10.0 + LOSS_NOTICE_S
        self.hear(self.peers[0], last_s)
        self.assertEqual(frozenset(), self.find_lost(last_s - 0.1))
        self.assertEqual({self.peers[1].name}, self.find_lost(last_s))


class TestMissingJobs(CancellationTest):
    """Guards against a "no such job" that some host has not confirmed."""

    def test_a_job_that_is_open_nowhere_is_unknown(self):
        self.assertEqual(410, self.cancel_at(self.other_front, "00000000000000ff"))

    def test_a_job_that_has_ended_is_unknown(self):
        self.deployment.end_job(JOB)
        self.deployment.run(0.5)
        self.assertEqual(410, self.cancel_at(self.other_front))

    def test_a_host_that_does_not_answer_may_have_the_job(self):
        for owner in self.deployment.owners:
            self.deployment.find_link(self.other_front, owner).is_held = True
        self.deployment.find_link(self.other_front, self.front).is_held = True
        replies = self.other_front.cancel(JOB)
        self.deployment.run(ANSWER_TIMEOUT_S - 0.2)
        self.assertEqual(0, len(replies))
        self.deployment.run(0.5)
        answer = replies.get()
        self.assertEqual(503, answer.status)
        self.assertIn("Retry-After", answer.headers)

    def test_a_host_that_is_lost_meanwhile_is_not_waited_for(self):
        """Its jobs are lost with it; the caller would be asked to try again."""
        self.deployment.find_link(self.other_front, self.front).is_held = True
        replies = self.other_front.cancel("00000000000000ff")
        self.deployment.run(0.1)
        self.disconnect(self.front, self.other_front)
        self.deployment.run(ANSWER_TIMEOUT_S - 0.2)
        self.assertEqual(410, replies.get().status)

    def test_a_host_without_links_answers_410_only_once_it_has_asked(self):
        """After a freeze of 2 s it had no links, and answered 410 at once."""
        hosts = (*self.deployment.owners, self.front)
        for host in hosts:
            self.disconnect(self.other_front, host)
        replies = self.other_front.cancel(JOB)
        self.deployment.run(1.0)
        self.assertEqual(0, len(replies))
        for host in hosts:
            self.deployment.open_link(host, self.other_front)
        self.deployment.run(0.5)
        self.assertEqual(200, replies.get().status)
        self.assert_cancelled()

    def test_a_host_that_stays_without_links_answers_503(self):
        for host in (*self.deployment.owners, self.front):
            self.disconnect(self.other_front, host)
        replies = self.other_front.cancel(JOB)
        self.deployment.run(ANSWER_TIMEOUT_S + 0.3)
        self.assertEqual(503, replies.get().status)

    def test_an_id_that_no_job_can_have_is_not_recorded(self):
        """Such ids would fill the record."""
        self.assertEqual(410, self.cancel_at(self.front, "x"))
        self.assertEqual(0, len(self.front.coordinator.requests.cancellations.record))


class TestRecords(CancellationTest):
    """Guards against a start of a job that was cancelled before."""

    def assert_not_started(self, host: SimulatedHost, job: str, count: int) -> None:
        replies = host.submit(job)
        self.deployment.run(0.5)
        self.assertEqual(count, len(self.deployment.list_starts(job)))
        self.assertEqual("cancelled", json.loads(replies.get().body)["state"])

    def test_a_request_that_arrives_again_starts_nothing_at_any_host(self):
        self.assertEqual(200, self.cancel_at(self.front))
        self.deployment.run(4.5)
        for number, host in enumerate(self.deployment.hosts):
            with self.subTest(number):
                self.assert_not_started(host, JOB, 1)

    def test_a_request_that_follows_the_answer_410_starts_nothing(self):
        """It may have been on its way, or unread at a frozen host."""
        job = "00000000000000ff"
        self.assertEqual(410, self.cancel_at(self.other_front, job))
        self.assert_not_started(self.front, job, 0)

    def test_an_order_of_a_host_that_lacks_the_record_starts_nothing(self):
        """A frozen host may read an old request before its links are replaced."""
        job = "00000000000000ff"
        self.assertEqual(410, self.cancel_at(self.other_front, job))
        handler = self.front.coordinator.requests
        handler.job_registry.kept_answers.cancelled_jobs = CancelledJobs()
        handler.cancellations.record = CancelledJobs()
        self.assert_not_started(self.front, job, 0)

    def assert_not_started_after_freeze(self, host: SimulatedHost) -> None:
        """Freeze a host, cancel a job elsewhere, and let the host read its request."""
        job = "00000000000000ff"
        others = [other for other in self.deployment.hosts if other is not host]
        host.suspend()
        for other in others:
            self.disconnect(host, other)
        self.other_front.cancel(job)
        self.deployment.run(2.5)
        replies = host.submit(job)
        # The process was stopped, not its machine.
        host.coordinator.read_suspended_s = lambda: 0.0
        host.resume(is_first=lambda message: isinstance(message, ms.CallerRequest))
        self.deployment.run(0.3)
        for other in others:
            self.deployment.open_link(host, other)
        self.deployment.run(1.5)
        self.assertEqual([], self.deployment.list_starts(job))
        self.assertEqual("cancelled", json.loads(replies.get().body)["state"])

    def test_a_frozen_front_host_that_reads_an_old_request_starts_nothing(self):
        self.assert_not_started_after_freeze(self.front)

    def test_a_frozen_owner_that_reads_an_old_request_starts_nothing(self):
        """It has no link yet, and is the front host and the owner at the same time."""
        for number, _ in enumerate(self.deployment.owners):
            with self.subTest(number):
                self.setUp()
                self.assert_not_started_after_freeze(self.deployment.owners[number])

    def test_a_host_gets_the_record_over_a_new_link(self):
        """A successor may have been cut off when the job was cancelled."""
        owner, other = self.deployment.owners
        self.disconnect(owner, other)
        self.disconnect(owner, self.front)
        self.disconnect(owner, self.other_front)
        self.other_front.cancel(JOB)
        self.deployment.run(1.0)
        record = owner.coordinator.cells.cancelled_jobs
        self.assertEqual(0, len(record))
        self.deployment.open_link(owner, other)
        self.deployment.run(0.1)
        self.assertTrue(record.holds(JOB, self.deployment.now_s))

    def test_an_owner_ends_the_tasks_of_a_host_that_does_not_answer(self):
        """A frozen front host confirms its job until it counts as lost."""
        self.front.suspend()
        replies = self.other_front.cancel(JOB)
        self.deployment.run(0.1 + STOP_S)
        self.assertEqual(0, self.deployment.count_running(JOB))
        self.assertEqual(0, len(replies))

    def test_a_cancel_for_which_a_record_has_no_room_is_not_acknowledged(self):
        """Dropping an entry would break an acknowledged cancel."""
        record = self.front.coordinator.requests.cancellations.record
        record.limit = 0
        self.assertEqual(503, self.cancel_at(self.front))
        self.assert_cancelled()
        replies = self.other_front.cancel("00000000000000ff")
        self.deployment.run(ANSWER_TIMEOUT_S + 0.3)
        self.assertEqual(503, replies.get().status)
        self.assertEqual(2, self.front.coordinator.metrics.unrecorded_cancels)


if __name__ == "__main__":
    unittest.main()
