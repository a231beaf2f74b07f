"""Tests of the generated capacity page."""

import unittest

from benchmarks.capacity import PAGE, build_page


class CapacityPageTest(unittest.TestCase):
    """Guards against a page that differs from what the recorded slopes give."""

    def test_page_is_recomputed_from_the_record(self):
        self.assertEqual(PAGE.read_text(), build_page())
