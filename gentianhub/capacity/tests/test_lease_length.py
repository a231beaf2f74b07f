"""Runs that lapse because the renewals of their leases are held up for a moment."""

import unittest
from unittest import mock

from gentianhub.capacity import leases
from gentianhub.capacity.tests.simulated_cell import SimulatedCell


class TestShortOutages(unittest.TestCase):
    """Guards against leases that are shorter than the bound of confirmations requires.

    Work of callers that stay lapses when a target is cut off for half a second.
    """

    LONGER_LEASE_S = 0.8

    def count_lapsed(self) -> int:
        lapsed = 0
        for seed in range(1, 4):
            cell = SimulatedCell(seed=seed, run_s=(0.3, 2.0))
            cell.submit_jobs(end_s=20.0, per_s=8)
            random = cell.fault_random
            for _ in range(60):
                name = f"t{random.randrange(cell.target_count)}"
                start_s, cut_s = random.uniform(1.0, 20.0), random.uniform(0.3, 0.75)
                cell.schedule(start_s, cell.cut_target, name, cut_s)
            cell.run(until_s=26.0)
            self.assertEqual([], cell.overlaps)
            lapsed += cell.lapsed
        return lapsed

    def test_no_more_runs_lapse_than_with_a_longer_lease_under_the_same_bound(self):
        lapsed = self.count_lapsed()
        with mock.patch.object(leases, "LEASE_S", self.LONGER_LEASE_S):
            self.assertLessEqual(lapsed, 1.1 * self.count_lapsed())


if __name__ == "__main__":
    unittest.main()
