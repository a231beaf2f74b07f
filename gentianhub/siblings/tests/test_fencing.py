import unittest

from attrs import evolve
from gevent import socket

from gentianhub.core import (
    Incarnation,
    JobId,
    JobPending,
    Mailbox,
    ProcessName,
    RefusalKind,
    RunState,
)
from gentianhub.core import events as ev
from gentianhub.core.operations import CancelOperation
from gentianhub.settings import Endpoint
from gentianhub.siblings import SendSlotMessage, open_sibling_links, wire
from gentianhub.siblings import messages as ms
from gentianhub.stand_ins.processes import LOOPBACK, find_free_ports


def build_incarnation(name: str, token: str) -> Incarnation:
    process = ProcessName(data_centre="olten", process=name)
    return Incarnation(name=process, token=token * 16)


OWN = build_incarnation("e1", "a")
OLD = build_incarnation("e1", "b")
PEER = build_incarnation("e2", "c")
PENDING = JobPending(ended_tasks=0, started_tasks=0)


class LinkTest(unittest.TestCase):
    """Base of tests in which the test is the sibling of a process."""

    def setUp(self):
        (self.port,) = find_free_ports(1)
        self.dispatcher = Mailbox(limit=100)
        self.mailbox = Mailbox(limit=100)
        self.start_manager()

    def start_manager(self) -> None:
        self.enterContext(
            open_sibling_links(
                own_incarnation=OWN,
                address=Endpoint(host=LOOPBACK, port=self.port),
                seeds=(),
                mailbox=self.mailbox,
                dispatcher=self.dispatcher,
                poller=Mailbox(limit=100),
            )
        )

    def connect(self, peer: Incarnation, started_ms: int):
        sock = socket.create_connection((LOOPBACK, self.port), timeout=20)
        self.addCleanup(sock.close)
        hello = ms.Hello(sender=peer, started_ms=started_ms, host=LOOPBACK, port=1)
        frames = wire.FrameReader(sock=sock)
        self.send(frames, OWN, hello)
        self.assertEqual(self.read(frames).sender, OWN)
        return frames

    def send(self, frames: wire.FrameReader, to: Incarnation, message) -> None:
        frames.sock.sendall(wire.encode_frame(to.token, wire.encode_message(message)))

    def read(self, frames: wire.FrameReader):
        frame = frames.read_frame()
        match frame:
            case wire.ReceivedFrame(body=body):
                return wire.decode_message(body)
            case _:
                return frame

    def read_reply(self, frames: wire.FrameReader) -> ms.ForwardReply:
        while not isinstance(message := self.read(frames), ms.ForwardReply):
            self.assertNotIsInstance(message, wire.LinkEnded)
        return message


class FencingTest(LinkTest):
    """Guards against acting on messages meant for an earlier incarnation."""

    def test_only_messages_to_this_incarnation_are_handled(self):
        frames = self.connect(PEER, 1)
        cancel = CancelOperation(job_id=JobId(owner=OLD, sequence=1))
        self.send(frames, OLD, ms.ForwardRequest(number=7, operation=cancel))
        self.send(frames, OLD, ev.SlotReturn(borrower=PEER, target="old", count=1))
        reply = self.read_reply(frames)
        self.assertEqual(reply.number, 7)
        self.assertEqual(reply.reply.kind, RefusalKind.GONE)
        self.assertEqual(reply.reply.run, RunState.UNKNOWN)
        held = ev.SlotReturn(borrower=PEER, target="new", count=1)
        self.send(frames, OWN, held)
        while isinstance(message := self.dispatcher.get(20), ev.LiveProcessesChanged):
            pass
        self.assertEqual(message, held)

    def test_message_with_a_foreign_sender_closes_the_link(self):
        frames = self.connect(PEER, 1)
        self.send(frames, OWN, ev.SlotReturn(borrower=OLD, target="t", count=1))
        while not isinstance(message := self.read(frames), wire.LinkEnded):
            self.assertIsInstance(message, ms.Heartbeat)

    def test_slot_message_is_sent_only_to_the_named_incarnation(self):
        frames = self.connect(PEER, 1)
        demand = ev.SlotDemand(borrower=OWN, number=1, wanted=2)
        other = evolve(demand, number=2)
        successor = build_incarnation("e2", "d")
        self.mailbox.put(SendSlotMessage(recipient=successor, message=other))
        self.mailbox.put(SendSlotMessage(recipient=PEER, message=demand))
        while isinstance(message := self.read(frames), ms.Heartbeat):
            pass
        self.assertEqual(message, demand)

    def test_earlier_incarnation_of_a_live_process_is_refused(self):
        successor = build_incarnation("e2", "d")
        live = self.connect(successor, 2)
        self.assertIsInstance(self.read(live), ms.Heartbeat)
        self.assertIsInstance(self.read(self.connect(PEER, 1)), wire.LinkEnded)

    def test_pending_request_does_not_block_others(self):
        frames = self.connect(PEER, 1)
        cancel = CancelOperation(job_id=JobId(owner=OWN, sequence=1))
        for number in (1, 2):
            self.send(frames, OWN, ms.ForwardRequest(number=number, operation=cancel))
        reply_mailboxes = []
        while len(reply_mailboxes) < 2:
            match self.dispatcher.get(20):
                case ev.CancelJob() as event:
                    reply_mailboxes.append(event.reply_to)
        reply_mailboxes[1].try_put(PENDING)
        self.assertEqual(self.read_reply(frames).number, 2)
        reply_mailboxes[0].try_put(PENDING)
        self.assertEqual(self.read_reply(frames).number, 1)
