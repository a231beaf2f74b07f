"""Compares policies for work that does not fit in the capacity, on a manual clock.

Run with `python -m benchmarks.overload`. All policies get the same seeded load in one
run. `served` is the worth of the jobs that were answered within the deadline, relative
to the worth of all; `in objective` that of the jobs that met their latency objective.
"""

import heapq
import math
import time
from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import Annotated, Any

import typer
from attrs import define, field, frozen

from benchmarks.overload_load import (
    DATA_CENTRES,
    DEADLINE_S,
    ROUTES,
    WARM_UP_S,
    Answer,
    Arrival,
    Simulation,
    draw_arrivals,
)
from gentianhub.capacity.effects import JobVerdict

LOAD_FACTORS = (1.2, 1.5, 2.0)
LENGTH_S = 15.0
TARGETS_PER_CELL = 16
# Waiting for this long makes a job's worth per core-second count e times as much, s.
AGING_S = 0.5


@frozen(kw_only=True)
class StrictPriority:
    """Tasks of the most urgent route first, then in the order of arrival."""


@frozen(kw_only=True)
class LeastSlack:
    """Tasks by the time after which a start is of no use."""


@frozen(kw_only=True)
class WorthWithAging:
    """Tasks by their job's worth per core-second, which grows while they wait."""


Order = StrictPriority | LeastSlack | WorthWithAging


@define(kw_only=True, eq=False)
class RankedTasks:
    """A queue with the interface of `WaitingTasks` and another order."""

    rank: Order
    order: Any = None
    _heap: list[tuple[tuple, int, Any]] = field(init=False, factory=list)
    _sequence: int = field(init=False, default=0)

    def __bool__(self) -> bool:
        return bool(self._heap)

    def push(self, task, now_s: float) -> None:
        """Add a task."""
        self._sequence += 1
        key = compute_key(self.rank, task)
        heapq.heappush(self._heap, (key, self._sequence, task))

    def change_order(self, order, now_s: float) -> None:
        """Keep the order: the product changes its own one only."""

    def pop_ordered(self, now_s: float) -> Iterator[Any]:
        """Remove and yield waiting tasks in order."""
        while self._heap:
            _, _, task = heapq.heappop(self._heap)
            if task.is_waiting:
                yield task

    def iterate(self) -> Iterator[Any]:
        """Yield the waiting tasks in arbitrary order."""
        yield from (task for _, _, task in self._heap if task.is_waiting)


def compute_key(rank: Order, task) -> tuple:
    """Return the sort key of a task; the least one starts first."""
    request = task.request
    match rank:
        case StrictPriority():
            return request.priority, task.job.submitted_s
        case LeastSlack():
            return (task.cutoff_start_s,)
        case WorthWithAging():
            mean_s = next(
                load.run_s * load.tasks / 2
                for load in ROUTES
                if request.route.startswith(load.name)
            )
            work_core_s = request.step.count * task.expected_s / 2
            worth = 0.3 + 0.7 * work_core_s / mean_s
            density = worth / work_core_s * 0.1**request.priority
            return (task.job.submitted_s / AGING_S - math.log(density),)


@frozen(kw_only=True)
class Policy:
    """A policy; `order` is None for that of the product."""

    name: str
    order: Order | None = None
    is_shedding: bool = False


POLICIES = (
    Policy(name="today"),
    Policy(name="strict priority", order=StrictPriority()),
    Policy(name="least slack", order=LeastSlack()),
    Policy(name="worth with aging", order=WorthWithAging()),
    Policy(name="shedding", is_shedding=True),
)


@define(kw_only=True, eq=False)
class PolicyResult:
    """What a policy has served, by group; fractions of worth and of jobs."""

    policy: Policy
    served: dict[str, float]
    in_objective: dict[str, float]
    served_jobs: dict[str, float]
    wasted: float
    us_per_task: float


