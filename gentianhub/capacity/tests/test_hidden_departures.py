"""Departures that a front host learns of as late as a short suspension allows."""

import unittest

from gentianhub.capacity.front import MAX_SUSPENSION_S
from gentianhub.capacity.tests.simulated_cell import (
    CALLER_RETURN_S,
    MachineFaults,
    SimulatedCell,
)

# TCP sends the end of a connection that was lost again after these times.
REPEATED_S = (0.2, 0.6, 1.4, 3.0)


class TestHiddenDepartures(unittest.TestCase):
    """Guards against leases that outlast the return of a caller.

    A machine that was suspended for 0.21 to 0.5 s lost the end of a connection and its
    first repetition, and its jobs were not ended.
    """

    def test_a_run_ends_in_time_although_a_short_suspension_hid_its_departure(self):
        """The longest suspension that ends no job begins when the caller leaves."""
        hidden_s = next(s for s in REPEATED_S if s >= MAX_SUSPENSION_S)
        late_s = (hidden_s, hidden_s)
        # The target is cut off from the owner right before, so that only its lease ends
        # the run.
        cut_s = (hidden_s - 0.02, 2.0)
        for seed in range(5):
            with self.subTest(seed=seed):
                faults = MachineFaults(departure_s=late_s)
                cell = SimulatedCell(seed=seed, run_s=(20.0, 20.0), faults=faults)
                cell.submit_jobs(end_s=1.0, per_s=1)
                cell.schedule(2.0, cell.leave_job, "job-0", False)
                start_s, duration_s = cut_s
                cell.schedule(2.0 + start_s, cell.cut_job, "job-0", duration_s)
                cell.run(until_s=8.0)
                self.assertTrue(cell.overtimes_s)
                self.assertLessEqual(max(cell.overtimes_s), CALLER_RETURN_S)


if __name__ == "__main__":
    unittest.main()
