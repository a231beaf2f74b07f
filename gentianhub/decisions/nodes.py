"""Nodes of the fair order: teams, services, and jobs with queued tasks."""

import heapq

from gentianhub.core import ServiceRow, TeamRow
from gentianhub.core.records import define, field
from gentianhub.decisions.heaps import LazyHeap
from gentianhub.decisions.order import QueuedTask
from gentianhub.decisions.runtimes import RunClass

# Seconds of remaining work that each second of waiting offsets when a job is compared
# with newer jobs of its service, so that no job starves.
AGEING_FACTOR = 20.0
# Limits how far the virtual time of a node that could not use its share may lag, so
# that the node does not block the others when it can start tasks again.
MAX_LAG_S = 10.0


@define(kw_only=True, eq=False)
class WaitingJob:
    """Queued tasks of one job in one class, longest first."""

    sequence: int
    accepted_s: float
    run_class: RunClass
    ageing_factor: float = AGEING_FACTOR
    work_s: float = field(init=False, default=0.0)
    tasks: list[tuple[float, int, QueuedTask]] = field(init=False, factory=list)

    @property
    def key(self) -> float:
        """Sort key within the service: remaining work, adjusted for ageing."""
        return self.work_s + self.ageing_factor * self.accepted_s

    def push(self, entry: QueuedTask, expected_s: float) -> None:
        """Add a task."""
        heapq.heappush(self.tasks, (-expected_s, entry.task_id.index, entry))
        self.work_s += expected_s

    def pop(self) -> tuple[QueuedTask, float]:
        """Remove a task; return it with its expected run time in seconds."""
        negated_s, _, entry = heapq.heappop(self.tasks)
        self.work_s += negated_s
        return entry, -negated_s


def _build_heaps() -> dict[RunClass, LazyHeap]:
    return {run_class: LazyHeap() for run_class in RunClass}


@define(kw_only=True, eq=False)
class Node:
    """Virtual time and counters that teams and services have in common.

    `virtual_time_s` is the work started so far divided by the weight, in seconds.
    """

    weight: float = field(init=False, default=1.0)
    limit: int | None = field(init=False, default=None)
    virtual_time_s: float = field(init=False, default=0.0)
    running: int = field(init=False, default=0)
    queued: int = field(init=False, default=0)
    queued_work_s: float = field(init=False, default=0.0)

    @property
    def may_start(self) -> bool:
        """Whether the limit of running tasks allows another start."""
        return self.limit is None or self.running < self.limit

    def add_queued(self, expected_s: float) -> None:
        """Add a queued task to the counters."""
        self.queued += 1
        self.queued_work_s += expected_s

    def remove_queued(self, count: int, work_s: float) -> None:
        """Subtract tasks that are no longer queued from the counters."""
        self.queued -= count
        self.queued_work_s = self.queued_work_s - work_s if self.queued else 0.0

    def charge(self, work_s: float) -> None:
        """Add work to the virtual time; a negative amount is a refund."""
        self.virtual_time_s += work_s / self.weight

    def limit_lag(self, system_virtual_time_s: float) -> None:
        """Limit the lag behind the system virtual time to `MAX_LAG_S`."""
        self.virtual_time_s = max(
            self.virtual_time_s, system_virtual_time_s - MAX_LAG_S
        )


@define(kw_only=True, eq=False)
class TeamNode(Node):
    """A team; `system_virtual_time_s` is the virtual time among its services."""

    name: str
    system_virtual_time_s: float = field(init=False, default=0.0)
    active_weight: float = field(init=False, default=0.0)
    services: dict[RunClass, LazyHeap] = field(init=False, factory=_build_heaps)

    def set_row(self, row: TeamRow, processes: int) -> None:
        """Set weight and quota from the table."""
        self.weight = row.weight
        self.limit = divide_limit(row.quota_slots, processes)


@define(kw_only=True, eq=False)
class ServiceNode(Node):
    """A service and its jobs with queued tasks."""

    name: str
    team: TeamNode
    jobs: dict[RunClass, LazyHeap] = field(init=False, factory=_build_heaps)

    def set_row(self, row: ServiceRow, processes: int) -> None:
        """Set weight and limit from the table."""
        self.weight = row.weight
        self.limit = divide_limit(row.max_running, processes)

    def update_ready(self) -> None:
        """Update the team's heaps to the classes in which a task may start."""
        for run_class, jobs in self.jobs.items():
            if len(jobs) and self.may_start:
                self.team.services[run_class].put(self.virtual_time_s, self)
            else:
                self.team.services[run_class].remove(self)


def divide_limit(limit: int | None, processes: int) -> int | None:
    """Return one process's share of a limit of the data centre."""
    if not limit:
        return limit
    return max(1, limit // processes)
