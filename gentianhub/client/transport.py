"""HTTP exchanges with any of several entry processes."""

import json
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

from attrs import define, field, frozen

from gentianhub.client.codec import decode_refusal
from gentianhub.core import Refusal, RefusalKind, RunState, Step
from gentianhub.web import EXCHANGE_ERRORS, HttpConnection, open_connection

CONNECT_TIMEOUT_S = 2.0
# Longer than the longest wait that the caller port allows.
REPLY_TIMEOUT_S = 90.0


@frozen(kw_only=True)
class EntryAddress:
    """Caller port of an entry process, or of the load balancer before it."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@define(kw_only=True, eq=False)
class EntryExchange:
    """Sends requests to one entry process at a time and moves on when it fails."""

    addresses: tuple[EntryAddress, ...]
    _connections: tuple[HttpConnection, ...]
    _current: int = field(init=False, default=0)

    def request(self, method: str, path: str, content=None) -> dict | Refusal:
        """Return the decoded reply, or a refusal that says what is certain."""
        body = b"" if content is None else json.dumps(content).encode()
        try:
            connection = self._connections[self._current]
            response = connection.request(method, path, body)
            status, reply = response.status_code, bytes(response.read())
            decoded = json.loads(reply)
        except EXCHANGE_ERRORS as error:
            return self._change_address(error)
        if status >= 400:
            return decode_refusal(status, decoded)
        return decoded

    def use_next_address(self) -> None:
        """Send the next request to another entry process."""
        self._current = (self._current + 1) % len(self.addresses)

    def _change_address(self, error: Exception) -> Refusal:
        failed = self.addresses[self._current]
        self._connections[self._current].reset()
        self.use_next_address()
        return Refusal(
            kind=RefusalKind.UNAVAILABLE,
            step=Step.SEND_TASK,
            peer=str(failed),
            reason=f"no reply: {error!r}",
            run=RunState.UNKNOWN,
        )


@contextmanager
def open_exchange(addresses: tuple[EntryAddress, ...]) -> Iterator[EntryExchange]:
    """Own one connection to each entry process; close them at the end."""
    with ExitStack() as stack:
        connections = tuple(
            stack.enter_context(
                open_connection(
                    address.host,
                    address.port,
                    connect_timeout_s=CONNECT_TIMEOUT_S,
                    reply_timeout_s=REPLY_TIMEOUT_S,
                )
            )
            for address in addresses
        )
        yield EntryExchange(addresses=addresses, connections=connections)
