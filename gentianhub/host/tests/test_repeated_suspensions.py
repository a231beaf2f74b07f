"""Front hosts whose machine is suspended twice within a second, each time briefly."""

import unittest

from gentianhub.host.tests.test_suspended_hosts import (
    JOB,
    RESUBMISSION_S,
    SuspensionTest,
)

# TCP sends the end of a connection again this long after it was first sent.
REPEATED_S = (0.2, 0.6, 1.4, 3.0)
STEP_S = 0.01
OBSERVED_S = 4.0


class TestRepeatedSuspensions(SuspensionTest):
    """Guards against a departure that several short suspensions hide together.

    Each of them is below the limit, and the job is confirmed until the end of the
    caller's connection comes again after 1.4 s, later than the caller elsewhere.
    """

    def test_no_run_exists_when_the_caller_comes_again(self):
        for suspensions in (
            [(0.0, 0.45)],
            [(0.0, 0.3), (0.5, 0.65)],
            [(0.0, 0.25), (0.58, 0.65)],
            [(0.0, 0.12), (0.19, 0.3), (0.59, 0.61)],
        ):
            with self.subTest(suspensions=suspensions):
                self.assertEqual(0.0, self.measure_overtime_s(suspensions))

    def measure_overtime_s(self, suspensions: list[tuple[float, float]]) -> float:
        """Return for how long the job runs beside the second submission, s.

        The caller leaves at 0, and the host is suspended at these times, s.
        """
        self.start_deployment()
        caller, _ = self.submit_running()
        left_s = self.deployment.now_s
        for start_s, end_s in suspensions:
            self.deployment.run(left_s + start_s - self.deployment.now_s)
            self.front.suspend()
            self.deployment.run(left_s + end_s - self.deployment.now_s)
            self.front.resume()
        arrived_s = min(
            time_s
            for time_s in REPEATED_S
            if not any(start_s <= time_s <= end_s for start_s, end_s in suspensions)
        )
        at_work_s, has_left = 0.0, False
        while self.deployment.now_s < left_s + OBSERVED_S:
            self.deployment.run(STEP_S)
            if not has_left and self.deployment.now_s >= left_s + arrived_s:
                self.front.leave(caller)
                has_left = True
            if self.deployment.count_running(JOB):
                at_work_s = self.deployment.now_s - left_s
        return round(max(0.0, at_work_s - RESUBMISSION_S), 3)


if __name__ == "__main__":
    unittest.main()
