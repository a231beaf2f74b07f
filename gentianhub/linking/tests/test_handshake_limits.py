"""Incoming connections of the link port that send no greeting."""

import unittest
from contextlib import ExitStack

from gevent import socket

from gentianhub.linking.handshake_limits import PendingHandshakes


class PendingHandshakesTest(unittest.TestCase):
    """Guards against descriptors that are used up by connections without a greeting."""

    def test_the_oldest_connection_ends_for_a_new_one(self):
        pending = PendingHandshakes(max_sockets=2)
        with ExitStack() as stack:
            pairs = [
                tuple(map(stack.enter_context, socket.socketpair())) for _ in range(3)
            ]
            for ours, _ in pairs:
                stack.enter_context(pending.keep(ours))
            for _, theirs in pairs:
                theirs.settimeout(0.0)
            self.assertEqual(b"", pairs[0][1].recv(1))
            for _, theirs in pairs[1:]:
                with self.assertRaises(BlockingIOError):
                    theirs.recv(1)
        self.assertEqual(1, pending.ended)

    def test_a_greeting_makes_room(self):
        pending = PendingHandshakes(max_sockets=1)
        for _ in range(3):
            ours, theirs = socket.socketpair()
            with ours, theirs, pending.keep(ours):
                pass
        self.assertEqual(0, pending.ended)


if __name__ == "__main__":
    unittest.main()
