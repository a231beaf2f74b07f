"""Tests of what an owner learns from the runs of its targets.

An owner refused all jobs while its targets were idle: the run time that it had learned
left no time before their deadlines, and without a run it learned no other one.
"""

import heapq
import unittest
from collections.abc import Iterable

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity.leases import RENEWAL_WAIT_S
from gentianhub.capacity.tests.builders import (
    SchedulerDriver,
    build_key,
    build_request,
    build_step,
    build_target,
    find_ends,
    find_starts,
)

ROUTE = "swap"
SLOTS = 16
DECLARED_S = 0.06
RUN_S = 2.2
DEADLINE_S = 3.0


class RunningCell:
    """Three targets on which each run takes `run_s`, and callers of one route."""

    def __init__(self, run_s: float = RUN_S):
        names = ("t0", "t1", "t2")
        self.driver = SchedulerDriver([build_target(n, 3 * SLOTS) for n in names])
        self.run_s = run_s
        self.expired = 0
        self._jobs = self._started = 0
        self._pending: list[tuple[float, int, fx.StartRun]] = []
        self._ends = dict.fromkeys(names, 0)

    @property
    def expected_s(self) -> float:
        """The run time that the owner expects of the next task."""
        return self.driver.scheduler.estimates.predict(ROUTE, DECLARED_S)

    def submit(self, count: int) -> int:
        """Submit a job of `count` tasks and return the number of starts."""
        self._jobs += 1
        step = build_step(count, cores=3, estimate_s=DECLARED_S)
        request = build_request(
            f"j{self._jobs}",
            step,
            objective_s=2.5,
            stretch=2.0,
            deadline_in_s=DEADLINE_S,
        )
        return self._confirm_starts(self.driver.feed(request))

    def _confirm_starts(self, effects) -> int:
        starts = find_starts(effects)
        for start in starts:
            self.driver.answer(start)
            self._started += 1
            end_s = self.driver.now_s + self.run_s
            heapq.heappush(self._pending, (end_s, self._started, start))
        return len(starts)

    def run_until(self, until_s: float) -> None:
        """End the runs that are over by then; idle targets report as well."""
        while self.driver.now_s < until_s:
            self._run_until(min(until_s, self.driver.now_s + RENEWAL_WAIT_S))
            for name in self._ends:
                self._confirm_starts(self._report(name))

    def _run_until(self, until_s: float) -> None:
        while self._pending and self._pending[0][0] <= until_s:
            self.driver.now_s, _, start = heapq.heappop(self._pending)
            self._confirm_starts(self._report(start.target.name, [start]))
        self.driver.now_s = until_s

    def pause_until(self, until_s: float) -> None:
        """End the runs that are over by then; the owner is told of all ends at once."""
        ended: dict[str, list[fx.StartRun]] = {name: [] for name in self._ends}
        while self._pending and self._pending[0][0] <= until_s:
            _, _, start = heapq.heappop(self._pending)
            ended[start.target.name].append(start)
        self.driver.now_s = until_s
        for name, starts in ended.items():
            # A pending renewal ends with the first end, the next one lists the others.
            for part in (starts[:1], starts[1:]):
                self._confirm_starts(self._report(name, part))
                self.driver.now_s += 0.002

    def _report(self, name: str, ended: Iterable[fx.StartRun] = ()) -> list:
        reports = []
        for start in ended:
            self._ends[name] += 1
            reports.append(
                ev.EndReport(
                    number=self._ends[name],
                    key=start.key,
                    run=start.run,
                    end=ev.RunEnd.DONE,
                )
            )
        ended_keys = {report.key for report in reports}
        running = tuple(
            ev.RunReport(key=run.key, run=run.number, percent=10)
            for run in self.driver.scheduler.targets[name].runs.values()
            if run.key not in ended_keys
        )
        return self.driver.report(name, running, reports)


class TestTargetWithoutTasks(unittest.TestCase):
    """One target gets no more tasks because it has seemed slow."""

    def test_expected_run_times_stay_at_those_of_the_runs(self):
        """The pace of a target that got no more tasks stayed at 5.4, and raised the
        mean to which the runs of the others were compared: with each of their runs the
        expected run time rose further above the observed one."""
        cell = RunningCell()
        # The first runs, which take far longer than expected, fill one target.
        cell.submit(SLOTS)
        cell.run_until(RUN_S + 0.1)
        served = 0
        for number in range(200):
            served += cell.submit(3)
            cell.run_until(RUN_S + 0.1 + 0.25 * (number + 1))
        self.assertEqual(600, served)
        self.assertLess(abs(cell.expected_s / RUN_S - 1), 0.2, cell.expected_s)


