"""Guards against missed objectives for targets (design page, section 1.3)."""

import functools
import unittest

from benchmarks.driver import run_load
from benchmarks.policies import BASELINES, CHOSEN
from benchmarks.targets import SEED, build_scenarios, compute_metrics

LENGTH_S = 40.0


class TargetObjectivesTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.plans = build_scenarios(SEED, LENGTH_S)

    @classmethod
    @functools.cache
    def measure(cls, name: str, policies=CHOSEN):
        return compute_metrics(run_load(cls.plans[name], policies), policies.name)

    def test_median_response_and_waste_with_all_targets_well(self):
        metrics = self.measure("all well")
        self.assertLessEqual(metrics.p50, 1.2)
        self.assertLess(metrics.wasted, 0.01)

    def test_tail_of_the_response_with_all_targets_well(self):
        self.assertLessEqual(self.measure("all well").p99, 2.5)

    def test_waste_with_two_targets_failing_everything(self):
        for name in ("two fail everything", "two refuse everything"):
            self.assertLess(self.measure(name).wasted, 0.03, name)

    def test_chosen_policies_beat_every_baseline(self):
        for name in ("two fail everything", "two refuse connections"):
            chosen = self.measure(name)
            for policies in BASELINES:
                baseline = self.measure(name, policies)
                self.assertLess(chosen.wasted, baseline.wasted)
                self.assertGreater(chosen.answered, baseline.answered)
