"""A short soak test of real hosts; longer ones are started by hand."""

import tempfile
import unittest
from pathlib import Path

from gentianhub.soak import SoakPlan, run_soak

SEED = 1
LAPSE_SEED = 520
CRASHING_SEED = 700
SECONDS = 10.0


class TestSoak(unittest.TestCase):
    """Guards against overlapping runs, missing answers and failed recovery."""

    def run_soak(self, **options):
        with tempfile.TemporaryDirectory() as folder:
            plan = SoakPlan(duration_s=SECONDS, callers=8, **options)
            result = run_soak(plan, Path(folder))
        self.assertGreater(result.runs, 100)
        self.assertEqual([], result.violations)
        return result

    def test_no_guarantee_is_violated(self):
        self.run_soak(seed=SEED)

    def test_targets_that_lapse_from_the_list_violate_no_guarantee(self):
        """New owners repeated tasks whose runs went on at targets not listed."""
        result = self.run_soak(seed=LAPSE_SEED, with_lapses=True)
        self.assertGreater(result.faults["LapseTargets"], 0)

    def test_tasks_that_crash_targets_violate_no_guarantee(self):
        """Such tasks crashed up to eight targets, through several owners and hosts."""
        result = self.run_soak(seed=CRASHING_SEED, crashing_fraction=0.02)
        self.assertTrue(any(trace.is_crashing for trace in result.traces))
