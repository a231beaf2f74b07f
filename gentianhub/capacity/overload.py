"""Load shedding of one cell: which waiting jobs its owner refuses, and when it decides.

It is in force only if the operator's routes have more than one priority, and refuses
nothing as long as the waiting work fits in the capacity of the cell.
"""

from collections.abc import Callable, Iterable, Iterator

from gentianhub.capacity.backlog import CapacityCurve, Occupancy, build_curve
from gentianhub.capacity.effects import ShedJob
from gentianhub.capacity.events import RunTasks
from gentianhub.capacity.jobs import Cell
from gentianhub.capacity.refusals import Candidate, Refusal, RefusalChoice
from gentianhub.capacity.shares import ServedShares
from gentianhub.capacity.targets import Run, TargetState
from gentianhub.capacity.tasks import CellJob, CellTask
from gentianhub.capacity.trials import RouteTrials
from gentianhub.capacity.waiting import (
    PRIORITY_ORDER,
    SLACK_ORDER,
    PriorityOrder,
    SlackOrder,
)
from gentianhub.capacity.worth import WorthEstimates
from gentianhub.core.records import define, evolve, field

# The order of starts stays that of an overload for this long after the last refusal, s.
# Each refusal lets the remaining work fit, so that the order would alternate.
OVERLOAD_HOLD_S = 0.5

# Waiting tasks that are reviewed in each tick on average. A review takes 5 us for each
# task, so that this limits reviews to about a tenth of a core.
TASKS_PER_TICK = 1250
# A curve that is older than this does not tell whether an arriving job fits, s.
MAX_CURVE_AGE_S = 0.1


@define(kw_only=True, eq=False)
class ServiceBacklog:
    """The work that waits for targets of one service, as of the last review.

    Work is in millicores times seconds.
    """

    curve: CapacityCurve
    work: float

    def add(self, work: float, latest_start_s: float, now_s: float) -> bool:
        """Add an arriving job; return whether it fits behind all other work."""
        self.work += work
        return (
            now_s <= self.curve.now_s + MAX_CURVE_AGE_S
            and self.work <= self.curve.find_startable(latest_start_s)
        )


