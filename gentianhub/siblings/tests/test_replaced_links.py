"""Forwarded requests whose link ends before the reply."""

import unittest
from unittest import mock

from gentianhub.core import Incarnation, JobId, Mailbox, Refusal, RefusalKind
from gentianhub.core import events as ev
from gentianhub.core.operations import CancelOperation, Operation, WatchOperation
from gentianhub.siblings import forwarding
from gentianhub.siblings import messages as ms
from gentianhub.siblings.manager_messages import Forward
from gentianhub.siblings.tests.test_fencing import OWN, PEER, PENDING, LinkTest

# Time for a message to arrive on loopback, s.
NOTICE_S = 5.0
WATCH_S = 60.0


class TestReplacedLinks(LinkTest):
    """Guards against state of a request that only the reply or its timer ends."""

    def start_manager(self) -> None:
        with mock.patch.object(forwarding, "MAX_SERVED_FORWARDS", 1):
            super().start_manager()

    def get_event(self, kind: type) -> ev.Event:
        while not isinstance(event := self.dispatcher.get(NOTICE_S), kind):
            self.assertIsInstance(event, ev.LiveProcessesChanged)
        return event

    def test_a_watch_ends_with_its_link(self):
        """It kept one of the places for requests of siblings, up to 60 s. A sibling
        that asked again after each of several link failures used all of them up."""
        job_id = JobId(owner=OWN, sequence=1)
        frames = self.connect(PEER, 1)
        watch = WatchOperation(job_id=job_id, wait_s=WATCH_S)
        self.send(frames, OWN, ms.ForwardRequest(number=1, operation=watch))
        watched = self.get_event(ev.WatchJob)
        frames.sock.close()
        unwatched = self.get_event(ev.UnwatchJob)
        self.assertIs(watched.reply_to, unwatched.reply_to)
        frames = self.connect(PEER, 1)
        cancel = CancelOperation(job_id=job_id)
        self.send(frames, OWN, ms.ForwardRequest(number=2, operation=cancel))
        self.get_event(ev.CancelJob).reply_to.try_put(PENDING)
        self.assertEqual(PENDING, self.read_reply(frames).reply)

    def test_a_cancel_that_a_link_loses_is_reported(self):
        """Its caller would take the job as cancelled, or wait without end."""
        for is_replaced in (False, True):
            with self.subTest(is_replaced=is_replaced):
                frames = self.connect(PEER, 1)
                cancel = CancelOperation(job_id=JobId(owner=PEER, sequence=1))
                replies = Mailbox(limit=1)
                self.forward(PEER, cancel, replies)
                while not isinstance(self.read(frames), ms.ForwardRequest):
                    pass
                if is_replaced:
                    self.connect(PEER, 1)
                else:
                    frames.sock.close()
                reply = replies.get(NOTICE_S)
                self.assertIsInstance(reply, Refusal)
                self.assertIs(RefusalKind.UNAVAILABLE, reply.kind)

    def forward(self, to: Incarnation, operation: Operation, replies: Mailbox) -> None:
        self.mailbox.put(Forward(owner=to, operation=operation, reply_to=replies))


if __name__ == "__main__":
    unittest.main()
