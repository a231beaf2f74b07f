"""A short soak test of real hosts; longer ones are started by hand."""

import tempfile
import unittest
from pathlib import Path

from gentianhub.soak import SoakPlan, run_soak

SEED = 1
SECONDS = 10.0


class TestSoak(unittest.TestCase):
    """Guards against overlapping runs, missing answers and failed recovery."""

    def test_no_guarantee_is_violated(self):
        with tempfile.TemporaryDirectory() as folder:
            plan = SoakPlan(seed=SEED, duration_s=SECONDS, callers=8)
            result = run_soak(plan, Path(folder))
        self.assertGreater(result.runs, 100)
        self.assertEqual([], result.violations)
