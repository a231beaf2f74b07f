"""Bounded queues between greenlets."""

from collections.abc import Iterator
from typing import Generic, TypeVar

import gevent
from gevent.queue import Empty, Full, Queue

from gentianhub.core.records import define, field, frozen

T = TypeVar("T")


@frozen(kw_only=True)
class MailboxTimeout:
    """Sentinel: no message arrived within the timeout."""

    waited_s: float


@define(kw_only=True, eq=False)
class Mailbox(Generic[T]):
    """A bounded message queue with a single consumer greenlet.

    Parameters
    ----------
    limit : int
        Maximum number of queued messages. At the limit, `put` blocks and `try_put`
        returns False.
    """

    limit: int
    _queue: Queue = field(init=False)

    def __attrs_post_init__(self):
        self._queue = Queue(maxsize=self.limit)

    def __len__(self) -> int:
        return self._queue.qsize()

    def put(self, message: T) -> None:
        """Add a message; block while the mailbox is full."""
        self._queue.put(message)

    def try_put(self, message: T) -> bool:
        """Add a message without blocking; return False if the mailbox is full."""
        try:
            self._queue.put_nowait(message)
        except Full:
            return False
        return True

    def get(self, timeout_s: float | None = None) -> T | MailboxTimeout:
        """Return the next message, or `MailboxTimeout` after `timeout_s` seconds."""
        try:
            return self._queue.get(timeout=timeout_s)
        except Empty:
            return MailboxTimeout(waited_s=timeout_s)

    def iterate_messages(self) -> Iterator[T]:
        """Yield messages until killed; block while the mailbox is empty."""
        while True:
            yield self._queue.get()


def spawn_greenlet(run, *args) -> gevent.Greenlet:
    """Start a greenlet that is named after its function in log lines."""
    greenlet = gevent.spawn(run, *args)
    greenlet.name = getattr(run, "__qualname__", None) or repr(run)
    return greenlet
