"""What a process's manager of links is told."""

from typing import Any

from attrs import frozen

from gentianhub.core import ProcessName


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
