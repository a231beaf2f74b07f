"""The greenlets that own the connections to a target."""

import unittest
from unittest import mock

import gevent

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity.leases import LEASE_S, RENEWAL_WAIT_S
from gentianhub.capacity.tests.builders import TERM, build_target
from gentianhub.core import Mailbox
from gentianhub.host.target_ports import TargetConnections

TARGET = build_target("t1")


def build_renewal(**options) -> fx.RenewLease:
    values = {"decided_s": 0.0, "lease_s": LEASE_S, "wait_s": RENEWAL_WAIT_S}
    return fx.RenewLease(
        target=TARGET, term=TERM, acknowledged_end=0, **values | options
    )


class TestRenewals(unittest.TestCase):
    """Guards against targets taken as silent after a single lost answer."""

    def miss_renewal(self, renewal: fx.RenewLease, is_broken: bool = False):
        """Return what the coordinator is told when a renewal is not answered."""
        client = mock.Mock()
        client.renew.return_value = ev.TargetSilent(
            target="t1", reason="missed", is_broken=is_broken
        )
        with mock.patch.object(TargetConnections, "create_client", lambda self: client):
            connections = TargetConnections(target=TARGET, answers=Mailbox(limit=10))
            connections.clock.update(5000)
            self.connections = connections
            self.addCleanup(connections.close)
            connections.renew(renewal)
            gevent.sleep(0)
        return connections.answers.get(timeout_s=1.0)

    def test_a_renewal_is_retried(self):
        self.assertIsInstance(self.miss_renewal(build_renewal()), ev.RenewalMissed)

    def test_a_renewal_without_a_lease_is_retried(self):
        """A lease is withheld while a stop is overdue, from a target that answers."""
        answer = self.miss_renewal(build_renewal(lease_s=0.0))
        self.assertIsInstance(answer, ev.RenewalMissed)

    def test_the_clock_is_forgotten_only_with_a_broken_connection(self):
        """The clock of a restarted target starts anew; a late answer tells nothing."""
        for is_broken in (False, True):
            with self.subTest(is_broken=is_broken):
                missed = self.miss_renewal(build_renewal(), is_broken)
                self.assertIs(is_broken, missed.is_broken)
                reading_ms = self.connections.clock.reading_ms
                self.assertIs(is_broken, reading_ms is None)

    def test_the_first_call_to_a_target_is_retried(self):
        """It grants no lease, as the target's runs are not known yet."""
        answer = self.miss_renewal(build_renewal(lease_s=0.0, wait_s=0.0))
        self.assertIsInstance(answer, ev.RenewalMissed)

    def test_neither_a_retry_nor_a_poll_is_retried(self):
        """A poll of a silent target is repeated after a pause."""
        for renewal in (
            build_renewal(wait_s=0.0, is_retry=True),
            build_renewal(lease_s=0.0, wait_s=0.0, is_retry=True),
        ):
            with self.subTest(renewal):
                self.assertIsInstance(self.miss_renewal(renewal), ev.TargetSilent)


if __name__ == "__main__":
    unittest.main()
