"""A short seeded run with faults on real processes."""

import unittest

from gentianhub.fault_run import RunPlan, run_faults


class FaultRunTest(unittest.TestCase):
    """Guards against repeated starts, false refusals and partial answers."""

    def test_no_guarantee_is_violated(self):
        for seed in (1, 2):
            with self.subTest(seed=seed):
                plan = RunPlan(seed=seed, duration_s=12, callers=8, fault_gap_s=1.5)
                result = run_faults(plan)
                self.assertEqual(result.violations, [])
                self.assertGreater(result.starts, 0)
                self.assertGreater(sum(result.faults.values()), 2)
