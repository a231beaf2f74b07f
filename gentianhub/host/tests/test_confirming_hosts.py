"""Front hosts that confirm their jobs, and have sent no heartbeat for a while."""

import unittest

from gentianhub.capacity.effects import StopReason
from gentianhub.capacity.leases import HOST_SILENCE_TIMEOUT_S
from gentianhub.host.process import TICK_S
from gentianhub.host.tests.test_suspended_hosts import JOB, SuspensionTest

# The time for which the process is frozen, s, which ends no job. Two heartbeats are
# further apart than the silence time-out by then: 0.2 s and this time.
FROZEN_S = 0.45
HEARTBEAT_TICKS = 4
STEP_S = 0.01


class TestConfirmingFrontHost(SuspensionTest):
    """Guards against callers that stay and are told 504 by an owner that knows better.

    The owner took the front host as lost 0.6 s after its last heartbeat, although the
    host had confirmed the job a moment before.
    """

    def test_a_host_that_confirms_its_jobs_is_not_lost(self):
        for ticks in range(HEARTBEAT_TICKS):
            with self.subTest(ticks=ticks):
                self.play(ticks * TICK_S)

    def play(self, phase_s: float) -> None:
        self.start_deployment()
        _, owner = self.submit_running()
        self.deployment.run(phase_s)
        self.front.suspend()
        self.deployment.run(FROZEN_S)
        self.front.resume()
        # A frozen process is no suspended machine.
        self.front.time_suspended_s = 0.0
        end_s = self.deployment.now_s + 1.0
        confirmed_s = float("-inf")
        while self.deployment.now_s < end_s:
            self.deployment.run(STEP_S)
            stops = owner.coordinator.metrics.stops
            if stops[StopReason.FRONT_HOST_LOST.value]:
                age_s = self.deployment.now_s - confirmed_s
                self.assertGreater(age_s, HOST_SILENCE_TIMEOUT_S)
                return
            for scheduler in owner.coordinator.cells._schedulers.values():
                confirmed_s = scheduler.jobs[self.front.incarnation, JOB].confirmed_s


if __name__ == "__main__":
    unittest.main()