def run_policy(policy: Policy, factor: float, seed: int, length_s: float):
    """Return the simulation of a policy after its load, and its processor time, s."""
    priorities = tuple(sorted({load.priority for load in ROUTES}))
    simulation = Simulation(
        targets_per_cell=TARGETS_PER_CELL,
        priorities=priorities if policy.is_shedding else (),
    )
    if policy.order is not None:
        for cell in simulation.cells.values():
            cell.starts.waiting = RankedTasks(rank=policy.order)
    simulation.begin()
    arrivals = draw_arrivals(
        seed, factor=factor, millicores=simulation.millicores, length_s=length_s
    )
    simulation.submit(arrivals)
    started_s = time.process_time()
    simulation.run(length_s + 3.0)
    return simulation, time.process_time() - started_s


def find_groups(arrival: Arrival) -> Iterator[str]:
    """Yield the groups that a job is counted in."""
    yield "all"
    yield arrival.load.name
    yield arrival.data_centre
    yield f"{arrival.load.name}, {arrival.size}"


def is_served(answer: Answer | None) -> bool:
    """Whether a job was answered in time for its caller."""
    return (
        answer is not None
        and answer.verdict is JobVerdict.COMPLETED
        and answer.after_s <= DEADLINE_S
    )


def measure(policy: Policy, factor: float, seed: int, length_s: float) -> PolicyResult:
    """Return what a policy has served of a load."""
    simulation, cpu_s = run_policy(policy, factor, seed, length_s)
    offered, served, prompt = (defaultdict(float) for _ in range(3))
    offered_jobs, served_jobs = defaultdict(int), defaultdict(int)
    useful_core_s = 0.0
    for arrival in simulation.arrivals.values():
        answer = simulation.answers.get(arrival.job_id)
        if is_served(answer):
            useful_core_s += sum(arrival.run_times_s) / 2
        if arrival.at_s < WARM_UP_S:
            continue
        for group in find_groups(arrival):
            offered[group] += arrival.worth
            offered_jobs[group] += 1
            if is_served(answer):
                served[group] += arrival.worth
                served_jobs[group] += 1
                if answer.after_s <= arrival.objective_s:
                    prompt[group] += arrival.worth
    tasks = sum(arrival.load.tasks for arrival in simulation.arrivals.values())
    return PolicyResult(
        policy=policy,
        served={group: served[group] / offered[group] for group in offered},
        in_objective={group: prompt[group] / offered[group] for group in offered},
        served_jobs={g: served_jobs[g] / offered_jobs[g] for g in offered},
        wasted=1 - useful_core_s / simulation.busy_core_s,
        us_per_task=cpu_s / tasks * 1e6,
    )


def list_groups() -> list[str]:
    """Return the names of the groups in the order of the report."""
    routes = [load.name for load in ROUTES]
    sizes = [f"{r}, {s}" for r in routes for s in ("largest tenth", "fifth below")]
    return ["all", *routes, *DATA_CENTRES, *sizes]


def format_results(factor: float, results: Iterable[PolicyResult]) -> Iterator[str]:
    """Yield the lines of a table with one row for each policy."""
    yield f"Load {factor:g} times the capacity: worth served / in objective, %"
    groups = list_groups()
    yield "| policy | " + " | ".join(groups) + " | wasted | us/task |"
    yield "|---" * (len(groups) + 3) + "|"
    for result in results:
        cells = [
            f"{100 * result.served.get(g, 0):.0f} / "
            f"{100 * result.in_objective.get(g, 0):.0f}"
            for g in groups
        ]
        cells += [f"{100 * result.wasted:.0f}", f"{result.us_per_task:.0f}"]
        yield f"| {result.policy.name} | " + " | ".join(cells) + " |"


def main(
    seed: Annotated[int, typer.Option(help="Seed of the load.")] = 1,
    length_s: Annotated[float, typer.Option(help="Length of the load, s.")] = LENGTH_S,
) -> None:
    """Print a table for each load."""
    for factor in LOAD_FACTORS:
        results = [measure(p, factor, seed, length_s) for p in POLICIES]
        print("\n".join(format_results(factor, results)), end="\n\n")


if __name__ == "__main__":
    typer.run(main)
