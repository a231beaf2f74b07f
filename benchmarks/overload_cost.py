"""Measures an owner's processor time per task while thousands of tasks wait.

Run with `python -m benchmarks.overload_cost`. One cell has 200 full targets. Runs end,
tasks start and jobs arrive at the same rate, with a tick of the owner after each 50 ms
of the manual clock. Compare only ratios within one run.
"""

import time
from collections import deque

import typer
from attrs import define, field, frozen

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity.jobs import Cell, JobStep, ListedTarget
from gentianhub.capacity.resources import Resources
from gentianhub.capacity.scheduler import CellScheduler
from gentianhub.core import Incarnation, ProcessName

TARGETS = 200
BACKLOGS = (1250, 5000, 10000)
TASKS_PER_JOB = 4
# 400 slots with tasks of 0.2 s end 100 runs in a tick of 50 ms.
STARTS_PER_TICK = 100
TICK_S = 0.05
# A round has two reviews at the longest queue, where there is one in nine ticks.
TICKS = 18
CONFIRMATION_TICKS = 4
# The fastest round is reported: other processes slow the others down.
ROUNDS = 2
CELL = Cell(data_centre="olten")
FRONT_HOST = Incarnation(
    name=ProcessName(data_centre="olten", process="h1"), token="a" * 16
)


@frozen(kw_only=True)
class OwnerCost:
    """Processor time per started task, and of one review per waiting task, us."""

    backlog: int
    us_per_start: float
    us_per_review: float


@define(kw_only=True, eq=False)
class FullCell:
    """An owner with full targets and waiting tasks; no job is ever late."""

    backlog: int
    priorities: tuple[int, ...]
    scheduler: CellScheduler = field(init=False)
    _now_s: float = field(init=False, default=0.0)
    _running: deque[fx.StartRun] = field(init=False, factory=deque)
    _ended: dict[str, int] = field(init=False, factory=dict)
    _jobs: int = field(init=False, default=0)

    def __attrs_post_init__(self):
        self.scheduler = CellScheduler(
            cell=CELL,
            term=1,
            owner_since_s=0.0,
            list_priorities=lambda: self.priorities,
        )
        entries = tuple(
            ListedTarget(
                name=f"t{number}",
                incarnation=1,
                host="127.0.0.1",
                port=8000,
                data_centre="olten",
                service="work",
                capacity=Resources(cpu_millicores=1000),
            )
            for number in range(TARGETS)
        )
        self._feed(ev.TargetsListed(targets=entries))
        for entry in entries:
            self._report(entry.name)
        for _ in range((2 * TARGETS + self.backlog) // TASKS_PER_JOB):
            self._submit()

    def measure(self) -> OwnerCost:
        """Return the costs, each the least of a few rounds."""
        for _ in range(TICKS):
            self._run_tick()
        rounds = [self._time_ticks() for _ in range(ROUNDS)]
        reviews = [self._time_review() for _ in range(ROUNDS)]
        return OwnerCost(
            backlog=self.backlog,
            us_per_start=min(rounds) / TICKS / STARTS_PER_TICK * 1e6,
            us_per_review=min(reviews) / self.backlog * 1e6,
        )

    def _time_ticks(self) -> float:
        started_s = time.process_time()
        for _ in range(TICKS):
            self._run_tick()
        return time.process_time() - started_s

    def _time_review(self) -> float:
        overload, waiting = self.scheduler.overload, self.scheduler.starts.waiting
        for _ in range(TICKS):
            # After the review of many tasks, none is allowed for several ticks.
            overload.begin_tick()
        started_s = time.process_time()
        targets = self.scheduler.targets.values()
        list(overload.review(waiting.iterate(), targets, self._now_s))
        return time.process_time() - started_s

    def _run_tick(self) -> None:
        self._now_s += TICK_S
        if round(self._now_s / TICK_S) % CONFIRMATION_TICKS == 0:
            names = tuple(
                job.name for job in self.scheduler.jobs.values() if job.has_open_tasks()
            )
            self._feed(ev.OpenJobs(cell=CELL, jobs=names))
        self._feed(ev.Tick())
        for number in range(STARTS_PER_TICK):
            if number % TASKS_PER_JOB == 0:
                self._submit()
            self._end_oldest()

    def _submit(self) -> None:
        self._jobs += 1
        priority = self._jobs % 3
        step = JobStep(
            count=TASKS_PER_JOB,
            demand=Resources(cpu_millicores=500),
            estimate_s=0.2 + 0.1 * (self._jobs % 7),
        )
        request = ev.RunTasks(
            cell=CELL,
            job=f"{self._jobs:016x}",
            step_number=0,
            step=step,
            indexes=tuple(range(TASKS_PER_JOB)),
            payload="",
            route=f"route{priority}/0",
            service="work",
            priority=priority,
            max_attempts=1,
            age_s=0.0,
            objective_s=1e5,
            stretch=1.6,
            deadline_in_s=1e5,
        )
        self._feed(request)

    def _end_oldest(self) -> None:
        start = self._running.popleft()
        name = start.target.name
        number = self._ended[name] = self._ended.get(name, 0) + 1
        end = ev.EndReport(
            number=number, key=start.key, run=start.run, end=ev.RunEnd.DONE
        )
        self._report(name, (end,), start.key)

    def _report(self, name: str, ended=(), over=None) -> None:
        runs = self.scheduler.targets[name].runs.values()
        running = tuple(
            ev.RunReport(key=run.key, run=run.number, percent=min(99, self._jobs))
            for run in runs
            if run.key != over
        )
        report = ev.RunsReported(
            target=name,
            incarnation=1,
            sent_s=self._now_s,
            running=running,
            ended=ended,
        )
        self._feed(report)

    def _feed(self, event) -> None:
        for effect in self.scheduler.handle(event, self._now_s, FRONT_HOST):
            if isinstance(effect, fx.StartRun):
                self._running.append(effect)


def main() -> None:
    """Print the costs by backlog, without and with load shedding."""
    print(
        "| waiting tasks | today, us/start | shedding, us/start | ratio | review, us |"
    )
    print("|---|---|---|---|---|")
    for backlog in BACKLOGS:
        old = FullCell(backlog=backlog, priorities=()).measure()
        new = FullCell(backlog=backlog, priorities=(0, 1, 2)).measure()
        ratio = new.us_per_start / old.us_per_start
        print(
            f"| {backlog} | {old.us_per_start:.0f} | {new.us_per_start:.0f} "
            f"| {ratio:.2f} | {new.us_per_review:.2f} |"
        )


if __name__ == "__main__":
    typer.run(main)
