"""Jobs, targets, cells and the operator's configuration."""

import hashlib
import math
from collections.abc import Iterable
from itertools import islice

from gentianhub.capacity.resources import Resources
from gentianhub.core.records import Factory, field, frozen
from gentianhub.core.request_limits import RequestLimits

# The owner of a cell of 59 targets used at most 0.38 of a core at the load peak of the
# users' grown deployment. Larger cells waste less capacity by fragmentation.
TARGETS_PER_CELL = 48
# Most tasks that one log line names.
MAX_LOGGED_TASKS = 16


@frozen(kw_only=True)
class JobStep:
    """A step of a job: `count` tasks with equal requests.

    `estimate_s` is the caller's rough estimate of a task's run time, or 0 if none was
    given. `after` lists the steps that must be completed first. A `max_per_target` of 0
    means no limit, and an empty `required_label` or `data_rack` no requirement.
    """

    count: int
    demand: Resources
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    required_label: str = ""
    data_rack: str = ""
    max_per_target: int = 0


@frozen(kw_only=True)
class CapacityJob:
    """A job as submitted by a caller.

    `unsupported` names the first feature of the submission that this version does not
    support; such a job is refused before any of its tasks starts.
    """

    payload: str
    steps: tuple[JobStep, ...]
    is_durable: bool = False
    unsupported: str = ""


@frozen(kw_only=True, cache_hash=True, order=True)
class TaskKey:
    """Identifies a task by its job id, step number and index, which start at 0."""

    job: str
    step: int
    index: int


def build_task_keys(job: str, step: int, indexes: Iterable[int]) -> list[TaskKey]:
    """Return the keys of tasks of one step of a job."""
    return [TaskKey(job=job, step=step, index=index) for index in indexes]


def format_task_key(key: TaskKey) -> str:
    """Return a task's identifier for log lines, as JOB/STEP/INDEX."""
    return f"{key.job}/{key.step}/{key.index}"


def format_task_keys(keys: Iterable[TaskKey]) -> list[str]:
    """Return the identifiers of the first tasks, as many as a log line may name."""
    return [format_task_key(key) for key in islice(keys, MAX_LOGGED_TASKS)]


@frozen(kw_only=True)
class Route:
    """A route of the operator's configuration: a URL prefix and its settings.

    The latency objective is `objective_s` plus `stretch` times the expected run time.
    `max_attempts` limits the runs of a task that end as failed.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    objective_s: float = 0.0
    stretch: float = 1.0
    timeout_s: float = 0.0
    requires_advice: bool = False


@frozen(kw_only=True)
class Configuration:
    """One version of the operator's configuration.

    The setting whether targets refuse tasks that do not fit is not stored, because no
    start ever exceeds the available capacity of a target. `priorities` are those of the
    routes, sorted; the least one is the most urgent.
    """

    version: int
    routes: tuple[Route, ...] = ()
    limits: RequestLimits = Factory(RequestLimits)
    priorities: tuple[int, ...] = field(init=False)
    _routes_by_host: dict[str, list[Route]] = field(init=False, eq=False, repr=False)

    @priorities.default
    def _sort_priorities(self) -> tuple[int, ...]:
        return tuple(sorted({route.priority for route in self.routes}))

    @_routes_by_host.default
    def _group_routes(self) -> dict[str, list[Route]]:
        routes_by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            routes_by_host.setdefault(route.host, []).append(route)
        return routes_by_host

    def find_rank(self, route: Route) -> int | None:
        """Return the position of a route's priority; None if all have the same."""
        if len(self.priorities) < 2 or route.priority not in self.priorities:
            return None
        return self.priorities.index(route.priority)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest prefix of the path, or None."""
        matching = (
            route
            for route in self._routes_by_host.get(host, ())
            if path.startswith(route.prefix)
        )
        return max(matching, key=lambda route: len(route.prefix), default=None)


@frozen(kw_only=True)
class ListedTarget:
    """A target as listed by service discovery.

    `incarnation` changes when the target restarts under the same name.
    """

    name: str
    incarnation: int
    host: str
    port: int
    data_centre: str
    service: str
    capacity: Resources
    labels: tuple[str, ...] = ()
    is_leaving: bool = False

    @property
    def address(self) -> tuple[str, int]:
        """Address of the target as a pair of host and port."""
        return self.host, self.port


@frozen(kw_only=True, cache_hash=True, order=True)
class Cell:
    """A group of targets with one owner: part `index` of `count` of a data centre."""

    data_centre: str
    index: int = 0
    count: int = 1

    def __str__(self) -> str:
        return f"{self.data_centre}/{self.index}of{self.count}"

    def contains(self, target: "ListedTarget") -> bool:
        """Whether a target belongs to the cell."""
        if target.data_centre != self.data_centre:
            return False
        digest = hashlib.blake2b(target.name.encode(), digest_size=8).digest()
        return int.from_bytes(digest) % self.count == self.index


def list_cells(data_centre: str, count: int) -> tuple[Cell, ...]:
    """Return the cells of a data centre that is divided into `count` cells."""
    return tuple(
        Cell(data_centre=data_centre, index=index, count=count)
        for index in range(count)
    )


def count_cells(targets: int) -> int:
    """Return the number of cells for a data centre with this many targets."""
    return max(1, math.ceil(targets / TARGETS_PER_CELL))
