"""Jobs that end while the machine of their front host is suspended."""

import unittest

from gentianhub.host.tests.test_suspended_hosts import (
    ENDED_AFTER_S,
    JOB,
    READING_ORDERS,
    SuspensionTest,
)


class TestWorkDoneDuringASuspension(SuspensionTest):
    """Guards against callers that stay and are told 504 although their job is done.

    The report of its end waits in the socket of a link that is still open.
    """

    def test_a_job_that_ended_meanwhile_is_answered_as_done(self):
        for suspended_s in (0.4, 0.55, 0.7):
            for order, first in READING_ORDERS.items():
                with self.subTest(suspended_s=suspended_s, order=order):
                    self.assertEqual(200, self.play(suspended_s, first))

    def play(self, suspended_s: float, first) -> int:
        """Return the status of the answer to a caller that stays."""
        self.start_deployment()
        caller, _ = self.submit_running()
        self.front.suspend()
        self.deployment.run(ENDED_AFTER_S)
        self.deployment.end_job(JOB)
        self.deployment.run(suspended_s - ENDED_AFTER_S)
        self.front.resume(first)
        self.deployment.run(1.0)
        self.assertEqual(1, len(caller))
        return caller.get().status


if __name__ == "__main__":
    unittest.main()
