"""Seeded workloads: targets, services and the jobs that their callers submit."""

import functools
import math
import random
from collections.abc import Iterator

from attrs import evolve, field, frozen

from gentianhub.core import JobRequest, Table, TargetAddress, Task
from gentianhub.core.table import ServiceRow, TargetRow, TeamRow

MIN_RUN_S = 0.05
MAX_RUN_S = 1.0
TAIL_FACTORS = (5.0, 30.0)
TAIL_PROBABILITY = 0.002
RUN_TIME_SIGMA = 0.4
MAX_JOB_TASKS = 170
KIND_COUNT = 4


@frozen(kw_only=True)
class Healthy:
    """The target runs every task that it receives."""


@frozen(kw_only=True)
class FailsAllTasks:
    """The target reports every task as run and failed, after `delay_s`."""

    delay_s: float = 0.005


@frozen(kw_only=True)
class RefusesAllTasks:
    """The target answers "not run" to every task, after `delay_s`."""

    delay_s: float = 0.005


@frozen(kw_only=True)
class RefusesConnections:
    """Connections to the target are refused, after `delay_s`."""

    delay_s: float = 0.001


@frozen(kw_only=True)
class RefusesExcessTasks:
    """The target refuses tasks beyond `slots`, whatever its slots in the table."""

    slots: int
    delay_s: float = 0.001


@frozen(kw_only=True)
class RefusesTemporarily:
    """The target answers "not run" to every task between two times."""

    start_s: float
    end_s: float
    delay_s: float = 0.005


FailureMode = (
    Healthy
    | FailsAllTasks
    | RefusesAllTasks
    | RefusesConnections
    | RefusesExcessTasks
    | RefusesTemporarily
)


@frozen(kw_only=True)
class SimulatedTarget:
    """A simulated target; it divides the run time of a task by `speed`."""

    name: str
    slots: int = 8
    speed: float = 1.0
    mode: FailureMode = field(factory=Healthy)

    def count_usable_slots(self) -> int:
        """Return how many tasks the target can run at once."""
        match self.mode:
            case Healthy() | RefusesTemporarily():
                return self.slots
            case RefusesExcessTasks(slots=slots):
                return slots
            case FailsAllTasks() | RefusesAllTasks() | RefusesConnections():
                return 0


@frozen(kw_only=True)
class ServicePlan:
    """A service and its callers.

    `share` is the service's share of the offered work. `mean_tasks` is the mean
    number of tasks in its jobs. `run_s` is the median run time of its tasks at
    speed 1. Waits and refusals of background services are not measured.
    """

    name: str
    team: str
    share: float
    mean_tasks: float = 6.0
    run_s: float = 0.25
    deadline_s: float = 8.0
    weight: float = 1.0
    is_long: bool = False
    is_background: bool = False


@frozen(kw_only=True)
class Peak:
    """A period of `length_s` from `start_s` with `factor` times the normal demand.

    With `service`, only the demand of that service rises.
    """

    start_s: float
    length_s: float
    factor: float = 5.0
    service: str | None = None

    @property
    def end_s(self) -> float:
        """End of the peak in seconds."""
        return self.start_s + self.length_s


@frozen(kw_only=True)
class LoadPlan:
    """Services, targets, offered load and length of one run."""

    seed: int
    services: tuple[ServicePlan, ...]
    targets: tuple[SimulatedTarget, ...]
    length_s: float = 40.0
    load: float = 0.7
    peak: Peak | None = None

    @property
    def slots(self) -> int:
        """Number of slots of all targets."""
        return sum(target.slots for target in self.targets)

    @property
    def capacity(self) -> float:
        """Work per second that the usable slots complete, in seconds at speed 1."""
        return sum(
            target.count_usable_slots() * target.speed for target in self.targets
        )

    @property
    def mean_speed(self) -> float:
        """Mean speed over all slots."""
        return sum(t.slots * t.speed for t in self.targets) / self.slots

    def build_table(self) -> Table:
        """Return the table with the services, their teams and the targets."""
        teams = sorted({service.team for service in self.services})
        return Table(
            version=1,
            teams={name: TeamRow(name=name) for name in teams},
            services={
                s.name: ServiceRow(name=s.name, team=s.team, weight=s.weight)
                for s in self.services
            },
            targets={
                t.name: TargetRow(name=t.name, slots=t.slots) for t in self.targets
            },
        )

    def list_addresses(self) -> tuple[TargetAddress, ...]:
        """Return the addresses of the targets, as in the platform's host list."""
        return tuple(
            TargetAddress(name=t.name, data_centre="olten", host="127.0.0.1", port=1)
            for t in self.targets
        )


@frozen(kw_only=True)
class Arrival:
    """A job and the run times of its tasks at speed 1, in seconds."""

    at_s: float
    service: str
    request: JobRequest
    run_times_s: tuple[float, ...]

    @property
    def work_s(self) -> float:
        """Work of the job in seconds at speed 1."""
        return sum(self.run_times_s)


