"""Scheduler of one cell: a state machine without sockets or a clock of its own.

Only the owner of a cell renews the leases of its targets, acknowledges ended runs and
starts tasks there. Its calls carry a fencing token, which the targets compare.
"""

from collections.abc import Callable, Iterable, Iterator

from gentianhub.capacity import events as ev
from gentianhub.capacity import tracker_events as te
from gentianhub.capacity.confirmations import (
    CellConfirmations,
)
from gentianhub.capacity.earlier_runs import RunAtWork, RunOver, find_earlier_run
from gentianhub.capacity.effects import StopReason
from gentianhub.capacity.estimates import RunEstimates
from gentianhub.capacity.evacuations import KnownEvacuations
from gentianhub.capacity.front_requests import (
    FrontRequests,
    JobEnded,
    JobsConfirmed,
    StartsDue,
    TaskRequested,
    TasksQueued,
)
from gentianhub.capacity.jobs import Cell, TaskKey
from gentianhub.capacity.load import CellLoad
from gentianhub.capacity.losses import LossLedger
from gentianhub.capacity.overload import CellOverload
from gentianhub.capacity.reports import Reporter
from gentianhub.capacity.starts import TaskGivenUp, TaskStarts
from gentianhub.capacity.succession import Handover, HandoverKind
from gentianhub.capacity.suspects import Suspects
from gentianhub.capacity.target_tracker import TargetTracker
from gentianhub.capacity.targets import Run, RunPhase, TargetState
from gentianhub.capacity.tasks import CellJob, CellTask, hand_back_tasks
from gentianhub.capacity.turnover import SlotTurnover
from gentianhub.core import Incarnation
from gentianhub.core.records import define, field


