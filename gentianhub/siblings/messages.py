"""Messages between entry processes that the dispatcher does not see."""

from gentianhub.core import JobAnswer, JobPending, Refusal, Table
from gentianhub.core.events import SlotMessage
from gentianhub.core.operations import Operation
from gentianhub.core.records import frozen
from gentianhub.decisions import IdBlock, JobAccepted
from gentianhub.decisions.membership import HostList
from gentianhub.decisions.versions import TableChange
from gentianhub.linking.handshake import PROTOCOL_VERSION, Hello

__all__ = [
    "PROTOCOL_VERSION",
    "ForwardReply",
    "ForwardRequest",
    "Heartbeat",
    "Hello",
    "SiblingMessage",
    "TableDeltas",
    "TableRequest",
]


@frozen(kw_only=True)
class Heartbeat:
    """Liveness of the sender, its table version and the leaving targets it observed."""

    table_version: int
    leaving: tuple[str, ...] = ()


@frozen(kw_only=True)
class ForwardRequest:
    """An operation on a job that the receiver owns; the reply has the same `number`."""

    number: int
    operation: Operation


@frozen(kw_only=True)
class ForwardReply:
    """The owner's reply to the request with the same `number`."""

    number: int
    reply: IdBlock | JobAccepted | JobAnswer | JobPending | Refusal


@frozen(kw_only=True)
class TableRequest:
    """Request for the table's changes after a version."""

    after: int


@frozen(kw_only=True)
class TableDeltas:
    """Changes in order of version; a `snapshot`, if present, is applied first.

    It is sent if the sender no longer keeps all changes that the receiver lacks.
    """

    changes: tuple[TableChange, ...] = ()
    snapshot: Table | None = None


SiblingMessage = (
    Hello
    | Heartbeat
    | SlotMessage
    | ForwardRequest
    | ForwardReply
    | TableRequest
    | TableDeltas
    | HostList
)
