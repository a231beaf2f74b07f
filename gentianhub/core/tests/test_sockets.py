"""Messages that a socket takes in parts."""

import unittest

from gevent import socket, spawn

from gentianhub.core import send_message


class SendMessageTest(unittest.TestCase):
    """Guards against messages that are cut when the socket's buffer is full."""

    def test_a_message_larger_than_the_buffer_is_sent_completely(self):
        ours, theirs = socket.socketpair()
        message = bytes(range(256)) * 20_000
        with ours, theirs:
            ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
            greenlet = spawn(send_message, ours, message)
            received = b""
            while len(received) < len(message):
                received += theirs.recv(65_536)
            greenlet.get(timeout=5.0)
        self.assertEqual(message, received)

    def test_an_empty_message_sends_nothing(self):
        ours, theirs = socket.socketpair()
        with theirs:
            send_message(ours, b"")
            ours.close()
            self.assertEqual(b"", theirs.recv(1))
