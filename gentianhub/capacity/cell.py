"""The scheduler of one cell: events in, effects out, no socket and no clock.

The owner of a cell alone renews the leases of its targets, notes the ends of runs and
starts tasks there, under a fencing token that the targets compare.
"""

from collections.abc import Iterator

from attrs import define, evolve, field

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity.estimates import RunEstimates
from gentianhub.capacity.jobs import Cell, JobStep, ListedTarget, TaskKey
from gentianhub.capacity.leases import (
    LEASE_S,
    RENEWAL_WAIT_S,
    bound_lapse,
)
from gentianhub.capacity.placement import choose_target
from gentianhub.capacity.targets import Run, RunPhase, TargetPhase, TargetState
from gentianhub.capacity.turnover import SlotTurnover
from gentianhub.capacity.waiting import WaitingTasks
from gentianhub.core import Incarnation

# A new owner lets runs that nobody has claimed yet live for so long, s.
ORPHAN_S = 0.5
# Ends are kept so long for a front host that asks again, s.
END_RETENTION_S = 3.0
# Tasks that do not fit now and are passed over in favour of later ones that do.
MAX_PASSED_OVER = 12
# An answer later than this multiple of its objective is of no use to the caller.
LATE_FACTOR = 3.0
# A task that has not run yet is given up when it would end after this multiple of its
# objective: while it waits there is more work than capacity, and running it would make
# further jobs late.
GIVE_UP_FACTOR = 1.5
# Share of its slack that a task may wait; the rest is for the spread of run times and
# for the way to the caller.
SLACK_SHARE = 0.6
# A stop without a confirmation is sent again after this time, s.
STOP_RETRY_S = 0.15
# A target that answers is used for so long after it vanished from the list, s. Entries
# that lapsed during an outage of the store are back within about 2 s of its end.
MISSING_S = 2.5
# A run without progress for this time, or this share of its expected time, is stuck.
STALL_S = 0.4
STALL_SHARE = 0.4


@define(kw_only=True, eq=False)
class CellJob:
    """The tasks of one job that one front host has given to this cell."""

    front: Incarnation
    name: str
    has_started: bool = False
    is_late: bool = False
    is_cancelled: bool = False
    changed_s: float = 0.0
    tasks: dict[TaskKey, "CellTask"] = field(factory=dict)


@define(kw_only=True, eq=False)
class CellTask:
    """A task; `target` is where it runs, `end` its outcome.

    A start after `latest_start_s` is likely to miss the objective. After
    `last_start_s` a task is not started for the first time, after `last_repeat_s` not
    again. `order_s` is the time by which it should have its turn. All are monotonic.
    """

    key: TaskKey
    job: CellJob
    order: ev.RunTasks
    latest_start_s: float
    last_start_s: float
    last_repeat_s: float
    order_s: float
    expected_s: float
    target: str | None = None
    end: ev.TaskEnd | None = None
    is_blocked: bool = False
    last_run: int = 0
    failures: int = 0
    avoided: frozenset[str] = frozenset()

    @property
    def step(self) -> JobStep:
        """The step that the task belongs to."""
        return self.order.step

    @property
    def is_waiting(self) -> bool:
        """Whether the task may be started."""
        return self.target is None and self.end is None and not self.is_blocked