@define(kw_only=True, eq=False)
class CellScheduler:
    """Decides which task of a cell runs on which target.

    Parameters
    ----------
    term : int
        The fencing token of this owner, sent with each call to a target.
    owner_since_s : float
        Monotonic time at which this host became the owner, in seconds.
    handover : Handover
        What is known about the targets of earlier owners.
    losses : LossLedger
        The losses of targets that this host knows of, in all cells.
    evacuations : KnownEvacuations
        The evacuated data centres that this host knows of.
    list_priorities : callable
        Returns the priorities of the operator's routes, sorted.
    """

    cell: Cell
    term: int
    owner_since_s: float
    handover: Handover = Handover(kind=HandoverKind.UNKNOWN)
    estimates: RunEstimates = field(factory=lambda: RunEstimates())
    losses: LossLedger = field(factory=lambda: LossLedger())
    evacuations: KnownEvacuations = field(factory=lambda: KnownEvacuations())
    list_priorities: Callable[[], tuple[int, ...]] = lambda: ()
    tracker: TargetTracker = field(init=False)
    reporter: Reporter = field(init=False)
    load: CellLoad = field(init=False)
    suspects: Suspects = field(init=False)
    confirmations: CellConfirmations = field(init=False)
    requests: FrontRequests = field(init=False)
    starts: TaskStarts = field(init=False)
    overload: CellOverload = field(init=False)
    turnover: SlotTurnover = field(init=False, factory=lambda: SlotTurnover())
    _blocked: list[CellTask] = field(init=False, factory=list)

    def __attrs_post_init__(self):
        self.reporter = Reporter(cell=self.cell, term=self.term)
        self.load = CellLoad(cell=self.cell, term=self.term)
        self.suspects = Suspects(cell=self.cell, term=self.term, losses=self.losses)
        self.confirmations = CellConfirmations(cell=self.cell)
        self.requests = FrontRequests(
            cell=self.cell,
            term=self.term,
            reporter=self.reporter,
            load=self.load,
            suspects=self.suspects,
            confirmations=self.confirmations,
            estimates=self.estimates,
            turnover=self.turnover,
        )
        self.tracker = TargetTracker(
            cell=self.cell,
            term=self.term,
            owner_since_s=self.owner_since_s,
            handover=self.handover,
        )
        self.starts = TaskStarts(
            cell=self.cell,
            term=self.term,
            suspects=self.suspects,
            confirmations=self.confirmations,
        )
        self.overload = CellOverload(
            cell=self.cell,
            list_priorities=self.list_priorities,
            trials=self.starts.trials,
        )

    @property
    def targets(self) -> dict[str, TargetState]:
        """The cell's targets by name."""
        return self.tracker.targets

    @property
    def jobs(self) -> dict[tuple[Incarnation, str], CellJob]:
        """The jobs that front hosts have sent, by front host and name."""
        return self.requests.jobs

    def handle(
        self,
        event,
        now_s: float,
        front_host: Incarnation | None = None,
        confirmed_s: float | None = None,
    ) -> Iterator:
        """Yield the effects of one event.

        `front_host` has sent it, if any. It had the jobs that the event names open at
        `confirmed_s`, a monotonic time of this host; None stands for `now_s`.
        """
        confirmed_s = now_s if confirmed_s is None else confirmed_s
        match event:
            case (
                ev.RunTasks()
                | ev.OpenJobs()
                | ev.CancelTasks()
                | ev.JobCancelled()
                | ev.FrontLost()
            ):
                yield from self._apply_request_events(
                    self.requests.handle(event, now_s, front_host, confirmed_s), now_s
                )
            case ev.Tick():
                # Tasks expire, and targets return from an ejection.
                self.starts.may_start = True
                yield from self._apply_tracker_events(
                    self.tracker.handle(event, now_s), now_s
                )
                yield from self._apply_request_events(
                    self.requests.handle(event, now_s, front_host, confirmed_s), now_s
                )
                yield from self._release_after_discovery(now_s)
                self.overload.begin_tick()
            case _:
                yield from self._apply_tracker_events(
                    self.tracker.handle(event, now_s), now_s
                )
        yield from self._hand_back_tasks(now_s)
        yield from self._start_tasks(now_s)

    def build_claim(self, now_s: float) -> ev.CellClaim:
        """Return the claim on the cell with its current load."""
        targets = self._find_startable_targets(now_s)
        return self.load.describe(targets, self.starts.waiting.iterate(), now_s)

    def has_work(self) -> bool:
        """Whether a task of a job that was not cancelled waits or runs."""
        return self.requests.has_work()

    def find_front_host(self, name: str) -> Incarnation | None:
        """Return the host that has sent tasks of an open job, or None."""
        return self.requests.find_front_host(name)

    def find_unconfirmed_hosts(self, now_s: float) -> Iterator[Incarnation]:
        """Yield the front hosts that should confirm their open jobs."""
        return self.requests.find_unconfirmed_hosts(now_s)

    # Jobs and tasks of front hosts

    def _apply_request_events(self, items: Iterable, now_s: float) -> Iterator:
        """Yield effects unchanged, and apply the events of front hosts' requests."""
        for item in items:
            match item:
                case TaskRequested(task=task):
                    yield from self._admit_task(task, now_s)
                case TasksQueued(job=job, request=request):
                    self.overload.admit(job, request, now_s)
                case StartsDue():
                    yield from self._start_tasks(now_s)
                case JobEnded(job=job, reason=reason):
                    yield from self._cancel_job(job, reason, now_s)
                case JobsConfirmed(tasks=tasks):
                    self.starts.resume_after_confirmation()
                    for task in tasks:
                        self.starts.push(task, now_s)
                case _:
                    yield item

    def _admit_task(self, task: CellTask, now_s: float) -> Iterator:
        """Queue a task, adopt its run, or block it until earlier runs are known."""
        earlier = self.starts.started_tasks.get(task.key)
        if earlier is not None:
            # The job was submitted again; targets reject a number that was used before.
            task.is_blocked = True
            task.last_run = max(task.last_run, earlier.last_run)
            self._blocked.append(task)
            yield from self._cancel_job(earlier.job, StopReason.SUBMITTED_AGAIN, now_s)
            return
        match find_earlier_run(task.key, self.targets.values()):
            case RunAtWork(target=target):
                yield from self._adopt_run(task, target, now_s)
            case RunOver(end=ev.EndReport(end=ev.RunEnd.DONE)):
                yield from self._end_run(task, ev.RunEnd.DONE, now_s)
            case _ if self._may_have_later_run(task, now_s):
                task.is_blocked = True
                self._blocked.append(task)
            case RunOver(end=end) if end.run > task.last_run:
                task.last_run = end.run
                yield from self._end_run(task, end.end, now_s)
            case _:
                self.starts.push(task, now_s)

    def _may_have_later_run(self, task: CellTask, now_s: float) -> bool:
        """Whether a target that has not listed its runs may have a run of the task."""
        return task.is_repeat and not self.tracker.has_discovered_runs(now_s)

    def _adopt_run(self, task: CellTask, target: TargetState, now_s: float) -> Iterator:
        number = target.orphans[task.key]
        run = Run(
            key=task.key,
            number=number,
            job=task.job,
            demand=task.step.demand,
            sent_s=now_s,
            expected_s=task.expected_s * target.pace.value,
            phase=RunPhase.RUNNING,
            confirmed_s=now_s,
            progress_s=now_s,
            is_exclusive=self.suspects.has_to_run_alone(task.key),
            is_adopted=True,
        )
        task.target, task.last_run = target.name, max(task.last_run, number)
        task.job.possible_runs += 1
        self.starts.started_tasks[task.key] = task
        yield from self.tracker.adopt_run(target, run, now_s)

    def _cancel_job(self, job: CellJob, reason: StopReason, now_s: float) -> Iterator:
        if job.is_cancelled:
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
                yield self.tracker.stop_run(target, run, reason, now_s)

    # Runs

    def _apply_tracker_events(self, items: Iterable, now_s: float) -> Iterator:
        """Yield effects unchanged, and apply the tracker's events to the tasks."""
        for item in items:
            match item:
                case te.TargetUsable():
                    self.starts.may_start = True
                case te.RunEnded(target=target, run=run, end=end):
                    self.starts.may_start = True
                    self.turnover.record_end(now_s)
                    task = self._detach_run(run)
                    self._record_result(target, run, task, end, now_s)
                    if end is ev.RunEnd.FAILED:
                        task.avoid(target.name)
                    yield from self._end_run(task, end, now_s)
                case te.RunLost(target=target, run=run, cause=cause):
                    self.starts.may_start = True
                    task = self._detach_run(run)
                    if cause is te.LossCause.NOT_STARTED:
                        task.job.possible_runs -= 1
                    task.avoid(target.name)
                    yield from self._end_run(task, ev.RunEnd.LEASE_EXPIRED, now_s)
                case te.TargetLost():
                    repeated = [t.key for t in self._blocked if t.is_repeat]
                    yield from self.suspects.record_loss(item, repeated, now_s)
                case te.TargetAnswered():
                    yield from self.suspects.resolve_losses(item, now_s)
                case te.TargetRefuses(target=target):
                    yield from self._end_hopeless_tasks(target, now_s)
                case te.RunStalled(target=target, run=run):
                    self.starts.started_tasks[run.key].avoid(target.name)
                case te.StartRefused(target=target, run=run, verdict=verdict):
                    yield from self._handle_refused_start(target, run, verdict, now_s)
                case te.OrphanFound(target=target, key=key):
                    yield from self._assign_orphan(target, key, now_s)
                case te.RunsDiscovered():
                    yield from self._release_blocked(now_s)
                case _:
                    yield item

    def _end_hopeless_tasks(self, target: TargetState, now_s: float) -> Iterator:
        """End the tasks that have to wait for their leases for too long to be of use.

        Their callers would be held for the rest of the lease without any effect.
        """
        for run in list(target.runs.values()):
            task = self.starts.started_tasks[run.key]
            is_open = task.end is None and not task.job.is_cancelled
            if is_open and task.is_too_late(target.lease_expiry_s):
                yield from self._end_task(task, ev.TaskEnd.LOST, now_s)
                yield from self._cancel_job(task.job, StopReason.JOB_ENDED, now_s)

    def _detach_run(self, run: Run) -> CellTask:
        task = self.starts.started_tasks.pop(run.key)
        task.target = None
        return task

    def _record_result(
        self, state: TargetState, run: Run, task: CellTask, end: ev.RunEnd, now_s: float
    ) -> None:
        match end:
            case ev.RunEnd.DONE:
                state.health.record_success()
                self.overload.record_end(run, now_s)
                run_s = state.measure_run_s(run, now_s)
                if run_s is None:
                    return
                route, declared_s = task.request.route, task.step.estimate_s
                expected_s = self.estimates.predict(route, declared_s)
                is_trial = task.job.is_trial
                self.estimates.observe(route, declared_s, run_s, is_trial)
                state.pace.observe(run_s, expected_s)
            case ev.RunEnd.FAILED:
                state.health.record_failure(task.key.job, now_s)

    def _end_run(self, task: CellTask, end: ev.RunEnd, now_s: float) -> Iterator:
        match end:
            case ev.RunEnd.DONE:
                yield from self._end_task(task, ev.TaskEnd.DONE, now_s)
            case ev.RunEnd.FAILED:
                task.failures += 1
                if task.failures >= task.request.max_attempts:
                    yield from self._end_task(task, ev.TaskEnd.FAILED, now_s)
                else:
                    yield from self._requeue(task, now_s)
            case ev.RunEnd.STOPPED | ev.RunEnd.LEASE_EXPIRED | ev.RunEnd.BROKEN:
                yield from self._requeue(task, now_s)
        yield from self._release_blocked(now_s)

    def _end_task(self, task: CellTask, end: ev.TaskEnd, now_s: float) -> Iterator:
        task.end = end
        task.job.changed_s = now_s
        if not task.job.is_cancelled:
            yield self.reporter.build_end_report([task], end)

    def _requeue(self, task: CellTask, now_s: float) -> Iterator:
        """Queue a task again whose run has ended or was not started."""
        if task.job.is_cancelled:
            task.is_blocked = True
        else:
            yield from self._admit_task(task, now_s)

    def _handle_refused_start(
        self, target: TargetState, run: Run, verdict: ev.StartVerdict, now_s: float
    ) -> Iterator:
        task = self._detach_run(run)
        self.starts.may_start = True
        if verdict in te.NOT_EXECUTED:
            task.job.possible_runs -= 1
        if verdict is not ev.StartVerdict.STALE_RUN:
            task.avoid(target.name)
        if verdict is ev.StartVerdict.UNHEALTHY:
            target.health.record_failure(task.key.job, now_s)
        yield from self._requeue(task, now_s)
        yield from self._release_blocked(now_s)

    def _assign_orphan(
        self, target: TargetState, key: TaskKey, now_s: float
    ) -> Iterator:
        """Assign a run of an earlier owner to the blocked task that it belongs to."""
        task = next((t for t in self._blocked if t.key == key), None)
        if task is not None and not task.job.is_cancelled:
            self._blocked.remove(task)
            task.is_blocked = False
            yield from self._adopt_run(task, target, now_s)

    def _release_blocked(self, now_s: float) -> Iterator:
        """Admit the tasks again that are blocked by possible earlier runs."""
        blocked, self._blocked = self._blocked, []
        for task in blocked:
            if task.job.is_cancelled:
                continue
            task.is_blocked = False
            yield from self._admit_task(task, now_s)

    def _release_after_discovery(self, now_s: float) -> Iterator:
        if self._blocked and self.tracker.has_discovered_runs(now_s):
            yield from self._release_blocked(now_s)

    # Evacuation

    def _find_startable_targets(self, now_s: float) -> Iterable[TargetState]:
        """Return the targets, or none while no run may start in the data centre."""
        allows_starts = self.evacuations.allows_starts(self.cell.data_centre, now_s)
        return self.targets.values() if allows_starts else ()

    def _hand_back_tasks(self, now_s: float) -> Iterator:
        """End the waiting tasks while the data centre is evacuated."""
        is_evacuated = self.evacuations.is_evacuated(self.cell.data_centre)
        if self.starts.may_start and is_evacuated:
            for tasks, end in hand_back_tasks(self.jobs.values(), now_s):
                yield self.reporter.build_end_report(tasks, end)

    # Starts

    def _start_tasks(self, now_s: float) -> Iterator:
        """Start waiting tasks, and end the jobs that the pass over them has ended."""
        targets = self._find_startable_targets(now_s)
        yield from self._shed_jobs(targets, now_s)
        for item in self.starts.start_tasks(targets, now_s):
            match item:
                case TaskGivenUp(task=task, end=end):
                    self.overload.record_expiry(task.job, now_s)
                    yield from self._end_task(task, end, now_s)
                    yield from self._cancel_job(task.job, StopReason.JOB_ENDED, now_s)
                case _:
                    yield item

    def _shed_jobs(self, targets: Iterable[TargetState], now_s: float) -> Iterator:
        """Refuse waiting jobs that do not fit, and adapt the order of starts."""
        waiting = self.starts.waiting
        for refusal in self.overload.review(waiting.iterate(), targets, now_s):
            yield self.overload.describe(refusal, now_s)
            ended = self.requests.give_up_job(
                refusal.candidate.job, StopReason.JOB_ENDED
            )
            yield from self._apply_request_events(ended, now_s)
        waiting.change_order(self.overload.choose_order(now_s), now_s)
