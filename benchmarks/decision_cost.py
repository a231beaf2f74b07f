"""Measures processor time per decision by number of targets and services.

Run with `python -m benchmarks.decision_cost`. Compare only ratios within one run:
absolute times depend on the machine.
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
from gentianhub.decisions.admission import NoLoadShedding

TARGET_COUNTS = (24, 240, 1400)
SERVICE_COUNTS = (10, 100, 1000)
SERVICES_PER_TEAM = 7
TASKS_PER_JOB = 10
WARM_UP_TASKS = 2000
# The fastest batch is reported: other processes slow the others down.
BATCH_COUNT = 4
BATCH_TASKS = 2000
DECISIONS_PER_TASK = 2
TASK_RUN_S = 0.3


@frozen(kw_only=True)
class DecisionCost:
    """Mean processor time per task start or end, with a full queue."""

    targets: int
    services: int
    queued_tasks: int
    us_per_decision: float


@define(kw_only=True, eq=False)
class CostMeasurement:
    """Measurement on a dispatcher with all slots in use and a full queue."""

    targets: int
    services: int
    queued_jobs: int
    dispatcher: Dispatcher = field(init=False)
    _rng: random.Random = field(init=False, factory=lambda: random.Random(1))
    _running_tasks: list[fx.StartTask] = field(init=False, factory=list)
    _now_s: float = field(init=False, default=0.0)

    def __attrs_post_init__(self):
        self.dispatcher = Dispatcher(owner=OWNER, admission=NoLoadShedding())

    def measure(self) -> DecisionCost:
        """Return the cost per decision, measured after a warm-up."""
        self._handle(ev.TableAdopted(table=_build_table(self.services)))
        self._handle(ev.TargetsListed(targets=tuple(_generate_targets(self.targets))))
        slots = sum(self.dispatcher.holdings.held.values())
        for _ in range(self.queued_jobs + slots // TASKS_PER_JOB + 1):
            self._submit_job()
        self._simulate_tasks(WARM_UP_TASKS)
        batch_s = min(self._time_batch() for _ in range(BATCH_COUNT))
        return DecisionCost(
            targets=self.targets,
            services=self.services,
            queued_tasks=len(self.dispatcher.order),
            us_per_decision=batch_s / BATCH_TASKS / DECISIONS_PER_TASK * 1e6,
        )

    def _time_batch(self) -> float:
        started_s = time.process_time()
        self._simulate_tasks(BATCH_TASKS)
        return time.process_time() - started_s

    def _simulate_tasks(self, count: int) -> None:
        for number in range(count):
            if number % TASKS_PER_JOB == 0:
                self._submit_job()
            self._end_random_task()

    def _end_random_task(self) -> None:
        index = self._rng.randrange(len(self._running_tasks))
        self._running_tasks[index], self._running_tasks[-1] = (
            self._running_tasks[-1],
            self._running_tasks[index],
        )
        start = self._running_tasks.pop()
        outcome = Complete(result=b"", run_s=TASK_RUN_S)
        self._handle(
            ev.AttemptEnded(task_id=start.task_id, target=start.target, outcome=outcome)
        )

    def _submit_job(self) -> None:
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
        for effect in self.dispatcher.handle(event, self._now_s):
            if isinstance(effect, fx.StartTask):
                self._running_tasks.append(effect)


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


def _generate_targets(count: int) -> Iterator[TargetAddress]:
    for index in range(count):
        name = f"target-{index:04}"
        yield TargetAddress(name=name, data_centre="olten", host="127.0.0.1", port=1)


def measure_costs() -> Iterator[DecisionCost]:
    """Yield the cost for each combination of target and service counts."""
    for targets, services in product(TARGET_COUNTS, SERVICE_COUNTS):
        yield CostMeasurement(
            targets=targets, services=services, queued_jobs=200
        ).measure()
    for queued_jobs in (20, 2000):
        run = CostMeasurement(targets=24, services=100, queued_jobs=queued_jobs)
        yield run.measure()


def run() -> None:
    """Print each cost and its ratio to the first."""
    # Unreported run: imports and cold caches would distort the first cost.
    CostMeasurement(targets=24, services=10, queued_jobs=200).measure()
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
