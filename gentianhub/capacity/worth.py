"""What the answer to a job is worth to its caller, and how large the job is."""

import enum
from bisect import bisect_left, insort
from collections import deque

from gentianhub.capacity.events import RunTasks
from gentianhub.core.records import define, field, frozen

# Worth of a job: a fixed part, and one that grows with its work relative to the mean
# work of its route. These are the weights that the platform's users have stated.
FIXED_WORTH = 0.3
WORTH_PER_MEAN_WORK = 0.7
# Weight of a new job in the moving average of the work of a route's jobs.
WORK_GAIN = 0.02
# Number of recent jobs of a route that the bounds of the size classes come from.
RECENT_JOBS = 100
# Fractions of a route's jobs below the largest class and below the one after it.
LARGEST_QUANTILE = 0.9
LARGE_QUANTILE = 0.7
# Fewer recent jobs than this tell no quantiles.
MIN_RECENT_JOBS = 20


class SizeClass(enum.Enum):
    """The largest tenth of a route's jobs, the fifth below it, and the others."""

    LARGEST = "largest"
    LARGE = "large"
    OTHER = "other"


@frozen(kw_only=True, eq=False)
class JobWorth:
    """The worth of one job to its caller, and its work in core-seconds.

    `rank` is the position of its priority among those of the configuration; rank 0 is
    served first.
    """

    route: str
    size: SizeClass
    rank: int
    work_core_s: float
    worth: float

    @property
    def per_core_s(self) -> float:
        """Worth of a core-second that is spent on the job, without its priority."""
        return self.worth / self.work_core_s


@define(kw_only=True, eq=False)
class RouteWork:
    """Mean and quantiles of the work of a route's jobs, in core-seconds."""

    mean_core_s: float
    _recent: deque[float] = field(init=False, factory=deque)
    _sorted: list[float] = field(init=False, factory=list)

    def observe(self, work_core_s: float) -> None:
        """Update the mean and the quantiles with the work of a new job."""
        self.mean_core_s += WORK_GAIN * (work_core_s - self.mean_core_s)
        self._recent.append(work_core_s)
        insort(self._sorted, work_core_s)
        if len(self._recent) > RECENT_JOBS:
            oldest = self._recent.popleft()
            del self._sorted[bisect_left(self._sorted, oldest)]

    def classify(self, work_core_s: float) -> SizeClass:
        """Return the size class of a job among the recent jobs of the route."""
        count = len(self._sorted)
        if count < MIN_RECENT_JOBS:
            return SizeClass.OTHER
        if work_core_s >= self._sorted[int(LARGEST_QUANTILE * count)]:
            return SizeClass.LARGEST
        if work_core_s >= self._sorted[int(LARGE_QUANTILE * count)]:
            return SizeClass.LARGE
        return SizeClass.OTHER


@define(kw_only=True, eq=False)
class WorthEstimates:
    """Learns the work of each route's jobs, and assesses new jobs by it."""

    _routes: dict[str, RouteWork] = field(init=False, factory=dict)

    def assess(
        self, request: RunTasks, expected_s: float, priorities: tuple[int, ...]
    ) -> JobWorth:
        """Return the worth of a job whose tasks are expected to run for `expected_s`.

        `priorities` are those of the configuration, sorted.
        """
        step = request.step
        # A demand of 0 or an expected time of 0 would make the worth per work infinite.
        millicores = max(1, step.demand.cpu_millicores)
        work_core_s = step.count * millicores / 1000 * max(1e-3, expected_s)
        known = self._routes.get(request.route)
        if known is None:
            known = self._routes[request.route] = RouteWork(mean_core_s=work_core_s)
        known.observe(work_core_s)
        return JobWorth(
            route=request.route,
            size=known.classify(work_core_s),
            rank=bisect_left(priorities, request.priority),
            work_core_s=work_core_s,
            worth=FIXED_WORTH + WORTH_PER_MEAN_WORK * work_core_s / known.mean_core_s,
        )
