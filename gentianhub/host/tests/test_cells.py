"""Owned cells: what a host keeps and announces when it claims a cell."""

import unittest

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity.succession import Handover, HandoverKind
from gentianhub.capacity.tests.builders import CELL, build_host, build_target
from gentianhub.core import Mailbox
from gentianhub.host.cells import OwnedCells
from gentianhub.host.metrics import HostMetrics

SUCCESSOR = build_host("e2", "b")
UNKNOWN = Handover(kind=HandoverKind.UNKNOWN)


class FakeOutbox:
    """Stand-in for `Outbox` that records what is sent."""

    def __init__(self):
        self.sent = []

    def send(self, to, message) -> bool:
        self.sent.append((to, message))
        return True


class FakeConnections:
    """Stand-in for `TargetConnectionMap`; `renewed` names the targets."""

    def __init__(self):
        self.renewed = []

    def get_connections(self, target):
        return self

    def renew(self, renewal: fx.RenewLease) -> None:
        self.renewed.append(renewal.target.name)

    def close_target(self, name: str) -> None:
        pass


class OwnedCellsTest(unittest.TestCase):
    def setUp(self):
        self.outbox = FakeOutbox()
        self.cells = OwnedCells(
            answers=Mailbox(limit=10),
            outbox=self.outbox,
            metrics=HostMetrics(),
            find_successors=lambda: (SUCCESSOR,),
        )
        self.cells.connections = FakeConnections()
        self.cells.update_targets((build_target("t1"), build_target("t2")), 0.0)


class TestFrontHosts(OwnedCellsTest):
    def test_a_host_that_cancels_an_unknown_job_expects_frequent_heartbeats(self):
        """It took this owner as lost, as none announced the rare ones."""
        self.cells.handle_task_request(
            ev.CancelTasks(cell=CELL, job="a"), SUCCESSOR, 0.0
        )
        self.assertEqual({SUCCESSOR}, self.cells.collect_front_hosts())
        self.assertEqual(frozenset(), self.cells.collect_front_hosts())


class TestClaims(OwnedCellsTest):
    def test_a_fenced_host_that_claims_again_asks_the_targets_that_it_had(self):
        """An outage of the store had removed some from the list: their runs went on
        unnoticed and were repeated elsewhere."""
        self.cells.acquire(CELL, 1, 0.0, UNKNOWN)
        self.cells.update_targets((build_target("t1"),), 1.0)
        self.cells.connections.renewed.clear()
        self.cells.acquire(CELL, 2, 1.1, UNKNOWN)
        self.assertEqual({"t1", "t2"}, set(self.cells.connections.renewed))

    def test_a_new_owner_asks_the_targets_that_only_its_predecessor_knew(self):
        announced = (build_target("t1"), build_target("t3"))
        handover = Handover(kind=HandoverKind.DRAINED, targets=announced)
        self.cells.acquire(CELL, 1, 0.0, handover)
        self.assertEqual({"t1", "t2", "t3"}, set(self.cells.connections.renewed))

    def test_the_targets_are_announced_to_the_possible_successors(self):
        self.cells.acquire(CELL, 1, 0.0, UNKNOWN)
        ((to, message),) = self.outbox.sent
        self.assertEqual((SUCCESSOR, 1, True), (to, message.term, message.is_complete))
        self.assertEqual(["t1", "t2"], [target.name for target in message.targets])

    def test_a_host_that_links_later_gets_the_announcement(self):
        self.cells.acquire(CELL, 1, 0.0, UNKNOWN)
        self.outbox.sent.clear()
        self.cells.announce_targets(build_host("front"))
        self.assertEqual([], self.outbox.sent)
        self.cells.announce_targets(SUCCESSOR)
        ((_, message),) = self.outbox.sent
        self.assertIsInstance(message, ev.CellTargets)

    def test_a_draining_owner_adds_no_target(self):
        """Its successor takes the announcement before the drain as complete."""
        self.cells.acquire(CELL, 1, 0.0, UNKNOWN)
        self.cells.connections.renewed.clear()
        listed = (build_target("t1"), build_target("t3"))
        self.cells.update_targets(listed, 1.0, may_add=False)
        self.assertEqual([], self.cells.connections.renewed)


if __name__ == "__main__":
    unittest.main()
