"""Which link ends when the memory for incomplete frames is used up."""

import unittest
from unittest import mock

from gentianhub.linking.frame_memory import OVER_FRAME_MEMORY, FrameMemory
from gentianhub.linking.frames import HEADER_BYTES, READ_BYTES, FrameReader, LinkEnded


class FrameMemoryTest(unittest.TestCase):
    """Guards against frames that fill the memory of a process in part."""

    def test_the_link_with_the_largest_frame_ends(self):
        memory = FrameMemory(max_bytes=100)
        large, small = mock.Mock(), mock.Mock()
        self.assertTrue(memory.receive(large, 80))
        self.assertTrue(memory.receive(small, 30))
        large.shutdown.assert_called_once()
        small.shutdown.assert_not_called()
        self.assertEqual((30, 1), (memory.held_bytes, memory.ended))

    def test_a_frame_that_would_be_the_largest_ends_its_own_link(self):
        memory = FrameMemory(max_bytes=100)
        small, large = mock.Mock(), mock.Mock()
        memory.receive(small, 40)
        self.assertFalse(memory.receive(large, 70))
        small.shutdown.assert_not_called()
        self.assertEqual(40, memory.held_bytes)

    def test_a_link_that_ends_holds_nothing(self):
        """What was received of a frame stayed counted when its link was lost."""
        for chunks, reason in (
            ([b"x" * READ_BYTES, b""], "closed"),
            ([b"x" * READ_BYTES, ConnectionResetError()], "Reset"),
            ([b"x" * READ_BYTES] * 3, OVER_FRAME_MEMORY),
        ):
            with self.subTest(reason):
                memory = FrameMemory(max_bytes=2 * READ_BYTES)
                size = (4 * READ_BYTES).to_bytes(4, "big")
                header = size + bytes(HEADER_BYTES - len(size))
                sock = mock.Mock(recv=mock.Mock(side_effect=[header, *chunks]))
                ended = FrameReader(sock=sock, memory=memory).read_frame()
                self.assertIsInstance(ended, LinkEnded)
                self.assertIn(reason, ended.reason)
                self.assertEqual(0, memory.held_bytes)


if __name__ == "__main__":
    unittest.main()
