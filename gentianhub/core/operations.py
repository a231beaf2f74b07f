"""Operations on jobs, independent of the front end or sibling that requests them."""

from collections.abc import Callable

from gevent import GreenletExit

from gentianhub.core import events as ev
from gentianhub.core.errors import Refusal, RefusalKind, RunState, Step
from gentianhub.core.ids import JobId
from gentianhub.core.jobs import JobRequest
from gentianhub.core.mailbox import Mailbox, MailboxTimeout
from gentianhub.core.records import frozen


@frozen(kw_only=True)
class ReserveIdsOperation:
    """Reserve a block of job ids."""

    count: int


@frozen(kw_only=True)
class SubmitOperation:
    """Submit a job, optionally with an id from an issued block.

    An idempotency key is mapped to a job id before the operation is forwarded to
    the job's owner.
    """

    request: JobRequest
    job_id: JobId | None = None
    key: str | None = None


@frozen(kw_only=True)
class WatchOperation:
    """Get a job's state, after waiting up to `wait_s` seconds for its answer."""

    job_id: JobId
    wait_s: float


@frozen(kw_only=True)
class CancelOperation:
    """Cancel a job: start no more of its tasks."""

    job_id: JobId


Operation = ReserveIdsOperation | SubmitOperation | WatchOperation | CancelOperation


def perform_operation(dispatcher: Mailbox, operation: Operation):
    """Send an operation to the local dispatcher and return its reply or a `Refusal`."""
    match operation:
        case ReserveIdsOperation(count=count):
            return _request_reply(
                dispatcher, lambda to: ev.ReserveIds(count=count, reply_to=to)
            )
        case SubmitOperation(request=request, job_id=job_id):
            # An earlier submission under the same id may have run.
            run = RunState.NOT_RUN if job_id is None else RunState.UNKNOWN
            return _request_reply(
                dispatcher,
                lambda to: ev.SubmitJob(request=request, job_id=job_id, reply_to=to),
                run,
            )
        case CancelOperation(job_id=job_id):
            return _request_reply(
                dispatcher,
                lambda to: ev.CancelJob(job_id=job_id, reply_to=to),
                RunState.UNKNOWN,
            )
        case WatchOperation():
            return _watch_job(dispatcher, operation)


def _request_reply(
    dispatcher: Mailbox, build_event: Callable, run: RunState = RunState.NOT_RUN
):
    replies = Mailbox(limit=1)
    if not dispatcher.try_put(build_event(replies)):
        return _refuse_overload(run)
    return replies.get()


def _watch_job(dispatcher: Mailbox, operation: WatchOperation):
    replies = Mailbox(limit=1)
    watch = ev.WatchJob(
        job_id=operation.job_id, reply_to=replies, until_answer=operation.wait_s > 0
    )
    if not dispatcher.try_put(watch):
        return _refuse_overload(RunState.UNKNOWN)
    unwatch = ev.UnwatchJob(job_id=operation.job_id, reply_to=replies)
    try:
        reply = replies.get(timeout_s=operation.wait_s or None)
    except GreenletExit:
        # Nobody waits for the reply any more: the link to the sibling has ended.
        dispatcher.try_put(unwatch)
        raise
    if not isinstance(reply, MailboxTimeout):
        return reply
    dispatcher.put(unwatch)
    return replies.get()


def _refuse_overload(run: RunState) -> Refusal:
    return Refusal(
        kind=RefusalKind.UNAVAILABLE,
        step=Step.ADMIT_JOB,
        peer="dispatcher",
        reason="the dispatcher's mailbox is full",
        expected="fewer concurrent requests",
        run=run,
        retry_after_s=1.0,
    )
