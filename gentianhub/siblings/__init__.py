"""Communication with the other entry processes (siblings)."""

from gentianhub.siblings.forwarding import find_owner, forward_operation
from gentianhub.siblings.manager_messages import (
    DescribeSiblings,
    SendSlotMessage,
    TargetLeaving,
)
from gentianhub.siblings.service import open_siblings

__all__ = [
    "DescribeSiblings",
    "SendSlotMessage",
    "TargetLeaving",
    "find_owner",
    "forward_operation",
    "open_siblings",
]
