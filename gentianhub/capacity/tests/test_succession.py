"""Takeover of a cell by a host whose list of targets is incomplete, late or forgetful.

After an outage of the store, entries of living targets were missing from the list. A
new owner took the lists of the remaining targets for all earlier runs, and started
tasks again whose runs went on at the missing ones.
"""

import unittest

from gentianhub.capacity import events as ev
from gentianhub.capacity.leases import HANDOVER_NOTICE_S, bound_lease_expiry
from gentianhub.capacity.succession import (
    Handover,
    HandoverKind,
    TargetAnnouncements,
)
from gentianhub.capacity.tests.builders import (
    CELL,
    SchedulerDriver,
    build_key,
    build_request,
    build_step,
    build_target,
    find_announcements,
    find_ends,
    find_starts,
)

LISTED, MISSING = build_target("t1"), build_target("t2")


def build_announcement(*targets, term: int = 5, **options) -> ev.CellTargets:
    return ev.CellTargets(
        cell=CELL, term=term, targets=targets, **{"is_complete": True, **options}
    )


class TestRepeatedTasks(unittest.TestCase):
    """The list of the new owner has `LISTED` only; the run is on `MISSING`."""

    def take_over(self, kind: HandoverKind, *announced) -> SchedulerDriver:
        handover = Handover(kind=kind, targets=announced)
        driver = SchedulerDriver(handover=handover)
        driver.list_targets(*handover.merge_targets([LISTED]))
        driver.report(LISTED.name)
        return driver

    def repeat_task(self, driver: SchedulerDriver) -> list:
        request = build_request("a", is_repeat=True, deadline_in_s=9.0, stretch=20.0)
        return find_starts(driver.feed(request))

    def report_run(self, driver: SchedulerDriver) -> list:
        row = ev.RunReport(key=build_key("a"), run=1, percent=40)
        return find_starts(driver.report(MISSING.name, running=(row,)))

    def test_a_drained_owner_hands_over_the_targets_that_the_list_lacks(self):
        driver = self.take_over(HandoverKind.DRAINED, LISTED, MISSING)
        self.assertEqual([], self.repeat_task(driver))
        self.assertEqual([], self.report_run(driver))
        end = ev.EndReport(number=1, key=build_key("a"), run=1, end=ev.RunEnd.DONE)
        (ended,) = find_ends(driver.report(MISSING.name, ended=(end,)))
        self.assertIs(ev.TaskEnd.DONE, ended.end)

    def test_a_task_starts_once_all_targets_of_a_drained_owner_have_answered(self):
        driver = self.take_over(HandoverKind.DRAINED, LISTED, MISSING)
        self.assertEqual([], self.repeat_task(driver))
        self.assertEqual(1, len(find_starts(driver.report(MISSING.name))))

    def test_a_silent_owner_may_have_used_targets_that_were_not_announced(self):
        """The last announcement may be lost; the store's current list has them."""
        driver = self.take_over(HandoverKind.SILENT, LISTED)
        self.assertEqual([], self.repeat_task(driver))
        driver.now_s += 0.02
        driver.list_targets(LISTED, MISSING, read_s=driver.now_s - 0.01)
        self.assertEqual([], find_starts(driver.feed(ev.Tick())))
        self.assertEqual(1, len(find_starts(driver.report(MISSING.name))))

    def test_a_list_read_before_the_claim_proves_nothing(self):
        driver = self.take_over(HandoverKind.SILENT, LISTED)
        self.repeat_task(driver)
        driver.list_targets(LISTED, read_s=driver.now_s - 0.01)
        self.assertEqual([], find_starts(driver.feed(ev.Tick())))

    def test_without_an_announcement_a_task_waits_for_the_leases(self):
        driver = self.take_over(HandoverKind.UNKNOWN)
        self.assertEqual([], self.repeat_task(driver))
        driver.list_targets(LISTED, read_s=driver.now_s)
        self.assertEqual([], find_starts(driver.feed(ev.Tick())))
        driver.now_s = bound_lease_expiry(0.0) + HANDOVER_NOTICE_S
        self.assertEqual([], find_starts(driver.feed(ev.Tick())))
        driver.now_s += 0.01
        self.assertEqual(1, len(find_starts(driver.feed(ev.Tick()))))

    def test_new_tasks_do_not_wait(self):
        driver = self.take_over(HandoverKind.UNKNOWN)
        self.assertEqual(1, len(find_starts(driver.feed(build_request("new")))))


