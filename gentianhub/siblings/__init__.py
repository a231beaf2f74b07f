"""Communication with the other entry processes (siblings)."""

from gentianhub.siblings.forwarding import forward_operation, get_named_owner
from gentianhub.siblings.manager_messages import (
    DescribeSiblings,
    SendSlotMessage,
    TargetLeaving,
)
from gentianhub.siblings.service import open_sibling_links

__all__ = [
    "DescribeSiblings",
    "SendSlotMessage",
    "TargetLeaving",
    "forward_operation",
    "get_named_owner",
    "open_sibling_links",
]
