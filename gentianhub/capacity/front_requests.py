"""Requests and confirmations of front hosts, and the jobs that they sent to a cell.

The state machine yields effects, and events for the scheduler of the cell, which
queues, starts and stops tasks. An event is applied before the next item is produced.
"""

from collections.abc import Iterator

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity.confirmations import (
    CellConfirmations,
    HeldRequest,
    is_confirmation_due,
    is_given_up,
    is_recent,
)
from gentianhub.capacity.effects import StopReason
from gentianhub.capacity.estimates import RunEstimates
from gentianhub.capacity.jobs import Cell, TaskKey
from gentianhub.capacity.load import CellLoad
from gentianhub.capacity.reports import Reporter
from gentianhub.capacity.suspects import Suspects
from gentianhub.capacity.tasks import LATE_FACTOR, CellJob, CellTask
from gentianhub.capacity.turnover import SlotTurnover
from gentianhub.core import Incarnation
from gentianhub.core.records import define, field, frozen

# Ends of tasks are kept for this long, for a front host that repeats its request.
END_RETENTION_S = 3.0
# Fraction of its slack that a task may wait; the rest covers the variance of run times
# and the delivery of the answer.
SLACK_FRACTION = 0.6


@frozen(kw_only=True)
class TaskRequested:
    """A front host has requested a task that was not known."""

    task: CellTask


@frozen(kw_only=True)
class TasksQueued:
    """The tasks of a request that may not be declined are queued."""

    job: CellJob
    request: ev.RunTasks


@frozen(kw_only=True)
class StartsDue:
    """Waiting tasks have to be started now; those that remain may be declined."""


@frozen(kw_only=True)
class JobEnded:
    """The tasks of a job are no longer needed."""

    job: CellJob
    reason: StopReason


@frozen(kw_only=True)
class JobsConfirmed:
    """A front host has confirmed its open jobs; `tasks` were held until then."""

    tasks: list[CellTask]


RequestEvent = TaskRequested | TasksQueued | StartsDue | JobEnded | JobsConfirmed


