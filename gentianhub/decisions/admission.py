"""Admission control: refuses jobs that cannot run, or not within their deadline.

A job is refused before it is recorded, so the refusal can state that it did not run.
"""

import random
from typing import Protocol

from gentianhub.core import (
    MAX_TASKS_PER_JOB,
    Incarnation,
    JobRequest,
    Refusal,
    RefusalKind,
    Step,
    Table,
)
from gentianhub.core.records import define, field
from gentianhub.decisions.fairness import Backlog, FairOrder
from gentianhub.decisions.order import TaskOrder
from gentianhub.decisions.runtimes import RunTimeEstimates

# Fraction of the deadline that a job may wait for its first slot. The queue that a peak
# leaves behind drains with the spare capacity under normal load, 30%: at a deadline of
# 8 s, a queue of 0.4 s drains in 1.4 s, one of 0.8 s only in 2.7 s.
MAX_QUEUE_WAIT_FRACTION = 0.05
MAX_QUEUED_TASKS = 50_000
MIN_RETRY_AFTER_S = 0.25
MAX_RETRY_AFTER_S = 30.0
# Spreads the retries of callers that were refused at the same time.
RETRY_JITTER = 1.0
DRAIN_RETRY_AFTER_S = 1.0


class Admission(Protocol):
    """Interface by which the dispatcher admits jobs."""

    def refuse(self, request: JobRequest, table: Table, now_s: float) -> Refusal | None:
        """Return a refusal that says "not run", or None to accept."""


@define(kw_only=True, eq=False)
class NoLoadShedding:
    """Baseline: accepts every job of a service in the table."""

    def refuse(self, request: JobRequest, table: Table, now_s: float) -> Refusal | None:
        """Return a refusal for a service that is not in the table."""
        return _refuse_impossible(request, table)


@define(kw_only=True, eq=False)
class LoadShedding:
    """Refuses jobs whose wait in the queue would be too long.

    A service without queued work is always admitted, so that a peak of other services
    does not shut out a small one, and a wrong run-time estimate corrects itself.
    """

    order: FairOrder
    runtimes: RunTimeEstimates
    max_queue_wait_fraction: float = MAX_QUEUE_WAIT_FRACTION
    rng: random.Random = field(factory=lambda: random.Random())

    def refuse(self, request: JobRequest, table: Table, now_s: float) -> Refusal | None:
        """Return a refusal with the reason, or None to accept."""
        return (
            _refuse_impossible(request, table)
            or self._refuse_deadline(request, now_s)
            or self._refuse_backlog(request, table)
        )

    def _refuse_deadline(self, request: JobRequest, now_s: float) -> Refusal | None:
        fastest_s = max(
            self.runtimes.get_fastest_s(request.service, kind, now_s)
            for kind in {task.kind for task in request.tasks}
        )
        if fastest_s <= request.deadline_s:
            return None
        return Refusal(
            kind=RefusalKind.MALFORMED,
            step=Step.ADMIT_JOB,
            peer="caller",
            reason=f"the fastest run of a task's kind took {fastest_s:.3f} s",
            expected=f"a deadline of at least {fastest_s * 1000:.0f} ms",
            field="deadline_ms",
        )

    def _refuse_backlog(self, request: JobRequest, table: Table) -> Refusal | None:
        backlog = self.order.describe_backlog(request.service)
        if not backlog.service_tasks:
            return None
        row = table.services[request.service]
        work_s = sum(
            self.runtimes.expect_s(request.service, task.kind) for task in request.tasks
        )
        queued_s = backlog.service_work_s + work_s
        if queued_s > row.max_queued_s:
            reason = f"{queued_s:.1f} s of work of {request.service} would be queued"
            expected = f"at most max_queued_s = {row.max_queued_s:g} s"
            excess_s = (queued_s - row.max_queued_s) / backlog.fair_share_slots
            return self._refuse(RefusalKind.OVER_LIMIT, reason, expected, excess_s)
        if self._is_queue_full(backlog, len(request.tasks)):
            reason = f"{len(self.order)} tasks are queued"
            expected = f"at most {MAX_QUEUED_TASKS} in this entry process"
            return self._refuse(RefusalKind.OVER_LIMIT, reason, expected, 1.0)
        allowed_s = request.deadline_s * self.max_queue_wait_fraction
        completion_s = backlog.wait_s + work_s / backlog.fair_share_slots
        if backlog.wait_s > allowed_s or completion_s > request.deadline_s:
            reason = f"the wait for a slot is {backlog.wait_s:.2f} s"
            expected = f"a wait of at most {allowed_s:.2f} s for this deadline"
            excess_s = max(
                backlog.wait_s - allowed_s, completion_s - request.deadline_s
            )
            return self._refuse(RefusalKind.UNAVAILABLE, reason, expected, excess_s)
        return None

    def _is_queue_full(self, backlog: Backlog, tasks: int) -> bool:
        """Return whether the queue is full and the service exceeds its fair share."""
        if len(self.order) + tasks <= MAX_QUEUED_TASKS:
            return False
        fair_share_tasks = MAX_QUEUED_TASKS / self.order.count_active_services()
        return backlog.service_tasks + tasks > fair_share_tasks

    def _refuse(
        self, kind: RefusalKind, reason: str, expected: str, excess_s: float
    ) -> Refusal:
        retry_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, excess_s))
        return Refusal(
            kind=kind,
            step=Step.ADMIT_JOB,
            peer="dispatcher",
            reason=reason,
            expected=expected,
            retry_after_s=retry_s * (1 + RETRY_JITTER * self.rng.random()),
        )


def build_admission(order: TaskOrder, runtimes: RunTimeEstimates) -> Admission:
    """Return the default admission; load shedding requires a `FairOrder`."""
    match order:
        case FairOrder():
            return LoadShedding(order=order, runtimes=runtimes)
        case _:
            return NoLoadShedding()


def _refuse_impossible(request: JobRequest, table: Table) -> Refusal | None:
    """Return a refusal if the job could not run even with an empty queue."""
    row = table.services.get(request.service)
    if row is None:
        return Refusal(
            kind=RefusalKind.MALFORMED,
            step=Step.ADMIT_JOB,
            peer="caller",
            reason=f"no service {request.service!r} in the table",
            expected="one of: " + ", ".join(sorted(table.services)),
            field="service",
        )
    if not 1 <= len(request.tasks) <= MAX_TASKS_PER_JOB:
        return Refusal(
            kind=RefusalKind.TOO_LARGE,
            step=Step.ADMIT_JOB,
            peer="caller",
            reason=f"the job has {len(request.tasks)} tasks",
            expected=f"1 to {MAX_TASKS_PER_JOB} tasks",
            field="tasks",
        )
    team = table.teams.get(row.team)
    if row.max_running == 0 or (team is not None and team.quota_slots == 0):
        return Refusal(
            kind=RefusalKind.OVER_LIMIT,
            step=Step.ADMIT_JOB,
            peer="table",
            reason=f"the table allows {request.service!r} no running task",
            expected="max_running and quota_slots above 0",
        )
    return None


def build_draining_refusal(owner: Incarnation) -> Refusal:
    """Return the refusal of a new job by a process that is shutting down."""
    return Refusal(
        kind=RefusalKind.UNAVAILABLE,
        step=Step.DRAIN,
        peer=str(owner),
        reason="the entry process is shutting down",
        expected="submission through another entry process",
        retry_after_s=DRAIN_RETRY_AFTER_S,
    )
