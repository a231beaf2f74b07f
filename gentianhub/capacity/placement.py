"""Which target a task goes to.

Targets differ in speed and hold two or three tasks at a time, so that both the pace
and the room left over count: the fastest target first, and among targets of similar
pace the one that the task fills best.
"""

from collections.abc import Iterable

from gentianhub.capacity.jobs import JobStep
from gentianhub.capacity.targets import TargetState

# Targets whose paces differ by less than this share count as equally fast.
PACE_STEP = 0.25
# Factor on the time of a task away from its data, if the platform names none.
FAR_FACTOR = 2.0


def choose_target(
    targets: Iterable[TargetState],
    step: JobStep,
    service: str,
    avoided: frozenset[str],
    now_s: float,
) -> TargetState | None:
    """Return the best target that has room for a task of the step now."""
    usable = (
        target
        for target in targets
        if target.listed.service == service
        and target.is_usable(now_s)
        and step.demand.fits_in(target.room)
        and meets_constraints(target, step)
    )
    return min(usable, key=lambda t: rank_target(t, step, avoided), default=None)


def meets_constraints(target: TargetState, step: JobStep) -> bool:
    """Whether the step's label and its limit of tasks per target are met."""
    if step.required_label and step.required_label not in target.listed.labels:
        return False
    return not step.max_per_target or len(target.runs) < step.max_per_target


def rank_target(
    target: TargetState, step: JobStep, avoided: frozenset[str]
) -> tuple[bool, int, int]:
    """Return the sort key of a target; smaller is better."""
    pace = target.pace.value
    if step.data_rack and step.data_rack not in target.listed.labels:
        pace *= FAR_FACTOR
    left_over = target.room.cpu_millicores - step.demand.cpu_millicores
    return target.name in avoided, round(pace / PACE_STEP), left_over