@define(kw_only=True, eq=False)
class FrontRequests:
    """The part of a cell's scheduler that deals with front hosts.

    Parameters
    ----------
    term : int
        The fencing token of this owner.
    """

    cell: Cell
    term: int
    reporter: Reporter
    load: CellLoad
    suspects: Suspects
    confirmations: CellConfirmations
    estimates: RunEstimates
    turnover: SlotTurnover
    jobs: dict[tuple[Incarnation, str], CellJob] = field(init=False, factory=dict)
    _front_hosts: dict[str, Incarnation] = field(init=False, factory=dict)

    def handle(
        self,
        event,
        now_s: float,
        front_host: Incarnation | None,
        confirmed_s: float,
    ) -> Iterator[fx.CellEffect | RequestEvent]:
        """Yield the effects of one event, and the events for the scheduler.

        `front_host` has sent it, if any. It had the jobs that the event names open at
        `confirmed_s`, a monotonic time of this host.
        """
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
                yield from self._handle_cancel(job_id, front_host)
            case ev.JobCancelled(job=job_id):
                self.confirmations.drop_job(None, job_id)
                job = self.jobs.get((self._front_hosts.get(job_id), job_id))
                yield from self._withdraw_job(job)
            case ev.FrontLost(front_host=lost):
                yield from self._give_up_front_host(lost)
            case ev.Tick():
                yield from self._give_up_unconfirmed(now_s)
                self._prune_jobs(now_s)

    def has_work(self) -> bool:
        """Whether a task of a job that was not cancelled waits or runs."""
        return bool(self.confirmations) or any(
            job.has_open_tasks() for job in self.jobs.values() if not job.is_cancelled
        )

    def find_front_host(self, name: str) -> Incarnation | None:
        """Return the host that has sent tasks of an open job, or None."""
        job = self.jobs.get((self._front_hosts.get(name), name))
        is_open = job is not None and not job.is_withdrawn and job.has_open_tasks()
        return job.front_host if is_open else None

    def find_unconfirmed_hosts(self, now_s: float) -> Iterator[Incarnation]:
        """Yield the front hosts that should confirm their open jobs."""
        yield from self.confirmations.find_waiting_hosts()
        yield from (
            job.front_host
            for job in self.jobs.values()
            if is_confirmation_due(job, now_s)
        )

    # Requests

    def _handle_run_tasks(
        self,
        request: ev.RunTasks,
        front_host: Incarnation,
        confirmed_s: float,
        now_s: float,
        submitted_s: float | None = None,
    ) -> Iterator:
        """Request the tasks of an order, unless they are known.

        The caller submitted the job at `submitted_s` at the earliest; None if only the
        confirmation tells.
        """
        if submitted_s is None:
            submitted_s = min(confirmed_s, now_s) - request.age_s
        job = self.jobs.get((front_host, request.job))
        keys = request.list_keys()
        end = self.suspects.find_end(keys)
        if end is not None:
            yield self.suspects.log_given_up(keys, end)
            yield self.reporter.build_refusal(request, front_host, end, True)
            if job is not None:
                yield JobEnded(job=job, reason=StopReason.JOB_ENDED)
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
                yield from self.give_up_job(other, StopReason.SUBMITTED_AGAIN)
            self.jobs[(front_host, job.name)] = job
            self._front_hosts[job.name] = front_host
        if is_given_up(job, now_s):
            yield from self.give_up_job(job, StopReason.NOT_CONFIRMED)
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
            yield TaskRequested(task=task)
        if request.may_decline:
            yield StartsDue()
            yield from self._decline_waiting(job, new_keys)
        else:
            yield TasksQueued(job=job, request=request)

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
                is_repeat=request.is_repeat_in(self.term),
            )

    def _resend_ends(self, job: CellJob, keys: list[TaskKey]) -> Iterator:
        for key in keys:
            task = job.tasks[key]
            if task.end is not None:
                yield self.reporter.build_end_report([task], task.end)

    def _decline_waiting(self, job: CellJob, keys: list[TaskKey]) -> Iterator:
        declined = [job.tasks[key] for key in keys if job.tasks[key].is_waiting]
        for task in declined:
            del job.tasks[task.key]
            task.is_blocked = True
        if declined:
            yield self.reporter.build_end_report(declined, ev.TaskEnd.DECLINED)

    # Cancellations and losses

    def _handle_cancel(self, job_id: str, front_host: Incarnation) -> Iterator:
        self.confirmations.drop_job(front_host, job_id)
        job = self.jobs.get((front_host, job_id))
        yield from self._withdraw_job(job)
        yield self.reporter.build_cancel_confirmation(job_id, front_host, job)

    def _withdraw_job(self, job: CellJob | None) -> Iterator:
        """Cancel a job, so that a later request for it is a new submission."""
        if job is None:
            return
        yield self.reporter.log_withdrawal(job, "cancelled")
        yield JobEnded(job=job, reason=StopReason.CANCELLED)
        job.is_withdrawn = True

    def _give_up_front_host(self, lost: Incarnation) -> Iterator:
        """Cancel the jobs of a front host that is considered lost, and report this.

        A host that is only slow would wait for its tasks until its callers' deadline.
        """
        yield from self._refuse_requests(self.confirmations.release_requests(lost))
        for job in [job for job in self.jobs.values() if job.front_host == lost]:
            if not job.is_cancelled and job.has_open_tasks():
                yield from self.give_up_job(job, StopReason.FRONT_HOST_LOST)

    def give_up_job(self, job: CellJob, reason: StopReason) -> Iterator:
        """End a job, and report its open tasks as expired."""
        open_tasks = [task for task in job.tasks.values() if task.end is None]
        yield JobEnded(job=job, reason=reason)
        steps: dict[int, list[CellTask]] = {}
        for task in open_tasks:
            steps.setdefault(task.key.step, []).append(task)
        for tasks in steps.values():
            yield self.reporter.build_end_report(tasks, ev.TaskEnd.EXPIRED)

    # Confirmations

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
                    yield from self.give_up_job(job, StopReason.NOT_CONFIRMED)
                job.confirmed_s = max(job.confirmed_s, confirmed_s)
                continue
            if not job.is_cancelled and job.has_open_tasks():
                yield self.reporter.log_withdrawal(job, "not open")
                yield JobEnded(job=job, reason=StopReason.NOT_OPEN)
            job.is_withdrawn = True
        yield JobsConfirmed(tasks=self.confirmations.release_tasks(now_s))
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
            yield from self.give_up_job(job, StopReason.NOT_CONFIRMED)
        yield from self._refuse_requests(self.confirmations.release_expired(now_s))

    def _refuse_requests(self, refused: list[HeldRequest]) -> Iterator:
        """Report held requests as not run."""
        for held in refused:
            yield self.reporter.build_refusal(
                held.request, held.front_host, ev.TaskEnd.EXPIRED, False
            )

    def _prune_jobs(self, now_s: float) -> None:
        """Remove finished jobs that no front host will request again."""
        for key, job in list(self.jobs.items()):
            if now_s >= job.changed_s + END_RETENTION_S and job.is_finished():
                del self.jobs[key]
                if self._front_hosts.get(job.name) == job.front_host:
                    del self._front_hosts[job.name]
