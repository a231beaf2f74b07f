"""Owned cells: what a host keeps and announces when it claims a cell."""

import unittest

from attrs import evolve

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity.leases import HANDOVER_NOTICE_S, bound_lease_expiry
from gentianhub.capacity.succession import Handover, HandoverKind
from gentianhub.capacity.tests.builders import (
    CELL,
    build_host,
    build_key,
    build_request,
    build_target,
)
from gentianhub.core import Mailbox
from gentianhub.host.cells import OwnedCells
from gentianhub.host.metrics import HostMetrics

SUCCESSOR = build_host("e2", "b")
OTHER_OWNER = build_host("e3", "c", data_centre="aarau")
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

    def enqueue(self, command) -> bool:
        return True

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
            find_other_owners=lambda: (OTHER_OWNER,),
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

    def test_a_new_owner_starts_with_the_smaller_of_two_known_capacities(self):
        """Its own list is up to 20 s old, and a target may have shrunk since."""
        announced = (build_target("t1", cores=16), build_target("t2", is_leaving=True))
        handover = Handover(kind=HandoverKind.SILENT, targets=announced)
        self.cells.acquire(CELL, 1, 0.0, handover)
        targets = self.cells.find_scheduler("t1").targets
        self.assertEqual(16_000, targets["t1"].available.cpu_millicores)
        self.assertTrue(targets["t2"].entry.is_leaving)
        self.cells.update_targets((build_target("t1"), build_target("t2")), 0.1, 0.05)
        self.assertEqual(64_000, targets["t1"].available.cpu_millicores)

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


def build_losses(*numbers: int) -> tuple[ev.TargetLoss, ...]:
    return tuple(
        ev.TargetLoss(
            loss_id=f"9-{number}",
            cell=CELL,
            target=f"t{number}",
            host="127.0.0.1",
            port=8000,
            incarnation=1,
            tasks=(build_key("a"),),
            outcome=ev.LossOutcome.CRASHED,
        )
        for number in numbers
    )


class TestPausesAfterAClaim(OwnedCellsTest):
    """Guards against a claim that its predecessor has not heard of.

    A host that does not run after its claim sends it only when it runs again. Until
    then an earlier owner that lives grants leases and starts tasks.
    """

    def setUp(self):
        super().setUp()
        self.cells.acquire(CELL, 1, 0.0, UNKNOWN)
        self.tracker = self.cells.find_scheduler("t1").tracker
        self.waited_s = bound_lease_expiry(0.0) + HANDOVER_NOTICE_S

    def advance(self, end_s: float) -> None:
        """Handle ticks until a time."""
        while self.now_s < end_s:
            self.now_s += 0.05
            self.cells.handle_tick(self.now_s)

    def test_earlier_runs_count_as_ended_when_all_leases_have_expired(self):
        self.now_s = 0.0
        self.advance(self.waited_s + 0.05)
        self.assertTrue(self.tracker.has_discovered_runs(self.now_s))

    def test_the_time_of_a_pause_does_not_count(self):
        """A task was repeated on waking, beside its run on an unreachable target."""
        self.now_s = 0.1
        self.cells.handle_tick(self.now_s)
        self.now_s += 2.0
        request = build_request("a", is_repeat=True)
        self.cells.handle_task_request(request, SUCCESSOR, self.now_s)
        self.assertFalse(self.tracker.has_discovered_runs(self.now_s))
        self.advance(self.waited_s + 1.9)
        self.assertFalse(self.tracker.has_discovered_runs(self.now_s))
        self.advance(self.waited_s + 2.1)
        self.assertTrue(self.tracker.has_discovered_runs(self.now_s))

    def test_a_later_pause_changes_nothing(self):
        self.now_s = 0.0
        self.advance(self.waited_s + 0.05)
        self.now_s += 20.0
        self.cells.handle_tick(self.now_s)
        self.assertTrue(self.tracker.has_discovered_runs(self.now_s))


