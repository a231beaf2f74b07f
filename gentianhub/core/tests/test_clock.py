"""The clock by which leases, confirmations and deadlines are counted."""

import time
import unittest
from unittest import mock

from gentianhub.core import read_monotonic_s, read_suspended_s

SUSPENDED_S = 2.0


def read_suspended_clock(clock: int) -> float:
    """Return the time of a machine that was suspended for `SUSPENDED_S` since."""
    steady_s = time.monotonic_ns() / 1e9
    return steady_s + SUSPENDED_S * (clock == time.CLOCK_BOOTTIME)


class TestSuspendedMachine(unittest.TestCase):
    """Guards against confirmations from before a suspension that count as recent.

    An owner that woke up started the waiting tasks of callers that had left meanwhile.
    """

    def test_the_time_of_a_suspension_is_counted(self):
        before_s = read_monotonic_s()
        with mock.patch("time.clock_gettime", read_suspended_clock):
            after_s = read_monotonic_s()
        self.assertGreaterEqual(after_s - before_s, SUSPENDED_S)

    def test_the_time_of_a_suspension_is_told(self):
        with mock.patch("time.clock_gettime", read_suspended_clock):
            self.assertAlmostEqual(SUSPENDED_S, read_suspended_s(), delta=0.5)

    def test_the_clock_advances_with_the_steady_one(self):
        before_s, steady_s = read_monotonic_s(), time.monotonic()
        time.sleep(0.01)
        elapsed_s = read_monotonic_s() - before_s
        self.assertGreaterEqual(elapsed_s, 0.01)
        self.assertLess(elapsed_s, time.monotonic() - steady_s + 1.0)


if __name__ == "__main__":
    unittest.main()