@define(kw_only=True, eq=False)
class CellOverload:
    """Decides which waiting jobs of a cell are refused.

    Parameters
    ----------
    list_priorities : callable
        Returns the priorities of the operator's routes, sorted.
    """

    cell: Cell
    list_priorities: Callable[[], tuple[int, ...]]
    trials: RouteTrials
    occupancy: Occupancy = field(init=False, factory=lambda: Occupancy())
    _worths: WorthEstimates = field(init=False, factory=lambda: WorthEstimates())
    _shares: ServedShares = field(init=False, factory=lambda: ServedShares())
    _backlogs: dict[str, ServiceBacklog] = field(init=False, factory=dict)
    _refused_s: float = field(init=False, default=float("-inf"))
    _has_reviewed: bool = field(init=False, default=False)
    _is_due: bool = field(init=False, default=False)
    _skipped_ticks: int = field(init=False, default=0)

    @property
    def is_enabled(self) -> bool:
        """Whether routes differ in priority."""
        return len(self.list_priorities()) > 1

    def choose_order(self, now_s: float) -> SlackOrder | PriorityOrder:
        """Return the order in which waiting tasks start now."""
        if now_s < self._refused_s + OVERLOAD_HOLD_S:
            return PRIORITY_ORDER
        return SLACK_ORDER

    def begin_tick(self) -> None:
        """Allow one review of the waiting jobs until the next tick.

        After the review of many tasks, none is allowed for several ticks.
        """
        if self._skipped_ticks:
            self._skipped_ticks -= 1
            return
        self._has_reviewed, self._is_due = False, True

    def admit(self, job: CellJob, request: RunTasks, now_s: float) -> None:
        """Assess a job that waits, and check whether it fits behind those before it.

        A job counts as one of the first priority if its route or class is served less
        than its bound.
        """
        waiting = [task for task in job.tasks.values() if task.is_waiting]
        if not waiting or not self.is_enabled:
            return
        task = waiting[0]
        if job.worth is None:
            priorities = self.list_priorities()
            job.worth = self._worths.assess(request, task.expected_s, priorities)
            if self._shares.is_protected(job.worth):
                job.worth = evolve(job.worth, rank=0)
            self._shares.record_arrival(job.worth, now_s)
        backlog = self._backlogs.get(request.service)
        work = len(waiting) * self._measure_work(task)
        if backlog is None or not backlog.add(work, task.cutoff_start_s, now_s):
            self._is_due = True

    def record_end(self, run: Run, now_s: float) -> None:
        """Learn from a run that has ended."""
        self.occupancy.record_end(run, now_s)

    def record_expiry(self, job: CellJob, now_s: float) -> None:
        """Count a job as lost that has waited until it was too late for its caller."""
        if job.worth is not None and not job.is_cancelled:
            self._shares.record_loss(job.worth, now_s)

    def review(
        self,
        tasks: Iterable[CellTask],
        targets: Iterable[TargetState],
        now_s: float,
    ) -> Iterator[Refusal]:
        """Yield the jobs to refuse, unless this was done since the last tick."""
        if not self._is_due or self._has_reviewed:
            return
        self._is_due = False
        if not self.is_enabled:
            return
        jobs: dict[CellJob, list[CellTask]] = {}
        for task in tasks:
            jobs.setdefault(task.job, []).append(task)
        services: dict[str, list[list[CellTask]]] = {}
        for waiting in jobs.values():
            services.setdefault(waiting[0].request.service, []).append(waiting)
        self._has_reviewed = bool(jobs)
        self._skipped_ticks = sum(map(len, jobs.values())) // TASKS_PER_TICK
        for service, waiting_jobs in services.items():
            usable = (t for t in targets if t.entry.service == service)
            yield from self._review_service(service, waiting_jobs, usable, now_s)

    def _review_service(
        self,
        service: str,
        waiting: list[list[CellTask]],
        targets: Iterable[TargetState],
        now_s: float,
    ) -> Iterator[Refusal]:
        count = sum(map(len, waiting))
        millicores = sum(len(x) * x[0].step.demand.cpu_millicores for x in waiting)
        work = sum(len(x) * self._measure_work(x[0]) for x in waiting)
        mean_run_s = work / max(1, millicores)
        curve = build_curve(targets, mean_run_s, millicores / count, now_s)
        if not curve.millicores:
            # Nothing is known about the capacity yet.
            return
        choice = RefusalChoice(curve=curve, shares=self._shares)
        for refusal in choice.choose(self._build_candidates(waiting, curve)):
            self._refused_s = now_s
            yield refusal
        self._backlogs[service] = ServiceBacklog(curve=curve, work=choice.work)

    def _build_candidates(
        self, waiting: list[list[CellTask]], curve: CapacityCurve
    ) -> Iterator[Candidate]:
        for tasks in waiting:
            task = tasks[0]
            work = len(tasks) * self._measure_work(task)
            millicores = len(tasks) * task.step.demand.cpu_millicores
            yield Candidate(
                job=task.job,
                worth=task.job.worth,
                work=work,
                start_work=min(work, millicores * curve.mean_run_s),
                latest_start_s=task.cutoff_start_s,
                may_refuse=may_refuse(tasks),
                may_be_tried=self.trials.may_start(task, curve.now_s),
            )

    def _measure_work(self, task: CellTask) -> float:
        """Return the expected work of a task, in millicores times seconds."""
        millicores = task.step.demand.cpu_millicores
        return millicores * task.expected_s * self.occupancy.ratio

    def describe(self, refusal: Refusal, now_s: float) -> ShedJob:
        """Return the effect that logs and counts a refusal."""
        candidate, worth = refusal.candidate, refusal.candidate.worth
        first = next(iter(candidate.job.tasks.values()))
        inputs = {
            "cell": str(self.cell),
            "reason": refusal.reason.value,
            "route": worth.route,
            "size": worth.size.value,
            "worth_per_core_s": round(worth.per_core_s, 3),
            "left_s": round(candidate.latest_start_s - now_s, 4),
            "estimated_wait_s": round(refusal.work / refusal.millicores, 4),
            "estimated_work_core_s": round(candidate.work / 1000, 3),
            "usable_millicores": round(refusal.millicores),
            "occupancy": round(self.occupancy.ratio, 3),
        }
        return ShedJob(
            job=candidate.job.name, priority=first.request.priority, inputs=inputs
        )


def may_refuse(tasks: list[CellTask]) -> bool:
    """Whether a job is here as a whole and none of its tasks may have started.

    `tasks` are its waiting tasks.
    """
    job, request = tasks[0].job, tasks[0].request
    count = request.step.count
    return (
        job.worth is not None
        and not job.has_started
        and not request.is_repeat
        and not request.step_number
        and not request.step.after
        and len(tasks) == len(job.tasks) == count
    )
