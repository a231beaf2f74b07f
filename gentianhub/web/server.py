"""HTTP server shared by the caller port, the operator port and the stand-ins."""

import enum
import logging
import re
import select
import socket
import sys
import time
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from functools import lru_cache
from typing import Any
from urllib.parse import parse_qs, unquote

from gevent import get_hub
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer, format_date_time

from gentianhub.core import send_message
from gentianhub.core.records import Factory, define, field, frozen
from gentianhub.core.request_limits import RequestLimits
from gentianhub.web.bodies import BodyError
from gentianhub.web.bounded_requests import BoundedRequests, encode_refusal
from gentianhub.web.connections import ClientConnection, ConnectionTable
from gentianhub.web.request_reader import MAX_SECTION_LINES

# Connections that have been closed for others and have not ended yet, or that have
# replaced others before these end.
SPARE_CONNECTIONS = 96
# Input of a connection that the kernel keeps until it is read, bytes. Platforms may
# count it as the process's memory.
RECEIVE_BUFFER_BYTES = 8192
# A connection ends if its peer answers none of two probes, each after 1 s. No reset may
# reach the server when a connection is cut off, and the job of its caller would stay
# open until the deadline.
KEEPALIVE_OPTIONS = (
    (socket.TCP_KEEPIDLE, 1),
    (socket.TCP_KEEPINTVL, 1),
    (socket.TCP_KEEPCNT, 2),
)
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

# Longest line that http.client accepts in a header section, bytes.
MAX_HEADER_LINE = 65_536
MAX_PLAIN_HEADERS = MAX_SECTION_LINES - 1
_PLAIN_HEADER_PATTERN = re.compile(
    rb"([!#$%&'*+.^`|~0-9A-Za-z-]+):[ \t]*([^\r\n]*)\r\n"
)
_PLAIN_SECTION_PATTERN = re.compile(
    f"^{_PLAIN_HEADER_PATTERN.pattern.decode()}", re.MULTILINE
)
_END_OF_HEADERS = (b"\r\n", b"\n", b"")

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


class ConnectionEnd(enum.Enum):
    """How a peer has ended a connection."""

    CLOSED = "closed"
    RESET = "reset"


@define(kw_only=True, eq=False)
class PlainHeaders:
    """Headers of a request, with the methods of a message that gevent's server uses.

    `rows` holds the names and values in the order of the request.
    """

    rows: list[tuple[str, str]]
    status: str = ""
    _first_values: dict[str, str] = field(init=False)

    def __attrs_post_init__(self):
        reversed_rows = reversed(self.rows)
        self._first_values = {name.lower(): value for name, value in reversed_rows}

    def get(self, name: str, default: str | None = None) -> str | None:
        """Return the first value of a header."""
        return self._first_values.get(name.lower(), default)

    getheader = get

    def __delitem__(self, name: str) -> None:
        lower_name = name.lower()
        self.rows = [row for row in self.rows if row[0].lower() != lower_name]
        self._first_values.pop(lower_name, None)

    def items(self) -> list[tuple[str, str]]:
        """Return the names and values of the headers."""
        return self.rows

    @property
    def has_repeated_names(self) -> bool:
        """Whether a name occurs more than once."""
        return len(self._first_values) != len(self.rows)

    @property
    def headers(self) -> Iterator[str]:
        """Yield the lines of the headers."""
        return (f"{name}: {value}\r\n" for name, value in self.rows)

    @property
    def typeheader(self) -> str | None:
        """The type of the content."""
        return self.get("content-type")


# Callers use few names; others must not fill the memory.
@lru_cache(maxsize=256)
def _find_environ_key(name: str) -> str | None:
    """Return the key of a header in the environment, or None if it has none there."""
    key = name.replace("-", "_").upper()
    if "_" in name or key in ("CONTENT_TYPE", "CONTENT_LENGTH"):
        return None
    return f"HTTP_{key}"


@lru_cache(maxsize=256)
def _find_header_name(key: str) -> str:
    """Return the name of a header, in lower case, from its key in the environment."""
    return key[5:].replace("_", "-").lower()


# All responses of a second have the same date.
@lru_cache(maxsize=2)
def _format_date(unix_s: int) -> bytes:
    return format_date_time(unix_s)


@define(kw_only=True, eq=False)
class _ReplayedLines:
    """File that returns lines which have been read already, and then the others."""

    lines: list[bytes]
    rest: Any

    def readline(self, size: int) -> bytes:
        """Return the next line, or `size` bytes of it."""
        return self.lines.pop(0) if self.lines else self.rest.readline(size)


