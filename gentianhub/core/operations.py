"""What a caller can ask of a job's owner, from any front end or sibling."""

from collections.abc import Callable

from attrs import frozen

from gentianhub.core import events as ev
from gentianhub.core.errors import Refusal, RefusalKind, RunState, Step
from gentianhub.core.ids import JobId
from gentianhub.core.jobs import JobRequest
from gentianhub.core.mailbox import Mailbox, Silence


@frozen(kw_only=True)
class IssueOperation:
    """Reserve a block of ids."""

    count: int


@frozen(kw_only=True)
class SubmitOperation:
    """Submit a job, with an id of an issued block or without.

    An idempotency key is exchanged for an id before the operation is carried to
    the job's owner.
    """

    request: JobRequest
    job_id: JobId | None = None
    key: str | None = None


@frozen(kw_only=True)
class WatchOperation:
    """Ask for a job's state, and wait up to `wait_s` seconds for its answer."""

    job_id: JobId
    wait_s: float


@frozen(kw_only=True)
class CancelOperation:
    """Start no further task of a job."""

    job_id: JobId


Operation = IssueOperation | SubmitOperation | WatchOperation | CancelOperation


def perform_operation(dispatcher: Mailbox, operation: Operation):
    """Ask the local dispatcher and return its reply, or a `Refusal`."""
    match operation:
        case IssueOperation(count=count):
            return _ask(dispatcher, lambda to: ev.IssueIds(count=count, reply_to=to))
        case SubmitOperation(request=request, job_id=job_id):
            # An earlier submission under the same id may have run.
            run = RunState.NOT_RUN if job_id is None else RunState.UNKNOWN
            return _ask(
                dispatcher,
                lambda to: ev.SubmitJob(request=request, job_id=job_id, reply_to=to),
                run,
            )
        case CancelOperation(job_id=job_id):
            return _ask(
                dispatcher,
                lambda to: ev.CancelJob(job_id=job_id, reply_to=to),
                RunState.UNKNOWN,
            )
        case WatchOperation():
            return _watch(dispatcher, operation)


def _ask(dispatcher: Mailbox, build_event: Callable, run: RunState = RunState.NOT_RUN):
    replies = Mailbox(limit=1)
    if not dispatcher.offer(build_event(replies)):
        return _refuse_overload(run)
    return replies.take()


def _watch(dispatcher: Mailbox, operation: WatchOperation):
    replies = Mailbox(limit=1)
    watch = ev.WatchJob(
        job_id=operation.job_id, reply_to=replies, until_answer=operation.wait_s > 0
    )
    if not dispatcher.offer(watch):
        return _refuse_overload(RunState.UNKNOWN)
    reply = replies.take(timeout_s=operation.wait_s or None)
    if not isinstance(reply, Silence):
        return reply
    dispatcher.put(ev.UnwatchJob(job_id=operation.job_id, reply_to=replies))
    return replies.take()


def _refuse_overload(run: RunState) -> Refusal:
    return Refusal(
        kind=RefusalKind.UNAVAILABLE,
        step=Step.ADMIT_JOB,
        peer="dispatcher",
        reason="the dispatcher's mailbox is full",
        expected="fewer requests at once",
        run=run,
        retry_after_s=1.0,
    )
