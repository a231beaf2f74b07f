"""HTTP client connection to one peer, owned by one greenlet."""

from collections.abc import Iterator, Mapping
from contextlib import contextmanager

from attrs import define, field
from geventhttpclient import HTTPClient
from geventhttpclient.response import (
    HTTPConnectionClosed,
    HTTPParseError,
    HTTPSocketPoolResponse,
)

from gentianhub.web.sockets import SendTrackingPool

# Exceptions of a failed HTTP exchange; the connection must be reset after any of them.
HTTP_ERRORS = (
    OSError,
    EOFError,
    ValueError,
    HTTPConnectionClosed,
    HTTPParseError,
)


@define(kw_only=True, eq=False)
class HttpConnection:
    """HTTP connection that is opened on demand and reopened after `reset`.

    A closed `geventhttpclient.HTTPClient` cannot be reused, so each reset creates a
    new one.

    Parameters
    ----------
    connect_timeout_s, reply_timeout_s : float or None
        Timeouts of a connection attempt and of each read of the reply, in seconds;
        None disables the timeout.
    """

    host: str
    port: int
    connect_timeout_s: float
    reply_timeout_s: float | None
    _client: HTTPClient = field(init=False)
    _pool: SendTrackingPool = field(init=False)

    def __attrs_post_init__(self):
        self._open()

    def _open(self) -> None:
        self._client = HTTPClient(self.host, self.port, concurrency=1)
        self._pool = SendTrackingPool(
            host=self.host,
            port=self.port,
            connect_timeout_s=self.connect_timeout_s,
            reply_timeout_s=self.reply_timeout_s,
        )
        self._client._connection_pool = self._pool

    @property
    def may_have_sent(self) -> bool:
        """Whether any byte may have been sent since the last `connect`."""
        return self._pool.may_have_sent

    def connect(self) -> None:
        """Open the connection if it is not open yet, without sending any data.

        A connection that was closed by the peer is replaced.
        """
        self._pool.is_checked = False
        self._pool.return_socket(self._pool.get_socket())
        self._pool.may_have_sent = False
        self._pool.is_checked = True

    def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> HTTPSocketPoolResponse:
        """Send a request; return its response when the headers have been received."""
        return self._client.request(
            method, path, body=body, headers=dict(headers or {})
        )

    def reset(self) -> None:
        """Close the connection; the next request opens a new one."""
        self._client.close()
        self._open()

    def close(self) -> None:
        """Close the connection permanently."""
        self._client.close()


@contextmanager
def open_connection(
    host: str, port: int, connect_timeout_s: float, reply_timeout_s: float | None
) -> Iterator[HttpConnection]:
    """Create an HTTP connection; close it when the context exits."""
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
