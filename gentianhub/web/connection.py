"""HTTP client connection to one peer, owned by one greenlet."""

import errno
from collections.abc import Iterator, Mapping
from contextlib import contextmanager

from geventhttpclient import HTTPClient
from geventhttpclient.response import (
    HTTPConnectionClosed,
    HTTPParseError,
    HTTPSocketPoolResponse,
)

from gentianhub.core import send_message
from gentianhub.core.records import define, field
from gentianhub.web.sockets import SendTrackingPool

# Exceptions of a failed HTTP exchange; the connection must be reset after any of them.
HTTP_ERRORS = (
    OSError,
    EOFError,
    ValueError,
    HTTPConnectionClosed,
    HTTPParseError,
)


# Errors of a write to a connection that the peer has closed, possibly after an answer.
_CLOSED_BY_PEER = (errno.ECONNRESET, errno.EPIPE)
# Heads kept for repeated requests; one connection sends few different ones.
MAX_KEPT_HEADS = 8


class _Client(HTTPClient):
    """Client that builds the head of repeated requests with a body once."""

    def __init__(self, pool: SendTrackingPool):
        super().__init__(pool.host, pool.port, concurrency=1)
        self._connection_pool = pool
        self._heads: dict[tuple, bytes] = {}

    def post(
        self, path: str, body: bytes, headers: Mapping[str, str]
    ) -> HTTPSocketPoolResponse:
        """Send a POST request; return its response when its headers have arrived.

        Like `request` of the library, it never sends such a request twice.
        """
        message = b"%b%d\r\n\r\n%b" % (self._get_head(path, headers), len(body), body)
        pool = self._connection_pool
        sock = pool.get_socket()
        try:
            send_message(sock, message)
        except OSError as error:
            if error.errno not in _CLOSED_BY_PEER:
                pool.release_socket(sock)
                raise
            # The peer may have answered before it closed the connection.
        return HTTPSocketPoolResponse(
            sock, pool, block_size=self.block_size, method="POST"
        )

    def _get_head(self, path: str, headers: Mapping[str, str]) -> bytes:
        """Return the head up to the value of its last header, Content-Length."""
        key = (path, *headers.items())
        head = self._heads.get(key)
        if head is None:
            if len(self._heads) >= MAX_KEPT_HEADS:
                self._heads.clear()
            text = self._build_request("POST", path, b"", headers, chunked=False)
            head = text.removesuffix("0\r\n\r\n").encode("latin-1")
            self._heads[key] = head
        return head


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
    _client: _Client = field(init=False)
    _pool: SendTrackingPool = field(init=False)

    def __attrs_post_init__(self):
        self._open()

    def _open(self) -> None:
        self._pool = SendTrackingPool(
            host=self.host,
            port=self.port,
            connect_timeout_s=self.connect_timeout_s,
            reply_timeout_s=self.reply_timeout_s,
        )
        self._client = _Client(self._pool)

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
        if method == "POST":
            return self._client.post(path, body, headers or {})
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
