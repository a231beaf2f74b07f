"""The clocks of a host process that is suspended."""

import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

from gentianhub.stand_ins.suspendable_host import add_suspension, replace_steady_clock

SUSPENDED_S = 100.0


class TestSteadyClock(unittest.TestCase):
    """Guards against suspensions that all clocks count, like a stop by a signal."""

    def setUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.file = Path(folder) / "suspensions"
        add_suspension(self.file, 0.0)
        # Restores the functions that are replaced.
        for name in ("monotonic", "clock_gettime"):
            patch = mock.patch.object(time, name, getattr(time, name))
            self.enterContext(patch)
        replace_steady_clock(self.file)

    def test_the_steady_clock_leaves_a_suspension_out(self):
        for read_clock in (
            time.monotonic,
            lambda: time.clock_gettime(time.CLOCK_MONOTONIC),
        ):
            before_s = read_clock()
            add_suspension(self.file, SUSPENDED_S)
            self.assertLess(read_clock(), before_s - SUSPENDED_S / 2)

    def test_the_other_clocks_count_it(self):
        before_s = time.clock_gettime(time.CLOCK_BOOTTIME), time.time()
        add_suspension(self.file, SUSPENDED_S)
        self.assertGreaterEqual(time.clock_gettime(time.CLOCK_BOOTTIME), before_s[0])
        self.assertGreater(time.time(), before_s[1] - SUSPENDED_S / 2)

    def test_suspensions_add_up(self):
        """A host that is suspended again would otherwise get a clock that jumps."""
        before_s = time.monotonic()
        add_suspension(self.file, SUSPENDED_S)
        add_suspension(self.file, SUSPENDED_S)
        self.assertLess(time.monotonic(), before_s - 1.5 * SUSPENDED_S)


if __name__ == "__main__":
    unittest.main()
