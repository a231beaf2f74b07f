"""How callers that leave come again."""

import unittest
from unittest import mock

from gentianhub.soak import callers

HOSTS = ("e1", "e2", "e3")


class Hosts:
    """Stand-in for `SoakTestbed` whose hosts never answer."""

    def __init__(self, hosts=HOSTS):
        self.hosts = dict.fromkeys(hosts)
        self.caller_relays = dict.fromkeys(hosts, mock.Mock(port=1))
        self.suspended_hosts = set()


class TestDeparture(unittest.TestCase):
    """Guards against a soak in which no job reaches a second host."""

    def submit_jobs(
        self, jobs: int = 20, testbed: Hosts | None = None, **options
    ) -> list[callers.JobTrace]:
        testbed = testbed or Hosts()
        caller = callers.Caller(number=1, seed=1, testbed=testbed, **options)
        with (
            mock.patch.object(callers, "RESEND_DELAY_S", 0.0),
            mock.patch.object(callers, "MEAN_PAUSE_S", 0.0),
            mock.patch.object(callers, "CANCEL_PROBABILITY", 0.0),
            mock.patch.object(callers.Caller, "_send_request", return_value=(0, "")),
        ):
            caller.run(lambda: len(caller.traces) == jobs)
        return caller.traces

    def test_a_caller_that_left_submits_the_job_through_another_host(self):
        traces = self.submit_jobs(departing_fraction=1.0)
        attempts = [trace.attempts for trace in traces]
        self.assertTrue(all(a.has_disconnected for found in attempts for a in found))
        self.assertTrue(any(len(found) == callers.MAX_ATTEMPTS for found in attempts))
        pairs = [p for found in attempts for p in zip(found, found[1:], strict=False)]
        self.assertTrue(all(first.host != second.host for first, second in pairs))

    def test_some_callers_leave_for_good(self):
        """The end of their tasks is checked too."""
        traces = self.submit_jobs(departing_fraction=1.0)
        self.assertTrue(any(len(trace.attempts) == 1 for trace in traces))

    def test_extra_callers_end_with_the_faults(self):
        """Seed 1027: their attempts kept the targets busy for the callers that stay."""
        (trace,) = self.submit_jobs(jobs=1, is_extra=True)
        self.assertEqual(1, len(trace.attempts))
        (trace,) = self.submit_jobs(jobs=1)
        self.assertEqual(callers.MAX_ATTEMPTS, len(trace.attempts))

    def test_callers_of_a_data_centre_come_again_through_a_third_one(self):
        """A second run begins only where the tasks of the first one are not."""
        testbed = Hosts(("a-0", "a-1", "b-0", "b-1", "c-0", "c-1"))
        testbed.suspended_hosts = {"b-0", "b-1"}
        traces = self.submit_jobs(
            testbed=testbed, departing_fraction=1.0, changes_data_centre=True
        )
        hosts = [attempt.host for trace in traces for attempt in trace.attempts][1:]
        self.assertEqual({"a-0", "a-1", "c-0", "c-1"}, set(hosts))

    def test_without_departures_a_caller_that_left_does_not_come_again(self):
        for trace in self.submit_jobs(departing_fraction=0.0):
            self.assertFalse(any(a.has_disconnected for a in trace.attempts[:-1]))


if __name__ == "__main__":
    unittest.main()
