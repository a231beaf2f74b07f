"""HTTP requests to any of several entry processes, with failover."""

import json
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

from gentianhub.client.codec import decode_refusal
from gentianhub.core import Refusal, RefusalKind, RunState, Step
from gentianhub.core.records import define, field, frozen
from gentianhub.web import HTTP_ERRORS, HttpConnection, open_connection

CONNECT_TIMEOUT_S = 2.0
# Longer than the maximum `wait_ms` of the caller port, 60 s.
REPLY_TIMEOUT_S = 90.0


@frozen(kw_only=True)
class EntryAddress:
    """Address of a caller port, or of the load balancer in front of it."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@define(kw_only=True, eq=False)
class FailoverTransport:
    """Sends requests to one entry process and switches to the next if it fails."""

    addresses: tuple[EntryAddress, ...]
    _connections: tuple[HttpConnection, ...]
    _current_index: int = field(init=False, default=0)

    def request(self, method: str, path: str, content=None) -> dict | Refusal:
        """Send a request; return the decoded reply, or a refusal if it failed."""
        body = b"" if content is None else json.dumps(content).encode()
        try:
            connection = self._connections[self._current_index]
            response = connection.request(method, path, body)
            status, reply = response.status_code, bytes(response.read())
            decoded = json.loads(reply)
        except HTTP_ERRORS as error:
            return self._fail_over(error)
        if status >= 400:
            return decode_refusal(status, decoded)
        return decoded

    def use_next_address(self) -> None:
        """Switch to the next entry process for the following requests."""
        self._current_index = (self._current_index + 1) % len(self.addresses)

    def _fail_over(self, error: Exception) -> Refusal:
        failed = self.addresses[self._current_index]
        self._connections[self._current_index].reset()
        self.use_next_address()
        return Refusal(
            kind=RefusalKind.UNAVAILABLE,
            step=Step.SEND_TASK,
            peer=str(failed),
            reason=f"no reply: {error!r}",
            run=RunState.UNKNOWN,
        )


@contextmanager
def open_transport(addresses: tuple[EntryAddress, ...]) -> Iterator[FailoverTransport]:
    """Create a connection to each entry process; close them when the context exits."""
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
        yield FailoverTransport(addresses=addresses, connections=connections)
