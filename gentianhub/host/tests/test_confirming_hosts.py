"""Front hosts that have just confirmed their jobs, and sent no heartbeat for a while."""

import unittest

from gentianhub.host.process import TICK_S
from gentianhub.host.tests.test_suspended_hosts import JOB, SuspensionTest

# The time of a suspension that ends no job, s. Two heartbeats are further apart than the
# silence time-out by then: 0.2 s and the suspension.
SUSPENDED_S = 0.45
# Time until the job is done, and for its answer, s.
REST_S = 0.6
HEARTBEAT_TICKS = 4


class TestConfirmingFrontHost(SuspensionTest):
    """Guards against callers that stay and are told 504 by an owner that knows better.

    The owner took the front host as lost 0.6 s after its last heartbeat, although the
    host had confirmed the job a moment before.
    """

    def test_a_job_that_was_just_confirmed_goes_on(self):
        for ticks in range(HEARTBEAT_TICKS):
            with self.subTest(ticks=ticks):
                self.start_deployment()
                caller, _ = self.submit_running()
                self.deployment.run(ticks * TICK_S)
                self.front.suspend()
                self.deployment.run(SUSPENDED_S)
                self.front.resume()
                self.deployment.run(REST_S)
                self.deployment.end_job(JOB)
                self.deployment.run(REST_S)
                self.assertEqual(1, len(caller))
                self.assertEqual(200, caller.get().status)


if __name__ == "__main__":
    unittest.main()