class TestWrongExpectation(unittest.TestCase):
    """An owner has learned a run time that leaves no time before the deadlines."""

    def setUp(self):
        self.cell = RunningCell()
        for _ in range(200):
            self.cell.driver.scheduler.estimates.observe(ROUTE, DECLARED_S, 20.0)
        self.assertGreater(self.cell.expected_s, 3 * DEADLINE_S)

    def submit_jobs(self, seconds: int) -> list[int]:
        """Submit five jobs a second; return the starts in each second."""
        starts = []
        for _ in range(seconds):
            starts.append(0)
            for _ in range(5):
                starts[-1] += self.cell.submit(2)
                self.cell.run_until(self.cell.driver.now_s + 0.2)
        return starts

    def test_all_jobs_are_served_once_a_trial_has_ended(self):
        """All targets were idle and each job was refused, without an end: nothing ran,
        so that nothing corrected the expectation."""
        starts = self.submit_jobs(6)
        self.assertEqual([10, 10, 10], starts[3:])

    def test_one_job_at_a_time_is_on_trial(self):
        """Jobs that can't end in time have to be refused at once, not be held until
        their deadlines, and must not take the capacity of other ones."""
        self.cell.run_s = 20.0
        open_jobs = []
        for _ in range(50):
            self.cell.submit(2)
            jobs = self.cell.driver.scheduler.jobs.values()
            open_jobs.append(
                sum(job.has_open_tasks() and not job.is_cancelled for job in jobs)
            )
            self.cell.run_until(self.cell.driver.now_s + 0.2)
        self.assertEqual({1}, set(open_jobs))

    def test_no_job_is_on_trial_that_its_caller_expects_to_end_late(self):
        """A trial would hold the caller for a result that is known before."""
        step = build_step(2, cores=3, estimate_s=DEADLINE_S)
        request = build_request("long", step, deadline_in_s=DEADLINE_S - 0.1)
        effects = self.cell.driver.feed(request)
        self.assertEqual([], find_starts(effects))
        self.assertIs(ev.TaskEnd.EXPIRED, find_ends(effects)[0].end)

    def test_no_job_is_on_trial_while_other_ones_are_started(self):
        """Under load, runs end all the time and tell the run time; a trial would take
        the place of a job that can be served."""
        driver = self.cell.driver
        step = build_step(cores=3, estimate_s=0.001)
        request = build_request("other", step, deadline_in_s=60.0, objective_s=60.0)
        self.assertEqual(1, len(find_starts(driver.feed(request))))
        self.assertEqual(0, self.cell.submit(2))

    def test_no_job_is_on_trial_that_is_late_because_it_has_waited(self):
        """Its run would most likely not end in time: the expectation may be right."""
        driver = self.cell.driver
        step = build_step(2, cores=3, estimate_s=DECLARED_S)
        request = build_request("old", step, age_s=1.1, deadline_in_s=DEADLINE_S - 1.1)
        self.assertEqual([], find_starts(driver.feed(request)))
        self.assertEqual(2, self.cell.submit(2))

    def test_other_waiting_tasks_get_capacity_first(self):
        """A trial must not make a job late that can be served."""
        driver = SchedulerDriver([build_target("t1", 27)])
        for _ in range(200):
            driver.scheduler.estimates.observe(ROUTE, DECLARED_S, DEADLINE_S - 0.5)
        patient = {"deadline_in_s": 60.0, "objective_s": 60.0, "route": "other"}
        (start,) = find_starts(driver.feed(build_request("running", **patient)))
        driver.answer(start)
        step = build_step(estimate_s=DECLARED_S)
        driver.feed(
            build_request(
                "trial", step, objective_s=2.5, stretch=2.0, deadline_in_s=DEADLINE_S
            )
        )
        driver.feed(build_request("waiting", **patient))
        driver.now_s = 0.6
        (start,) = find_starts(driver.end(start, 1))
        self.assertEqual("waiting", start.key.job)
        (message,) = [m for m in find_ends(driver.effects) if m.job == "trial"]
        self.assertIs(ev.TaskEnd.EXPIRED, message.end)


class TestUncertainRunTimes(unittest.TestCase):
    """Runs whose starts or ends the owner has not seen when they happened."""

    def setUp(self):
        self.cell = RunningCell(run_s=DECLARED_S)

    def test_ends_during_a_pause_of_the_owner_are_no_long_runs(self):
        """All runs of a paused owner seemed to have taken as long as the pause; an
        owner that had learned this refused the next jobs."""
        self.cell.submit(3 * SLOTS)
        self.cell.pause_until(2.0)
        self.assertLess(self.cell.expected_s, 1.2 * DECLARED_S)

    def test_runs_after_a_pause_are_observed(self):
        """An owner that is paused now and then would go on with a wrong expectation."""
        self.cell.submit(3 * SLOTS)
        self.cell.pause_until(2.0)
        self.cell.run_s = 0.6
        self.cell.submit(3 * SLOTS)
        self.cell.run_until(3.0)
        self.assertGreater(self.cell.expected_s, 3 * DECLARED_S)

    def test_the_rest_of_an_adopted_run_is_no_short_run(self):
        """A new owner took the time since the takeover for the run time."""
        driver = self.cell.driver
        driver.now_s = 0.1
        key = build_key("adopted")
        listed = ev.RunReport(key=key, run=1, percent=99)
        driver.report("t1", (listed,))
        driver.feed(build_request("adopted", is_repeat=True))
        self.assertIn(key, driver.scheduler.targets["t1"].runs)
        driver.now_s = 0.11
        end = ev.EndReport(number=1, key=key, run=1, end=ev.RunEnd.DONE)
        driver.report("t1", (), (end,))
        self.assertEqual({}, driver.scheduler.targets["t1"].runs)
        self.assertEqual(DECLARED_S, self.cell.expected_s)

    def test_an_end_before_the_answer_to_its_start_is_a_run_since_the_start(self):
        """Such a run counted as one of a millisecond."""
        driver = self.cell.driver
        (start,) = find_starts(driver.feed(build_request("unanswered")))
        driver.now_s = 0.1
        driver.end(start, 1)
        expected_s = driver.scheduler.estimates.predict(ROUTE, 0.1)
        self.assertAlmostEqual(0.1, expected_s, places=3)


if __name__ == "__main__":
    unittest.main()
