"""Frames that wait for the writer of a link."""

import unittest
from unittest import mock

from gevent import socket, spawn

from gentianhub.core import Incarnation, ProcessName
from gentianhub.linking import links
from gentianhub.linking.frames import HEADER_BYTES, FrameReader
from gentianhub.linking.handshake import Hello

NAME = ProcessName(data_centre="olten", process="front-1")
PEER = Incarnation(name=NAME, token="00000000000000ab")


def build_link() -> links.Link:
    """Return a link without greenlets."""
    hello = Hello(sender=PEER, started_ms=1, host="127.0.0.1", port=1)
    return links.Link(peer=hello, dialled_by=NAME)


class WriteFramesTest(unittest.TestCase):
    """Guards against frames that are lost, reordered or cut in a joined write."""

    def _send(self, bodies: list[bytes]) -> tuple[list[bytes], int, links.Link]:
        """Return the bodies received, the number of writes, and the link."""
        ours, theirs = socket.socketpair()
        link = build_link()
        for body in bodies:
            self.assertTrue(link.send(body))
        with (
            theirs,
            mock.patch.object(
                links, "send_message", side_effect=links.send_message
            ) as send,
        ):
            writer = spawn(links._write_frames, ours, link)
            reader = FrameReader(sock=theirs)
            received = [reader.read_frame() for _ in bodies]
            writer.kill()
            ours.close()
        self.assertEqual({PEER.token}, {frame.to_token for frame in received})
        return [frame.body for frame in received], send.call_count, link

    def test_waiting_frames_share_a_write(self):
        bodies = [b"%d" % number * number for number in range(1, 100)]
        received, writes, link = self._send(bodies)
        self.assertEqual(bodies, received)
        self.assertEqual(1, writes)
        size = sum(map(len, bodies)) + len(bodies) * HEADER_BYTES
        self.assertEqual(size, link.sent_bytes)

    def test_writes_of_large_frames_are_bounded(self):
        bodies = [b"x" * (links.MAX_JOINED_BYTES // 2)] * 9
        received, writes, _ = self._send(bodies)
        self.assertEqual(bodies, received)
        self.assertGreater(writes, 3)