class TestLosses(OwnedCellsTest):
    """Guards against knowledge of a crashing task that ends with one host."""

    def setUp(self):
        super().setUp()
        self.cells.acquire(CELL, 1, 0.0, UNKNOWN)
        self.outbox.sent.clear()

    def find_announced(self) -> dict:
        return {
            to: [loss.loss_id for loss in message.losses]
            for to, message in self.outbox.sent
            if isinstance(message, ev.TargetLosses)
        }

    def test_a_loss_is_announced_to_successors_and_other_owners(self):
        self.cells.handle_answer("t1", build_report("t1", incarnation=1), 0.1)
        request = build_request("a")
        self.cells.handle_task_request(request, SUCCESSOR, 0.1)
        report = build_report("t1", incarnation=2, sent_s=0.15)
        self.cells.handle_answer("t1", report, 0.2)
        self.assertEqual({SUCCESSOR, OTHER_OWNER}, set(self.find_announced()))

    def test_a_loss_that_is_told_later_is_decided_by_the_next_answer(self):
        """A target that had only been cut off counted as crashed once it restarted.

        It had answered the new owner before the loss was told, and not been silent.
        """
        self.cells.handle_answer("t1", build_report("t1", incarnation=1), 0.1)
        (loss,) = build_losses(1)
        loss = evolve(loss, outcome=ev.LossOutcome.OPEN, age_s=0.5)
        self.cells.record_losses(ev.TargetLosses(losses=(loss,)), 0.2)
        self.outbox.sent.clear()
        report = build_report("t1", incarnation=1, sent_s=0.3)
        self.cells.handle_answer("t1", report, 0.4)
        outcomes = {
            loss.outcome
            for _, message in self.outbox.sent
            if isinstance(message, ev.TargetLosses)
            for loss in message.losses
        }
        self.assertEqual({ev.LossOutcome.SURVIVED}, outcomes)

    def test_an_owner_passes_new_losses_on_to_its_successors(self):
        """Otherwise the owner that follows it would start the task again."""
        message = ev.TargetLosses(losses=build_losses(1))
        self.cells.record_losses(message, 1.0)
        self.assertEqual({SUCCESSOR: ["9-1"]}, self.find_announced())
        self.outbox.sent.clear()
        self.cells.record_losses(message, 2.0)
        self.assertEqual({}, self.find_announced())

    def test_losses_that_were_passed_on_go_no_further(self):
        message = ev.TargetLosses(losses=build_losses(1), is_passed_on=True)
        self.cells.record_losses(message, 1.0)
        self.assertEqual({}, self.find_announced())

    def test_a_host_that_links_later_gets_all_losses(self):
        """After a restart of all hosts in turn, none would know them."""
        self.cells.record_losses(ev.TargetLosses(losses=build_losses(1, 2)), 1.0)
        self.outbox.sent.clear()
        self.cells.announce_losses(build_host("front"), 2.0)
        self.cells.announce_losses(SUCCESSOR, 2.0)
        self.assertEqual({SUCCESSOR: ["9-1", "9-2"]}, self.find_announced())

    def test_an_owner_refuses_a_task_that_crashed_targets_of_other_cells(self):
        self.cells.record_losses(ev.TargetLosses(losses=build_losses(1, 2)), 1.0)
        self.cells.handle_task_request(build_request("a"), SUCCESSOR, 1.0)
        (ended,) = [
            message
            for _, message in self.outbox.sent
            if isinstance(message, ev.TasksEnded)
        ]
        self.assertIs(ev.TaskEnd.CRASHED, ended.end)

    def test_the_next_owner_of_the_cell_knows_the_losses(self):
        successor = OwnedCells(
            answers=Mailbox(limit=10),
            outbox=self.outbox,
            metrics=HostMetrics(),
            find_successors=lambda: (),
        )
        successor.connections = FakeConnections()
        self.cells.record_losses(ev.TargetLosses(losses=build_losses(1, 2)), 1.0)
        for to, message in list(self.outbox.sent):
            if to == SUCCESSOR:
                successor.record_losses(message, 1.0)
        successor.acquire(CELL, 2, 2.0, UNKNOWN)
        self.outbox.sent.clear()
        successor.handle_task_request(build_request("a"), OTHER_OWNER, 2.0)
        ((_, ended),) = self.outbox.sent
        self.assertIs(ev.TaskEnd.CRASHED, ended.end)


def build_report(target: str, incarnation: int, sent_s: float = 0.0) -> ev.RunsReported:
    return ev.RunsReported(
        target=target, incarnation=incarnation, sent_s=sent_s, running=(), ended=()
    )


if __name__ == "__main__":
    unittest.main()
