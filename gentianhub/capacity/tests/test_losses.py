"""The ledger of lost targets: which task is the cause, and what others are told."""

import unittest

from attrs import evolve

from gentianhub.capacity import events as ev
from gentianhub.capacity.losses import (
    LOSS_RETENTION_S,
    MAX_LOSSES,
    LossLedger,
    Suspicion,
)
from gentianhub.capacity.tests.builders import CELL, build_key, build_target

TASK, NEIGHBOUR, OTHER = build_key("a"), build_key("b"), build_key("c")


def build_loss(number: int, *tasks, **options) -> ev.TargetLoss:
    values = {
        "loss_id": f"7-{number}",
        "cell": CELL,
        "target": f"t{number}",
        "host": "127.0.0.1",
        "port": 8000 + number,
        "incarnation": 1,
        "tasks": tasks,
    }
    return ev.TargetLoss(**values | options)


class LedgerTest(unittest.TestCase):
    def setUp(self):
        self.ledger = LossLedger()

    def record(self, *losses: ev.TargetLoss, now_s: float = 0.0) -> None:
        for loss in losses:
            self.ledger.record(loss, now_s)

    def crash(self, number: int, *tasks, **options) -> None:
        crashed = ev.LossOutcome.CRASHED
        self.record(build_loss(number, *tasks, outcome=crashed, **options))


class TestCause(LedgerTest):
    """Guards against innocent tasks that are given up, and guilty ones that are not."""

    def test_a_task_that_crashed_a_second_target_alone_is_the_cause(self):
        self.crash(1, TASK, NEIGHBOUR)
        self.crash(2, TASK)
        self.assertIs(Suspicion.PROVEN, self.ledger.assess(TASK))
        self.assertIs(Suspicion.SUSPECT, self.ledger.assess(NEIGHBOUR))
        self.assertIs(Suspicion.NONE, self.ledger.assess(OTHER))

    def test_a_neighbour_of_two_crashes_is_not_the_cause(self):
        self.crash(1, TASK, NEIGHBOUR)
        self.crash(2, OTHER, NEIGHBOUR)
        self.assertIs(Suspicion.SUSPECT, self.ledger.assess(NEIGHBOUR))

    def test_two_crashes_of_one_target_are_no_proof(self):
        """A target that crashes again may be the cause itself.

        Seed 5004 of the soak: a job failed since a target had restarted twice.
        """
        self.crash(1, TASK, NEIGHBOUR)
        self.crash(2, TASK, target="t1")
        self.assertIs(Suspicion.SUSPECT, self.ledger.assess(TASK))
        self.crash(3, TASK, target="t1")
        self.assertIs(Suspicion.PROVEN, self.ledger.assess(TASK))

    def test_one_crash_alone_is_no_proof(self):
        """Targets crash by themselves as well."""
        self.crash(1, TASK)
        self.assertIs(Suspicion.SUSPECT, self.ledger.assess(TASK))

    def test_an_incomplete_list_of_tasks_never_proves_that_one_ran_alone(self):
        self.crash(1, TASK, NEIGHBOUR)
        self.crash(2, TASK, is_complete=False)
        self.assertIs(Suspicion.SUSPECT, self.ledger.assess(TASK))

    def test_silent_targets_leave_a_task_undecided(self):
        """A target that is cut off is silent as well."""
        self.record(build_loss(1, TASK, NEIGHBOUR), build_loss(2, TASK))
        self.assertIs(Suspicion.UNDECIDED, self.ledger.assess(TASK))


