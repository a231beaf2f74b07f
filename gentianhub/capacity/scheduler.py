"""Scheduler of one cell: a state machine without sockets or a clock of its own.

Only the owner of a cell renews the leases of its targets, acknowledges ended runs and
starts tasks there. Its calls carry a fencing token, which the targets compare.
"""

from collections.abc import Iterable, Iterator

from attrs import define, field

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity import tracker_events as te
from gentianhub.capacity.confirmations import (
    CellConfirmations,
    HeldRequest,
    describe_age,
    is_confirmation_due,
    is_given_up,
    is_recent,
)
from gentianhub.capacity.earlier_runs import RunAtWork, RunOver, find_earlier_run
from gentianhub.capacity.effects import StopReason
from gentianhub.capacity.estimates import RunEstimates
from gentianhub.capacity.evacuations import KnownEvacuations
from gentianhub.capacity.jobs import Cell, TaskKey, format_task_key
from gentianhub.capacity.leases import choose_lease_s
from gentianhub.capacity.load import CellLoad
from gentianhub.capacity.losses import LossLedger
from gentianhub.capacity.placement import PlacementRound
from gentianhub.capacity.reports import Reporter
from gentianhub.capacity.succession import Handover, HandoverKind
from gentianhub.capacity.suspects import Suspects
from gentianhub.capacity.target_tracker import TargetTracker
from gentianhub.capacity.targets import Run, RunPhase, TargetState
from gentianhub.capacity.tasks import CellJob, CellTask, hand_back_tasks
from gentianhub.capacity.trials import RouteTrials
from gentianhub.capacity.turnover import SlotTurnover
from gentianhub.capacity.waiting import WaitingTasks
from gentianhub.core import Incarnation