class _ConnectionHandler(WSGIHandler):
    """Handler that passes the connection's socket to the application.

    It reads plain headers itself, because the library uses the parser for mail, and
    sends the head of a response together with its body.
    """

    def MessageClass(self, rfile, *_):
        """Return the headers; the library parses sections that are not plain."""
        lines, rows = [], []
        while len(lines) < MAX_PLAIN_HEADERS:
            line = rfile.readline(MAX_HEADER_LINE + 1)
            lines.append(line)
            if line in _END_OF_HEADERS:
                return PlainHeaders(rows=rows)
            match = _PLAIN_HEADER_PATTERN.fullmatch(line)
            if match is None or len(line) > MAX_HEADER_LINE:
                break
            rows.append((match[1].decode(), match[2].decode("latin-1")))
        return super().MessageClass(_ReplayedLines(lines=lines, rest=rfile))

    def _headers(self):
        """Yield the names and values of the environment's headers.

        The library writes each header as a line and parses it again.
        """
        if not isinstance(self.headers, PlainHeaders):
            yield from super()._headers()
            return
        for name, value in self.headers.rows:
            key = _find_environ_key(name)
            if key is not None:
                yield key, value.strip()

    def get_environ(self):
        environ = super().get_environ()
        environ[CONNECTION_KEY] = self.socket
        return environ

    def finalize_headers(self):
        if self.provided_date is None:
            self.provided_date = _format_date(int(time.time()))
            self.response_headers.append((b"Date", self.provided_date))
        super().finalize_headers()

    def _write_with_headers(self, data):
        """Send head and body in one call; two of them would be two packets."""
        self.headers_sent = True
        self.finalize_headers()
        lines = (b"%b: %b\r\n" % header for header in self.response_headers)
        head = b"HTTP/1.1 %b\r\n%b\r\n" % (self.status, b"".join(lines))
        if self.response_use_chunked:
            self._sendall(head)
            self._write(data)
        else:
            self._sendall(head + data)

    def _sendall(self, data):
        """Send a part of a response; record a failure as the library does."""
        try:
            send_message(self.socket, data)
        except OSError as error:
            self.status = f"socket error: {error}"
            self.code = -abs(self.code)
            raise
        self.response_length += len(data)

    def log_request(self):
        """Write no access log, and do not format its lines either."""


class _BoundedHandler(BoundedRequests, _ConnectionHandler):
    """Handler whose requests have limits."""

    def parse_section(self, section: bytes) -> PlainHeaders | None:
        """Return the headers of a complete section whose lines are all plain."""
        rows = _PLAIN_SECTION_PATTERN.findall(section.decode("latin-1"))
        # Each match is one line, so that equal numbers leave no other line.
        lines = section.count(b"\n") - 1
        is_plain = len(rows) == lines <= MAX_PLAIN_HEADERS
        return PlainHeaders(rows=rows) if is_plain else None


class _NoDelayServer(WSGIServer):
    """WSGI server with TCP_NODELAY, probes and limits on its connections.

    `connections` are those of the process, and `port` names the port there. `admitted`
    are those of this server by socket.
    """

    handler_class = _BoundedHandler

    def __init__(self, *args, connections: ConnectionTable, port: str, **kwargs):
        super().__init__(*args, **kwargs)
        self.connections = connections
        self.admitted: dict[Any, ClientConnection] = {}
        self.port = port

    def init_socket(self):
        super().init_socket()
        # Connections take the size of their listening socket.
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )

    def handle(self, sock, address):
        with self.connections.admit(sock, address[0], self.port) as connection:
            if connection is None:
                # The answer fits the buffer of a new socket.
                sock.settimeout(0.0)
                send_message(sock, encode_refusal(503))
                return
            # Nagle's algorithm delays keep-alive replies by 40 ms.
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for name, value in KEEPALIVE_OPTIONS:
                sock.setsockopt(socket.IPPROTO_TCP, name, value)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            self.admitted[sock] = connection
            try:
                super().handle(sock, address)
            finally:
                del self.admitted[sock]


