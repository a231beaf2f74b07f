"""Dispatch logic: turns events into effects, without sockets or clocks."""

import heapq
from collections.abc import Iterator
from typing import Any

from gentianhub.core import (
    Complete,
    Failed,
    Incarnation,
    JobId,
    NotRun,
    Refusal,
    RunState,
    Step,
    Table,
    TaskId,
    Unknown,
)
from gentianhub.core import effects as fx
from gentianhub.core import events as ev
from gentianhub.core.records import Factory, define, evolve, field
from gentianhub.decisions.admission import (
    Admission,
    build_admission,
    build_draining_refusal,
)
from gentianhub.decisions.delays import DelayedTasks
from gentianhub.decisions.description import StateDescription
from gentianhub.decisions.fairness import FairOrder
from gentianhub.decisions.ledger import JobRecord, Ledger, TaskState
from gentianhub.decisions.order import QueuedTask, TaskOrder
from gentianhub.decisions.retries import NoRetry, Retries, RetryAt
from gentianhub.decisions.runtimes import RunClass, RunTimeEstimates
from gentianhub.decisions.sharing import SlotSharing
from gentianhub.decisions.slots import SlotHoldings
from gentianhub.decisions.targets import StartRequest, TargetSelector


@define(kw_only=True, eq=False)
class Dispatcher:
    """Decides which task starts where and when.

    Parameters
    ----------
    owner : Incarnation
        The process that owns the jobs.
    """

    owner: Incarnation
    runtimes: RunTimeEstimates = field(factory=lambda: RunTimeEstimates())
    order: TaskOrder = Factory(
        lambda self: FairOrder(runtimes=self.runtimes), takes_self=True
    )
    admission: Admission = Factory(
        lambda self: build_admission(self.order, self.runtimes), takes_self=True
    )
    targets: TargetSelector = field(factory=lambda: TargetSelector())
    retries: Retries = field(factory=lambda: Retries())
    table: Table = field(factory=lambda: Table())
    ledger: Ledger = field(init=False)
    sharing: SlotSharing = field(init=False)
    is_draining: bool = field(init=False, default=False)
    _drain_watcher: Any = field(init=False, default=None)
    _delayed: DelayedTasks = field(init=False, factory=lambda: DelayedTasks())
    _deadlines: list[tuple[float, int]] = field(init=False, factory=list)

    def __attrs_post_init__(self):
        self.ledger = Ledger(owner=self.owner)
        self.sharing = SlotSharing(owner=self.owner, holdings=self.targets.holdings)

    @property
    def holdings(self) -> SlotHoldings:
        """Slots that this process may use."""
        return self.targets.holdings

    def handle(self, event: ev.Event, now_s: float) -> Iterator[fx.Effect]:
        """Yield the effects of one event that arrives at `now_s` (monotonic)."""
        match event:
            case ev.SubmitJob():
                yield from self._submit_job(event, now_s)
            case ev.AttemptEnded():
                yield from self._handle_outcome(event, now_s)
            case ev.ReserveIds(count=count, reply_to=to):
                yield fx.Reply(
                    recipient=to, message=self.ledger.issue_ids(count, now_s)
                )
            case ev.WatchJob():
                yield from self._watch_job(event)
            case ev.UnwatchJob():
                yield from self._unwatch_job(event)
            case ev.CancelJob():
                yield from self._cancel_job(event, now_s)
            case ev.Tick():
                yield from self._handle_tick(now_s)
            case ev.TargetsListed(targets=targets):
                self._update_targets(targets, now_s)
            case ev.TargetsLeaving(targets=targets):
                self._mark_targets_leaving(targets, now_s)
            case ev.TableAdopted(table=table):
                self._adopt_table(table, now_s)
            case ev.DrainStarted(reply_to=to):
                self.is_draining = True
                self._drain_watcher = to
            case ev.DrainTimedOut():
                yield from self._end_open_jobs(now_s)
            case ev.DescribeState(reply_to=to):
                yield fx.Reply(recipient=to, message=self.describe_state(now_s))
            case ev.LiveProcessesChanged(processes=processes):
                self.order.set_processes(len(processes))
                self.sharing.handle_message(event, now_s)
            case ev.SlotDemand() | ev.SlotGrant() | ev.SlotReturn() | ev.SlotsHeld():
                self.sharing.handle_message(event, now_s)
        self._release_retries(now_s)
        self._update_holdings(now_s)
        yield from self._start_tasks(now_s)
        yield from self.sharing.collect_messages(len(self.order), 1.0, now_s)
        yield from self._report_drained()

    def _report_drained(self) -> Iterator[fx.Effect]:
        if self._drain_watcher is not None and not self.ledger.count_open():
            yield fx.Reply(recipient=self._drain_watcher, message=ev.Drained())
            self._drain_watcher = None

    def _end_open_jobs(self, now_s: float) -> Iterator[fx.Effect]:
        unknown = Unknown(
            step=Step.DRAIN,
            peer=str(self.owner),
            reason="the entry process shut down before the target replied",
        )
        for record in self.ledger.find_open_jobs():
            record.is_failing = True
            yield from self._end_queued_tasks(
                record, "the entry process shut down", now_s
            )
            yield from self._report_ended_jobs(
                self.ledger.end_sent_tasks(record, unknown, now_s)
            )

    def _submit_job(self, event: ev.SubmitJob, now_s: float) -> Iterator[fx.Effect]:
        refusal = self._refuse_job(event, now_s)
        answer = refusal or self.ledger.accept_job(event.request, event.job_id, now_s)
        yield fx.Reply(recipient=event.reply_to, message=answer)
        if not isinstance(answer, Refusal) and not answer.known:
            record = self.ledger.records[answer.job_id.sequence]
            deadline = (record.job.deadline_at_s, record.job.id.sequence)
            heapq.heappush(self._deadlines, deadline)
            self._queue_job(record, now_s)

    def _refuse_job(self, event: ev.SubmitJob, now_s: float) -> Refusal | None:
        if event.job_id is not None and not self._is_unused(event.job_id):
            # The job may have run; only the ledger knows its state.
            return None
        if self.is_draining:
            return build_draining_refusal(self.owner)
        return self.admission.refuse(event.request, self.table, now_s)

    def _is_unused(self, job_id: JobId) -> bool:
        match self.ledger.find_job(job_id):
            case Refusal(run=RunState.NOT_RUN):
                return True
            case _:
                return False

    def _queue_job(self, record: JobRecord, now_s: float) -> None:
        for index in range(len(record.states)):
            self.order.push(record.describe_task(index), now_s)

    def _start_tasks(self, now_s: float) -> Iterator[fx.Effect]:
        """Start queued tasks on idle slots until either run out."""
        while self.targets.has_idle(now_s):
            entry = self.order.pop(now_s)
            if entry is None:
                return
            record = self.ledger.records.get(entry.task_id.job_id.sequence)
            if record is None or not self._is_queued(record, entry.task_id):
                continue
            if now_s >= entry.deadline_at_s:
                yield from self._expire_job(record, now_s)
                continue
            yield self._start_task(record, entry, now_s)

    def _is_queued(self, record: JobRecord, task_id: TaskId) -> bool:
        return record.states[task_id.index] is TaskState.QUEUED

    def _start_task(
        self, record: JobRecord, entry: QueuedTask, now_s: float
    ) -> fx.StartTask:
        request = self._describe_start(entry)
        target = self.targets.choose(request, now_s)
        self.targets.record_start(target, request, now_s)
        self._record_start(entry, now_s)
        self.ledger.mark_sent(entry.task_id)
        if not entry.refused_by:
            self.retries.count_first_try(entry.service, now_s)
        return fx.StartTask(
            task_id=entry.task_id,
            task=record.job.request.tasks[entry.task_id.index],
            service=entry.service,
            target=target,
            deadline_at_s=entry.deadline_at_s,
        )

    def _describe_start(self, entry: QueuedTask) -> StartRequest:
        run_class = self.runtimes.classify(entry.service, entry.kind)
        return StartRequest(
            task_id=entry.task_id,
            service=entry.service,
            kind=entry.kind,
            job_tasks=entry.job_tasks,
            is_long=run_class is RunClass.LONG,
            refused_by=entry.refused_by,
        )

    def _handle_outcome(
        self, event: ev.AttemptEnded, now_s: float
    ) -> Iterator[fx.Effect]:
        refused_by = self.targets.record_outcome(event, now_s)
        self.sharing.release_slot(event.target, now_s)
        if event.leaving:
            self.sharing.drop_target(event.target)
        record = self.ledger.records[event.task_id.job_id.sequence]
        self._record_end(record, event, now_s)
        if record.states[event.task_id.index] is TaskState.ENDED:
            # The drain ended the task as unknown before its reply arrived.
            return
        match event.outcome:
            case NotRun() if not record.is_failing:
                yield from self._retry_task(record, event, refused_by, now_s)
            case Complete() | Failed() | NotRun() | Unknown():
                yield from self._end_task(record, event, now_s)

    def _retry_task(
        self,
        record: JobRecord,
        event: ev.AttemptEnded,
        refused_by: tuple[str, ...],
        now_s: float,
    ) -> Iterator[fx.Effect]:
        index = event.task_id.index
        attempts, deadline_at_s = record.attempts[index], record.job.deadline_at_s
        match self.retries.decide(attempts, deadline_at_s, now_s):
            case RetryAt(due_s=due_s):
                self.ledger.requeue_task(event.task_id)
                entry = evolve(record.describe_task(index), refused_by=refused_by)
                self._delayed.push(entry, due_s)
            case NoRetry(reason=reason):
                last = event.outcome
                outcome = evolve(last, reason=f"{last.reason}; not retried: {reason}")
                yield from self._end_task(record, evolve(event, outcome=outcome), now_s)

    def _record_start(self, entry: QueuedTask, now_s: float) -> None:
        self.order.start(entry, now_s)
        key = (entry.task_id.job_id.sequence, entry.task_id.index)
        self.runtimes.watch_start(key, entry.service, entry.kind, now_s)

    def _record_end(
        self, record: JobRecord, event: ev.AttemptEnded, now_s: float
    ) -> None:
        index = event.task_id.index
        self.runtimes.watch_end((event.task_id.job_id.sequence, index))
        match event.outcome:
            case Complete(run_s=run_s):
                request = record.job.request
                kind = request.tasks[index].kind
                self.runtimes.observe(request.service, kind, run_s, now_s)
                self.order.end(event.task_id, run_s)
            case Failed(run_s=run_s):
                # The duration of a failed run says nothing about the kind's run time.
                self.order.end(event.task_id, run_s)
            case NotRun() | Unknown():
                self.order.end(event.task_id, 0.0)

    def _release_retries(self, now_s: float) -> None:
        for entry in self._delayed.pop_due(now_s):
            record = self.ledger.records.get(entry.task_id.job_id.sequence)
            if record is None or not self._is_queued(record, entry.task_id):
                continue
            match self.retries.release(entry.service, now_s):
                case RetryAt(due_s=due_s) if due_s < entry.deadline_at_s:
                    self._delayed.push(entry, due_s)
                case None:
                    self.order.push(entry, now_s)

    def _end_task(
        self, record: JobRecord, event: ev.AttemptEnded, now_s: float
    ) -> Iterator[fx.Effect]:
        ended = self.ledger.end_task(event.task_id, event.outcome, now_s)
        yield from self._report_ended_jobs(ended)
        if record.is_failing and record.answer is None:
            yield from self._end_queued_tasks(
                record, "another task of the job failed", now_s
            )

    def _end_queued_tasks(
        self, record: JobRecord, reason: str, now_s: float
    ) -> Iterator[fx.Effect]:
        """End the queued tasks of a job; tasks that were sent run to their end."""
        self.order.drop_job(record.job.id.sequence)
        outcome = NotRun(step=Step.WAIT_FOR_SLOT, peer=str(self.owner), reason=reason)
        yield from self._report_ended_jobs(
            self.ledger.end_queued_tasks(record, outcome, now_s)
        )

    def _expire_job(self, record: JobRecord, now_s: float) -> Iterator[fx.Effect]:
        yield from self._end_queued_tasks(
            record, "the job's deadline has passed", now_s
        )

    def _report_ended_jobs(self, ended: Iterator[JobRecord]) -> Iterator[fx.Effect]:
        for record in ended:
            for watcher in record.watchers:
                yield fx.Reply(recipient=watcher, message=record.answer)
            record.watchers.clear()
            yield fx.JobEnded(
                job_id=record.job.id,
                service=record.job.request.service,
                answer=record.answer,
                response_s=record.ended_s - record.job.accepted_s,
            )

    def _watch_job(self, event: ev.WatchJob) -> Iterator[fx.Effect]:
        match self.ledger.find_job(event.job_id):
            case JobRecord(answer=None) as record if event.until_answer:
                record.watchers.append(event.reply_to)
            case JobRecord() as record:
                yield fx.Reply(
                    recipient=event.reply_to, message=record.describe_state()
                )
            case Refusal() as refusal:
                yield fx.Reply(recipient=event.reply_to, message=refusal)

    def _unwatch_job(self, event: ev.UnwatchJob) -> Iterator[fx.Effect]:
        match self.ledger.find_job(event.job_id):
            case JobRecord(answer=None) as record if event.reply_to in record.watchers:
                record.watchers.remove(event.reply_to)
                yield fx.Reply(
                    recipient=event.reply_to, message=record.describe_state()
                )
            case _:
                return

    def _cancel_job(self, event: ev.CancelJob, now_s: float) -> Iterator[fx.Effect]:
        match self.ledger.find_job(event.job_id):
            case JobRecord(answer=None) as record:
                record.is_failing = True
                yield from self._end_queued_tasks(
                    record, "the caller cancelled the job", now_s
                )
                yield fx.Reply(
                    recipient=event.reply_to, message=record.describe_state()
                )
            case JobRecord() as record:
                yield fx.Reply(
                    recipient=event.reply_to, message=record.describe_state()
                )
            case Refusal() as refusal:
                yield fx.Reply(recipient=event.reply_to, message=refusal)

    def _handle_tick(self, now_s: float) -> Iterator[fx.Effect]:
        while self._deadlines and self._deadlines[0][0] <= now_s:
            record = self.ledger.records.get(heapq.heappop(self._deadlines)[1])
            if record is not None and record.answer is None:
                yield from self._expire_job(record, now_s)
        self.ledger.discard_expired(now_s)
        for key in self.runtimes.pop_overdue(now_s):
            self.order.mark_long(key)
        self._update_slot_count(now_s)

    def _update_targets(self, targets, now_s: float) -> None:
        self.targets.update_list(targets, now_s)
        names = {target.name for target in targets}
        is_leaving = self.targets.departures.is_leaving
        self._set_target_slots({n for n in names if not is_leaving(n)}, now_s)
        self._update_slot_count(now_s)

    def _mark_targets_leaving(self, targets: tuple[str, ...], now_s: float) -> None:
        for name in targets:
            self.targets.departures.handle_notice(name, now_s)
            if self.targets.departures.is_leaving(name):
                self.sharing.drop_target(name)

    def _update_slot_count(self, now_s: float) -> None:
        slots = self.sharing.count_usable(len(self.order), now_s)
        self.order.set_slots(slots, now_s)

    def _adopt_table(self, table: Table, now_s: float) -> None:
        if table.version <= self.table.version:
            return
        self.table = table
        self.order.adopt_table(table)
        self._set_target_slots(set(self.holdings.held), now_s)

    def _set_target_slots(self, names: set[str], now_s: float) -> None:
        slots = {name: self.table.get_target_row(name).slots for name in sorted(names)}
        self.sharing.set_targets(slots, now_s)

    def _update_holdings(self, now_s: float) -> None:
        self.sharing.update_holdings(len(self.order), now_s)
        for name in self.holdings.pop_newly_idle():
            self.targets.add_idle(name)

    def describe_state(self, now_s: float) -> StateDescription:
        """Return the state for the dump."""
        return StateDescription(
            owner=str(self.owner),
            table_version=self.table.version,
            is_draining=self.is_draining,
            open_jobs=self.ledger.count_open(),
            kept_jobs=len(self.ledger.records),
            queued_tasks=len(self.order) + len(self._delayed),
            slots_held=dict(self.holdings.held),
            slots_in_use=dict(self.holdings.in_use),
            slots_lent=self.sharing.lending.count_lent(),
            slots_reserved=self.sharing.count_reserved(now_s),
            unused_targets=self.targets.describe_unused(now_s),
            target_limits=self.targets.limits.describe(),
            target_speeds=self.targets.describe_speeds(),
        )
