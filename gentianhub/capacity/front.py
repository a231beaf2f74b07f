"""State machine of the open jobs on a front host, to which callers are connected.

Events go in and effects come out; the module does no input or output. The tasks of a
job are sent to cells one step after another, and the caller gets a single answer for
the whole job. The answer "not run" is sent only after every cell that may have started
a task has confirmed that it has started none and will not start any.
"""

from collections import deque
from collections.abc import Iterator, Mapping
from typing import Any

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity.evacuations import KnownEvacuations
from gentianhub.capacity.hopeless_jobs import BACKLOG, describe_refusal, is_hopeless
from gentianhub.capacity.jobs import Cell, TaskKey, build_task_keys
from gentianhub.capacity.kept_answers import KeptAnswers
from gentianhub.capacity.leases import CALLER_RETURN_S
from gentianhub.capacity.ownership import CellOwner
from gentianhub.capacity.retries import choose_retry_after_s
from gentianhub.capacity.routing import LoadView
from gentianhub.capacity.submissions import (
    CallerDisconnected,
    CancelCapacityJob,
    FrontJob,
    InterruptJobs,
    LoadsReported,
    MachineSuspended,
    OwnersChanged,
    RequestNotSent,
    SubmitCapacityJob,
)
from gentianhub.core import Incarnation
from gentianhub.core.records import define, field

# Number of times that a task is sent to cells that may decline it.
MAX_OFFERS = 2
# A job is abandoned when a cell of its tasks has had no live owner for this long. The
# replacement of an owner takes less: the silence time-out of a host and one heartbeat.
OWNERLESS_TIMEOUT_S = 1.0
# A host accepts jobs without knowing an owner for this long after its start: after a
# loss of all hosts, cells are claimed a few tenths of a second later.
STARTUP_GRACE_S = 1.0
# Time for the owners of cells to confirm that they started no task of a job.
CONFIRMATION_TIMEOUT_S = 0.3
# A suspended machine receives nothing, and the ends of callers' connections reach it
# later. TCP repeats them after 0.2, 0.6 and 1.4 s, so that longer suspensions may hide
# an end for longer than the leases of its tasks allow for.
MAX_SUSPENSION_S = 0.2
SUSPENDED = "this host was suspended"
ALL_EVACUATED = "all data centres are evacuated"
# A host that has handled nothing for this long was frozen. Owners take it as lost and
# forget its tasks 3 s after they have ended, so that they cannot tell which have run.
MAX_PAUSE_S = 2.0


