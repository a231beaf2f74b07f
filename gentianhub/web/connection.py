"""One HTTP connection to a peer, owned by one greenlet."""

import socket
from collections.abc import Iterator, Mapping
from contextlib import contextmanager

from attrs import define, field
from geventhttpclient import HTTPClient
from geventhttpclient.response import (
    HTTPConnectionClosed,
    HTTPParseError,
    HTTPSocketPoolResponse,
)

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

    def __attrs_post_init__(self):
        self._client = self._build_client()

    def _build_client(self) -> HTTPClient:
        return HTTPClient(
            self.host,
            self.port,
            concurrency=1,
            connection_timeout=self.connect_timeout_s,
            network_timeout=self.reply_timeout_s,
        )

    def connect(self) -> None:
        """Open the connection, unless it is open, before anything is sent."""
        pool = self._client._connection_pool
        sock = pool.get_socket()
        # Nagle's algorithm delays the second of two small writes by 40 ms.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pool.return_socket(sock)

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
        self._client = self._build_client()

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
