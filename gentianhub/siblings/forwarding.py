"""Forwarding of requests to job owners, and serving of siblings' requests."""

from collections.abc import Iterator

from gentianhub.core import (
    Incarnation,
    JobId,
    Mailbox,
    ProcessName,
    Refusal,
    RefusalKind,
    RunState,
    Step,
)
from gentianhub.core.operations import (
    CancelOperation,
    Operation,
    ReserveIdsOperation,
    SubmitOperation,
    WatchOperation,
    perform_operation,
)
from gentianhub.core.records import define, field, frozen
from gentianhub.siblings.manager_messages import Forward
from gentianhub.siblings.messages import ForwardReply, ForwardRequest
from gentianhub.siblings.wire import MAX_FRAME_BYTES, encode_message

UNREACHABLE_TIMEOUT_S = 1.0
# Limits the wait for an owner that is live but does not reply.
REPLY_TIMEOUT_S = 10.0
MAX_OPEN_FORWARDS = 4096
MAX_SERVED_FORWARDS = 1024
RETRY_AFTER_S = 1.0


@frozen(kw_only=True)
class PendingForward:
    """A request that waits for a link or a reply; times are monotonic."""

    forward: Forward
    sent_s: float
    deadline_s: float


@define(kw_only=True, eq=False)
class ForwardTracker:
    """Tracks the requests that wait for a link to their owner, or for a reply."""

    _last_number: int = field(init=False, default=0)
    _waiting_for_link: dict[ProcessName, list[PendingForward]] = field(
        init=False, factory=dict
    )
    _awaiting_reply: dict[int, PendingForward] = field(init=False, factory=dict)

    def __len__(self) -> int:
        return len(self._awaiting_reply) + sum(
            map(len, self._waiting_for_link.values())
        )

    def queue_for_link(self, forward: Forward, now_s: float) -> None:
        """Queue a request for its owner's link, at most `UNREACHABLE_TIMEOUT_S`."""
        deadline_s = now_s + UNREACHABLE_TIMEOUT_S
        entry = PendingForward(forward=forward, sent_s=now_s, deadline_s=deadline_s)
        self._waiting_for_link.setdefault(forward.owner.name, []).append(entry)

    def pop_waiting(self, name: ProcessName) -> list[Forward]:
        """Remove and return the requests that wait for a link to this name."""
        return [entry.forward for entry in self._waiting_for_link.pop(name, ())]

    def send_request(self, forward: Forward, link, now_s: float) -> None:
        """Send a request to its owner and await the reply."""
        self._last_number += 1
        request = ForwardRequest(number=self._last_number, operation=forward.operation)
        match encode_forward(request, forward.owner):
            case Refusal() as refusal:
                forward.reply_to.try_put(refusal)
            case body:
                self._record_sent(forward, now_s)
                link.send(body)

    def _record_sent(self, forward: Forward, now_s: float) -> None:
        wait_s = REPLY_TIMEOUT_S
        match forward.operation:
            case WatchOperation(wait_s=watch_s):
                wait_s += watch_s
        self._awaiting_reply[self._last_number] = PendingForward(
            forward=forward, sent_s=now_s, deadline_s=now_s + wait_s
        )

    def deliver_reply(self, reply: ForwardReply, sender: Incarnation) -> None:
        """Deliver a reply to the greenlet that waits for it, if the request is open."""
        sent = self._awaiting_reply.get(reply.number)
        if sent is not None and sent.forward.owner == sender:
            del self._awaiting_reply[reply.number]
            sent.forward.reply_to.try_put(reply.reply)

    def refuse_sent_to(
        self, owner: Incarnation, now_s: float, min_age_s: float
    ) -> None:
        """Refuse the requests sent to an owner at least `min_age_s` ago."""
        numbers = [
            number
            for number, sent in self._awaiting_reply.items()
            if sent.forward.owner == owner and now_s - sent.sent_s >= min_age_s
        ]
        for number in numbers:
            refuse_unreachable(self._awaiting_reply.pop(number).forward)

    def expire(self, now_s: float) -> None:
        """Refuse the requests whose deadline has passed."""
        for entries in self._waiting_for_link.values():
            for entry in _pop_expired(entries, now_s):
                refuse_unreachable(entry.forward)
        late = [
            key
            for key, sent in self._awaiting_reply.items()
            if sent.deadline_s <= now_s
        ]
        for number in late:
            refuse_unreachable(self._awaiting_reply.pop(number).forward)


