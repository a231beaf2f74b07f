"""One HTTP connection to a peer, owned by one greenlet."""

from collections.abc import Iterator, Mapping
from contextlib import contextmanager

from attrs import define, field
from geventhttpclient import HTTPClient
from geventhttpclient.response import (
    HTTPConnectionClosed,
    HTTPParseError,
    HTTPSocketPoolResponse,
)

from gentianhub.web.sockets import PeerSockets

# What an exchange may raise; after any of them the connection must be reset.
EXCHANGE_ERRORS = (
    OSError,
    EOFError,
    ValueError,
    HTTPConnectionClosed,
    HTTPParseError,
)


@define(kw_only=True, eq=False)
class HttpConnection:
    """A connection that is opened when needed and again after `reset`.

    A `geventhttpclient.HTTPClient` cannot be used after it was closed, so each
    reset builds a new one.

    Parameters
    ----------
    connect_timeout_s, reply_timeout_s : float or None
        Limits of a connection attempt and of each wait for bytes of the reply;
        None waits for ever.
    """

    host: str
    port: int
    connect_timeout_s: float
    reply_timeout_s: float | None
    _client: HTTPClient = field(init=False)
    _sockets: PeerSockets = field(init=False)

    def __attrs_post_init__(self):
        self._open()

    def _open(self) -> None:
        self._client = HTTPClient(self.host, self.port, concurrency=1)
        self._sockets = PeerSockets(
            host=self.host,
            port=self.port,
            connect_timeout_s=self.connect_timeout_s,
            reply_timeout_s=self.reply_timeout_s,
        )
        self._client._connection_pool = self._sockets

    @property
    def has_sent(self) -> bool:
        """Whether a byte may have been sent since the last `connect`."""
        return self._sockets.has_sent

    def connect(self) -> None:
        """Open the connection, unless it is open, before anything is sent.

        A connection that the peer closed is replaced.
        """
        self._sockets.return_socket(self._sockets.get_socket())
        self._sockets.has_sent = False

    def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> HTTPSocketPoolResponse:
        """Send a request and return its response once the headers are in."""
        return self._client.request(
            method, path, body=body, headers=dict(headers or {})
        )

    def reset(self) -> None:
        """Close the connection; the next request opens another."""
        self._client.close()
        self._open()

    def close(self) -> None:
        """Close the connection for good."""
        self._client.close()


@contextmanager
def open_connection(
    host: str, port: int, connect_timeout_s: float, reply_timeout_s: float | None
) -> Iterator[HttpConnection]:
    """Own one HTTP connection; close it at the end."""
    connection = HttpConnection(
        host=host,
        port=port,
        connect_timeout_s=connect_timeout_s,
        reply_timeout_s=reply_timeout_s,
    )
    try:
        yield connection
    finally:
        connection.close()