class TestAnnouncements(unittest.TestCase):
    def setUp(self):
        self.announcements = TargetAnnouncements()

    def build_handover(self, term: int = 5, is_draining: bool = True) -> Handover:
        return self.announcements.build_handover(CELL, term, is_draining)

    def test_changes_apply_to_the_complete_announcement_of_the_same_owner(self):
        self.announcements.record(build_announcement(LISTED))
        change = build_announcement(MISSING, removed=("t1",), is_complete=False)
        self.announcements.record(change)
        self.assertEqual((MISSING,), self.build_handover().targets)

    def test_a_change_of_an_unknown_announcement_is_ignored(self):
        """Taken as complete, it would hide the targets announced before."""
        self.announcements.record(build_announcement(LISTED, is_complete=False))
        self.assertIs(HandoverKind.UNKNOWN, self.build_handover().kind)

    def test_an_announcement_of_an_earlier_owner_is_not_complete(self):
        """Its successor, which this host did not hear, may have used other targets."""
        self.announcements.record(build_announcement(LISTED, term=4))
        handover = self.build_handover(term=5)
        self.assertIs(HandoverKind.UNKNOWN, handover.kind)
        self.assertEqual((LISTED,), handover.targets)

    def test_a_late_announcement_of_an_earlier_owner_replaces_none(self):
        self.announcements.record(build_announcement(LISTED, MISSING, term=5))
        self.announcements.record(build_announcement(LISTED, term=4))
        self.assertEqual((LISTED, MISSING), self.build_handover().targets)

    def test_only_a_draining_owner_makes_the_announcement_final(self):
        self.announcements.record(build_announcement(LISTED))
        self.assertIs(HandoverKind.DRAINED, self.build_handover().kind)
        silent = self.build_handover(is_draining=False)
        self.assertIs(HandoverKind.SILENT, silent.kind)


class TestAnnouncedChanges(unittest.TestCase):
    """An owner that started on a target before announcing it left an unknown run."""

    def test_an_owner_announces_added_and_removed_targets(self):
        driver = SchedulerDriver()
        (first,) = find_announcements(driver.list_targets(LISTED))
        self.assertTrue(first.is_complete)
        (added,) = find_announcements(driver.list_targets(LISTED, MISSING))
        self.assertEqual(((MISSING,), False), (added.targets, added.is_complete))
        leaving = build_target("t2", is_leaving=True)
        (changed,) = find_announcements(driver.list_targets(LISTED, leaving))
        self.assertEqual(((leaving,), False), (changed.targets, changed.is_complete))
        driver.list_targets(LISTED)
        (removed,) = find_announcements(driver.feed(ev.Tick()))
        self.assertEqual(("t2",), removed.removed)


class TestChangedTargets(unittest.TestCase):
    """Guards against successors that start tasks beyond a capacity that has shrunk."""

    def test_an_owner_announces_each_change_of_a_target(self):
        driver = SchedulerDriver([build_target("t1"), build_target("t2")])
        for change in ({"cores": 16}, {"is_leaving": True}):
            with self.subTest(change):
                changed = build_target("t1", **change)
                effects = driver.list_targets(changed, build_target("t2"))
                (message,) = find_announcements(effects)
                self.assertEqual((changed,), message.targets)

    def test_an_unchanged_list_is_not_announced_again(self):
        targets = build_target("t1"), build_target("t2")
        driver = SchedulerDriver(targets)
        self.assertEqual([], find_announcements(driver.list_targets(*targets)))

    def test_a_shrunk_target_gets_no_task_until_stopped_runs_have_ended(self):
        driver = SchedulerDriver([build_target("t1")])
        request = build_request("a", build_step(count=2))
        first, second = find_starts(driver.feed(request))
        for start in (first, second):
            driver.answer(start)
        driver.list_targets(build_target("t1", cores=32))
        driver.feed(ev.CancelTasks(cell=CELL, job="a"))
        self.assertEqual([], find_starts(driver.feed(build_request("b"))))
        ended = driver.end(first, 1, ev.RunEnd.STOPPED)
        self.assertEqual([], find_starts(ended))
        ended = driver.end(second, 2, ev.RunEnd.STOPPED)
        self.assertEqual(["b"], [start.key.job for start in find_starts(ended)])


if __name__ == "__main__":
    unittest.main()
