"""The dispatcher's decisions: events in, effects out, no socket and no clock."""

import heapq
from collections.abc import Callable, Iterator

from attrs import define, field, frozen

from gentianhub.core import (
    Complete,
    Failed,
    Incarnation,
    JobId,
    NotRun,
    Refusal,
    RefusalKind,
    Step,
    Table,
    TaskId,
    Unknown,
)
from gentianhub.core import effects as fx
from gentianhub.core import events as ev
from gentianhub.decisions.ledger import JobRecord, Ledger, TaskState
from gentianhub.decisions.order import FirstInFirstOut, QueuedTask, TaskOrder
from gentianhub.decisions.placement import choose_most_idle
from gentianhub.decisions.slots import SlotHoldings

MAX_ATTEMPTS = 5
RETRY_DELAY_S = 0.05
RETRY_AFTER_S = 1.0


@frozen(kw_only=True)
class StateDescription:
    """A readable view of the dispatcher's state, for the dump."""

    owner: str
    table_version: int
    is_draining: bool
    open_jobs: int
    kept_jobs: int
    queued_tasks: int
    slots_held: dict[str, int]
    slots_in_use: dict[str, int]


@define(kw_only=True, eq=False)
class Dispatcher:
    """Decides which task starts where and when.

    Parameters
    ----------
    owner : Incarnation
        The process whose jobs these are.
    """

    owner: Incarnation
    order: TaskOrder = field(factory=lambda: FirstInFirstOut())
    choose_target: Callable[[SlotHoldings], str | None] = choose_most_idle
    table: Table = field(factory=lambda: Table())
    ledger: Ledger = field(init=False)
    holdings: SlotHoldings = field(init=False, factory=lambda: SlotHoldings())
    is_draining: bool = field(init=False, default=False)
    _leaving: set[str] = field(init=False, factory=set)
    _delayed: list[tuple[float, int, QueuedTask]] = field(init=False, factory=list)
    _delayed_count: int = field(init=False, default=0)
    _deadlines: list[tuple[float, int]] = field(init=False, factory=list)

    def __attrs_post_init__(self):
        self.ledger = Ledger(owner=self.owner)

    def handle(self, event: ev.Event, now_s: float) -> Iterator[fx.Effect]:
        """Yield the effects of one event that arrives at `now_s` (monotonic)."""
        match event:
            case ev.SubmitJob():
                yield from self._submit_job(event, now_s)
            case ev.TaskEnded():
                yield from self._take_outcome(event, now_s)
            case ev.IssueIds(count=count, reply_to=to):
                yield fx.Reply(to=to, message=self.ledger.issue_ids(count, now_s))
            case ev.WatchJob():
                yield from self._watch_job(event)
            case ev.UnwatchJob():
                yield from self._unwatch_job(event)
            case ev.CancelJob():
                yield from self._cancel_job(event, now_s)
            case ev.Tick():
                yield from self._pass_time(now_s)
            case ev.TargetsSeen(targets=targets):
                yield from self._see_targets(targets)
            case ev.TargetsLeaving(targets=targets):
                self._leave_targets(targets)
            case ev.TableAdopted(table=table):
                self._adopt_table(table)
            case ev.DrainBegun():
                self.is_draining = True
            case ev.DescribeState(reply_to=to):
                yield fx.Reply(to=to, message=self.describe_state())
        yield from self._start_tasks(now_s)

    def _submit_job(self, event: ev.SubmitJob, now_s: float) -> Iterator[fx.Effect]:
        refusal = self._refuse_job(event)
        answer = refusal or self.ledger.accept_job(event.request, event.job_id, now_s)
        yield fx.Reply(to=event.reply_to, message=answer)
        if not isinstance(answer, Refusal) and not answer.known:
            record = self.ledger.records[answer.job_id.sequence]
            deadline = (record.job.deadline_at_s, record.job.id.sequence)
            heapq.heappush(self._deadlines, deadline)
            self._queue_job(record, now_s)

    def _refuse_job(self, event: ev.SubmitJob) -> Refusal | None:
        known = event.job_id and event.job_id.sequence in self.ledger.records
        if self.is_draining and not known:
            return Refusal(
                kind=RefusalKind.UNAVAILABLE,
                step=Step.DRAIN,
                peer=str(self.owner),
                reason="the entry process is shutting down",
                expected="submission through another entry process",
                retry_after_s=RETRY_AFTER_S,
            )
        if event.request.service not in self.table.services:
            return Refusal(
                kind=RefusalKind.MALFORMED,
                step=Step.ADMIT_JOB,
                peer="caller",
                reason=f"no service {event.request.service!r} in the table",
                expected="one of: " + ", ".join(sorted(self.table.services)),
                field="service",
            )
        return None

    def _queue_job(self, record: JobRecord, now_s: float) -> None:
        for index in range(len(record.states)):
            self.order.push(_describe_task(record, index), now_s)

    def _start_tasks(self, now_s: float) -> Iterator[fx.Effect]:
        """Pair queued tasks with idle slots until one of them runs out."""
        while (target := self.choose_target(self.holdings)) is not None:
            entry = self.order.pop(now_s)
            if entry is None:
                return
            record = self.ledger.records.get(entry.task_id.job_id.sequence)
            if record is None or not self._is_queued(record, entry.task_id):
                continue
            if now_s >= entry.deadline_at_s:
                yield from self._expire_job(record, now_s)
                continue
            yield self._start_task(record, entry, target)

    def _is_queued(self, record: JobRecord, task_id: TaskId) -> bool:
        return record.states[task_id.index] is TaskState.QUEUED

    def _start_task(
        self, record: JobRecord, entry: QueuedTask, target: str
    ) -> fx.StartTask:
        self.holdings.occupy(target)
        self.ledger.mark_sent(entry.task_id)
        return fx.StartTask(
            task_id=entry.task_id,
            task=record.job.request.tasks[entry.task_id.index],
            service=entry.service,
            target=target,
            deadline_at_s=entry.deadline_at_s,
        )

    def _take_outcome(self, event: ev.TaskEnded, now_s: float) -> Iterator[fx.Effect]:
        self.holdings.release(event.target)
        if event.leaving:
            self._leaving.add(event.target)
            self.holdings.drop_target(event.target)
        record = self.ledger.records[event.task_id.job_id.sequence]
        match event.outcome:
            case NotRun() if self._may_retry(record, event.task_id.index, now_s):
                self.ledger.requeue_task(event.task_id)
                self._delay_task(_describe_task(record, event.task_id.index), now_s)
            case Complete() | Failed() | NotRun() | Unknown():
                yield from self._end_task(record, event, now_s)

    def _may_retry(self, record: JobRecord, index: int, now_s: float) -> bool:
        return (
            not record.is_failing
            and record.attempts[index] < MAX_ATTEMPTS
            and now_s + RETRY_DELAY_S < record.job.deadline_at_s
        )

    def _delay_task(self, entry: QueuedTask, now_s: float) -> None:
        self._delayed_count += 1
        due_s = now_s + RETRY_DELAY_S
        heapq.heappush(self._delayed, (due_s, self._delayed_count, entry))

    def _end_task(
        self, record: JobRecord, event: ev.TaskEnded, now_s: float
    ) -> Iterator[fx.Effect]:
        ended = self.ledger.end_task(event.task_id, event.outcome, now_s)
        yield from self._announce(ended)
        if record.is_failing and record.answer is None:
            yield from self._stop_job(record, "another task of the job failed", now_s)

    def _stop_job(
        self, record: JobRecord, reason: str, now_s: float
    ) -> Iterator[fx.Effect]:
        """End the queued tasks of a job; those that were sent may end."""
        outcome = NotRun(step=Step.WAIT_FOR_SLOT, peer=str(self.owner), reason=reason)
        yield from self._announce(self.ledger.end_queued_tasks(record, outcome, now_s))

    def _expire_job(self, record: JobRecord, now_s: float) -> Iterator[fx.Effect]:
        yield from self._stop_job(record, "the job's deadline has passed", now_s)

    def _announce(self, ended: Iterator[JobRecord]) -> Iterator[fx.Effect]:
        for record in ended:
            for watcher in record.watchers:
                yield fx.Reply(to=watcher, message=record.answer)
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
                yield fx.Reply(to=event.reply_to, message=record.describe_state())
            case Refusal() as refusal:
                yield fx.Reply(to=event.reply_to, message=refusal)

    def _unwatch_job(self, event: ev.UnwatchJob) -> Iterator[fx.Effect]:
        match self.ledger.find_job(event.job_id):
            case JobRecord(answer=None) as record if event.reply_to in record.watchers:
                record.watchers.remove(event.reply_to)
                yield fx.Reply(to=event.reply_to, message=record.describe_state())
            case _:
                return

    def _cancel_job(self, event: ev.CancelJob, now_s: float) -> Iterator[fx.Effect]:
        match self.ledger.find_job(event.job_id):
            case JobRecord(answer=None) as record:
                record.is_failing = True
                yield from self._stop_job(record, "the caller cancelled it", now_s)
                yield fx.Reply(to=event.reply_to, message=record.describe_state())
            case JobRecord() as record:
                yield fx.Reply(to=event.reply_to, message=record.describe_state())
            case Refusal() as refusal:
                yield fx.Reply(to=event.reply_to, message=refusal)

    def _pass_time(self, now_s: float) -> Iterator[fx.Effect]:
        while self._delayed and self._delayed[0][0] <= now_s:
            self.order.push(heapq.heappop(self._delayed)[2], now_s)
        while self._deadlines and self._deadlines[0][0] <= now_s:
            record = self.ledger.records.get(heapq.heappop(self._deadlines)[1])
            if record is not None and record.answer is None:
                yield from self._expire_job(record, now_s)
        self.ledger.forget_old(now_s)

    def _see_targets(self, targets) -> Iterator[fx.Effect]:
        names = {target.name for target in targets if not target.leaving}
        for name in set(self.holdings.held) - names:
            self.holdings.drop_target(name)
        for name in {target.name for target in targets if target.leaving}:
            self.holdings.drop_target(name)
        for name in sorted(names - self._leaving):
            self.holdings.set_held(name, self.table.get_target(name).slots)
        yield from ()

    def _leave_targets(self, targets: tuple[str, ...]) -> None:
        self._leaving.update(targets)
        for name in targets:
            self.holdings.drop_target(name)

    def _adopt_table(self, table: Table) -> None:
        if table.version <= self.table.version:
            return
        self.table = table
        for name in self.holdings.held:
            self.holdings.set_held(name, table.get_target(name).slots)

    def find_open_jobs(self) -> Iterator[JobId]:
        """Yield the jobs without an answer."""
        for record in self.ledger.records.values():
            if record.answer is None:
                yield record.job.id

    def describe_state(self) -> StateDescription:
        """Return a view of the state for the dump."""
        return StateDescription(
            owner=str(self.owner),
            table_version=self.table.version,
            is_draining=self.is_draining,
            open_jobs=sum(1 for _ in self.find_open_jobs()),
            kept_jobs=len(self.ledger.records),
            queued_tasks=len(self.order) + len(self._delayed),
            slots_held=dict(self.holdings.held),
            slots_in_use=dict(self.holdings.in_use),
        )


def _describe_task(record: JobRecord, index: int) -> QueuedTask:
    request = record.job.request
    return QueuedTask(
        task_id=TaskId(job_id=record.job.id, index=index),
        service=request.service,
        kind=request.tasks[index].kind,
        job_tasks=len(request.tasks),
        deadline_at_s=record.job.deadline_at_s,
    )
