"""Requests that were read before a suspension of their front host's machine."""

import unittest

from gentianhub.host.tests.test_suspended_hosts import (
    JOB,
    RESUBMISSION_S,
    SuspensionTest,
)

# TCP sends the end of a connection again this long after it was first sent.
REPEATED_S = (0.2, 0.6, 1.4, 3.0)


class TestRequestHandledAfterASuspension(SuspensionTest):
    """Guards against runs for a caller that came again elsewhere meanwhile.

    Its request stood in the mailbox when the machine was suspended, and is taken as
    one from after the suspension. The end of its connection is lost, and comes again.
    """

    def test_a_job_that_was_read_before_does_not_run_after(self):
        for suspended_s in (1.0, 1.7):
            with self.subTest(suspended_s=suspended_s):
                self.start_deployment()
                self.end_occupants()
                self.deployment.run(0.4)
                caller = self.front.submit(JOB)
                self.front.suspend()
                left_s = self.deployment.now_s
                self.deployment.run(suspended_s)
                self.front.resume()
                arrived_s = min(time_s for time_s in REPEATED_S if time_s > suspended_s)
                while self.deployment.now_s < left_s + arrived_s:
                    if self.deployment.now_s >= left_s + RESUBMISSION_S:
                        self.assertEqual(0, self.deployment.count_running(JOB))
                    self.deployment.run(0.01)
                self.front.leave(caller)


if __name__ == "__main__":
    unittest.main()