def _pop_expired(
    entries: list[PendingForward], now_s: float
) -> Iterator[PendingForward]:
    while entries and entries[0].deadline_s <= now_s:
        yield entries.pop(0)


def get_named_owner(operation: Operation) -> Incarnation | None:
    """Return the owner that an operation names, or None if any process can do it."""
    match operation:
        case ReserveIdsOperation() | SubmitOperation(job_id=None):
            return None
        case (
            SubmitOperation(job_id=JobId(owner=owner))
            | WatchOperation(job_id=JobId(owner=owner))
            | CancelOperation(job_id=JobId(owner=owner))
        ):
            return owner


def forward_operation(manager: Mailbox, owner: Incarnation, operation: Operation):
    """Forward an operation to its owner; return the reply, or a `Refusal`."""
    replies = Mailbox(limit=1)
    forward = Forward(owner=owner, operation=operation, reply_to=replies)
    if not manager.try_put(forward):
        refuse_overload(forward)
    return replies.get()


def serve_forward(dispatcher: Mailbox, request: ForwardRequest, link) -> None:
    """Perform a sibling's request locally and send the reply over its link."""
    reply = perform_operation(dispatcher, request.operation)
    message = ForwardReply(number=request.number, reply=reply)
    match encode_forward(message, link.incarnation):
        case Refusal() as refusal:
            message = ForwardReply(number=request.number, reply=refusal)
            link.send(encode_message(message))
        case body:
            link.send(body)


def encode_forward(
    message: ForwardRequest | ForwardReply, peer: Incarnation
) -> bytes | Refusal:
    """Return the encoded message, or a refusal if no frame can hold it."""
    try:
        body = encode_message(message)
    except (UnicodeEncodeError, OverflowError) as error:
        return _build_content_refusal(
            peer, f"content cannot be encoded for forwarding: {error}"
        )
    if len(body) > MAX_FRAME_BYTES:
        return _build_content_refusal(
            peer, f"{len(body)} bytes exceed the frame limit of {MAX_FRAME_BYTES}"
        )
    return body


def _build_content_refusal(peer: Incarnation, reason: str) -> Refusal:
    return Refusal(
        kind=RefusalKind.TOO_LARGE,
        step=Step.FORWARD_REQUEST,
        peer=str(peer),
        reason=reason,
        expected="smaller content in valid Unicode, or the request sent to the owner",
        run=RunState.UNKNOWN,
    )


def build_overload_reply(request: ForwardRequest, server: Incarnation) -> ForwardReply:
    """Return the refusal of a request beyond `MAX_SERVED_FORWARDS`."""
    refusal = _build_unavailable(server, "too many concurrent forwarded requests")
    return ForwardReply(number=request.number, reply=refusal)


def refuse_overload(forward: Forward) -> None:
    """Refuse a request because too many forwarded requests are open."""
    reason = "too many concurrent requests to forward"
    forward.reply_to.try_put(_build_unavailable(forward.owner, reason))


def refuse_unreachable(forward: Forward) -> None:
    """Refuse a request whose owner may only be disconnected; it can be retried."""
    reason = "the job's owner does not respond; the job may have run"
    forward.reply_to.try_put(_build_unavailable(forward.owner, reason))


def refuse_gone(forward: Forward, reason: str) -> None:
    """Refuse a request whose owner is known to have ended."""
    refusal = Refusal(
        kind=RefusalKind.GONE,
        step=Step.FORWARD_REQUEST,
        peer=str(forward.owner),
        reason=f"the job's owner is no longer running ({reason}); the job may have run",
        expected="a new job id, if the job is safe to run twice",
        run=RunState.UNKNOWN,
    )
    forward.reply_to.try_put(refusal)


def _build_unavailable(peer: Incarnation, reason: str) -> Refusal:
    return Refusal(
        kind=RefusalKind.UNAVAILABLE,
        step=Step.FORWARD_REQUEST,
        peer=str(peer),
        reason=reason,
        expected="a retry of the same request",
        run=RunState.UNKNOWN,
        retry_after_s=RETRY_AFTER_S,
    )
