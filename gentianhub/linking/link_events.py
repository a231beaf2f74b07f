"""Events that links report to the process's link manager."""

from typing import Any

from gentianhub.core import ProcessName
from gentianhub.core.records import frozen


@frozen(kw_only=True)
class DialAddress:
    """Address to dial; the name is None for a seed."""

    name: ProcessName | None
    host: str
    port: int


@frozen(kw_only=True)
class LinkOpened:
    """A link has exchanged greetings and waits for the manager to accept it."""

    link: Any


@frozen(kw_only=True)
class LinkClosed:
    """A link has ended."""

    link: Any
    reason: str


@frozen(kw_only=True)
class DialFailed:
    """No link; `is_peer_gone` if no process, or another one, listens there."""

    dial_address: DialAddress
    reason: str
    is_peer_gone: bool


@frozen(kw_only=True)
class MessageReceived:
    """A message from another process that is not for the dispatcher."""

    link: Any
    message: Any
