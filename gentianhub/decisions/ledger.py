"""Record of the jobs that a process owns; starts each task at most once.

A task goes from queued to sent to ended. It returns from sent to queued only after an
attempt that certainly did not run.
"""

import enum
from collections import deque
from collections.abc import Iterator
from typing import Any

from gentianhub.core import (
    Complete,
    Incarnation,
    Job,
    JobAnswer,
    JobComplete,
    JobFailed,
    JobId,
    JobPending,
    JobRequest,
    JobState,
    NotRun,
    Refusal,
    RefusalKind,
    RunState,
    Step,
    TaskId,
    TaskOutcome,
    Unknown,
)
from gentianhub.core.records import Factory, define, field, frozen
from gentianhub.decisions.order import QueuedTask

ID_LIFETIME_S = 300.0
ANSWER_RETENTION_S = 60.0
MAX_ANSWER_BYTES = 256 * 1024 * 1024


class TaskState(enum.Enum):
    """State of one task of a job."""

    QUEUED = "queued"
    SENT = "sent"
    ENDED = "ended"


@frozen(kw_only=True)
class IdBlock:
    """A block of issued ids: `count` sequence numbers from `first` on."""

    owner: Incarnation
    first: int
    count: int


@frozen(kw_only=True)
class JobAccepted:
    """The job is accepted; `known` if the same submission was accepted before."""

    job_id: JobId
    known: bool


@define(kw_only=True, eq=False)
class JobRecord:
    """A job, the state of its tasks and the mailboxes that wait for its answer."""

    job: Job
    states: list[TaskState]
    outcomes: list[TaskOutcome | None]
    attempts: list[int]
    watchers: list[Any] = Factory(list)
    ended_tasks: int = 0
    is_failing: bool = False
    answer: JobAnswer | None = None
    ended_s: float | None = None

    @property
    def remaining_tasks(self) -> int:
        """Tasks without an outcome."""
        return len(self.states) - self.ended_tasks

    def describe_state(self) -> JobState:
        """Return the answer, or the progress of a job without one."""
        if self.answer is not None:
            return self.answer
        started = sum(state is not TaskState.QUEUED for state in self.states)
        return JobPending(ended_tasks=self.ended_tasks, started_tasks=started)

    def describe_task(self, index: int) -> QueuedTask:
        """Return the queue entry of a task."""
        request = self.job.request
        return QueuedTask(
            task_id=TaskId(job_id=self.job.id, index=index),
            service=request.service,
            kind=request.tasks[index].kind,
            job_tasks=len(request.tasks),
            accepted_s=self.job.accepted_s,
            deadline_at_s=self.job.deadline_at_s,
        )

    def answer_size_bytes(self) -> int:
        """Return the size of the results, in bytes."""
        match self.answer:
            case JobComplete(results=results):
                return sum(map(len, results))
            case _:
                return 0


