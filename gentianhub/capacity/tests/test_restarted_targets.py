"""Targets that crash and serve again under their names.

Each life of a target knows nothing of the one before. Orders that were under way when
a target crashed are carried out by its next life.
"""

import unittest

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity.leases import MAX_LEASE_S, bound_lease_expiry
from gentianhub.capacity.tests.builders import (
    FRONT_HOST,
    SchedulerDriver,
    build_key,
    build_request,
    build_step,
    build_target,
    find_list_requests,
    find_starts,
    find_stops,
)
from gentianhub.capacity.tests.simulated_cell import SimulatedCell

KEY = build_key("a")


class RestartTest(unittest.TestCase):
    """A task has been ordered at 0 s; its target restarts."""

    def setUp(self):
        self.driver = SchedulerDriver([build_target("t1"), build_target("t2")])
        (self.start,) = find_starts(self.driver.feed(build_request("a")))
        self.name = self.start.target.name

    def report(self, *keys, ended=(), **options) -> list:
        """Report from the new life; return the starts that follow."""
        running = [ev.RunReport(key=key, run=1, percent=1) for key in keys]
        values = {"running": running, "ended": ended, "incarnation": 2}
        return find_starts(self.driver.report(self.name, **values | options))

    def list_new_life(self) -> list:
        """List the target with its new life; return the starts that follow."""
        entries = [
            build_target(name, incarnation=2 if name == self.name else 1)
            for name in ("t1", "t2")
        ]
        return find_starts(self.driver.list_targets(*entries))


class TestOrdersUnderWay(RestartTest):
    """Guards against a task that starts elsewhere beside its run in the new life.

    The order of the run was under way when the target crashed.
    """

    def test_a_run_that_the_new_life_lists_goes_on(self):
        """All runs that had been ordered there were taken as lost."""
        self.driver.now_s += 0.05
        self.assertEqual([], self.report(KEY))
        end = ev.EndReport(number=1, key=KEY, run=1, end=ev.RunEnd.DONE)
        self.driver.now_s += 0.05
        self.assertEqual([], self.report(ended=(end,)))
        self.assertIs(
            ev.TaskEnd.DONE,
            self.driver.scheduler.jobs[FRONT_HOST, "a"].tasks[KEY].end,
        )

    def test_a_run_that_has_ended_in_the_new_life_is_not_repeated(self):
        self.driver.now_s += 0.05
        end = ev.EndReport(number=1, key=KEY, run=1, end=ev.RunEnd.DONE)
        self.assertEqual([], self.report(ended=(end,)))
        self.assertTrue(self.driver.scheduler.jobs[FRONT_HOST, "a"].is_finished())

    def test_a_start_without_an_answer_is_looked_for(self):
        """The new life may carry it out after it has made the list."""
        self.driver.now_s += 0.05
        self.assertEqual([], self.report())
        self.driver.now_s += 0.05
        unanswered = self.driver.answer(self.start, ev.StartVerdict.UNANSWERED)
        self.assertEqual(1, len(find_list_requests(unanswered)))
        self.assertEqual([], self.report(KEY))

    def test_a_start_that_is_found_nowhere_may_have_run_in_the_earlier_life(self):
        """Its caller was told that the job had not run."""
        self.driver.now_s += 0.05
        self.report()
        self.driver.answer(self.start, ev.StartVerdict.UNANSWERED)
        self.driver.now_s += 0.05
        self.report()
        self.driver.feed(
            ev.StopAnswered(target=self.name, key=KEY, run=1, is_confirmed=True)
        )
        self.driver.now_s += 0.05
        (again,) = self.report()
        self.assertEqual(2, again.run)
        self.assertEqual(2, self.driver.scheduler.jobs[FRONT_HOST, "a"].possible_runs)