def build_application(
    handle: Callable[[Request], Response],
    refuse: Callable[[BodyError], Response],
    max_body_bytes: int = sys.maxsize,
):
    """Return a WSGI application that calls `handle` for each complete request.

    `refuse` builds the response to a request whose body could not be read. The limits
    of a connection may be lower than `max_body_bytes`.
    """

    def application(environ, start_response) -> list[bytes]:
        source = environ["wsgi.input"]
        body = source.read_whole(min(max_body_bytes, source.max_bytes))
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
    text = environ.get("QUERY_STRING")
    query = parse_qs(text) if text else {}
    return Request(
        method=environ["REQUEST_METHOD"],
        path=environ.get("PATH_INFO", "/"),
        query={name: values[-1] for name, values in query.items()},
        headers={
            _find_header_name(key): value
            for key, value in environ.items()
            if key[:5] == "HTTP_"
        },
        body=body,
        peer=environ.get("REMOTE_ADDR", "unknown"),
        connection=environ.get(CONNECTION_KEY),
    )


@define(kw_only=True, eq=False)
class _Watch:
    """One connection; its end is reported once, by the event loop or by a check.

    `is_refused` is set if the report was not taken.
    """

    connection: Any
    report: Callable[[ConnectionEnd], bool]
    has_ended: bool = False
    is_refused: bool = False

    def check(self) -> bool:
        """Report the end of the connection, if it has one; return whether it has."""
        if self.has_ended:
            return True
        end = find_end(self.connection)
        if end is not None:
            self.has_ended = True
            self.is_refused = not self.report(end)
        return self.has_ended


@define(kw_only=True, eq=False)
class ConnectionWatches:
    """Connections whose ends are reported while their requests are open.

    The event loop reports an end when it comes to its socket. `report_ended` asks the
    kernel instead, so that no end that has arrived is left behind it.
    """

    _watches: dict[int, _Watch] = field(init=False, factory=dict)
    _poller: Any = field(init=False, factory=select.poll)

    @contextmanager
    def watch(
        self, connection, report: Callable[[ConnectionEnd], bool]
    ) -> Iterator[None]:
        """Call `report` once if the peer ends the connection within the context.

        The event loop or `report_ended` calls it, so that it must not block. It returns
        whether the report was taken; if not, the context has to last until it is.
        """
        loop, descriptor = get_hub().loop, connection.fileno()
        watch = _Watch(connection=connection, report=report)
        readable = loop.io(descriptor, 1)
        interval = loop.timer(CLOSE_CHECK_INTERVAL_S, CLOSE_CHECK_INTERVAL_S)

        def check() -> None:
            readable.stop()
            if watch.check():
                interval.stop()
            elif not interval.active:
                interval.start(check)

        readable.start(check)
        self._watches[descriptor] = watch
        self._poller.register(descriptor, select.POLLRDHUP)
        try:
            yield
        finally:
            self._poller.unregister(descriptor)
            del self._watches[descriptor]
            for watcher in (readable, interval):
                watcher.stop()
                watcher.close()

    def report_ended(self) -> bool:
        """Report all connections that have ended by now; whether all were taken."""
        ended = [descriptor for descriptor, _ in self._poller.poll(0)]
        for descriptor in ended:
            self._watches[descriptor].check()
        return not any(self._watches[descriptor].is_refused for descriptor in ended)


def find_end(connection) -> ConnectionEnd | None:
    """Return how the peer has ended the connection, also behind bytes not read yet.

    None if it is open.
    """
    poller = select.poll()
    poller.register(connection.fileno(), select.POLLRDHUP)
    events = poller.poll(0)
    if not events:
        return None
    is_reset = events[0][1] & select.POLLERR
    return ConnectionEnd.RESET if is_reset else ConnectionEnd.CLOSED


@contextmanager
def open_server(
    address: tuple[str, int],
    application,
    max_connections: int,
    stop_timeout_s: float = STOP_TIMEOUT_S,
    connections: ConnectionTable | None = None,
    port: str = "",
) -> Iterator[WSGIServer]:
    """Serve a WSGI application while the context is open.

    At the end, requests in flight are given `stop_timeout_s` seconds to finish; then
    all connections are closed, including idle ones. Connections beyond the limit wait,
    unless `connections` limits those of `port`: it closes others for them.
    """
    if connections is None:
        connections = ConnectionTable(
            read_limits=lambda: RequestLimits(max_body_bytes=sys.maxsize)
        )
    server = _NoDelayServer(
        address,
        application,
        spawn=Pool(max_connections + SPARE_CONNECTIONS * bool(port)),
        log=None,
        error_log=logger,
        backlog=1024,
        connections=connections,
        port=port,
    )
    server.start()
    try:
        yield server
    finally:
        server.stop(timeout=stop_timeout_s)
