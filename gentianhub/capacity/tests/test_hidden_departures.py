"""Departures that a front host learns of as late as a short suspension allows."""

import unittest

from gentianhub.capacity.tests.simulated_cell import (
    CALLER_RETURN_S,
    MachineFaults,
    SimulatedCell,
)

# A machine that is suspended for 0.21 to 0.5 s, which ends no job, loses the end of a
# connection and its first repetition; TCP sends the next one after this time.
SECOND_REPEAT_S = 0.6
# The target is cut off from the owner right before, so that only its lease ends a run.
CUT_S = (SECOND_REPEAT_S - 0.02, 2.0)


class TestHiddenDepartures(unittest.TestCase):
    """Guards against leases that outlast the return of a caller.

    Their arithmetic allows for a departure that is 0.1 s late.
    """

    def test_a_run_ends_in_time_although_a_short_suspension_hid_its_departure(self):
        late_s = (SECOND_REPEAT_S, SECOND_REPEAT_S)
        for seed in range(5):
            with self.subTest(seed=seed):
                faults = MachineFaults(departure_s=late_s)
                cell = SimulatedCell(seed=seed, run_s=(20.0, 20.0), faults=faults)
                cell.submit_jobs(end_s=1.0, per_s=1)
                cell.schedule(2.0, cell.leave_job, "job-0", False)
                start_s, duration_s = CUT_S
                cell.schedule(2.0 + start_s, cell.cut_job, "job-0", duration_s)
                cell.run(until_s=8.0)
                self.assertTrue(cell.overtimes_s)
                self.assertLessEqual(max(cell.overtimes_s), CALLER_RETURN_S)


if __name__ == "__main__":
    unittest.main()
