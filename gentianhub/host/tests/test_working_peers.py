"""Heartbeats to hosts with common tasks that are no heartbeat peers any more."""

import unittest

from gentianhub.capacity.tests.builders import build_host
from gentianhub.core import Mailbox
from gentianhub.host.membership import Membership
from gentianhub.host.tests.test_membership import FakeLinks


class TestWorkingPeers(unittest.TestCase):
    def test_a_host_with_common_tasks_gets_heartbeats_although_it_is_no_peer(self):
        """Another owner of the data centre had become the one to serve it. It took
        this owner as lost, and abandoned the jobs whose tasks ran on."""
        links = FakeLinks()
        membership = Membership(
            local_host=build_host("e1"),
            links=links,
            registry_commands=Mailbox(limit=100),
            started_s=0.0,
        )
        remote = build_host("f1", "c", "aarau")
        links.linked = (remote,)
        for tick in (1, 4, 8):
            recipients = membership.find_heartbeat_recipients(
                tick, True, frozenset({remote})
            )
            self.assertEqual((remote,), recipients.active)


if __name__ == "__main__":
    unittest.main()
