"""Messages to the sibling manager from greenlets of its own process."""

from gentianhub.core import Incarnation, Mailbox
from gentianhub.core.events import SlotMessage
from gentianhub.core.operations import Operation
from gentianhub.core.records import frozen
from gentianhub.linking.link_events import (
    DialAddress,
    DialFailed,
    LinkClosed,
    LinkOpened,
    MessageReceived,
)

__all__ = [
    "DescribeSiblings",
    "DialAddress",
    "DialFailed",
    "Forward",
    "LinkClosed",
    "LinkOpened",
    "MessageReceived",
    "SendSlotMessage",
    "TargetLeaving",
]


@frozen(kw_only=True)
class Forward:
    """Request to forward an operation to a job's owner and deliver the reply."""

    owner: Incarnation
    operation: Operation
    reply_to: Mailbox


@frozen(kw_only=True)
class SendSlotMessage:
    """Request to send a slot message to an entry process, if it is linked."""

    recipient: Incarnation
    message: SlotMessage


@frozen(kw_only=True)
class TargetLeaving:
    """A target's reply stated that it is leaving."""

    target: str


@frozen(kw_only=True)
class DescribeSiblings:
    """Request for a `SiblingsDescription`."""

    reply_to: Mailbox
