"""Messages inside an entry process that the sibling manager takes."""

from typing import Any

from attrs import frozen

from gentianhub.core import Incarnation, Mailbox, ProcessName
from gentianhub.core.events import SlotMessage
from gentianhub.core.operations import Operation


@frozen(kw_only=True)
class DialTarget:
    """Where to dial; the name is None for a seed."""

    name: ProcessName | None
    host: str
    port: int


@frozen(kw_only=True)
class LinkOpened:
    """A link has exchanged greetings and awaits the manager's verdict."""

    link: Any


@frozen(kw_only=True)
class LinkClosed:
    """A link has ended."""

    link: Any
    reason: str


@frozen(kw_only=True)
class DialFailed:
    """No link; `has_ended` if nothing, or another process, listens there."""

    target: DialTarget
    reason: str
    has_ended: bool


@frozen(kw_only=True)
class MessageReceived:
    """A message of a sibling that is not for the dispatcher."""

    link: Any
    message: Any


@frozen(kw_only=True)
class Forward:
    """Carry an operation to a job's owner and deliver its reply."""

    owner: Incarnation
    operation: Operation
    reply_to: Mailbox


@frozen(kw_only=True)
class SendSlotMessage:
    """Send a slot message to an entry process, if it is linked."""

    to: Incarnation
    message: SlotMessage


@frozen(kw_only=True)
class TargetSeenLeaving:
    """A target said in a reply that it is leaving."""

    target: str


@frozen(kw_only=True)
class DescribeSiblings:
    """Reply with a `SiblingsDescription`."""

    reply_to: Mailbox