@define(kw_only=True, eq=False)
class Ledger:
    """All jobs of one owner.

    Answers are kept for `ANSWER_RETENTION_S` after the end of the job, up to a total of
    `max_answer_bytes`. A used id is remembered until it expires, so that a late
    resubmission never starts the job again.
    """

    owner: Incarnation
    max_answer_bytes: int = MAX_ANSWER_BYTES
    records: dict[int, JobRecord] = field(init=False, factory=dict)
    _next_sequence: int = field(init=False, default=1)
    _expired_below: int = field(init=False, default=1)
    _issued_blocks: deque = field(init=False, factory=deque)
    _used_sequences: set[int] = field(init=False, factory=set)
    _ended: deque[int] = field(init=False, factory=deque)
    _answer_bytes: int = field(init=False, default=0)

    def issue_ids(self, count: int, now_s: float) -> IdBlock:
        """Reserve `count` sequence numbers."""
        block = IdBlock(owner=self.owner, first=self._next_sequence, count=count)
        self._next_sequence += count
        self._issued_blocks.append((now_s, self._next_sequence))
        return block

    def accept_job(
        self, request: JobRequest, job_id: JobId | None, now_s: float
    ) -> JobAccepted | Refusal:
        """Accept a job, or recognise a resubmission of it."""
        if job_id is None:
            block = self.issue_ids(1, now_s)
            job_id = JobId(owner=self.owner, sequence=block.first)
        match self.find_job(job_id):
            case JobRecord() as record if record.job.request.digest == request.digest:
                return JobAccepted(job_id=job_id, known=True)
            case JobRecord():
                return _refuse_other_content(job_id)
            case Refusal(run=RunState.UNKNOWN) as refusal:
                return refusal
            case Refusal() as refusal if job_id.sequence >= self._next_sequence:
                return refusal
        self._store_job(Job(id=job_id, request=request, accepted_s=now_s))
        return JobAccepted(job_id=job_id, known=False)

    def _store_job(self, job: Job) -> None:
        count = len(job.request.tasks)
        self._used_sequences.add(job.id.sequence)
        self.records[job.id.sequence] = JobRecord(
            job=job,
            states=[TaskState.QUEUED] * count,
            outcomes=[None] * count,
            attempts=[0] * count,
        )

    def find_job(self, job_id: JobId) -> JobRecord | Refusal:
        """Return the record, or a refusal that says whether the job may have run."""
        record = self.records.get(job_id.sequence)
        if job_id.owner != self.owner:
            return _refuse_missing(
                job_id,
                RefusalKind.GONE,
                RunState.UNKNOWN,
                "its owner is no longer running",
            )
        if record is not None:
            return record
        if (
            job_id.sequence < self._expired_below
            or job_id.sequence in self._used_sequences
        ):
            return _refuse_missing(
                job_id,
                RefusalKind.GONE,
                RunState.UNKNOWN,
                "its record has been discarded",
            )
        reason = "the id was never issued"
        if job_id.sequence < self._next_sequence:
            reason = "no job was submitted with this id"
        return _refuse_missing(job_id, RefusalKind.NOT_FOUND, RunState.NOT_RUN, reason)

    def mark_sent(self, task_id: TaskId) -> None:
        """Record that a task is about to be sent to a target."""
        record = self.records[task_id.job_id.sequence]
        state = record.states[task_id.index]
        assert state is TaskState.QUEUED, f"{task_id} would start twice ({state})"
        record.states[task_id.index] = TaskState.SENT
        record.attempts[task_id.index] += 1

    def requeue_task(self, task_id: TaskId) -> None:
        """Return a task to the queue after an attempt that did not run."""
        record = self.records[task_id.job_id.sequence]
        assert record.states[task_id.index] is TaskState.SENT, f"{task_id} not sent"
        record.states[task_id.index] = TaskState.QUEUED

    def end_task(
        self, task_id: TaskId, outcome: TaskOutcome, now_s: float
    ) -> Iterator[JobRecord]:
        """Record a task's outcome; yield the job's record if that ended the job."""
        record = self.records[task_id.job_id.sequence]
        assert record.states[task_id.index] is not TaskState.ENDED, f"{task_id} ended"
        record.states[task_id.index] = TaskState.ENDED
        record.outcomes[task_id.index] = outcome
        record.ended_tasks += 1
        if not isinstance(outcome, Complete):
            record.is_failing = True
        if record.ended_tasks == len(record.states):
            yield self._end_job(record, now_s)

    def end_queued_tasks(
        self, record: JobRecord, outcome: NotRun, now_s: float
    ) -> Iterator[JobRecord]:
        """End every task that has not been sent."""
        for index, state in enumerate(record.states):
            if state is TaskState.QUEUED:
                task_id = TaskId(job_id=record.job.id, index=index)
                yield from self.end_task(task_id, outcome, now_s)

    def end_sent_tasks(
        self, record: JobRecord, outcome: Unknown, now_s: float
    ) -> Iterator[JobRecord]:
        """End every task in flight without waiting for its reply."""
        for index, state in enumerate(record.states):
            if state is TaskState.SENT:
                task_id = TaskId(job_id=record.job.id, index=index)
                yield from self.end_task(task_id, outcome, now_s)

    def find_open_jobs(self) -> Iterator[JobRecord]:
        """Yield the jobs without an answer."""
        for record in tuple(self.records.values()):
            if record.answer is None:
                yield record

    def count_open(self) -> int:
        """Return the number of jobs without an answer."""
        return len(self.records) - len(self._ended)

    def _end_job(self, record: JobRecord, now_s: float) -> JobRecord:
        record.answer = build_answer(tuple(record.outcomes))
        record.ended_s = now_s
        self._answer_bytes += record.answer_size_bytes()
        self._ended.append(record.job.id.sequence)
        return record

    def discard_expired(self, now_s: float) -> None:
        """Discard expired answers and ids."""
        while self._ended and self._is_discardable(self._ended[0], now_s):
            record = self.records.pop(self._ended.popleft())
            self._answer_bytes -= record.answer_size_bytes()
        while self._issued_blocks and self._issued_blocks[0][0] + ID_LIFETIME_S < now_s:
            _, below = self._issued_blocks.popleft()
            self._used_sequences.difference_update(range(self._expired_below, below))
            self._expired_below = below

    def _is_discardable(self, sequence: int, now_s: float) -> bool:
        is_old = self.records[sequence].ended_s + ANSWER_RETENTION_S < now_s
        return is_old or self._answer_bytes > self.max_answer_bytes


def build_answer(outcomes: tuple[TaskOutcome, ...]) -> JobAnswer:
    """Return the answer: all results, or all outcomes if any task is not complete."""
    assert None not in outcomes, "a job's answer must cover every task"
    if all(isinstance(outcome, Complete) for outcome in outcomes):
        return JobComplete(results=tuple(outcome.result for outcome in outcomes))
    return JobFailed(outcomes=outcomes)


def _refuse_missing(
    job_id: JobId, kind: RefusalKind, run: RunState, reason: str
) -> Refusal:
    return Refusal(
        kind=kind,
        step=Step.FIND_JOB,
        peer=str(job_id.owner),
        reason=f"job {job_id}: {reason}",
        expected="an id issued by a live owner",
        run=run,
    )


def _refuse_other_content(job_id: JobId) -> Refusal:
    return Refusal(
        kind=RefusalKind.CONFLICT,
        step=Step.ADMIT_JOB,
        peer="caller",
        reason=f"job {job_id} was submitted with other content",
        expected="the content of the first submission, or a new id",
        run=RunState.UNKNOWN,
    )
