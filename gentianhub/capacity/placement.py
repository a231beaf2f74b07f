"""Choice of the target for a task.

Targets differ in speed and run two or three tasks at a time, so both speed and
fragmentation matter. The fastest target is preferred, and among targets of similar
speed the one with the least capacity left over (best fit).
"""

from attrs import define, field

from gentianhub.capacity.jobs import JobStep
from gentianhub.capacity.resources import Resources
from gentianhub.capacity.targets import TargetState

# Width of the buckets within which targets count as equally fast.
PACE_BUCKET = 0.25
# Factor on the run time of a task that does not run in the rack of its data, if the
# platform specifies none.
REMOTE_DATA_FACTOR = 2.0


@define(kw_only=True, eq=False)
class PlacementRound:
    """One pass over the waiting tasks, in which usable targets are found once.

    Under overload most tasks fit on no target. Once a task did not fit, tasks that need
    as much are not compared with the targets again: otherwise each event would cost the
    product of waiting tasks and targets, and an overloaded owner would become slower
    with the load.
    """

    usable: list[TargetState]
    _too_large: list[tuple[str, Resources]] = field(init=False, factory=list)

    def choose_target(
        self, step: JobStep, service: str, avoided: frozenset[str]
    ) -> TargetState | None:
        """Return the best target that can run a task of the step now, or None."""
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
        usable = (
            target
            for target in fitting
            if meets_constraints(target, step)
            and not (target.health.is_suspect and target.runs)
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
