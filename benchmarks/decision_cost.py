"""Processor time per decision against the number of targets and of services.

Run with `python -m benchmarks.decision_cost`. Compare the ratios within one run:
the microseconds depend on the machine.
"""

import random
import time
from collections.abc import Iterator
from itertools import product

import typer
from attrs import define, field, frozen

from benchmarks.driver import OWNER
from gentianhub.core import Complete, JobRequest, Table, TargetAddress, Task
from gentianhub.core import effects as fx
from gentianhub.core import events as ev
from gentianhub.core.table import ServiceRow, TeamRow
from gentianhub.decisions import Dispatcher
from gentianhub.decisions.admission import AdmitKnownServices

TARGET_COUNTS = (24, 240, 1400)
SERVICE_COUNTS = (10, 100, 1000)
SERVICES_PER_TEAM = 7
TASKS_PER_JOB = 10
WARM_UP_TASKS = 2000
# The fastest batch counts: the others were held up by other processes.
BATCHES = 4
BATCH_TASKS = 2000
DECISIONS_PER_TASK = 2
RUN_S = 0.3


@frozen(kw_only=True)
class Cost:
    """Mean time of a start and an end of a task, with the queue kept full."""

    targets: int
    services: int
    queued_tasks: int
    us_per_decision: float


@define(kw_only=True, eq=False)
class CostRun:
    """A dispatcher whose slots are all in use and whose queue stays full."""

    targets: int
    services: int
    queued_jobs: int
    decisions: Dispatcher = field(init=False)
    _rng: random.Random = field(init=False, factory=lambda: random.Random(1))
    _running: list[fx.StartTask] = field(init=False, factory=list)
    _now_s: float = field(init=False, default=0.0)

    def __attrs_post_init__(self):
        self.decisions = Dispatcher(owner=OWNER, admission=AdmitKnownServices())

    def measure(self) -> Cost:
        """Return the cost after a warm-up."""
        self._handle(ev.TableAdopted(table=_build_table(self.services)))
        self._handle(ev.TargetsSeen(targets=tuple(_list_targets(self.targets))))
        slots = sum(self.decisions.holdings.held.values())
        for _ in range(self.queued_jobs + slots // TASKS_PER_JOB + 1):
            self._submit()
        self._play_tasks(WARM_UP_TASKS)
        used_s = min(self._time_batch() for _ in range(BATCHES))
        return Cost(
            targets=self.targets,
            services=self.services,
            queued_tasks=len(self.decisions.order),
            us_per_decision=used_s / BATCH_TASKS / DECISIONS_PER_TASK * 1e6,
        )

    def _time_batch(self) -> float:
        began_s = time.process_time()
        self._play_tasks(BATCH_TASKS)
        return time.process_time() - began_s

    def _play_tasks(self, count: int) -> None:
        for number in range(count):
            if number % TASKS_PER_JOB == 0:
                self._submit()
            self._end_one()

    def _end_one(self) -> None:
        index = self._rng.randrange(len(self._running))
        self._running[index], self._running[-1] = (
            self._running[-1],
            self._running[index],
        )
        start = self._running.pop()
        outcome = Complete(result=b"", run_s=RUN_S)
        self._handle(
            ev.TaskEnded(task_id=start.task_id, target=start.target, outcome=outcome)
        )

    def _submit(self) -> None:
        service = f"service-{self._rng.randrange(self.services)}"
        kinds = [f"kind-{self._rng.randrange(4)}" for _ in range(TASKS_PER_JOB)]
        request = JobRequest(
            service=service,
            tasks=tuple(Task(kind=kind, body=b"") for kind in kinds),
            deadline_s=1e6,
            idempotent=True,
            digest="",
        )
        self._handle(ev.SubmitJob(request=request, reply_to=None))

    def _handle(self, event: ev.Event) -> None:
        self._now_s += 1e-5
        for effect in self.decisions.handle(event, self._now_s):
            if isinstance(effect, fx.StartTask):
                self._running.append(effect)


def _build_table(services: int) -> Table:
    teams = {index // SERVICES_PER_TEAM for index in range(services)}
    rows = [
        ServiceRow(name=f"service-{i}", team=f"team-{i // SERVICES_PER_TEAM}")
        for i in range(services)
    ]
    return Table(
        version=1,
        teams={f"team-{i}": TeamRow(name=f"team-{i}") for i in teams},
        services={row.name: row for row in rows},
    )


def _list_targets(count: int) -> Iterator[TargetAddress]:
    for index in range(count):
        name = f"target-{index:04}"
        yield TargetAddress(name=name, data_centre="olten", host="127.0.0.1", port=1)


def measure_costs() -> Iterator[Cost]:
    """Yield the cost for each number of targets and services."""
    for targets, services in product(TARGET_COUNTS, SERVICE_COUNTS):
        yield CostRun(targets=targets, services=services, queued_jobs=200).measure()
    for queued_jobs in (20, 2000):
        run = CostRun(targets=24, services=100, queued_jobs=queued_jobs)
        yield run.measure()


def run() -> None:
    """Print each cost and its ratio to the first one."""
    # The first run pays for imports and caches that the others find warm.
    CostRun(targets=24, services=10, queued_jobs=200).measure()
    first = None
    for cost in measure_costs():
        first = first or cost
        ratio = cost.us_per_decision / first.us_per_decision
        print(
            f"{cost.targets:5} targets {cost.services:5} services "
            f"{cost.queued_tasks:6} queued: {cost.us_per_decision:8.1f} us "
            f"per decision, {ratio:5.2f} of the first",
            flush=True,
        )


if __name__ == "__main__":
    typer.run(run)