@define(kw_only=True, eq=False)
class CellScheduler:
    """Decides which task runs on which target of a cell.

    Parameters
    ----------
    term : int
        The fencing token under which targets are called.
    owned_since_s : float
        Monotonic time at which the cell was taken over.
    """

    cell: Cell
    term: int
    owned_since_s: float
    estimates: RunEstimates = field(factory=lambda: RunEstimates())
    targets: dict[str, TargetState] = field(init=False, factory=dict)
    jobs: dict[tuple[Incarnation, str], CellJob] = field(init=False, factory=dict)
    waiting: WaitingTasks = field(init=False, factory=lambda: WaitingTasks())
    turnover: SlotTurnover = field(init=False, factory=lambda: SlotTurnover())
    _placed: dict[TaskKey, CellTask] = field(init=False, factory=dict)
    _blocked: list[CellTask] = field(init=False, factory=list)

    def handle(self, event, now_s: float, front: Incarnation | None = None) -> Iterator:
        """Yield the effects of one event; `front` is the sender of a request."""
        match event:
            case ev.RunTasks():
                yield from self._take_order(event, front, now_s)
            case ev.CancelTasks(job=job):
                known = self.jobs.get((front, job))
                yield from self._cancel_job(known, now_s)
                yield self._confirm_cancel(job, front, known)
            case ev.FrontLost(front=lost):
                for job in [j for j in self.jobs.values() if j.front == lost]:
                    yield from self._cancel_job(job, now_s)
            case ev.TargetsListed(targets=targets):
                yield from self._list_targets(targets, now_s)
            case ev.TargetReported():
                yield from self._take_report(event, now_s)
            case ev.TargetSilent():
                yield from self._note_silence(event, now_s)
            case ev.StartAnswered():
                yield from self._take_start(event, now_s)
            case ev.StopAnswered():
                yield from self._take_stop(event, now_s)
            case ev.Tick():
                yield from self._pass_time(now_s)
        yield from self._start_tasks(now_s)

    def describe_load(self, now_s: float) -> ev.CellClaim:
        """Return the claim on the cell with its present load."""
        usable = [t for t in self.targets.values() if t.is_usable(now_s)]
        queued = sum(
            task.step.demand.cpu_millicores * task.expected_s
            for task in self.waiting.iterate()
        )
        return ev.CellClaim(
            cell=self.cell,
            term=self.term,
            free_millicores=sum(max(0, t.room.cpu_millicores) for t in usable),
            queued_millicore_s=round(queued),
            total_millicores=sum(t.listed.capacity.cpu_millicores for t in usable),
        )

    # Requests of front hosts

    def _take_order(
        self, order: ev.RunTasks, front: Incarnation, now_s: float
    ) -> Iterator:
        known = self.jobs.get((front, order.job))
        if known is None:
            known = CellJob(front=front, name=order.job, changed_s=now_s)
            self.jobs[(front, order.job)] = known
        if known.is_cancelled:
            yield self._refuse_cancelled(order, known)
            return
        predicted_s = self.estimates.predict(order.route, order.step.estimate_s)
        keys = [
            TaskKey(job=order.job, step=order.step_number, index=index)
            for index in order.indexes
        ]
        fresh = [key for key in keys if key not in known.tasks]
        yield from self._repeat_ends(known, [k for k in keys if k in known.tasks])
        accepted_s = now_s - order.age_s
        objective_s = order.objective_s + order.stretch * predicted_s
        deadline_s = order.deadline_in_s + order.age_s
        slack_s = SLACK_SHARE * (objective_s - predicted_s)
        for key in fresh:
            task = CellTask(
                key=key,
                job=known,
                order=order,
                latest_start_s=accepted_s + slack_s,
                last_start_s=accepted_s
                + min(deadline_s, GIVE_UP_FACTOR * objective_s)
                - predicted_s,
                last_repeat_s=accepted_s
                + min(deadline_s, LATE_FACTOR * objective_s)
                - predicted_s,
                order_s=accepted_s
                + slack_s
                - self.turnover.estimate_wait_s(len(fresh)),
                expected_s=predicted_s,
            )
            known.tasks[key] = task
            yield from self._admit_task(task, now_s)
        if order.may_decline:
            yield from self._start_tasks(now_s)
            yield from self._decline_waiting(known, fresh, now_s)

    def _repeat_ends(self, job: CellJob, keys: list[TaskKey]) -> Iterator:
        for key in keys:
            task = job.tasks[key]
            if task.end is not None:
                yield self._report(task)

    def _admit_task(self, task: CellTask, now_s: float) -> Iterator:
        """Queue a task, adopt its run, or wait until earlier runs are known."""
        earlier = self._placed.get(task.key)
        if earlier is not None:
            # Another front host has the job now; its first one is gone.
            task.is_blocked = True
            self._blocked.append(task)
            yield from self._cancel_job(earlier.job, now_s)
            return
        for target in self.targets.values():
            if task.key in target.orphans:
                self._adopt_run(task, target, now_s)
                return
            if task.key in target.past_ends:
                yield from self._end_run(task, target.past_ends[task.key], now_s)
                return
        if task.order.is_repeat and not self._is_surveyed(now_s):
            task.is_blocked = True
            self._blocked.append(task)
            return
        self.waiting.push(task, now_s)

    def _adopt_run(self, task: CellTask, target: TargetState, now_s: float) -> None:
        number = target.orphans.pop(task.key)
        run = Run(
            key=task.key,
            number=number,
            demand=task.step.demand,
            sent_s=now_s,
            expected_s=task.expected_s * target.pace.value,
            phase=RunPhase.RUNNING,
            confirmed_s=now_s,
            progress_s=now_s,
        )
        target.add_run(run)
        task.target, task.last_run = target.name, number
        task.job.has_started = True
        self._placed[task.key] = task

    def _is_surveyed(self, now_s: float) -> bool:
        """Whether no run of an earlier owner can be alive without being known."""
        if now_s > bound_lapse(self.owned_since_s):
            return True
        return bool(self.targets) and all(
            target.phase is TargetPhase.READY for target in self.targets.values()
        )

    def _decline_waiting(
        self, job: CellJob, keys: list[TaskKey], now_s: float
    ) -> Iterator:
        declined = [job.tasks[key] for key in keys if job.tasks[key].is_waiting]
        for task in declined:
            del job.tasks[task.key]
            task.is_blocked = True
        if declined:
            yield self._describe_end(declined, ev.TaskEnd.DECLINED)

    def _cancel_job(self, job: CellJob | None, now_s: float) -> Iterator:
        if job is None or job.is_cancelled:
            return
        job.is_cancelled = True
        job.changed_s = now_s
        for task in job.tasks.values():
            if task.target is None:
                task.is_blocked = True
                continue
            target = self.targets.get(task.target)
            run = target.runs.get(task.key) if target is not None else None
            if run is not None and run.phase is not RunPhase.STOPPING:
                yield from self._stop_run(target, run, now_s)

    # Targets

    def _list_targets(self, listed: tuple[ListedTarget, ...], now_s: float) -> Iterator:
        names = {target.name for target in listed}
        for state in self.targets.values():
            if state.name in names:
                state.missing_since_s = None
            elif state.missing_since_s is None:
                state.missing_since_s = now_s
                yield self._note("target not listed", state.name, runs=len(state.runs))
        for target in listed:
            yield from self._list_target(target, now_s)

    def _list_target(self, target: ListedTarget, now_s: float) -> Iterator:
        state = self.targets.get(target.name)
        if state is not None and state.listed.port_pair != target.port_pair:
            # The name has moved to another address: a new life of the target.
            yield fx.ForgetTarget(target=target.name)
        if state is None:
            state = TargetState(listed=target)
            self.targets[target.name] = state
            yield self._note("target listed", target.name, leaving=target.is_leaving)
            yield self._renew(state, now_s)
            return
        if target.is_leaving and not state.listed.is_leaving:
            yield self._note("target leaves", target.name, runs=len(state.runs))
        state.listed = target

    def _renew(self, state: TargetState, now_s: float) -> fx.RenewLease:
        """Renew the lease of a target that answers; only look at one that does not."""
        is_answering = state.phase is not TargetPhase.SILENT
        if is_answering:
            state.lapse_s = bound_lapse(now_s)
        is_ready = state.phase is TargetPhase.READY
        return fx.RenewLease(
            target=state.listed,
            term=self.term,
            lease_s=LEASE_S if is_answering else 0.0,
            acknowledged=state.acknowledged,
            wait_s=RENEWAL_WAIT_S if is_ready else 0.0,
        )

    def _take_report(self, report: ev.TargetReported, now_s: float) -> Iterator:
        state = self.targets.get(report.target)
        if state is None:
            return
        if state.phase is TargetPhase.SILENT:
            yield self._note("target answers", state.name, runs=len(state.runs))
        if state.incarnation not in (None, report.incarnation):
            yield self._note("target restarted", state.name, runs=len(state.runs))
            state.acknowledged = 0
            state.orphans.clear()
            state.past_ends.clear()
            yield from self._lose_runs(state, now_s)
        state.reported_s = now_s
        is_first = state.phase is TargetPhase.UNLISTED
        state.incarnation = report.incarnation
        state.phase = TargetPhase.READY
        yield from self._take_ends(state, report, is_first, now_s)
        yield from self._take_running(state, report, now_s)
        yield self._renew(state, now_s)
        if is_first:
            yield from self._release_blocked(now_s)

    def _take_ends(
        self,
        state: TargetState,
        report: ev.TargetReported,
        is_first: bool,
        now_s: float,
    ) -> Iterator:
        for ended in report.ended:
            if ended.number <= state.acknowledged:
                continue
            state.acknowledged = ended.number
            state.orphans.pop(ended.key, None)
            run = state.runs.get(ended.key)
            if run is None or run.number != ended.run:
                if is_first and run is None:
                    state.past_ends[ended.key] = ended.end
                continue
            state.remove_run(ended.key)
            self.turnover.note_end(now_s)
            task = self._placed.pop(ended.key)
            task.target = None
            self._learn(state, run, task, ended.end, now_s)
            yield from self._end_run(task, ended.end, now_s, state)

    def _learn(
        self, state: TargetState, run: Run, task: CellTask, end: ev.RunEnd, now_s: float
    ) -> None:
        match end:
            case ev.RunEnd.DONE:
                run_s = max(0.001, now_s - min(run.confirmed_s, now_s))
                route, declared_s = task.order.route, task.step.estimate_s
                expected_s = self.estimates.predict(route, declared_s)
                pace = state.pace.value / self._find_mean_pace()
                self.estimates.observe(route, declared_s, run_s, pace)
                state.pace.observe(run_s, expected_s)
                state.health.note_success()
            case ev.RunEnd.FAILED:
                state.health.note_failure(task.key.job, now_s)

    def _find_mean_pace(self) -> float:
        """Return the mean of all paces, which predictions are relative to."""
        paces = [state.pace.value for state in self.targets.values()]
        return sum(paces) / len(paces)

    def _end_run(
        self,
        task: CellTask,
        end: ev.RunEnd,
        now_s: float,
        state: TargetState | None = None,
    ) -> Iterator:
        match end:
            case ev.RunEnd.DONE:
                yield from self._end_task(task, ev.TaskEnd.DONE, now_s)
            case ev.RunEnd.FAILED:
                task.failures += 1
                if state is not None:
                    task.avoided = task.avoided | {state.name}
                if task.failures >= task.order.max_attempts:
                    yield from self._end_task(task, ev.TaskEnd.FAILED, now_s)
                else:
                    self._requeue(task, now_s)
            case ev.RunEnd.STOPPED | ev.RunEnd.LAPSED | ev.RunEnd.BROKEN:
                self._requeue(task, now_s)
        yield from self._release_blocked(now_s)

    def _end_task(self, task: CellTask, end: ev.TaskEnd, now_s: float) -> Iterator:
        task.end = end
        task.job.changed_s = now_s
        if not task.job.is_cancelled:
            yield self._report(task)

    def _requeue(self, task: CellTask, now_s: float) -> None:
        if task.job.is_cancelled:
            task.is_blocked = True
        else:
            self.waiting.push(task, now_s)

    def _take_running(
        self, state: TargetState, report: ev.TargetReported, now_s: float
    ) -> Iterator:
        listed = {row.key: row for row in report.running}
        for key, row in listed.items():
            run = state.runs.get(key)
            if run is None:
                yield from self._take_stray(state, row, now_s)
            elif run.number == row.run:
                self._note_progress(run, row, now_s)
        for run in list(state.runs.values()):
            if run.key in listed or run.sent_s >= report.sent_s:
                continue
            if run.phase is RunPhase.UNCERTAIN:
                # The target has not begun it; a stop keeps it from doing so late.
                yield from self._stop_run(state, run, now_s)
            elif run.confirmed_s < report.sent_s:
                yield self._note("run missing", name_task(run.key), target=state.name)
                yield from self._lose_run(state, run, now_s)

    def _take_stray(
        self, state: TargetState, row: ev.RunReport, now_s: float
    ) -> Iterator:
        """Keep a run of an earlier owner for a while; stop any other stranger."""
        if now_s < self.owned_since_s + ORPHAN_S and row.key not in self._placed:
            state.orphans[row.key] = row.run
            waiting = next((t for t in self._blocked if t.key == row.key), None)
            if waiting is not None and not waiting.job.is_cancelled:
                self._blocked.remove(waiting)
                waiting.is_blocked = False
                self._adopt_run(waiting, state, now_s)
            return
        state.orphans.pop(row.key, None)
        yield fx.StopRun(target=state.listed, key=row.key, run=row.run, term=self.term)

    def _note_progress(self, run: Run, row: ev.RunReport, now_s: float) -> None:
        if run.phase in (RunPhase.STARTING, RunPhase.UNCERTAIN):
            run.phase = RunPhase.RUNNING
            run.confirmed_s = now_s
        if row.percent > run.percent:
            run.percent, run.progress_s = row.percent, now_s

    def _note_silence(self, event: ev.TargetSilent, now_s: float) -> Iterator:
        state = self.targets.get(event.target)
        if state is None:
            return
        if state.phase is not TargetPhase.SILENT:
            yield self._note(
                "target silent", state.name, reason=event.reason, runs=len(state.runs)
            )
        state.phase = TargetPhase.SILENT
        yield self._renew(state, now_s)

    # Starts and stops

    def _start_tasks(self, now_s: float) -> Iterator:
        passed_over = []
        for task in self.waiting.take(now_s):
            if now_s > (task.last_repeat_s if task.last_run else task.last_start_s):
                yield from self._end_task(task, ev.TaskEnd.EXPIRED, now_s)
                yield from self._cancel_job(task.job, now_s)
                continue
            target = choose_target(
                self.targets.values(),
                task.step,
                task.order.service,
                task.avoided,
                now_s,
            )
            if target is not None:
                yield self._start_task(task, target, now_s)
                continue
            passed_over.append(task)
            if len(passed_over) >= MAX_PASSED_OVER:
                break
        for task in passed_over:
            self.waiting.push(task, now_s)

    def _start_task(
        self, task: CellTask, state: TargetState, now_s: float
    ) -> fx.StartRun:
        task.last_run += 1
        task.target = state.name
        task.job.has_started = True
        self._placed[task.key] = task
        run = Run(
            key=task.key,
            number=task.last_run,
            demand=task.step.demand,
            sent_s=now_s,
            expected_s=task.expected_s * state.pace.value / self._find_mean_pace(),
        )
        inputs = {
            "term": self.term,
            "slack_s": round(task.latest_start_s - now_s, 4),
            "expected_s": round(run.expected_s, 4),
            "pace": round(state.pace.value, 2),
            "room_millicores": state.room.cpu_millicores,
            "report_age_s": round(now_s - state.reported_s, 4),
        }
        state.add_run(run)
        state.lapse_s = max(state.lapse_s, bound_lapse(now_s))
        return fx.StartRun(
            inputs=inputs,
            target=state.listed,
            key=task.key,
            run=run.number,
            payload=task.order.payload,
            term=self.term,
            lease_s=LEASE_S,
        )

    def _take_start(self, answer: ev.StartAnswered, now_s: float) -> Iterator:
        state = self.targets.get(answer.target)
        run = state.runs.get(answer.key) if state is not None else None
        if run is None or run.number != answer.run:
            return
        match answer.verdict:
            case ev.StartVerdict.STARTED:
                if run.phase is RunPhase.STARTING:
                    run.phase = RunPhase.RUNNING
                    run.confirmed_s = run.progress_s = now_s
            case ev.StartVerdict.UNANSWERED:
                if run.phase is RunPhase.STARTING:
                    run.phase = RunPhase.UNCERTAIN
                    yield self._note(
                        "start unanswered", name_task(run.key), target=state.name
                    )
            case verdict:
                yield self._note(
                    "start refused",
                    name_task(run.key),
                    target=state.name,
                    verdict=verdict.value,
                )
                yield from self._undo_start(state, run, verdict, now_s)

    def _undo_start(
        self, state: TargetState, run: Run, verdict: ev.StartVerdict, now_s: float
    ) -> Iterator:
        state.remove_run(run.key)
        task = self._placed.pop(run.key)
        task.target = None
        if verdict is not ev.StartVerdict.STALE_RUN:
            task.avoided = task.avoided | {state.name}
        if verdict is ev.StartVerdict.UNHEALTHY:
            state.health.note_failure(task.key.job, now_s)
        self._requeue(task, now_s)
        yield from self._release_blocked(now_s)

    def _stop_run(self, state: TargetState, run: Run, now_s: float) -> Iterator:
        run.phase = RunPhase.STOPPING
        run.stop_sent_s = now_s
        yield fx.StopRun(
            target=state.listed, key=run.key, run=run.number, term=self.term
        )

    def _take_stop(self, answer: ev.StopAnswered, now_s: float) -> Iterator:
        """Free a run that had not begun; one that had is freed by its end."""
        state = self.targets.get(answer.target)
        run = state.runs.get(answer.key) if state is not None else None
        if run is None or run.number != answer.run or not answer.is_confirmed:
            return
        if run.confirmed_s == float("inf"):
            yield from self._lose_run(state, run, now_s)

    def _lose_runs(self, state: TargetState, now_s: float) -> Iterator:
        for run in list(state.runs.values()):
            yield from self._lose_run(state, run, now_s)

    def _lose_run(self, state: TargetState, run: Run, now_s: float) -> Iterator:
        state.remove_run(run.key)
        task = self._placed.pop(run.key)
        task.target = None
        task.avoided = task.avoided | {state.name}
        yield from self._end_run(task, ev.RunEnd.LAPSED, now_s)

    def _release_blocked(self, now_s: float) -> Iterator:
        """Admit tasks again that waited for the end of an earlier run."""
        blocked, self._blocked = self._blocked, []
        for task in blocked:
            if task.job.is_cancelled:
                continue
            task.is_blocked = False
            yield from self._admit_task(task, now_s)

    # Time

    def _pass_time(self, now_s: float) -> Iterator:
        for state in list(self.targets.values()):
            if state.phase is TargetPhase.SILENT and now_s > state.lapse_s:
                if state.runs:
                    yield self._note("leases lapsed", state.name, runs=len(state.runs))
                state.orphans.clear()
                yield from self._lose_runs(state, now_s)
            if state.phase is TargetPhase.READY:
                yield from self._check_runs(state, now_s)
            yield from self._forget_target(state, now_s)
        if self._blocked and self._is_surveyed(now_s):
            yield from self._release_blocked(now_s)
        self._forget_jobs(now_s)

    def _forget_target(self, state: TargetState, now_s: float) -> Iterator:
        """Drop a target that is listed no more and that no run can be alive on.

        Entries that lapsed while the store was away come back, so that a target
        that answers is used for a while longer.
        """
        if state.missing_since_s is None:
            return
        is_gone = state.phase is TargetPhase.SILENT and now_s > state.lapse_s
        if now_s > state.missing_since_s + MISSING_S and not is_gone:
            state.listed = evolve(state.listed, is_leaving=True)
        if is_gone or (state.listed.is_leaving and not state.runs):
            del self.targets[state.name]
            yield fx.ForgetTarget(target=state.name)
            yield self._note("target gone", state.name, phase=state.phase.value)

    def _check_runs(self, state: TargetState, now_s: float) -> Iterator:
        for run in list(state.runs.values()):
            match run.phase:
                case RunPhase.STOPPING if now_s > run.stop_sent_s + STOP_RETRY_S:
                    yield from self._stop_run(state, run, now_s)
                case RunPhase.RUNNING if self._is_stalled(run, now_s):
                    yield self._note(
                        "run stalled",
                        name_task(run.key),
                        target=state.name,
                        percent=run.percent,
                        silent_s=round(now_s - run.progress_s, 3),
                    )
                    state.health.note_stall(now_s)
                    task = self._placed[run.key]
                    task.avoided = task.avoided | {state.name}
                    yield from self._stop_run(state, run, now_s)

    def _is_stalled(self, run: Run, now_s: float) -> bool:
        allowed_s = max(STALL_S, STALL_SHARE * run.expected_s)
        return now_s - run.progress_s > allowed_s

    def _forget_jobs(self, now_s: float) -> None:
        for key, job in list(self.jobs.items()):
            if now_s < job.changed_s + END_RETENTION_S:
                continue
            is_over = job.is_cancelled or all(t.end for t in job.tasks.values())
            if is_over and not any(t.target for t in job.tasks.values()):
                del self.jobs[key]

    # Reports

    def _report(self, task: CellTask) -> fx.SendToFront:
        return self._describe_end([task], task.end)

    def _describe_end(self, tasks: list[CellTask], end: ev.TaskEnd) -> fx.SendToFront:
        first = tasks[0]
        message = ev.TasksEnded(
            cell=self.cell,
            term=self.term,
            job=first.key.job,
            step_number=first.key.step,
            indexes=tuple(task.key.index for task in tasks),
            end=end,
            has_started=first.job.has_started,
        )
        return fx.SendToFront(front=first.job.front, message=message)

    def _refuse_cancelled(self, order: ev.RunTasks, job: CellJob) -> fx.SendToFront:
        """Tell a front host that was taken as lost that its job is not run."""
        message = ev.TasksEnded(
            cell=self.cell,
            term=self.term,
            job=order.job,
            step_number=order.step_number,
            indexes=order.indexes,
            end=ev.TaskEnd.EXPIRED,
            has_started=job.has_started,
        )
        return fx.SendToFront(front=job.front, message=message)

    def _confirm_cancel(
        self, name: str, front: Incarnation, job: CellJob | None
    ) -> fx.SendToFront:
        message = ev.TasksEnded(
            cell=self.cell,
            term=self.term,
            job=name,
            step_number=0,
            indexes=(),
            end=ev.TaskEnd.CANCELLED,
            has_started=job is not None and job.has_started,
        )
        return fx.SendToFront(front=front, message=message)

    def _note(self, decision: str, subject: str, **inputs) -> fx.Note:
        return fx.Note(
            decision=decision,
            subject=subject,
            inputs={"cell": str(self.cell), "term": self.term, **inputs},
        )


def name_task(key: TaskKey) -> str:
    """Return a task's name for logs."""
    return f"{key.job}/{key.step}/{key.index}"
