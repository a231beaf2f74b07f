"""Several facts about the runs of one task that a new owner learns from its targets.

A target that was cut off lists an old end when it is reached again; the task has been
started elsewhere since.
"""

import unittest

from gentianhub.capacity import events as ev
from gentianhub.capacity.succession import Handover, HandoverKind
from gentianhub.capacity.tests.builders import (
    SchedulerDriver,
    build_key,
    build_request,
    build_target,
    find_ends,
    find_starts,
    find_stops,
)
from gentianhub.capacity.tests.simulated_cell import SimulatedCell

KEY = build_key("a")


class TestSeveralFacts(unittest.TestCase):
    """Guards against an old end that counts more than a later run of the task."""

    def setUp(self):
        targets = build_target("t1"), build_target("t2")
        handover = Handover(kind=HandoverKind.DRAINED, targets=targets)
        self.driver = SchedulerDriver(handover=handover)
        self.driver.list_targets(*targets)

    def list_end(self, target: str, run: int, end: ev.RunEnd) -> list:
        row = ev.EndReport(number=1, key=KEY, run=run, end=end)
        return self.driver.report(target, ended=(row,))

    def list_run(self, target: str, run: int) -> list:
        row = ev.RunReport(key=KEY, run=run, percent=10)
        return self.driver.report(target, running=(row,))

    def repeat_task(self) -> list:
        return self.driver.feed(
            build_request("a", is_repeat=True, deadline_in_s=9.0, stretch=50.0)
        )

    def find_orders(self, effects) -> list:
        return find_starts(effects) + find_stops(effects)

    def test_a_later_run_on_another_target_is_adopted(self):
        """The task was started again beside its run, which was then stopped."""
        self.list_end("t1", 1, ev.RunEnd.LEASE_EXPIRED)
        self.list_run("t2", 2)
        self.assertEqual([], self.find_orders(self.repeat_task()))
        self.assertEqual({KEY}, set(self.driver.scheduler.targets["t2"].runs))

    def test_a_task_waits_for_the_lists_of_all_targets_after_an_end(self):
        """The later run was found by a list that came after the task had started."""
        self.list_end("t1", 1, ev.RunEnd.STOPPED)
        self.assertEqual([], self.find_orders(self.repeat_task()))
        self.assertEqual([], self.find_orders(self.list_run("t2", 2)))
        self.assertEqual({KEY}, set(self.driver.scheduler.targets["t2"].runs))

    def test_a_task_starts_with_a_higher_number_than_its_last_run(self):
        """A target that has stopped or ended a run refuses one that is not higher."""
        self.list_end("t1", 3, ev.RunEnd.STOPPED)
        self.list_end("t2", 2, ev.RunEnd.LEASE_EXPIRED)
        (start,) = find_starts(self.repeat_task())
        self.assertEqual(4, start.run)

    def test_a_task_that_is_done_does_not_wait(self):
        """No other fact can change the answer."""
        self.list_end("t1", 1, ev.RunEnd.DONE)
        (end,) = find_ends(self.repeat_task())
        self.assertIs(ev.TaskEnd.DONE, end.end)

    def test_a_failed_run_counts_once(self):
        """Each look at the same end would use up another attempt."""
        self.list_end("t1", 1, ev.RunEnd.FAILED)
        self.list_run("t2", 2)
        self.repeat_task()
        (start,) = find_starts(self.list_end("t2", 2, ev.RunEnd.STOPPED))
        self.assertEqual(3, start.run)
        task = next(iter(self.driver.scheduler.jobs.values())).tasks[KEY]
        self.assertEqual(0, task.failures)

    def test_an_adopted_run_that_ends_early_waits_for_the_other_targets(self):
        """The earlier owner may have heard of the end and started the task again."""
        self.list_run("t1", 1)
        self.repeat_task()
        ended = self.list_end("t1", 1, ev.RunEnd.STOPPED)
        self.assertEqual([], self.find_orders(ended))
        self.assertEqual([], self.find_orders(self.list_run("t2", 2)))


class TestCuts(unittest.TestCase):
    """Guards against two runs of a task at once after cuts that heal under a new owner.

    The new owner is the first one to reach the target again.
    """

    def test_no_task_runs_twice_at_once(self):
        for seed in range(1, 13):
            with self.subTest(seed=seed):
                cell = SimulatedCell(seed=seed)
                cell.submit_jobs(end_s=12.0, per_s=6)
                for _ in range(8):
                    cut_s = cell.random.uniform(1.0, 9.0)
                    name = cell.random.choice(list(cell.targets))
                    duration_s = cell.random.uniform(0.3, 2.0)
                    cell.schedule(cut_s, cell.cut_target, name, duration_s)
                    if cell.random.random() < 0.5:
                        delay_s = cell.random.uniform(0.5, 1.5)
                        cell.schedule(cut_s + delay_s, cell.lose_owner)
                cell.run(until_s=18.0)
                self.assertTrue(cell.done)
                self.assertEqual([], cell.overlaps)


if __name__ == "__main__":
    unittest.main()
