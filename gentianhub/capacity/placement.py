"""Choice of the target for a task.

Targets differ in speed and run two or three tasks at a time, so both speed and
fragmentation matter. The fastest target is preferred, and among targets of similar
speed the one with the least capacity left over (best fit).
"""

from collections.abc import Iterable

from gentianhub.capacity.jobs import JobStep
from gentianhub.capacity.resources import Resources
from gentianhub.capacity.targets import TargetState
from gentianhub.core.records import define, field

# Width of the buckets within which targets count as equally fast.
PACE_BUCKET = 0.25
# Factor on the run time of a task that does not run in the rack of its data, if the
# platform specifies none.
REMOTE_DATA_FACTOR = 2.0
# Largest fraction of the targets that are used or kept free for tasks that run alone.
# After the loss of many targets there are many of them, and other work goes on.
MAX_EXCLUSIVE_FRACTION = 0.25


@define(kw_only=True, eq=False)
class PlacementRound:
    """One pass over the waiting tasks, in which usable targets are found once.

    Under overload most tasks fit on no target. Once a task did not fit, tasks that need
    as much are not compared with the targets again: otherwise each event would cost the
    product of waiting tasks and targets, and an overloaded owner would become slower
    with the load. `needs_confirmation` is set if the last task fitted only on targets
    whose leases are too long for the confirmation of its job.
    """

    targets: Iterable[TargetState]
    now_s: float
    usable: list[TargetState] = field(init=False)
    needs_confirmation: bool = field(init=False, default=False)
    _exclusive_left: int = field(init=False)
    _too_large: list[tuple[str, Resources]] = field(init=False, factory=list)

    def __attrs_post_init__(self):
        targets = list(self.targets)
        self.usable = [t for t in targets if t.is_usable(self.now_s)]
        in_use = sum(target.exclusive_task is not None for target in targets)
        limit = max(1, round(MAX_EXCLUSIVE_FRACTION * len(targets)))
        self._exclusive_left = limit - in_use

    def choose_exclusive_target(
        self,
        step: JobStep,
        service: str,
        avoided: frozenset[str],
        confirmed_s: float,
    ) -> TargetState | None:
        """Return the best idle target for a task that has to run alone, or None.

        Its job was confirmed at `confirmed_s`. If none is idle, the one that will be
        soonest gets no other task in this round, so that the task does not wait for as
        long as there is load.
        """
        self.needs_confirmation = False
        if self._exclusive_left <= 0:
            return None
        suitable = [
            target
            for target in self.usable
            if target.entry.service == service
            and step.demand.fits_in(target.entry.capacity)
            and has_required_label(target, step)
        ]
        suitable = self._filter_by_lease(suitable, confirmed_s)
        if not suitable:
            return None
        self._exclusive_left -= 1
        idle = [target for target in suitable if not target.runs]
        if idle:
            chosen = min(idle, key=lambda t: rank_target(t, step, avoided))
        else:
            chosen = min(suitable, key=lambda t: t.predict_idle_s())
        self.usable.remove(chosen)
        return chosen if idle else None

    def choose_target(
        self,
        step: JobStep,
        service: str,
        avoided: frozenset[str],
        confirmed_s: float,
    ) -> TargetState | None:
        """Return the best target that can run a task of the step now, or None.

        Its job was confirmed at `confirmed_s`.
        """
        self.needs_confirmation = False
        if any(
            service == other and demand.fits_in(step.demand)
            for other, demand in self._too_large
        ):
            return None
        fitting = [
            target
            for target in self.usable
            if target.entry.service == service and step.demand.fits_in(target.available)
        ]
        if not fitting:
            self._too_large.append((service, step.demand))
        usable = [
            target
            for target in fitting
            if meets_constraints(target, step)
            and not (target.health.is_suspect and target.runs)
        ]
        usable = self._filter_by_lease(usable, confirmed_s)
        return min(usable, key=lambda t: rank_target(t, step, avoided), default=None)

    def _filter_by_lease(
        self, targets: list[TargetState], confirmed_s: float
    ) -> list[TargetState]:
        allowed = [target for target in targets if target.may_start(confirmed_s)]
        self.needs_confirmation = bool(targets) and not allowed
        return allowed


def meets_constraints(target: TargetState, step: JobStep) -> bool:
    """Whether a target has the step's label and is below its limit of tasks."""
    return has_required_label(target, step) and (
        not step.max_per_target or len(target.runs) < step.max_per_target
    )


def has_required_label(target: TargetState, step: JobStep) -> bool:
    """Whether a target has the label that a step requires, if it requires one."""
    return not step.required_label or step.required_label in target.entry.labels


def rank_target(
    target: TargetState, step: JobStep, avoided: frozenset[str]
) -> tuple[bool, int, int]:
    """Return the sort key of a target; smaller is better."""
    pace = target.pace.value
    if step.data_rack and step.data_rack not in target.entry.labels:
        pace *= REMOTE_DATA_FACTOR
    left_over = target.available.cpu_millicores - step.demand.cpu_millicores
    return target.name in avoided, round(pace / PACE_BUCKET), left_over