@define(kw_only=True, eq=False)
class FrontJobRegistry:
    """Tracks the open jobs of one front host.

    Parameters
    ----------
    data_centre : str
        The data centre of this host, whose cells are preferred.
    started_s : float
        Monotonic time at which the process started, in seconds.
    evacuations : KnownEvacuations
        The evacuated data centres, whose cells are sent no tasks.
    kept_answers : KeptAnswers
        Final answers of jobs that may be submitted again.
    """

    data_centre: str
    started_s: float = float("-inf")
    evacuations: KnownEvacuations = field(factory=lambda: KnownEvacuations())
    kept_answers: KeptAnswers = field(factory=lambda: KeptAnswers())
    loads: LoadView = field(init=False)
    jobs: dict[str, FrontJob] = field(init=False, factory=dict)
    owners: dict[Cell, CellOwner] = field(init=False, factory=dict)
    _addressed_cells: set[Cell] = field(init=False, factory=set)
    _handled_s: float = field(init=False, default=float("inf"))
    _suspensions: deque[tuple[float, float]] = field(init=False, factory=deque)

    def __attrs_post_init__(self):
        self.loads = LoadView(
            data_centre=self.data_centre, evacuations=self.evacuations
        )

    def handle(self, event, now_s: float) -> Iterator:
        """Yield the effects of one event at the monotonic time `now_s`."""
        self._note_pause(now_s)
        match event:
            case SubmitCapacityJob():
                yield from self._submit(event, now_s)
            case CallerDisconnected(job_id=job_id, reply_to=reply_to):
                yield from self._handle_caller_disconnected(job_id, reply_to, now_s)
            case CancelCapacityJob(job_id=job_id):
                yield from self._cancel(job_id, now_s)
            case ev.TasksEnded():
                yield from self._handle_ended_tasks(event, now_s)
            case OwnersChanged(owners=owners):
                yield from self._update_owners(owners, now_s)
            case LoadsReported(owner=owner, claims=claims):
                self._update_loads(owner, claims)
            case RequestNotSent(request=request):
                yield from self._handle_unsent_request(request, now_s)
            case MachineSuspended(suspended_s=suspended_s):
                yield from self._handle_suspension(suspended_s, now_s)
            case InterruptJobs(reason=reason):
                for job in list(self.jobs.values()):
                    yield from self._close_job(job, fx.JobVerdict.INTERRUPTED, reason)
            case ev.Tick():
                yield from self._handle_tick(now_s)

    def _note_pause(self, now_s: float) -> None:
        """After a pause, take open tasks as started: their ends may be forgotten."""
        if now_s > self._handled_s + MAX_PAUSE_S:
            for job in self.jobs.values():
                if job.requested_cells:
                    job.has_started = True
                    job.resumed_s = now_s
        self._handled_s = now_s

    def collect_working_owners(self) -> frozenset[Incarnation]:
        """Return the owners that expect frequent heartbeats of this host.

        They have open tasks or a cancellation to confirm, or have been sent a request
        since the last call.
        """
        cells = {
            cell
            for job in self.jobs.values()
            for cell in (*job.assigned_cells.values(), *(job.unconfirmed_cells or ()))
        }
        cells |= self._addressed_cells
        self._addressed_cells = set()
        return frozenset(
            self.owners[cell].owner for cell in cells if cell in self.owners
        )

    def count_unstarted_jobs(self, route: str) -> int:
        """Return the number of open jobs of a route of which no task has started."""
        return sum(
            job.route.name == route and not job.has_started
            for job in self.jobs.values()
        )

    def list_open_jobs(self, cell: Cell) -> tuple[str, ...]:
        """Return the jobs that need their tasks in a cell."""
        return tuple(
            job.job_id
            for job in self.jobs.values()
            if cell in job.requested_cells and job.unconfirmed_cells is None
        )

    def _submit(self, event: SubmitCapacityJob, now_s: float) -> Iterator:
        known = self.jobs.get(event.job_id)
        if known is not None:
            known.reply_to.append(event.reply_to)
            return
        kept = self.kept_answers.find(event.job_id, now_s)
        if kept is not None:
            yield fx.AnswerCaller(
                reply_to=event.reply_to,
                job=event.job_id,
                verdict=kept,
                reason="answered before",
            )
            return
        reason = self._find_refusal_reason(event, now_s)
        if reason:
            if reason == BACKLOG:
                yield describe_refusal(event, self.loads)
            yield fx.AnswerCaller(
                reply_to=event.reply_to,
                job=event.job_id,
                verdict=fx.JobVerdict.NOT_RUN,
                reason=reason,
                retry_after_s=self._choose_retry_after_s(event),
            )
            return
        job = FrontJob(
            job_id=event.job_id,
            job=event.job,
            route=event.route,
            accepted_s=now_s,
            deadline_s=now_s + event.wait_s,
            reply_to=[event.reply_to],
            rank=event.rank,
        )
        self.jobs[event.job_id] = job
        yield from self._release_steps(job, now_s)

    def _choose_retry_after_s(self, job: SubmitCapacityJob | FrontJob) -> int:
        drain_s = self.loads.estimate_drain_s()
        return choose_retry_after_s(job.job_id, job.rank, drain_s)

    def _find_refusal_reason(self, event: SubmitCapacityJob, now_s: float) -> str:
        """Return why a job has to be refused at once, or an empty string."""
        if event.job.unsupported:
            return f"not supported: {event.job.unsupported}"
        if is_hopeless(event, self.loads):
            return BACKLOG
        if not self.owners and now_s > self.started_s + STARTUP_GRACE_S:
            return "no cell of targets has an owner"
        if self.loads.is_all_evacuated():
            return ALL_EVACUATED
        return ""

    def _release_steps(self, job: FrontJob, now_s: float) -> Iterator:
        for number, step in enumerate(job.job.steps):
            is_due = all(self._is_step_done(job, other) for other in step.after)
            if number in job.released_steps or not is_due:
                continue
            job.released_steps.add(number)
            keys = build_task_keys(job.job_id, number, range(step.count))
            yield from self._assign_tasks(job, number, keys, now_s)

    def _is_step_done(self, job: FrontJob, number: int) -> bool:
        return job.done_counts.get(number, 0) >= job.job.steps[number].count

    def _assign_tasks(
        self, job: FrontJob, number: int, keys: list[TaskKey], now_s: float
    ) -> Iterator:
        """Divide tasks of one step among the cells and send them to the owners."""
        step = job.job.steps[number]
        is_final = max(job.offer_counts.get(key, 0) for key in keys) >= MAX_OFFERS
        remaining = list(keys)
        millicores = step.demand.cpu_millicores
        is_whole = job.rank is not None and len(keys) == step.count
        for allocation in self.loads.divide(
            len(keys), millicores, is_final, is_whole, job.evacuated_cells
        ):
            assigned, remaining = (
                remaining[: allocation.count],
                remaining[allocation.count :],
            )
            for key in assigned:
                job.assigned_cells[key] = allocation.cell
                job.offer_counts[key] = job.offer_counts.get(key, 0) + 1
            job.requested_cells.add(allocation.cell)
            yield self._build_request(
                job, number, assigned, allocation.cell, allocation.may_decline, now_s
            )
        for key in remaining:
            job.assigned_cells[key] = None

    def _build_request(
        self,
        job: FrontJob,
        number: int,
        keys: list[TaskKey],
        cell: Cell,
        may_decline: bool,
        now_s: float,
        is_repeat: bool = False,
    ) -> fx.SendToOwner:
        if may_decline:
            job.binding_keys.difference_update(keys)
        else:
            job.binding_keys.update(keys)
        job.request_counts[cell] += 1
        step = job.job.steps[number]
        earlier_s = sum(
            other.estimate_s * job.route.stretch
            for other_number, other in enumerate(job.job.steps)
            if other_number != number
        )
        request = ev.RunTasks(
            cell=cell,
            job=job.job_id,
            step_number=number,
            step=step,
            indexes=tuple(key.index for key in keys),
            payload=job.job.payload,
            route=f"{job.route.name}/{number}",
            service=job.route.service,
            priority=job.route.priority,
            max_attempts=job.route.max_attempts,
            age_s=now_s - job.accepted_s,
            objective_s=job.route.objective_s + earlier_s,
            stretch=job.route.stretch * self.loads.count_waves(step),
            deadline_in_s=job.deadline_s - now_s,
            may_decline=may_decline,
            is_repeat=is_repeat,
            term=self.owners[cell].claim.term,
        )
        return self._address(cell, request)

    def _address(
        self, cell: Cell, message: ev.RunTasks | ev.CancelTasks
    ) -> fx.SendToOwner:
        self._addressed_cells.add(cell)
        return fx.SendToOwner(cell=cell, message=message)

    def _handle_unsent_request(self, request: ev.RunTasks, now_s: float) -> Iterator:
        """Send tasks to another cell whose owner cannot be reached.

        A repeated request stays with its cell: an earlier owner may have started it.
        """
        job = self.jobs.get(request.job)
        self.loads.mark_unreachable(request.cell)
        if job is None or request.is_repeat:
            return
        keys = request.list_keys()
        for key in keys:
            del job.assigned_cells[key]
            job.offer_counts[key] -= 1
        job.request_counts[request.cell] -= 1
        if not job.request_counts[request.cell]:
            job.requested_cells.discard(request.cell)
        yield from self._assign_tasks(job, request.step_number, keys, now_s)

    def _handle_ended_tasks(self, event: ev.TasksEnded, now_s: float) -> Iterator:
        job = self.jobs.get(event.job)
        if job is None or not self._is_current(event):
            return
        job.has_started = job.has_started or event.has_started
        if event.end is ev.TaskEnd.CANCELLED:
            yield from self._handle_confirmation(job, event.cell)
            return
        keys = build_task_keys(event.job, event.step_number, event.indexes)
        keys = [key for key in keys if job.assigned_cells.get(key) == event.cell]
        if event.end is ev.TaskEnd.DECLINED:
            # The owner has declined an earlier request and runs the repeated one.
            keys = [key for key in keys if key not in job.binding_keys]
        is_ending = job.unconfirmed_cells is not None
        if not keys or (is_ending and event.end is not ev.TaskEnd.DONE):
            return
        for key in keys:
            del job.assigned_cells[key]
        match event.end:
            case ev.TaskEnd.DONE:
                job.has_started = True
                done = job.done_counts.get(event.step_number, 0) + len(keys)
                job.done_counts[event.step_number] = done
                yield from self._advance(job, now_s)
            case ev.TaskEnd.DECLINED:
                self.loads.mark_full(event.cell)
                job.discard_unused_cell(event)
                yield from self._assign_tasks(job, event.step_number, keys, now_s)
            case ev.TaskEnd.EVACUATED:
                job.evacuated_cells.add(event.cell)
                job.discard_unused_cell(event)
                if self.loads.is_all_evacuated():
                    yield from self._abandon_job(job, ALL_EVACUATED, now_s)
                else:
                    yield from self._assign_tasks(job, event.step_number, keys, now_s)
            case ev.TaskEnd.FAILED:
                job.has_started = True
                reason = "a task has used up its attempts"
                yield from self._fail_job(job, reason, now_s)
            case ev.TaskEnd.CRASHED:
                job.has_started = True
                reason = "a task has crashed the targets that ran it"
                yield from self._fail_job(job, reason, now_s)
            case ev.TaskEnd.LOST:
                job.has_started = True
                reason = "a task was lost with its target"
                yield from self._close_job(job, fx.JobVerdict.INTERRUPTED, reason)
            case ev.TaskEnd.EXPIRED:
                yield from self._abandon_job(
                    job, "no capacity before the deadline", now_s
                )

    def _is_current(self, event: ev.TasksEnded) -> bool:
        """Whether a report is still valid.

        A report from an earlier owner that it will not run a task is not, because the
        task has since been sent to the current owner.
        """
        match event.end:
            case ev.TaskEnd.DONE | ev.TaskEnd.FAILED | ev.TaskEnd.CRASHED:
                return True
            case _:
                known = self.owners.get(event.cell)
                return known is not None and known.claim.term == event.term

    def _advance(self, job: FrontJob, now_s: float) -> Iterator:
        if all(self._is_step_done(job, number) for number in range(len(job.job.steps))):
            self.kept_answers.store(job.job_id, fx.JobVerdict.COMPLETED, now_s)
            yield from self._close_job(
                job, fx.JobVerdict.COMPLETED, "every task is done"
            )
        elif job.unconfirmed_cells is None:
            yield from self._release_steps(job, now_s)

    def _fail_job(self, job: FrontJob, reason: str, now_s: float) -> Iterator:
        self.kept_answers.store(job.job_id, fx.JobVerdict.FAILED, now_s)
        yield from self._close_job(job, fx.JobVerdict.FAILED, reason)

    def _abandon_job(self, job: FrontJob, reason: str, now_s: float) -> Iterator:
        """End a job that cannot be completed.

        If no task is known to have started, the cells have to confirm it first.
        """
        if job.has_started or not job.requested_cells:
            verdict = (
                fx.JobVerdict.INTERRUPTED if job.has_started else fx.JobVerdict.NOT_RUN
            )
            yield from self._close_job(job, verdict, reason)
            return
        yield from self._await_cancellation(job, reason, now_s)

    def _handle_suspension(self, suspended_s: float, now_s: float) -> Iterator:
        """End the jobs whose callers may have left in suspensions.

        Those that are done are answered: reports of it may wait in the sockets, ahead
        of the confirmations of the cells.
        """
        self._suspensions.append((now_s, suspended_s))
        while self._suspensions[0][0] < now_s - CALLER_RETURN_S:
            self._suspensions.popleft()
        for job in list(self.jobs.values()):
            hidden_s = sum(s for at_s, s in self._suspensions if at_s > job.accepted_s)
            if hidden_s <= MAX_SUSPENSION_S or job.unconfirmed_cells is not None:
                continue
            if job.requested_cells:
                yield from self._await_cancellation(job, SUSPENDED, now_s)
            else:
                yield from self._abandon_job(job, SUSPENDED, now_s)

    def _await_cancellation(self, job: FrontJob, reason: str, now_s: float) -> Iterator:
        job.unconfirmed_cells = set(job.requested_cells)
        job.confirmation_deadline_s = now_s + CONFIRMATION_TIMEOUT_S
        job.end_reason = reason
        yield from self._cancel_tasks(job)

    def _handle_confirmation(self, job: FrontJob, cell: Cell) -> Iterator:
        if job.unconfirmed_cells is None:
            return
        job.unconfirmed_cells.discard(cell)
        if not job.unconfirmed_cells:
            job.requested_cells.clear()
            verdict = (
                fx.JobVerdict.INTERRUPTED if job.has_started else fx.JobVerdict.NOT_RUN
            )
            yield from self._close_job(job, verdict, job.end_reason)

    def _cancel_tasks(self, job: FrontJob) -> Iterator:
        for cell in sorted(job.requested_cells):
            yield self._address(cell, ev.CancelTasks(cell=cell, job=job.job_id))

    def _close_job(
        self, job: FrontJob, verdict: fx.JobVerdict, reason: str
    ) -> Iterator:
        """Answer all callers that wait for the job and remove it."""
        del self.jobs[job.job_id]
        if verdict is not fx.JobVerdict.COMPLETED:
            yield from self._cancel_tasks(job)
        for reply_to in job.reply_to:
            yield fx.AnswerCaller(
                reply_to=reply_to,
                job=job.job_id,
                verdict=verdict,
                reason=reason,
                retry_after_s=self._choose_retry_after_s(job),
            )

    def _handle_caller_disconnected(
        self, job_id: str, reply_to: Any, now_s: float
    ) -> Iterator:
        job = self.jobs.get(job_id)
        if job is None or reply_to not in job.reply_to:
            return
        job.reply_to.remove(reply_to)
        if not job.reply_to:
            yield from self._close_job(job, fx.JobVerdict.CANCELLED, "the caller left")

    def _cancel(self, job_id: str, now_s: float) -> Iterator:
        job = self.jobs.get(job_id)
        if job is not None:
            yield from self._close_job(
                job, fx.JobVerdict.CANCELLED, "the caller cancelled"
            )

    def _update_owners(
        self, owners: Mapping[Cell, CellOwner], now_s: float
    ) -> Iterator:
        self.loads.update({cell: known.claim for cell, known in owners.items()})
        changed = {
            cell
            for cell, known in owners.items()
            if cell not in self.owners
            or (self.owners[cell].owner, self.owners[cell].claim.term)
            != (known.owner, known.claim.term)
        }
        self.owners = dict(owners)
        for job in list(self.jobs.values()) if changed else ():
            for cell in changed & job.requested_cells:
                # The new owner cannot tell which tasks the earlier one has started.
                job.has_started = True
                yield from self._resend_requests(job, cell, now_s)
            yield from self._assign_waiting_tasks(job, now_s)

    def _update_loads(
        self, owner: Incarnation, claims: tuple[ev.CellClaim, ...]
    ) -> None:
        for claim in claims:
            known = self.owners.get(claim.cell)
            if known is None or known.owner != owner:
                continue
            if known.claim.term == claim.term:
                self.owners[claim.cell] = CellOwner(owner=owner, claim=claim)
                self.loads.update_claim(claim)

    def resend_requests(self, cell: Cell, now_s: float) -> Iterator:
        """Resend the open tasks of a cell after the link to its owner was replaced."""
        self._note_pause(now_s)
        for job in list(self.jobs.values()):
            yield from self._resend_requests(job, cell, now_s)

    def _resend_requests(self, job: FrontJob, cell: Cell, now_s: float) -> Iterator:
        if job.unconfirmed_cells is not None:
            if cell in job.unconfirmed_cells:
                yield self._address(cell, ev.CancelTasks(cell=cell, job=job.job_id))
            return
        if job.resumed_s is not None:
            # An owner that has forgotten a task that is done would run it again.
            return
        steps: dict[int, list[TaskKey]] = {}
        for key, assigned in job.assigned_cells.items():
            if assigned == cell:
                steps.setdefault(key.step, []).append(key)
        for number, keys in steps.items():
            yield self._build_request(
                job, number, keys, cell, False, now_s, is_repeat=True
            )

    def _handle_tick(self, now_s: float) -> Iterator:
        for job in list(self.jobs.values()):
            if job.unconfirmed_cells is not None:
                if now_s > job.confirmation_deadline_s:
                    job.has_started = True
                    yield from self._close_job(
                        job, fx.JobVerdict.INTERRUPTED, job.end_reason
                    )
            elif _is_forgotten(job, now_s):
                yield from self._abandon_job(job, "this host was frozen", now_s)
            elif now_s > job.deadline_s:
                yield from self._abandon_job(job, "the caller's deadline passed", now_s)
            else:
                yield from self._check_owners(job, now_s)

    def _assign_waiting_tasks(self, job: FrontJob, now_s: float) -> Iterator:
        """Send the tasks that had no cell because no owner was known."""
        if job.unconfirmed_cells is not None or not self.loads.cells:
            return
        unassigned: dict[int, list[TaskKey]] = {}
        for key, cell in job.assigned_cells.items():
            if cell is None:
                unassigned.setdefault(key.step, []).append(key)
        for number, keys in unassigned.items():
            yield from self._assign_tasks(job, number, keys, now_s)

    def _check_owners(self, job: FrontJob, now_s: float) -> Iterator:
        """Assign tasks that have no cell; abandon the job if a cell stays ownerless."""
        yield from self._assign_waiting_tasks(job, now_s)
        is_ownerless = any(
            cell not in self.owners for cell in job.assigned_cells.values()
        )
        if not is_ownerless:
            job.ownerless_since_s = None
        elif job.ownerless_since_s is None:
            job.ownerless_since_s = now_s
        elif now_s > job.ownerless_since_s + OWNERLESS_TIMEOUT_S:
            yield from self._abandon_job(job, "no owner of the tasks' cell", now_s)


def _is_forgotten(job: FrontJob, now_s: float) -> bool:
    """Whether a job ends because its owners took this host as lost during a pause.

    Reports of its tasks that had arrived meanwhile are handled first.
    """
    return job.resumed_s is not None and now_s > job.resumed_s + CONFIRMATION_TIMEOUT_S
