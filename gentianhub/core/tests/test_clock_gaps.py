"""Readings of two clocks between which the process does not run."""

import unittest
from itertools import pairwise
from unittest import mock

from gentianhub.core import read_suspended_s

GAP_S = 0.8


class TestFrozenBetweenReadings(unittest.TestCase):
    """Guards against a frozen process that takes itself for a suspended machine.

    The front host would end all its jobs, and answer callers that stay with 504.
    """

    def test_a_freeze_between_two_readings_is_no_suspension(self):
        """The clocks are read one after the other; no suspension is between them."""
        self.steady_s, self.readings = 100.0, 0

        def read_clock(clock: int) -> float:
            steady_s = self.steady_s
            self.readings += 1
            if self.readings == 1:
                self.steady_s += GAP_S
            return steady_s

        with mock.patch("time.clock_gettime", read_clock):
            read_s = [read_suspended_s() for _ in range(3)]
        self.assertEqual(3, len(read_s))
        changes_s = [after - before for before, after in pairwise(read_s)]
        self.assertLess(max(changes_s), 0.01)


if __name__ == "__main__":
    unittest.main()
