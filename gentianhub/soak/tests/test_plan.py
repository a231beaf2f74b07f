"""The schedule of faults is reproducible and contains every kind."""

import unittest
from typing import get_args

from gentianhub.soak.plan import Fault, LapseTargets, plan_faults

HOSTS = ("e1", "e2")
TARGETS = ("t1", "t2", "t3")


def plan(seed: int, duration_s: float = 30.0, with_lapses: bool = False) -> list:
    return list(plan_faults(seed, duration_s, 0.5, HOSTS, TARGETS, with_lapses))


class TestPlan(unittest.TestCase):
    """Guards against schedules that cannot be repeated or leave faults out."""

    def test_a_seed_reproduces_its_faults(self):
        """Without this, a failed seed could not serve as a regression test."""
        self.assertEqual(plan(3), plan(3))
        self.assertNotEqual(plan(3), plan(4))

    def test_every_fault_ends_within_the_run(self):
        self.assertTrue(all(p.start_s + p.fault_duration_s < 30.0 for p in plan(5)))

    def test_faults_overlap(self):
        planned = plan(1)
        pairs = zip(planned, planned[1:], strict=False)
        self.assertTrue(
            any(b.start_s < a.start_s + a.fault_duration_s for a, b in pairs)
        )

    def test_every_kind_of_fault_occurs(self):
        kinds = {type(p.fault) for seed in range(20) for p in plan(seed)}
        self.assertEqual(set(get_args(Fault)) - {LapseTargets}, kinds)

    def test_a_run_with_lapses_has_every_kind_of_fault(self):
        """Without this, lapses could replace the faults that they are to overlap."""
        kinds = {
            type(p.fault) for seed in range(20) for p in plan(seed, with_lapses=True)
        }
        self.assertEqual(set(get_args(Fault)), kinds)

    def test_a_lapse_leaves_some_targets_listed(self):
        lapses = [p.fault for p in plan(3, with_lapses=True)]
        lapses = [fault for fault in lapses if isinstance(fault, LapseTargets)]
        self.assertTrue(lapses)
        self.assertTrue(all(0 < len(f.targets) < len(TARGETS) for f in lapses))
