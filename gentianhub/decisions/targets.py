"""State of the targets as known to this process, and the choice among them."""

import random
from collections.abc import Iterable

from gentianhub.core import (
    Complete,
    Failed,
    NotRun,
    Step,
    TargetAddress,
    TaskId,
    Unknown,
)
from gentianhub.core.events import AttemptEnded
from gentianhub.core.records import define, field, frozen
from gentianhub.decisions.concurrency import ConcurrencyLimits
from gentianhub.decisions.departures import Departures
from gentianhub.decisions.ejection import Ejections
from gentianhub.decisions.placement import (
    FastestIdle,
    Placement,
    PlacementPolicy,
)
from gentianhub.decisions.slots import SlotHoldings
from gentianhub.decisions.speeds import Speeds
from gentianhub.decisions.warm_up import WarmingTargets

# Jobs with more tasks than this are not used as probes, because a failed probe fails
# its whole job.
MAX_PROBE_JOB_TASKS = 4
# After this wait a larger job is used as a probe, or no target would be reinstated
# where no small jobs are submitted.
LARGE_PROBE_WAIT_S = 1.0


@frozen(kw_only=True)
class TargetSelectionOptions:
    """Placement policy, and switches with which benchmarks disable features."""

    placement: PlacementPolicy = field(factory=lambda: FastestIdle())
    is_ejection_enabled: bool = True
    is_concurrency_limited: bool = True


@frozen(kw_only=True)
class StartRequest:
    """A task that is about to start; `refused_by` are targets that did not run it."""

    task_id: TaskId
    service: str
    kind: str
    job_tasks: int
    is_long: bool = False
    refused_by: tuple[str, ...] = ()


@define(kw_only=True, eq=False)
class RunningAttempt:
    """An attempt without an outcome.

    `in_use_at_start` counts the slots of the target in use at its start, its own
    included.
    """

    request: StartRequest
    started_s: float
    in_use_at_start: int


