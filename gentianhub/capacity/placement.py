"""Choice of the target for a task.

Targets differ in speed and run two or three tasks at a time, so both speed and
fragmentation matter. The fastest target is preferred, and among targets of similar
speed the one with the least capacity left over (best fit).
"""

from collections.abc import Iterable

from gentianhub.capacity.jobs import JobStep
from gentianhub.capacity.targets import TargetState

# Width of the buckets within which targets count as equally fast.
PACE_BUCKET = 0.25
# Factor on the run time of a task that does not run in the rack of its data, if the
# platform specifies none.
REMOTE_DATA_FACTOR = 2.0


def choose_target(
    targets: Iterable[TargetState],
    step: JobStep,
    service: str,
    avoided: frozenset[str],
    now_s: float,
) -> TargetState | None:
    """Return the best target that can run a task of the step now, or None."""
    usable = (
        target
        for target in targets
        if target.entry.service == service
        and target.is_usable(now_s)
        and step.demand.fits_in(target.available)
        and meets_constraints(target, step)
    )
    return min(usable, key=lambda t: rank_target(t, step, avoided), default=None)


def meets_constraints(target: TargetState, step: JobStep) -> bool:
    """Whether a target has the step's label and is below its limit of tasks."""
    if step.required_label and step.required_label not in target.entry.labels:
        return False
    return not step.max_per_target or len(target.runs) < step.max_per_target


def rank_target(
    target: TargetState, step: JobStep, avoided: frozenset[str]
) -> tuple[bool, int, int]:
    """Return the sort key of a target; smaller is better."""
    pace = target.pace.value
    if step.data_rack and step.data_rack not in target.entry.labels:
        pace *= REMOTE_DATA_FACTOR
    left_over = target.available.cpu_millicores - step.demand.cpu_millicores
    return target.name in avoided, round(pace / PACE_BUCKET), left_over
