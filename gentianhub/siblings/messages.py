"""Messages between entry processes that the dispatcher does not see."""

from attrs import frozen

from gentianhub.capacity import events as cev
from gentianhub.core import Incarnation, JobAnswer, JobPending, Refusal, Table
from gentianhub.core.events import SlotMessage
from gentianhub.core.operations import Operation
from gentianhub.decisions import IdBlock, JobAccepted
from gentianhub.decisions.membership import HostList
from gentianhub.decisions.versions import TableChange

PROTOCOL_VERSION = 1


@frozen(kw_only=True)
class Hello:
    """First message on a link, in both directions.

    `started_ms` is Unix time; `host` and `port` are the sender's own listener.
    """

    sender: Incarnation
    started_ms: int
    host: str
    port: int
    protocol_version: int = PROTOCOL_VERSION


@frozen(kw_only=True)
class Heartbeat:
    """The sender lives; its table version and the targets it saw leaving."""

    table_version: int
    leaving: tuple[str, ...] = ()


@frozen(kw_only=True)
class ForwardRequest:
    """An operation on a job of the receiver; `number` matches the reply to it."""

    number: int
    operation: Operation


@frozen(kw_only=True)
class ForwardReply:
    """The owner's reply to the request with the same number."""

    number: int
    reply: IdBlock | JobAccepted | JobAnswer | JobPending | Refusal


@frozen(kw_only=True)
class TableRequest:
    """Asks for the table's changes after a version."""

    after: int


@frozen(kw_only=True)
class TableDeltas:
    """Changes in order; `snapshot` comes first if the asker is too far behind."""

    changes: tuple[TableChange, ...] = ()
    snapshot: Table | None = None


CapacityMessage = (
    cev.HostBeat
    | cev.RunTasks
    | cev.CancelTasks
    | cev.TasksEnded
    | cev.ConfigurationOffer
)

SiblingMessage = (
    Hello
    | CapacityMessage
    | Heartbeat
    | SlotMessage
    | ForwardRequest
    | ForwardReply
    | TableRequest
    | TableDeltas
    | HostList
)