@define(kw_only=True, eq=False)
class TargetSelector:
    """Selects targets by slots held, speeds, ejections, limits and departures."""

    holdings: SlotHoldings = field(factory=lambda: SlotHoldings())
    options: TargetSelectionOptions = field(factory=lambda: TargetSelectionOptions())
    rng: random.Random = field(factory=random.Random)
    speeds: Speeds = field(init=False, factory=lambda: Speeds())
    departures: Departures = field(init=False, factory=lambda: Departures())
    warming: WarmingTargets = field(init=False, factory=lambda: WarmingTargets())
    ejections: Ejections = field(init=False)
    limits: ConcurrencyLimits = field(init=False)
    placement: Placement = field(init=False)
    _listed_names: set[str] = field(init=False, factory=set)
    _running_attempts: dict[TaskId, RunningAttempt] = field(init=False, factory=dict)

    def __attrs_post_init__(self):
        self.ejections = Ejections(
            rng=self.rng, is_enabled=self.options.is_ejection_enabled
        )
        self.limits = ConcurrencyLimits(
            rng=self.rng, is_enabled=self.options.is_concurrency_limited
        )
        self.placement = Placement(
            get_speed=self.speeds.get_speed,
            policy=self.options.placement,
            rng=self.rng,
        )

    @property
    def held(self) -> dict[str, int]:
        """Slots held per target."""
        return self.holdings.held

    @property
    def in_use(self) -> dict[str, int]:
        """Slots in use per target."""
        return self.holdings.in_use

    def count_idle(self, target: str) -> int:
        """Return the number of tasks, probes aside, that may start on a target now."""
        if self.ejections.is_ejected(target) or self.departures.is_leaving(target):
            return 0
        used = self.in_use.get(target, 0)
        limit = self.limits.get_limit(target, self.held.get(target, 0))
        if target in self.warming:
            limit = min(limit, 1)
        return max(0, min(limit - used, self.holdings.count_idle(target)))

    def add_idle(self, target: str) -> None:
        """Record that slots of a target were granted or freed."""
        self.placement.add_idle(target)

    def has_idle(self, now_s: float) -> bool:
        """Return whether any task could start now."""
        for target in (
            *self.limits.end_pauses(now_s),
            *self.warming.end_warm_ups(now_s),
        ):
            self.add_idle(target)
        return self.placement.has_idle(self) or self._is_probe_overdue(now_s)

    def choose(self, request: StartRequest, now_s: float) -> str | None:
        """Return the target on which the task starts now, or None."""
        probe = self._find_probe(now_s)
        fits = request.job_tasks <= MAX_PROBE_JOB_TASKS or self._is_probe_overdue(now_s)
        if probe and fits and not request.refused_by:
            return probe
        chosen = self.placement.choose(
            self, request.refused_by, is_long=request.is_long
        )
        return chosen or probe

    def _find_probe(self, now_s: float) -> str | None:
        return self.ejections.find_due_probe(now_s, self._may_probe)

    def _is_probe_overdue(self, now_s: float) -> bool:
        """Return whether a due probe has waited long enough for a small job."""
        return self._find_probe(now_s - LARGE_PROBE_WAIT_S) is not None

    def _may_probe(self, target: str) -> bool:
        is_leaving = self.departures.is_leaving(target)
        return not is_leaving and self.holdings.count_idle(target) > 0

    def record_start(self, target: str, request: StartRequest, now_s: float) -> None:
        """Occupy a slot of the chosen target."""
        self.holdings.occupy(target)
        if self.ejections.is_ejected(target):
            self.ejections.begin_probe(target, request.task_id)
        self.warming.record_start(target, now_s)
        self._running_attempts[request.task_id] = RunningAttempt(
            request=request, started_s=now_s, in_use_at_start=self.in_use[target]
        )

    def record_outcome(self, event: AttemptEnded, now_s: float) -> tuple[str, ...]:
        """Record an outcome; return the targets that did not run the task.

        The task's slot is still in use; the dispatcher frees it afterwards.
        """
        target, task_id = event.target, event.task_id
        in_use = self.in_use.get(target, 0)
        if event.leaving:
            self.departures.mark_leaving(target)
        attempt = self._running_attempts.pop(task_id)
        request = attempt.request
        match event.outcome:
            case Complete(run_s=run_s):
                self.warming.remove(target)
                self.ejections.record_success(target, task_id, now_s)
                slots = self.held.get(target, 0)
                self.limits.record_success(
                    target, attempt.in_use_at_start, in_use, slots
                )
                self.speeds.observe_run(
                    target, request.service, request.kind, run_s, now_s
                )
            case Failed(reason=reason) | Unknown(reason=reason):
                self.ejections.record_failure(target, task_id, reason, now_s)
            case NotRun() as outcome:
                self._record_not_run(event, outcome, attempt, now_s)
        self.add_idle(target)
        return (*request.refused_by, target)

    def _record_not_run(
        self,
        event: AttemptEnded,
        outcome: NotRun,
        attempt: RunningAttempt,
        now_s: float,
    ) -> None:
        target, task_id = event.target, event.task_id
        others = self.in_use.get(target, 1) - 1
        match outcome.step:
            case _ if event.leaving:
                self.ejections.record_inconclusive_probe(target, task_id, now_s)
            case Step.CONNECT_TARGET:
                self.ejections.record_connect_failure(
                    target, task_id, outcome.reason, now_s
                )
            case Step.AWAIT_REPLY:
                if others == 0:
                    self.ejections.record_refusal(
                        target, task_id, outcome.reason, now_s
                    )
                self.ejections.record_inconclusive_probe(target, task_id, now_s)
                self.limits.record_refusal(target, others, attempt.started_s, now_s)
            case _:
                self.ejections.record_inconclusive_probe(target, task_id, now_s)

    def update_list(self, targets: Iterable[TargetAddress], now_s: float) -> None:
        """Update the targets from the latest host list."""
        targets = tuple(targets)
        self.departures.update_list(targets, now_s)
        self.ejections.target_count = len(targets)
        for removed in self._listed_names - {target.name for target in targets}:
            self.speeds.remove_target(removed)
            self.ejections.remove_target(removed)
            self.limits.remove_target(removed)
            self.warming.remove(removed)
        self.warming.add({target.name for target in targets} - self._listed_names)
        self._listed_names = {target.name for target in targets}

    def describe_unused(self, now_s: float) -> dict[str, str]:
        """Return the reason for each target that is ejected or leaving."""
        return self.ejections.describe(now_s) | self.departures.describe()

    def describe_speeds(self) -> dict[str, float]:
        """Return the speed of each target that is in the host list."""
        speed = self.speeds.get_speed
        return {name: round(speed(name), 2) for name in sorted(self._listed_names)}
