"""Limit of the incoming connections that have not sent a greeting."""

import socket
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from gentianhub.core.records import define, field


@define(kw_only=True, eq=False)
class PendingHandshakes:
    """Sockets that wait for a greeting, the oldest first.

    A new one beyond `max_sockets` ends the oldest. Hosts send their greeting at once.
    """

    max_sockets: int = sys.maxsize
    ended: int = field(init=False, default=0)
    _sockets: dict[Any, None] = field(init=False, factory=dict)

    @contextmanager
    def keep(self, sock) -> Iterator[None]:
        """Count a socket until the end of the block."""
        while len(self._sockets) >= self.max_sockets:
            oldest = next(iter(self._sockets))
            del self._sockets[oldest]
            self.ended += 1
            try:
                oldest.shutdown(socket.SHUT_RDWR)
            except OSError:
                # Its peer has ended it.
                continue
        self._sockets[sock] = None
        try:
            yield
        finally:
            self._sockets.pop(sock, None)
