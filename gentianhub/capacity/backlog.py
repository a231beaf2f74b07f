"""Fluid estimate of when a cell can start the work that waits in it."""

from bisect import bisect_right
from collections.abc import Iterable

from gentianhub.capacity.targets import Run, TargetState
from gentianhub.core.records import define, field, frozen

# An overdue run is expected to take this fraction of its expected time more.
OVERDUE_FRACTION = 0.5
# Fraction of the expected time that tasks in progress have left on average, on capacity
# that was in use before. Tasks that start at once have all of it left.
IN_PROGRESS_FRACTION = 0.5
# Weight of a new run in the moving averages of `Occupancy`.
OCCUPANCY_GAIN = 0.02
# The ratio is clipped: runs that were stopped or adopted tell little about others.
MIN_OCCUPANCY = 0.5
MAX_OCCUPANCY = 2.0


@frozen(kw_only=True)
class HeldCapacity:
    """Capacity in millicores that a present run holds until `end_s`."""

    millicores: float
    end_s: float


@define(kw_only=True, eq=False)
class Occupancy:
    """Ratio of the time for which runs hold their capacity to their expected time.

    It covers the delivery of starts and ends, the long tail of run times, and the bias
    of expected times that are means of logarithms.
    """

    _held_s: float = field(init=False, default=0.0)
    _expected_s: float = field(init=False, default=0.0)

    @property
    def ratio(self) -> float:
        """The ratio over recent runs; 1 if there were none."""
        if not self._expected_s:
            return 1.0
        return min(MAX_OCCUPANCY, max(MIN_OCCUPANCY, self._held_s / self._expected_s))

    def record_end(self, run: Run, now_s: float) -> None:
        """Update the ratio with a run that has ended."""
        if run.is_adopted:
            return
        self._held_s += OCCUPANCY_GAIN * (now_s - run.sent_s - self._held_s)
        self._expected_s += OCCUPANCY_GAIN * (run.expected_s - self._expected_s)


@define(kw_only=True, eq=False)
class CapacityCurve:
    """The work that waiting tasks can begin until a given time.

    Work is in millicores times seconds. `mean_run_s` is the mean expected run time of
    the waiting tasks: those that have started by a given time need not have ended.
    """

    now_s: float
    millicores: float
    mean_run_s: float
    held: Iterable[HeldCapacity]
    _times_s: list[float] = field(init=False)
    _areas: list[float] = field(init=False)
    _free: list[float] = field(init=False)

    def __attrs_post_init__(self):
        held = sorted(self.held, key=lambda item: item.end_s)
        free = self.millicores - sum(item.millicores for item in held)
        self._times_s, self._areas, self._free = [self.now_s], [0.0], [free]
        for item in held:
            area = self._areas[-1] + free * (item.end_s - self._times_s[-1])
            free += item.millicores
            self._times_s.append(item.end_s)
            self._areas.append(area)
            self._free.append(free)

    def find_startable(self, until_s: float) -> float:
        """Return the work of which the last task can start by `until_s`."""
        index = bisect_right(self._times_s, until_s) - 1
        if index < 0:
            return 0.0
        free = self._free[index]
        area = self._areas[index] + free * (until_s - self._times_s[index])
        released = free - self._free[0]
        in_progress = self._free[0] + IN_PROGRESS_FRACTION * released
        return max(0.0, area + self.mean_run_s * in_progress)


def build_curve(
    targets: Iterable[TargetState],
    mean_run_s: float,
    typical_millicores: float,
    now_s: float,
) -> CapacityCurve:
    """Return the curve of the usable targets with their present runs.

    The capacity of a target is what tasks of the typical size can use of it, divided by
    its pace, since expected run times are those at a pace of 1.
    """
    usable = [target for target in targets if target.is_usable(now_s)]
    return CapacityCurve(
        now_s=now_s,
        millicores=sum(_count_millicores(t, typical_millicores) for t in usable),
        mean_run_s=mean_run_s,
        held=(
            HeldCapacity(
                millicores=run.demand.cpu_millicores / target.pace.value,
                end_s=predict_end_s(run, now_s),
            )
            for target in usable
            for run in target.runs.values()
        ),
    )


def predict_end_s(run: Run, now_s: float) -> float:
    """Return the monotonic time at which a present run should end, s."""
    left_s = run.sent_s + run.expected_s - now_s
    return now_s + max(left_s, OVERDUE_FRACTION * run.expected_s)


def _count_millicores(target: TargetState, typical_millicores: float) -> float:
    millicores = target.entry.capacity.cpu_millicores
    if 0 < typical_millicores <= millicores:
        millicores = millicores // typical_millicores * typical_millicores
    return millicores / target.pace.value