DEFAULT_SERVICES = (
    ServicePlan(name="slot-check", team="abris", share=0.15, mean_tasks=1.5, run_s=0.1),
    ServicePlan(name="render", team="abris", share=0.30, mean_tasks=8.0, run_s=0.4),
    ServicePlan(name="rotation", team="abris", share=0.20, mean_tasks=20.0),
    ServicePlan(name="stock", team="kryoval", share=0.10, mean_tasks=2.0, run_s=0.12),
    ServicePlan(name="booking", team="kryoval", share=0.15, mean_tasks=4.0),
    ServicePlan(name="dispatch", team="kryoval", share=0.10, mean_tasks=3.0, run_s=0.3),
)
LONG_SERVICE = ServicePlan(
    name="archive",
    team="archive",
    share=0.25,
    mean_tasks=20.0,
    run_s=5.0,
    deadline_s=120.0,
    is_long=True,
    is_background=True,
)
# Replaces the long service in the control runs for the effect of long tasks.
CONTROL_SERVICE = ServicePlan(
    name="archive", team="archive", share=0.25, mean_tasks=20.0, is_background=True
)


def draw_targets(
    seed: int, *, count: int = 24, broken: int = 0, mode: FailureMode | None = None
) -> tuple[SimulatedTarget, ...]:
    """Return targets with shuffled speeds from 0.5 to 2.

    The first `broken` targets have `mode`, by default `FailsAllTasks`.
    """
    speeds = [0.5 * 4 ** (index / max(1, count - 1)) for index in range(count)]
    random.Random(f"{seed}/targets").shuffle(speeds)
    return tuple(
        SimulatedTarget(
            name=f"target-{index:04}",
            speed=speed,
            mode=mode or FailsAllTasks() if index < broken else Healthy(),
        )
        for index, speed in enumerate(speeds)
    )


def build_plan(
    seed: int,
    *,
    services: tuple[ServicePlan, ...] = DEFAULT_SERVICES,
    targets: tuple[SimulatedTarget, ...] | None = None,
    **options,
) -> LoadPlan:
    """Return a load plan, by default with 24 targets of 8 slots at 70% load."""
    targets = targets or draw_targets(seed)
    return LoadPlan(seed=seed, services=services, targets=targets, **options)


def add_service(plan: LoadPlan, added: ServicePlan) -> LoadPlan:
    """Return the plan with one more service at the same total load."""
    others = tuple(
        evolve(service, share=service.share * (1 - added.share))
        for service in plan.services
    )
    return evolve(plan, services=(*others, added))


def draw_arrivals(plan: LoadPlan) -> Iterator[Arrival]:
    """Yield all jobs in order of arrival."""
    jobs = [job for service in plan.services for job in _draw_service(plan, service)]
    yield from sorted(jobs, key=lambda job: (job.at_s, job.service))


def _draw_service(plan: LoadPlan, service: ServicePlan) -> Iterator[Arrival]:
    # Each service has its own random generator, so that adding a service leaves the
    # jobs of the others unchanged.
    rng = random.Random(f"{plan.seed}/{service.name}")
    kinds = tuple(service.run_s * factor for factor in _generate_kind_factors())
    work_per_s = plan.capacity * plan.load * service.share
    mean_work_s = _estimate_job_work_s(service, kinds)
    at_s = 0.0
    number = 0
    while True:
        rate = (
            work_per_s / mean_work_s * _get_demand_factor(plan.peak, service.name, at_s)
        )
        at_s += rng.expovariate(rate)
        if at_s >= plan.length_s:
            return
        number += 1
        yield _draw_job(rng, service, kinds, at_s, number)


def _get_demand_factor(peak: Peak | None, service: str, at_s: float) -> float:
    if peak is None or peak.service not in (None, service):
        return 1.0
    return peak.factor if peak.start_s <= at_s < peak.end_s else 1.0


def _generate_kind_factors() -> Iterator[float]:
    for index in range(KIND_COUNT):
        yield 2.0 ** (index - (KIND_COUNT - 1) / 2)


def _draw_job(
    rng: random.Random,
    service: ServicePlan,
    kinds: tuple[float, ...],
    at_s: float,
    number: int,
) -> Arrival:
    count = _draw_count(rng, service)
    chosen = [rng.randrange(KIND_COUNT) for _ in range(count)]
    run_times_s = tuple(_draw_run_s(rng, service, kinds[kind]) for kind in chosen)
    tasks = tuple(Task(kind=f"{service.name}-{kind}", body=b"") for kind in chosen)
    request = JobRequest(
        service=service.name,
        tasks=tasks,
        deadline_s=service.deadline_s,
        idempotent=True,
        digest=f"{service.name}/{number}",
    )
    return Arrival(
        at_s=at_s, service=service.name, request=request, run_times_s=run_times_s
    )


def _draw_count(rng: random.Random, service: ServicePlan) -> int:
    count = math.ceil(rng.expovariate(1 / service.mean_tasks))
    if service.mean_tasks > 4 and rng.random() < 0.02:
        count = MAX_JOB_TASKS
    return min(MAX_JOB_TASKS, max(1, count))


def _draw_run_s(rng: random.Random, service: ServicePlan, median_s: float) -> float:
    run_s = rng.lognormvariate(math.log(median_s), RUN_TIME_SIGMA)
    if service.is_long:
        return min(30.0, run_s)
    run_s = min(MAX_RUN_S, max(MIN_RUN_S, run_s))
    if rng.random() < TAIL_PROBABILITY:
        run_s = service.run_s * rng.uniform(*TAIL_FACTORS)
    return run_s


@functools.cache
def _estimate_job_work_s(service: ServicePlan, kinds: tuple[float, ...]) -> float:
    """Return the mean work of a job, estimated from a sample with its own generator."""
    rng = random.Random(f"sample/{service.name}")
    sample = [_draw_job(rng, service, kinds, 0.0, 0).work_s for _ in range(1500)]
    return sum(sample) / len(sample)
