"""A short soak test of real hosts; longer ones are started by hand."""

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from gentianhub.soak import SoakPlan, run_soak

SEED = 1
LAPSE_SEED = 520
CRASHING_SEED = 700
DEPARTURE_SEED = 1002
LOSS_SEED = 5002
SUSPENSION_SEED = 7209
SECONDS = 10.0
# Two series of suspensions.
SUSPENSION_SECONDS = 7.5
PRINT_ADDRESSES = """
from gentianhub.soak import SoakPlan
print(*[host.address for host in SoakPlan(seed=1, duration_s=1.0).list_hosts()])
"""


class TestSoak(unittest.TestCase):
    """Guards against overlapping runs, missing answers and failed recovery."""

    def run_soak(self, callers=8, duration_s=SECONDS, **options):
        with tempfile.TemporaryDirectory() as folder:
            plan = SoakPlan(duration_s=duration_s, callers=callers, **options)
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

    def test_losses_that_follow_one_another_violate_no_guarantee(self):
        """Long tasks ran on beside those of a second submission or a new owner."""
        result = self.run_soak(seed=LOSS_SEED, callers=16, gap_s=5.0, with_losses=True)
        self.assertGreater(result.faults["KillHost"], 0)
        self.assertGreater(result.faults["RestartTarget"], 0)

    def test_callers_that_leave_and_come_again_violate_no_guarantee(self):
        """Tasks of their first submission ran on, beside those of the second."""
        result = self.run_soak(
            seed=DEPARTURE_SEED, callers=24, gap_s=5.0, departing_fraction=0.5
        )
        self.assertGreater(result.faults["CutHost"], 0)
        first_attempts = [t.attempts[0] for t in result.traces if len(t.attempts) > 1]
        self.assertTrue(any(attempt.has_disconnected for attempt in first_attempts))

    def test_suspended_hosts_violate_no_guarantee(self):
        """An owner that resumed started tasks whose callers had left meanwhile.

        Its steady clock did not count the suspension, so that old confirmations were
        young, and the callers had come again elsewhere.
        """
        result = self.run_soak(
            seed=SUSPENSION_SEED,
            callers=48,
            duration_s=SUSPENSION_SECONDS,
            gap_s=30.0,
            with_suspensions=True,
        )
        self.assertEqual(4, result.faults["SuspendHost"])
        self.assertEqual(4, result.faults["DisconnectCallers"])


class TestAddresses(unittest.TestCase):
    """Guards against soaks beside each other that need the same metrics ports."""

    def test_two_processes_use_different_addresses(self):
        hosts = SoakPlan(seed=1, duration_s=1.0).list_hosts()
        found = subprocess.check_output(
            [sys.executable, "-c", PRINT_ADDRESSES], text=True
        )
        self.assertEqual(len(hosts), len(found.split()))
        self.assertFalse({host.address for host in hosts} & set(found.split()))