class TestFactsOfAnEarlierLife(RestartTest):
    """Guards against facts about one life of a target that are taken for another's."""

    def test_a_run_that_was_confirmed_before_is_repeated_at_once(self):
        self.driver.answer(self.start)
        self.driver.now_s += 0.05
        (again,) = self.report()
        self.assertEqual((KEY, 2), (again.key, again.run))

    def test_no_task_starts_after_a_connection_broke_until_the_next_report(self):
        """Its start would not be sent, and be placed there again and again."""
        for name in ("t1", "t2"):
            missed = ev.RenewalMissed(target=name, reason="reset", is_broken=True)
            self.driver.feed(missed)
        self.assertEqual([], find_starts(self.driver.feed(build_request("b"))))
        self.driver.now_s += 0.05
        self.report(KEY)
        starts = self.list_new_life()
        self.assertEqual(["b"], [start.key.job for start in starts])

    def test_a_late_report_of_the_earlier_life_restarts_nothing(self):
        """Answers on different connections may overtake each other."""
        self.driver.now_s += 0.05
        self.report(KEY)
        late = self.driver.report(
            self.name, incarnation=1, sent_s=self.driver.now_s - 0.02
        )
        self.assertEqual([], find_starts(late) + find_stops(late))
        self.assertEqual(2, self.driver.scheduler.targets[self.name].incarnation)

    def test_a_stop_that_the_earlier_life_has_confirmed_is_sent_again(self):
        """The new life remembers no stop, and may carry out the start later."""
        self.driver.answer(self.start, ev.StartVerdict.UNANSWERED)
        self.driver.now_s += 0.02
        self.report(incarnation=1)
        confirmed = ev.StopAnswered(target=self.name, key=KEY, run=1, is_confirmed=True)
        self.driver.feed(confirmed)
        self.driver.now_s += 0.02
        self.assertEqual([], self.report())
        self.driver.now_s += 0.05
        (stop,) = find_stops(self.driver.feed(ev.Tick()))
        self.assertEqual((KEY, 1), (stop.key, stop.run))
        self.driver.feed(confirmed)
        self.driver.now_s += 0.02
        self.assertEqual([2], [start.run for start in self.report()])

    def test_a_lease_on_the_clock_of_the_earlier_life_may_be_the_longest(self):
        """The clock of the new life starts anew: the time is far ahead of it."""
        self.driver.now_s += 0.05
        self.report(KEY)
        restarted_s = self.driver.now_s
        self.driver.feed(ev.TargetSilent(target=self.name, reason="time-out"))
        self.driver.now_s = bound_lease_expiry(restarted_s) + 0.01
        self.assertEqual([], find_starts(self.driver.feed(ev.Tick())))
        self.driver.scheduler.jobs[FRONT_HOST, "a"].tasks[KEY].cutoff_start_s = 9.0
        self.driver.now_s = bound_lease_expiry(restarted_s, MAX_LEASE_S) + 0.01
        self.assertEqual(1, len(find_starts(self.driver.feed(ev.Tick()))))


class TestListedLife(RestartTest):
    """Guards against tasks on a target for labels of its earlier life.

    One that restarted as another kind got tasks for its old labels for up to 0.4 s.
    """

    def setUp(self):
        self.driver = SchedulerDriver([build_target("t1", labels=("a",))])
        self.name = "t1"
        self.driver.now_s += 0.05

    def submit(self) -> list:
        step = build_step(required_label="a")
        return find_starts(self.driver.feed(build_request("a", step)))

    def test_no_task_starts_until_the_new_life_is_listed(self):
        self.report()
        self.assertEqual([], self.submit())
        entry = build_target("t1", labels=("a",), incarnation=2)
        self.assertEqual(1, len(find_starts(self.driver.list_targets(entry))))

    def test_no_task_starts_for_a_label_that_the_new_life_lacks(self):
        self.report()
        self.driver.list_targets(build_target("t1", labels=("b",), incarnation=2))
        self.assertEqual([], self.submit())

    def test_no_task_starts_on_a_listed_life_that_has_not_reported(self):
        """What the last life has reported says nothing of the new one."""
        self.driver.list_targets(build_target("t1", labels=("a",), incarnation=2))
        self.assertEqual([], self.submit())
        self.assertEqual(1, len(self.report()))

    def test_the_list_is_read_at_once(self):
        """The target would be idle until the next poll of the list."""
        effects = self.driver.report(self.name, incarnation=2)
        self.assertEqual(1, sum(isinstance(e, fx.ReadTargets) for e in effects))
        effects = self.driver.report(self.name, incarnation=2)
        self.assertEqual(0, sum(isinstance(e, fx.ReadTargets) for e in effects))


class TestCrashes(unittest.TestCase):
    """Guards against two runs of a task at once after crashes of targets."""

    def test_no_task_runs_twice_at_once(self):
        for seed in range(1, 9):
            with self.subTest(seed=seed):
                cell = SimulatedCell(seed=seed, run_s=(0.03, 0.3))
                cell.submit_jobs(end_s=6.0, per_s=40)
                for _ in range(40):
                    name = cell.random.choice(list(cell.targets))
                    crash_s = cell.random.uniform(0.5, 6.0)
                    cell.schedule(crash_s, cell.crash_target, name)
                cell.run(until_s=9.0)
                self.assertTrue(cell.done)
                self.assertEqual([], cell.overlaps)


if __name__ == "__main__":
    unittest.main()
