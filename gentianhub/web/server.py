"""HTTP server shared by the caller port, the operator port and the stand-ins."""

import logging
import select
import socket
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from typing import Any
from urllib.parse import parse_qs, unquote

from attrs import Factory, frozen
from gevent import get_hub
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

SOCKET_TIMEOUT_S = 30.0
# Time allowed for requests in flight when a server stops.
STOP_TIMEOUT_S = 5.0
# Interval at which a connection with unread bytes is checked for its end. The bytes
# keep the socket readable, so that the event loop cannot wait for the end itself.
CLOSE_CHECK_INTERVAL_S = 0.1
CONNECTION_KEY = "gentianhub.connection"
STATUS_TEXTS = {
    200: "200 OK",
    202: "202 Accepted",
    304: "304 Not Modified",
    400: "400 Bad Request",
    404: "404 Not Found",
    405: "405 Method Not Allowed",
    408: "408 Request Timeout",
    409: "409 Conflict",
    410: "410 Gone",
    412: "412 Precondition Failed",
    413: "413 Content Too Large",
    421: "421 Misdirected Request",
    429: "429 Too Many Requests",
    500: "500 Internal Server Error",
    503: "503 Service Unavailable",
    504: "504 Gateway Timeout",
}

logger = logging.getLogger(__name__)


@frozen(kw_only=True)
class Request:
    """One HTTP request with its complete body."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes
    peer: str
    connection: Any = None

    @property
    def segments(self) -> tuple[str, ...]:
        """Percent-decoded segments of the path."""
        return tuple(unquote(part) for part in self.path.strip("/").split("/"))


@frozen(kw_only=True)
class Response:
    """One HTTP response."""

    status: int
    body: bytes = b""
    headers: Mapping[str, str] = Factory(dict)


@frozen(kw_only=True)
class BodyError:
    """Error status and reason of a request body that could not be read."""

    status: int
    reason: str


class _ConnectionHandler(WSGIHandler):
    """Handler that passes the connection's socket to the application."""

    def get_environ(self):
        environ = super().get_environ()
        environ[CONNECTION_KEY] = self.socket
        return environ


class _NoDelayServer(WSGIServer):
    """WSGI server with TCP_NODELAY and a read timeout on its connections."""

    handler_class = _ConnectionHandler

    def handle(self, sock, address):
        # Nagle's algorithm delays keep-alive replies by 40 ms.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(SOCKET_TIMEOUT_S)
        super().handle(sock, address)


def read_body(environ: Mapping, max_bytes: int) -> bytes | BodyError:
    """Return the complete request body, or the error that prevented reading it."""
    length = environ.get("CONTENT_LENGTH") or ""
    if length and int(length) > max_bytes:
        return BodyError(status=413, reason=f"body larger than {max_bytes} bytes")
    try:
        body = environ["wsgi.input"].read(int(length) if length else max_bytes + 1)
    except TimeoutError:
        return BodyError(
            status=408, reason=f"body not sent within {SOCKET_TIMEOUT_S} s"
        )
    except OSError as error:
        return BodyError(status=400, reason=f"body could not be read: {error}")
    if len(body) > max_bytes:
        return BodyError(status=413, reason=f"body larger than {max_bytes} bytes")
    if length and len(body) < int(length):
        return BodyError(status=400, reason="body shorter than its Content-Length")
    return body


def build_application(
    handle: Callable[[Request], Response],
    refuse: Callable[[BodyError], Response],
    max_body_bytes: int,
):
    """Return a WSGI application that calls `handle` for each complete request.

    `refuse` builds the response to a request whose body could not be read.
    """

    def application(environ, start_response) -> list[bytes]:
        body = read_body(environ, max_body_bytes)
        match body:
            case BodyError():
                response = refuse(body)
                headers = {"Connection": "close", **response.headers}
            case _:
                response = handle(_build_request(environ, body))
                headers = response.headers
        start_response(
            STATUS_TEXTS[response.status],
            [("Content-Length", str(len(response.body))), *headers.items()],
        )
        return [response.body]

    return application


def _build_request(environ: Mapping, body: bytes) -> Request:
    query = parse_qs(environ.get("QUERY_STRING", ""))
    return Request(
        method=environ["REQUEST_METHOD"],
        path=environ.get("PATH_INFO", "/"),
        query={name: values[-1] for name, values in query.items()},
        headers={
            name[5:].replace("_", "-").lower(): value
            for name, value in environ.items()
            if name.startswith("HTTP_")
        },
        body=body,
        peer=environ.get("REMOTE_ADDR", "unknown"),
        connection=environ.get(CONNECTION_KEY),
    )


@contextmanager
def watch_disconnect(connection, report: Callable[[], None]) -> Iterator[None]:
    """Call `report` once if the peer closes the connection within the context.

    It is called by the event loop, so that it must not block.
    """
    loop = get_hub().loop
    readable = loop.io(connection.fileno(), 1)
    interval = loop.timer(CLOSE_CHECK_INTERVAL_S, CLOSE_CHECK_INTERVAL_S)

    def check() -> None:
        readable.stop()
        if is_closed(connection):
            interval.stop()
            report()
        elif not interval.active:
            interval.start(check)

    readable.start(check)
    try:
        yield
    finally:
        for watcher in (readable, interval):
            watcher.stop()
            watcher.close()


def is_closed(connection) -> bool:
    """Whether the peer has closed the connection, also behind bytes not read yet."""
    poller = select.poll()
    poller.register(connection.fileno(), select.POLLRDHUP)
    return bool(poller.poll(0))


@contextmanager
def open_server(
    address: tuple[str, int],
    application,
    max_connections: int,
    stop_timeout_s: float = STOP_TIMEOUT_S,
) -> Iterator[WSGIServer]:
    """Serve a WSGI application while the context is open.

    At the end, requests in flight are given `stop_timeout_s` seconds to finish; then
    all connections are closed, including idle ones.
    """
    server = _NoDelayServer(
        address,
        application,
        spawn=Pool(max_connections),
        log=None,
        error_log=logger,
        backlog=1024,
    )
    server.start()
    try:
        yield server
    finally:
        server.stop(timeout=stop_timeout_s)