class TestOutcomes(LedgerTest):
    """Guards against tasks blamed for targets that have not crashed."""

    def test_a_target_that_answers_again_has_not_crashed(self):
        self.record(build_loss(1, TASK))
        (loss,) = self.ledger.resolve_by_report("t1", 1, 1.0, 1.0)
        self.assertIs(ev.LossOutcome.SURVIVED, loss.outcome)
        self.assertIs(Suspicion.NONE, self.ledger.assess(TASK))

    def test_a_target_that_answers_as_another_incarnation_has_crashed(self):
        self.record(build_loss(1, TASK))
        (loss,) = self.ledger.resolve_by_report("t1", 2, 1.0, 1.0)
        self.assertIs(ev.LossOutcome.CRASHED, loss.outcome)

    def test_an_answer_from_before_the_loss_decides_nothing(self):
        """The target may have crashed after it, as another owner saw."""
        self.record(build_loss(1, TASK), now_s=1.0)
        resolved = self.ledger.resolve_by_report("t1", 1, 0.9, 1.1)
        self.assertEqual([], list(resolved))

    def test_a_late_answer_of_an_earlier_incarnation_decides_nothing(self):
        self.record(build_loss(1, TASK, incarnation=2))
        resolved = self.ledger.resolve_by_report("t1", 1, 1.0, 1.0)
        self.assertEqual([], list(resolved))

    def test_a_new_target_at_the_same_address_proves_the_crash(self):
        old = build_target("t1", port=8001)
        list(self.ledger.resolve_by_list([old], {CELL}, 0.0))
        self.record(build_loss(1, TASK))
        self.assertEqual([], list(self.ledger.resolve_by_list([old], {CELL}, 1.0)))
        new = build_target("t9", port=8001)
        (loss,) = self.ledger.resolve_by_list([old, new], {CELL}, 2.0)
        self.assertIs(ev.LossOutcome.CRASHED, loss.outcome)

    def test_an_entry_that_was_listed_before_proves_nothing(self):
        """The entry of an earlier incarnation stays in the list for some seconds."""
        listed = [build_target("t0", port=8001), build_target("t1", port=8001)]
        list(self.ledger.resolve_by_list(listed, {CELL}, 0.0))
        self.record(build_loss(1, TASK))
        self.assertEqual([], list(self.ledger.resolve_by_list(listed, {CELL}, 1.0)))

    def test_only_the_owner_of_the_cell_decides(self):
        """Otherwise every owner would announce the same outcome."""
        list(self.ledger.resolve_by_list([], set(), 0.0))
        self.record(build_loss(1, TASK))
        new = build_target("t9", port=8001)
        self.assertEqual([], list(self.ledger.resolve_by_list([new], set(), 1.0)))


class TestAnnouncements(LedgerTest):
    """Guards against knowledge that is lost or undone on its way to other hosts."""

    def test_a_late_announcement_does_not_undo_an_outcome(self):
        loss = build_loss(1, TASK)
        self.crash(1, TASK)
        self.assertFalse(self.ledger.record(loss, 1.0))
        survived = evolve(loss, outcome=ev.LossOutcome.SURVIVED)
        self.assertFalse(self.ledger.record(survived, 1.0))
        self.assertIs(ev.LossOutcome.CRASHED, self.ledger.find_losses(TASK)[0].outcome)

    def test_a_listed_loss_keeps_its_age(self):
        """Passed on from host to host, losses would never expire."""
        self.record(build_loss(1, TASK, age_s=10.0), now_s=50.0)
        (loss,) = self.ledger.list_losses(55.0)
        self.assertEqual(15.0, loss.age_s)

    def test_losses_expire(self):
        self.record(build_loss(1, TASK))
        self.ledger.remove_expired(LOSS_RETENTION_S + 0.1)
        self.assertIs(Suspicion.NONE, self.ledger.assess(TASK))
        self.assertFalse(
            self.ledger.record(build_loss(2, TASK, age_s=LOSS_RETENTION_S + 1), 0.0)
        )

    def test_the_number_of_losses_is_bounded(self):
        for number in range(MAX_LOSSES + 5):
            self.record(build_loss(number, build_key("a", number)))
        self.assertEqual(MAX_LOSSES, len(list(self.ledger.list_losses(0.0))))
        self.assertIs(Suspicion.NONE, self.ledger.assess(build_key("a", 0)))


if __name__ == "__main__":
    unittest.main()
