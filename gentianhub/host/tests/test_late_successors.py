"""Hosts that become successors or owners while their link to an owner is open."""

import unittest

from gentianhub.capacity import events as ev
from gentianhub.capacity.tests.builders import CELL, build_host, build_target
from gentianhub.core import Mailbox
from gentianhub.host.cells import OwnedCells
from gentianhub.host.metrics import HostMetrics
from gentianhub.host.tests.test_cells import (
    UNKNOWN,
    FakeConnections,
    FakeOutbox,
    build_losses,
)

LATE = build_host("e4", "d")


class TestLateSuccessors(unittest.TestCase):
    def setUp(self):
        self.outbox = FakeOutbox()
        self.successors = ()
        self.other_owners = ()
        self.cells = OwnedCells(
            answers=Mailbox(limit=10),
            outbox=self.outbox,
            metrics=HostMetrics(),
            find_successors=lambda: self.successors,
            find_other_owners=lambda: self.other_owners,
        )
        self.cells.connections = FakeConnections()
        self.cells.update_targets((build_target("t1"),), 0.0)
        self.cells.acquire(CELL, 1, 0.0, UNKNOWN)
        self.cells.record_losses(ev.TargetLosses(losses=build_losses(1)), 0.1)
        self.cells.announce_targets(LATE)
        self.cells.announce_losses(LATE, 0.2)
        self.assertEqual([], self.outbox.sent)

    def find_sent(self, kind: type) -> list:
        return [x for to, x in self.outbox.sent if to == LATE and isinstance(x, kind)]

    def test_a_host_that_becomes_a_candidate_gets_the_targets(self):
        """Every later change was ignored there, as it lacked the announcement before
        it, and after a takeover repeated tasks waited for all leases to expire."""
        self.successors = (LATE,)
        self.cells.handle_tick(1.0)
        (message,) = self.find_sent(ev.CellTargets)
        self.assertTrue(message.is_complete)

    def test_a_host_that_becomes_a_candidate_gets_the_losses(self):
        self.successors = (LATE,)
        self.cells.handle_tick(1.0)
        self.assertEqual(1, len(self.find_sent(ev.TargetLosses)))

    def test_a_host_that_becomes_an_owner_gets_the_losses(self):
        """It would start a task again that has crashed its targets."""
        self.other_owners = (LATE,)
        self.cells.handle_tick(1.0)
        self.assertEqual(1, len(self.find_sent(ev.TargetLosses)))


if __name__ == "__main__":
    unittest.main()
