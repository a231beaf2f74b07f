"""Guards against missed objectives (design page, section 1.3) under seeded load."""

import functools
import unittest

from benchmarks.load import LoadMetrics
from benchmarks.policies import BASELINES, CHOSEN

SEEDS = (1, 2, 3)


@functools.cache
def measure(name):
    (policies,) = (p for p in (CHOSEN, *BASELINES) if p.name == name)
    return LoadMetrics(policies=policies, seeds=SEEDS)


class TestObjectives(unittest.TestCase):
    def setUp(self):
        self.chosen = measure("chosen")

    def test_response_at_normal_load(self):
        self.assertLessEqual(self.chosen.normal.responses["all"].p50, 1.2)
        self.assertLessEqual(self.chosen.normal.responses["all"].p99, 2.5)

    def test_short_work_waits_little_longer_with_long_work(self):
        self.assertLessEqual(self.chosen.waits.ratio, 1.3)

    def test_wasted_messages(self):
        self.assertLess(self.chosen.normal.wasted, 0.01)

    def test_wasted_messages_with_two_targets_refusing_everything(self):
        self.assertLess(self.chosen.wasted_on_refusal, 0.03)

    def test_wasted_messages_with_two_targets_failing_everything(self):
        self.assertLess(self.chosen.wasted_on_failure, 0.03)

    def test_goodput_at_the_peak(self):
        self.assertGreaterEqual(self.chosen.peak.goodput, 0.9)

    def test_recovery_after_the_peak(self):
        self.assertLessEqual(self.chosen.peak.recovery_s, 2.0)

    def test_order_and_admission_beat_first_in_first_out(self):
        baseline = measure("first-in-first-out")
        self.assertLess(
            self.chosen.normal.responses["all"].p99,
            baseline.normal.responses["all"].p99,
        )
        self.assertLess(self.chosen.waits.ratio, baseline.waits.ratio)
        self.assertGreater(self.chosen.peak.goodput, baseline.peak.goodput)
        self.assertLess(self.chosen.peak.recovery_s, baseline.peak.recovery_s)
        self.assertLess(self.chosen.burst.p99, baseline.burst.p99)