# Ends of tasks are kept for this long, for a front host that repeats its request.
END_RETENTION_S = 3.0
# Number of tasks that fit on no target now and may be skipped in favour of later ones.
MAX_SKIPPED_TASKS = 12
# An answer later than this multiple of its objective is of no use to the caller, so a
# task that would end later is dropped. 1.5 left more jobs of a load peak without an
# answer.
LATE_FACTOR = 3.0
# Fraction of its slack that a task may wait; the rest covers the variance of run times
# and the delivery of the answer.
SLACK_FRACTION = 0.6


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
    """

    cell: Cell
    term: int
    owner_since_s: float
    handover: Handover = Handover(kind=HandoverKind.UNKNOWN)
    estimates: RunEstimates = field(factory=lambda: RunEstimates())
    losses: LossLedger = field(factory=lambda: LossLedger())
    evacuations: KnownEvacuations = field(factory=lambda: KnownEvacuations())
    tracker: TargetTracker = field(init=False)
    reporter: Reporter = field(init=False)
    load: CellLoad = field(init=False)
    suspects: Suspects = field(init=False)
    confirmations: CellConfirmations = field(init=False)
    jobs: dict[tuple[Incarnation, str], CellJob] = field(init=False, factory=dict)
    waiting: WaitingTasks = field(init=False, factory=lambda: WaitingTasks())
    turnover: SlotTurnover = field(init=False, factory=lambda: SlotTurnover())
    trials: RouteTrials = field(init=False, factory=lambda: RouteTrials())
    _front_hosts: dict[str, Incarnation] = field(init=False, factory=dict)
    _started_tasks: dict[TaskKey, CellTask] = field(init=False, factory=dict)
    _blocked: list[CellTask] = field(init=False, factory=list)
    _may_start: bool = field(init=False, default=False)
    _awaits_confirmation: bool = field(init=False, default=False)

    def __attrs_post_init__(self):
        self.reporter = Reporter(cell=self.cell, term=self.term)
        self.load = CellLoad(cell=self.cell, term=self.term)
        self.suspects = Suspects(cell=self.cell, term=self.term, losses=self.losses)
        self.confirmations = CellConfirmations(cell=self.cell)
        self.tracker = TargetTracker(
            cell=self.cell,
            term=self.term,
            owner_since_s=self.owner_since_s,
            handover=self.handover,
        )

    @property
    def targets(self) -> dict[str, TargetState]:
        """The cell's targets by name."""
        return self.tracker.targets

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
            case ev.RunTasks() if not is_recent(confirmed_s, now_s):
                yield from self.confirmations.hold_request(
                    event, front_host, confirmed_s, now_s
                )
            case ev.RunTasks():
                yield from self._handle_run_tasks(event, front_host, confirmed_s, now_s)
            case ev.OpenJobs(jobs=names):
                yield from self._handle_open_jobs(names, front_host, confirmed_s, now_s)
            case ev.CancelTasks(job=job_id):
                self.confirmations.drop_job(front_host, job_id)
                job = self.jobs.get((front_host, job_id))
                if job is not None:
                    yield self.reporter.log_withdrawal(job, "cancelled")
                    yield from self._cancel_job(job, StopReason.CANCELLED, now_s)
                    job.is_withdrawn = True
                yield self.reporter.build_cancel_confirmation(job_id, front_host, job)
            case ev.FrontLost(front_host=lost):
                yield from self._give_up_front_host(lost, now_s)
            case ev.Tick():
                # Tasks expire, and targets return from an ejection.
                self._may_start = True
                yield from self._apply_tracker_events(
                    self.tracker.handle(event, now_s), now_s
                )
                yield from self._give_up_unconfirmed(now_s)
                self._prune_jobs(now_s)
                yield from self._release_after_discovery(now_s)
            case _:
                yield from self._apply_tracker_events(
                    self.tracker.handle(event, now_s), now_s
                )
        yield from self._hand_back_tasks(now_s)
        yield from self._start_tasks(now_s)

    def build_claim(self, now_s: float) -> ev.CellClaim:
        """Return the claim on the cell with its current load."""
        targets = self._find_startable_targets(now_s)
        return self.load.describe(targets, self.waiting.iterate(), now_s)

    def has_work(self) -> bool:
        """Whether a task of a job that was not cancelled waits or runs."""
        return bool(self.confirmations) or any(
            job.has_open_tasks() for job in self.jobs.values() if not job.is_cancelled
        )

    def find_front_host(self, name: str) -> Incarnation | None:
        """Return the host that has sent tasks of an open job, or None."""
        job = self.jobs.get((self._front_hosts.get(name), name))
        return job.front_host if job is not None and not job.is_withdrawn else None

    def find_unconfirmed_hosts(self, now_s: float) -> Iterator[Incarnation]:
        """Yield the front hosts that should confirm their open jobs."""
        yield from self.confirmations.find_waiting_hosts()
        yield from (
            job.front_host
            for job in self.jobs.values()
            if is_confirmation_due(job, now_s)
        )

    # Requests of front hosts

    def _handle_run_tasks(
        self,
        request: ev.RunTasks,
        front_host: Incarnation,
        confirmed_s: float,
        now_s: float,
        submitted_s: float | None = None,
    ) -> Iterator:
        """Queue the tasks of a request, unless they are known.

        The caller submitted the job at `submitted_s` at the earliest; None if only the
        confirmation tells.
        """
        if submitted_s is None:
            submitted_s = min(confirmed_s, now_s) - request.age_s
        job = self.jobs.get((front_host, request.job))
        keys = [
            TaskKey(job=request.job, step=request.step_number, index=index)
            for index in request.indexes
        ]
        end = self.suspects.find_end(keys)
        if end is not None:
            yield self.suspects.log_given_up(keys, end)
            yield self.reporter.build_refusal(request, front_host, end, True)
            yield from self._cancel_job(job, StopReason.JOB_ENDED, now_s)
            return
        if job is None or job.is_withdrawn:
            job = CellJob(
                front_host=front_host,
                name=request.job,
                changed_s=now_s,
                submitted_s=submitted_s,
            )
            other = self._find_other_submission(job)
            if other is not None and other.submitted_s > job.submitted_s:
                yield self.reporter.build_refusal(
                    request, front_host, ev.TaskEnd.EXPIRED, False
                )
                return
            if other is not None:
                # The other front host may not have noticed that the caller has left it.
                yield self.reporter.log_withdrawal(other, "submitted again")
                yield from self._give_up_job(other, StopReason.SUBMITTED_AGAIN, now_s)
            self.jobs[(front_host, job.name)] = job
            self._front_hosts[job.name] = front_host
        if is_given_up(job, now_s):
            yield from self._give_up_job(job, StopReason.NOT_CONFIRMED, now_s)
        job.confirmed_s = max(job.confirmed_s, confirmed_s)
        if job.is_cancelled:
            # The owner considered the front host lost and cancelled its jobs.
            yield self.reporter.build_refusal(
                request, front_host, ev.TaskEnd.EXPIRED, job.has_started
            )
            return
        new_keys = [key for key in keys if key not in job.tasks]
        self.load.record_demand(request.step)
        yield from self._resend_ends(job, [k for k in keys if k in job.tasks])
        for task in self._build_tasks(request, job, new_keys, now_s):
            job.tasks[task.key] = task
            yield from self._admit_task(task, now_s)
        if request.may_decline:
            yield from self._start_tasks(now_s)
            yield from self._decline_waiting(job, new_keys)

    def _find_other_submission(self, job: CellJob) -> CellJob | None:
        """Return an open submission of the same job through another front host."""
        other = self.jobs.get((self._front_hosts.get(job.name), job.name))
        if other is None or other.front_host == job.front_host or other.is_cancelled:
            return None
        return other if other.has_open_tasks() else None

    def _build_tasks(
        self, request: ev.RunTasks, job: CellJob, keys: list[TaskKey], now_s: float
    ) -> Iterator[CellTask]:
        predicted_s = self.estimates.predict(request.route, request.step.estimate_s)
        accepted_s = now_s - request.age_s
        objective_s = request.objective_s + request.stretch * predicted_s
        deadline_s = request.deadline_in_s + request.age_s
        slack_s = SLACK_FRACTION * (objective_s - predicted_s)
        last_end_s = min(deadline_s, LATE_FACTOR * objective_s)
        early_slack_s = slack_s - self.turnover.estimate_wait_s(len(keys))
        for key in keys:
            yield CellTask(
                key=key,
                job=job,
                request=request,
                objective_start_s=accepted_s + slack_s,
                cutoff_start_s=accepted_s + last_end_s - predicted_s,
                sort_key_s=accepted_s + early_slack_s,
                expected_s=predicted_s,
            )

    def _resend_ends(self, job: CellJob, keys: list[TaskKey]) -> Iterator:
        for key in keys:
            task = job.tasks[key]
            if task.end is not None:
                yield self.reporter.build_end_report([task], task.end)

    def _admit_task(self, task: CellTask, now_s: float) -> Iterator:
        """Queue a task, adopt its run, or block it until earlier runs are known."""
        earlier = self._started_tasks.get(task.key)
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
                self._push_waiting(task, now_s)

    def _may_have_later_run(self, task: CellTask, now_s: float) -> bool:
        """Whether a target that has not listed its runs may have a run of the task."""
        return task.request.is_repeat and not self.tracker.has_discovered_runs(now_s)

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
        self._started_tasks[task.key] = task
        yield from self.tracker.adopt_run(target, run, now_s)

    def _decline_waiting(self, job: CellJob, keys: list[TaskKey]) -> Iterator:
        declined = [job.tasks[key] for key in keys if job.tasks[key].is_waiting]
        for task in declined:
            del job.tasks[task.key]
            task.is_blocked = True
        if declined:
            yield self.reporter.build_end_report(declined, ev.TaskEnd.DECLINED)

    def _cancel_job(
        self, job: CellJob | None, reason: StopReason, now_s: float
    ) -> Iterator:
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
                yield self.tracker.stop_run(target, run, reason, now_s)

    def _give_up_front_host(self, lost: Incarnation, now_s: float) -> Iterator:
        """Cancel the jobs of a front host that is considered lost, and report this.

        A host that is only slow would wait for its tasks until its callers' deadline.
        """
        yield from self._refuse_requests(self.confirmations.release_requests(lost))
        for job in [job for job in self.jobs.values() if job.front_host == lost]:
            if not job.is_cancelled and job.has_open_tasks():
                yield from self._give_up_job(job, StopReason.FRONT_HOST_LOST, now_s)

    def _give_up_job(self, job: CellJob, reason: StopReason, now_s: float) -> Iterator:
        open_tasks = [task for task in job.tasks.values() if task.end is None]
        yield from self._cancel_job(job, reason, now_s)
        steps: dict[int, list[CellTask]] = {}
        for task in open_tasks:
            steps.setdefault(task.key.step, []).append(task)
        for tasks in steps.values():
            yield self.reporter.build_end_report(tasks, ev.TaskEnd.EXPIRED)

    # Confirmations of front hosts

    def _handle_open_jobs(
        self,
        names: tuple[str, ...],
        front_host: Incarnation,
        confirmed_s: float,
        now_s: float,
    ) -> Iterator:
        """Confirm the listed jobs of a front host; end its other ones."""
        listed = set(names)
        for job in [job for job in self.jobs.values() if job.front_host == front_host]:
            if job.name in listed:
                if is_given_up(job, now_s):
                    yield from self._give_up_job(job, StopReason.NOT_CONFIRMED, now_s)
                job.confirmed_s = max(job.confirmed_s, confirmed_s)
                continue
            if not job.is_cancelled and job.has_open_tasks():
                yield self.reporter.log_withdrawal(job, "not open")
                yield from self._cancel_job(job, StopReason.NOT_OPEN, now_s)
            job.is_withdrawn = True
        self._may_start = self._may_start or self._awaits_confirmation
        self._awaits_confirmation = False
        for task in self.confirmations.release_tasks(now_s):
            self._push_waiting(task, now_s)
        for held in self.confirmations.release_requests(front_host):
            if held.request.job not in listed:
                continue
            if is_recent(confirmed_s, now_s):
                yield from self._handle_run_tasks(
                    held.build_delayed_request(now_s),
                    front_host,
                    confirmed_s,
                    now_s,
                    held.submitted_s,
                )
            else:
                self.confirmations.hold_again(held)

    def _give_up_unconfirmed(self, now_s: float) -> Iterator:
        """End what no front host has confirmed in time, and report it."""
        self.confirmations.forget_requests(now_s)
        for job in [job for job in self.jobs.values() if is_given_up(job, now_s)]:
            yield fx.LogDecision(
                decision="job not confirmed",
                subject=job.name,
                inputs={
                    "cell": str(self.cell),
                    "front_host": str(job.front_host),
                    "age_s": round(now_s - job.confirmed_s, 3),
                },
            )
            yield from self._give_up_job(job, StopReason.NOT_CONFIRMED, now_s)
        yield from self._refuse_requests(self.confirmations.release_expired(now_s))

    def _refuse_requests(self, refused: list[HeldRequest]) -> Iterator:
        """Report held requests as not run."""
        for held in refused:
            yield self.reporter.build_refusal(
                held.request, held.front_host, ev.TaskEnd.EXPIRED, False
            )

    # Runs

    def _apply_tracker_events(self, items: Iterable, now_s: float) -> Iterator:
        """Yield effects unchanged, and apply the tracker's events to the tasks."""
        for item in items:
            match item:
                case te.TargetUsable():
                    self._may_start = True
                case te.RunEnded(target=target, run=run, end=end):
                    self._may_start = True
                    self.turnover.record_end(now_s)
                    task = self._detach_run(run)
                    self._record_result(target, run, task, end, now_s)
                    if end is ev.RunEnd.FAILED:
                        task.avoid(target.name)
                    yield from self._end_run(task, end, now_s)
                case te.RunLost(target=target, run=run, cause=cause):
                    self._may_start = True
                    task = self._detach_run(run)
                    if cause is te.LossCause.NOT_STARTED:
                        task.job.possible_runs -= 1
                    task.avoid(target.name)
                    yield from self._end_run(task, ev.RunEnd.LEASE_EXPIRED, now_s)
                case te.TargetLost():
                    repeated = [t.key for t in self._blocked if t.request.is_repeat]
                    yield from self.suspects.record_loss(item, repeated, now_s)
                case te.TargetAnswered():
                    yield from self.suspects.resolve_losses(item, now_s)
                case te.TargetRefuses(target=target):
                    yield from self._end_hopeless_tasks(target, now_s)
                case te.RunStalled(target=target, run=run):
                    self._started_tasks[run.key].avoid(target.name)
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
            task = self._started_tasks[run.key]
            is_open = task.end is None and not task.job.is_cancelled
            if is_open and task.is_too_late(target.lease_expiry_s):
                yield from self._end_task(task, ev.TaskEnd.LOST, now_s)
                yield from self._cancel_job(task.job, StopReason.JOB_ENDED, now_s)

    def _detach_run(self, run: Run) -> CellTask:
        task = self._started_tasks.pop(run.key)
        task.target = None
        return task

    def _record_result(
        self, state: TargetState, run: Run, task: CellTask, end: ev.RunEnd, now_s: float
    ) -> None:
        match end:
            case ev.RunEnd.DONE:
                state.health.record_success()
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
        self._may_start = True
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
        if self._may_start and self.evacuations.is_evacuated(self.cell.data_centre):
            for tasks, end in hand_back_tasks(self.jobs.values(), now_s):
                yield self.reporter.build_end_report(tasks, end)

    # Starts

    def _start_tasks(self, now_s: float) -> Iterator:
        """Start waiting tasks if any may have become startable since the last call."""
        if not self._may_start:
            return
        self._may_start = False
        if not self.waiting:
            return
        targets = self._find_startable_targets(now_s)
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
                yield from self._end_task(task, end, now_s)
                yield from self._cancel_job(task.job, StopReason.JOB_ENDED, now_s)
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
        yield from self._end_task(task, ev.TaskEnd.EXPIRED, now_s)
        yield from self._cancel_job(task.job, StopReason.JOB_ENDED, now_s)

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

    def _push_waiting(self, task: CellTask, now_s: float) -> None:
        self.waiting.push(task, now_s)
        self._may_start = True

    def _start_task(
        self, task: CellTask, state: TargetState, now_s: float, is_exclusive: bool
    ) -> fx.StartRun:
        self.trials.record_start(task, now_s)
        task.last_run += 1
        task.target = state.name
        task.job.possible_runs += 1
        self._started_tasks[task.key] = task
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

    # Expiry of finished jobs

    def _prune_jobs(self, now_s: float) -> None:
        """Remove finished jobs that no front host will request again."""
        for key, job in list(self.jobs.items()):
            if now_s >= job.changed_s + END_RETENTION_S and job.is_finished():
                del self.jobs[key]
                if self._front_hosts.get(job.name) == job.front_host:
                    del self._front_hosts[job.name]
