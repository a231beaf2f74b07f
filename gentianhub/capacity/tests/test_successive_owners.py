"""Owners of a cell that are lost one after another.

A caller whose connection broke submits its job again after 1.3 s, at any host. By then
no run of its first submission may be alive, however many owners were lost meanwhile.
"""

import unittest

from gentianhub.capacity import events as ev
from gentianhub.capacity.leases import LEASE_S
from gentianhub.capacity.target_tracker import ORPHAN_GRACE_S
from gentianhub.capacity.tests.builders import (
    SchedulerDriver,
    build_key,
    build_request,
    build_target,
    find_list_requests,
    find_renewals,
    find_stops,
)

CLAIMED, UNCLAIMED = build_key("a"), build_key("z")


class TestUnclaimedRuns(unittest.TestCase):
    """Guards against leases of a new owner for runs that no front host may want.

    The host of the earlier owner was the front host of the run, too. If the new owner
    is lost before it has stopped the run, its leases outlast the caller's return.
    """

    def setUp(self):
        self.driver = SchedulerDriver()
        self.first_renewal = find_renewals(
            self.driver.list_targets(build_target("t1"))
        )[-1]

    def report(self, *keys, **options) -> list:
        running = [ev.RunReport(key=key, run=1, percent=10) for key in keys]
        return self.driver.report("t1", running=running, **options)

    def claim(self, key) -> list:
        return self.driver.feed(
            build_request(key.job, is_repeat=True, deadline_in_s=9.0, stretch=50.0)
        )

    def test_a_target_that_has_not_listed_its_runs_is_granted_no_lease(self):
        self.assertEqual(0.0, self.first_renewal.lease_s)
        missed = ev.RenewalMissed(target="t1", reason="time-out")
        (retry,) = find_renewals(self.driver.feed(missed))
        self.assertEqual(0.0, retry.lease_s)

    def test_the_lease_of_an_unclaimed_run_is_not_renewed(self):
        """The new owner renewed it for up to 0.3 s before it stopped the run."""
        while self.driver.now_s < ORPHAN_GRACE_S:
            (renewal,) = find_renewals(self.report(UNCLAIMED))
            self.assertEqual(0.0, renewal.lease_s)
            self.driver.now_s += 0.05

    def test_the_lease_is_renewed_at_once_when_the_run_is_claimed(self):
        """The lease of the lost owner may end before the next renewal."""
        self.report(CLAIMED)
        (extension,) = find_list_requests(self.claim(CLAIMED))
        self.assertEqual(LEASE_S, extension.lease_s)
        (renewal,) = find_renewals(self.report(CLAIMED))
        self.assertEqual(LEASE_S, renewal.lease_s)

    def test_a_claimed_run_is_granted_no_lease_beside_an_unclaimed_one(self):
        """A lease is one of all runs of the target."""
        self.report(CLAIMED, UNCLAIMED)
        self.assertEqual([], find_list_requests(self.claim(CLAIMED)))
        (renewal,) = find_renewals(self.report(CLAIMED, UNCLAIMED))
        self.assertEqual(0.0, renewal.lease_s)

    def test_the_lease_is_renewed_once_the_stop_of_an_unclaimed_run_is_confirmed(self):
        """Until the run has ended, the claimed one beside it would lose its lease."""
        self.report(CLAIMED, UNCLAIMED)
        self.claim(CLAIMED)
        self.driver.now_s += ORPHAN_GRACE_S
        (stop,) = find_stops(self.driver.feed(ev.Tick()))
        self.driver.feed(
            ev.StopAnswered(target="t1", key=stop.key, run=stop.run, is_confirmed=True)
        )
        (renewal,) = find_renewals(self.report(CLAIMED, UNCLAIMED))
        self.assertEqual(LEASE_S, renewal.lease_s)


if __name__ == "__main__":
    unittest.main()
