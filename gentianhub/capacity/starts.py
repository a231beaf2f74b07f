"""Starts of the waiting tasks of a cell: one pass over the queue and the targets."""

from collections.abc import Iterable, Iterator

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity.confirmations import (
    CellConfirmations,
    describe_age,
    is_recent,
)
from gentianhub.capacity.jobs import Cell, TaskKey, format_task_key
from gentianhub.capacity.leases import choose_lease_s
from gentianhub.capacity.placement import PlacementRound
from gentianhub.capacity.suspects import Suspects
from gentianhub.capacity.targets import Run, TargetState
from gentianhub.capacity.tasks import CellTask
from gentianhub.capacity.trials import RouteTrials
from gentianhub.capacity.waiting import WaitingTasks
from gentianhub.core.records import define, field, frozen

# Number of tasks that fit on no target now and may be skipped in favour of later ones.
MAX_SKIPPED_TASKS = 12


@frozen(kw_only=True)
class TaskGivenUp:
    """A waiting task ends, and with it its job; the scheduler applies this at once.

    The other tasks of the job must not start in the rest of the pass.
    """

    task: CellTask
    end: ev.TaskEnd


@define(kw_only=True, eq=False)
class TaskStarts:
    """The waiting tasks of a cell, and those that have been sent to a target.

    `may_start` is set if a task may have become startable since the last pass.
    """

    cell: Cell
    term: int
    suspects: Suspects
    confirmations: CellConfirmations
    may_start: bool = False
    waiting: WaitingTasks = field(init=False, factory=lambda: WaitingTasks())
    trials: RouteTrials = field(init=False, factory=lambda: RouteTrials())
    started_tasks: dict[TaskKey, CellTask] = field(init=False, factory=dict)
    _awaits_confirmation: bool = field(init=False, default=False)

    def push(self, task: CellTask, now_s: float) -> None:
        """Queue a task."""
        self.waiting.push(task, now_s)
        self.may_start = True

    def resume_after_confirmation(self) -> None:
        """Let the tasks start that waited for a confirmation of their job."""
        self.may_start = self.may_start or self._awaits_confirmation
        self._awaits_confirmation = False

    def start_tasks(self, targets: Iterable[TargetState], now_s: float) -> Iterator:
        """Start waiting tasks if any may have become startable since the last call."""
        if not self.may_start:
            return
        self.may_start = False
        if not self.waiting:
            return
        placement = PlacementRound(targets=targets, now_s=now_s)
        skipped = []
        skipped_suspects = []
        trials = []
        for task in self.waiting.pop_ordered(now_s):
            is_late = task.is_too_late(now_s)
            if is_late and not self.trials.may_start(task, now_s):
                yield from self._expire_task(task, placement, now_s)
                continue
            end = self.suspects.find_end([task.key])
            if end is not None:
                yield self.suspects.log_given_up([task.key], end)
                yield TaskGivenUp(task=task, end=end)
                continue
            if is_late:
                trials.append(task)
                continue
            if not is_recent(task.job.confirmed_s, now_s):
                yield from self.confirmations.hold_task(task, now_s)
                continue
            is_suspect = self.suspects.has_to_run_alone(task.key)
            choose_target = (
                placement.choose_exclusive_target
                if is_suspect
                else placement.choose_target
            )
            confirmed_s = task.job.confirmed_s
            target = choose_target(
                task.step, task.request.service, task.avoided, confirmed_s
            )
            if target is not None:
                yield self._start_task(task, target, now_s, is_suspect)
                continue
            if placement.needs_confirmation:
                self._awaits_confirmation = True
                front_host = task.job.front_host
                yield from self.confirmations.request_open_jobs(front_host, now_s)
            (skipped_suspects if is_suspect else skipped).append(task)
            if len(skipped) >= MAX_SKIPPED_TASKS:
                break
        for task in skipped + skipped_suspects:
            self.waiting.push(task, now_s)
        for task in trials:
            yield from self._start_trial(task, placement, now_s)

    def _start_trial(
        self, task: CellTask, placement: PlacementRound, now_s: float
    ) -> Iterator:
        """Start a task on trial if there is idle capacity; end its job otherwise."""
        if not task.is_waiting:
            return
        target = None
        may_start = (
            self.trials.may_start(task, now_s)
            and is_recent(task.job.confirmed_s, now_s)
            and not self.suspects.has_to_run_alone(task.key)
        )
        if may_start:
            target = placement.choose_target(
                task.step, task.request.service, task.avoided, task.job.confirmed_s
            )
        if target is not None:
            yield self._start_task(task, target, now_s, False)
        elif task.job.is_trial:
            self.waiting.push(task, now_s)
        else:
            yield from self._expire_task(task, placement, now_s)

    def _expire_task(
        self, task: CellTask, placement: PlacementRound, now_s: float
    ) -> Iterator:
        """End a waiting task, and with it its job, which is too late for its caller."""
        yield self._log_expiry(task, placement, now_s)
        yield TaskGivenUp(task=task, end=ev.TaskEnd.EXPIRED)

    def _log_expiry(
        self, task: CellTask, placement: PlacementRound, now_s: float
    ) -> fx.LogDecision:
        """Return the log line of a job that ends because of its expected run time."""
        inputs = {
            "cell": str(self.cell),
            "left_s": round(task.last_end_s - now_s, 4),
            "expected_s": round(task.expected_s, 4),
            "declared_s": task.step.estimate_s,
            "usable_targets": len(placement.usable),
            "idle_targets": sum(not target.runs for target in placement.usable),
        }
        return fx.LogDecision(
            decision="start too late", subject=format_task_key(task.key), inputs=inputs
        )

    def _start_task(
        self, task: CellTask, state: TargetState, now_s: float, is_exclusive: bool
    ) -> fx.StartRun:
        self.trials.record_start(task, now_s)
        task.last_run += 1
        task.target = state.name
        task.job.possible_runs += 1
        self.started_tasks[task.key] = task
        run = Run(
            key=task.key,
            number=task.last_run,
            job=task.job,
            demand=task.step.demand,
            sent_s=now_s,
            expected_s=task.expected_s * state.pace.value,
            is_exclusive=is_exclusive,
        )
        inputs = {
            "term": self.term,
            "front_host": str(task.job.front_host),
            "confirmed_age_s": describe_age(task.job.confirmed_s, now_s),
            "slack_s": round(task.objective_start_s - now_s, 4),
            "expected_s": round(run.expected_s, 4),
            "pace": round(state.pace.value, 2),
            "room_millicores": state.available.cpu_millicores,
            "report_age_s": round(now_s - state.last_report_s, 4),
        }
        if is_exclusive:
            inputs["exclusive"] = True
        if task.job.is_trial:
            inputs["trial"] = True
        state.add_run(run)
        lease_s = choose_lease_s(now_s - state.find_confirmed_s(now_s))
        state.extend_lease(now_s, lease_s)
        return fx.StartRun(
            inputs=inputs,
            target=state.entry,
            key=task.key,
            run=run.number,
            payload=task.request.payload,
            term=self.term,
            decided_s=now_s,
            lease_s=lease_s,
        )
