"""HTTP exchanges with any of several entry processes."""

import json
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

from attrs import define, field, frozen
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPConnectionClosed, HTTPParseError

from gentianhub.client.codec import decode_refusal
from gentianhub.core import Refusal, RefusalKind, RunState, Step

CONNECT_TIMEOUT_S = 2.0
# Longer than the longest wait that the caller port allows.
REPLY_TIMEOUT_S = 90.0
EXCHANGE_ERRORS = (
    OSError,
    EOFError,
    ValueError,
    HTTPConnectionClosed,
    HTTPParseError,
)


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
    _clients: tuple[HTTPClient, ...]
    _current: int = field(init=False, default=0)

    def request(self, method: str, path: str, content=None) -> dict | Refusal:
        """Return the decoded reply, or a refusal that says what is certain."""
        body = b"" if content is None else json.dumps(content).encode()
        try:
            response = self._clients[self._current].request(method, path, body=body)
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
        self._clients[self._current].close()
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
        clients = []
        for address in addresses:
            client = HTTPClient(
                address.host,
                address.port,
                concurrency=1,
                connection_timeout=CONNECT_TIMEOUT_S,
                network_timeout=REPLY_TIMEOUT_S,
            )
            stack.callback(client.close)
            clients.append(client)
        yield EntryExchange(addresses=addresses, clients=tuple(clients))
