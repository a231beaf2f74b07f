"""Limits of requests and connections for handlers of gevent's HTTP server."""

import io
import socket
from http.client import HTTPException

import gevent
from gevent.pywsgi import WSGIHandler

from gentianhub.core import read_monotonic_s
from gentianhub.web.bodies import RequestBody
from gentianhub.web.connections import ClientConnection, Phase, RequestRefused
from gentianhub.web.request_reader import (
    HEADERS_TOO_LARGE,
    ConnectionReader,
    check_framing,
    has_plain_framing,
    read_request_line,
    read_section,
)

# Time for a client to take a part of its answer, s.
WRITE_TIMEOUT_S = 30.0
# Input that is read and dropped after a refusal, so that the answer arrives: bytes and
# time, s. A client that sends a body of 1 MiB before it reads gets its answer.
LINGER_BYTES = 4 * 2**20
LINGER_S = 5.0
# Pauses before a request that arrived before the last answer, s; shorter ones are left
# out.
MIN_PIPELINE_PAUSE_S = 0.005
MAX_PIPELINE_PAUSE_S = 1.0
END_OF_HEAD = b"\r\n\r\n"
# Memory of the objects that a header becomes, apart from its text.
HEADER_BYTES = 384
# Copies of the request line in the environment, apart from the line itself.
LINE_COPIES = 3
STATUS_LINES = {
    400: b"400 Bad Request",
    408: b"408 Request Timeout",
    414: b"414 URI Too Long",
    431: b"431 Request Header Fields Too Large",
    503: b"503 Service Unavailable",
}
# Content that is dropped; all connections may share it.
_DROPPED = bytearray(65_536)


def encode_refusal(status: int) -> bytes:
    """Return the answer to a request that was not read completely."""
    retry = b"Retry-After: 1\r\n" if status == 503 else b""
    return b"HTTP/1.1 %b\r\n%bConnection: close\r\nContent-Length: 0\r\n\r\n" % (
        STATUS_LINES[status],
        retry,
    )


class BoundedRequests(WSGIHandler):
    """Reads requests within the limits of a `ClientConnection`.

    A refusal is answered, and the connection is closed once the answer can arrive.
    """

    connection: ClientConnection

    def __init__(self, sock, address, server):
        self.connection = server.admitted[sock]
        self.reader = ConnectionReader(self.connection)
        super().__init__(sock, address, server, io.BufferedReader(self.reader))

    def handle_one_request(self):
        """Handle one request; return True if another one may follow."""
        connection = self.connection
        connection.start_waiting()
        self.wsgi_input = None
        try:
            result = super().handle_one_request()
        except RequestRefused as error:
            result = self._handle_client_error(error)
        if isinstance(result, tuple):
            self._send_refusal(result[1])
        elif result is None and self.wsgi_input and self.wsgi_input.is_refused:
            self._linger()
        elif connection.closes_after_answer:
            self._linger()
            result = None
        return True if result is True else None

    def read_requestline(self) -> bytes:
        """Return the first line of a request; nothing at the end of the connection."""
        reads = self.reader.reads
        try:
            line = read_request_line(self.rfile)
        except TimeoutError as error:
            if self.connection.phase is Phase.READING:
                raise RequestRefused(408, "head not sent in time") from error
            return b""
        is_pipelined = line and self.reader.reads == reads
        if is_pipelined and self.connection.answer_s > MIN_PIPELINE_PAUSE_S:
            return self._delay_pipelined(line)
        return line

    def _delay_pipelined(self, line: bytes) -> bytes:
        """Return the line of a request that had arrived before the last answer.

        The connection pauses for as long as the last request took, so that those with
        many requests leave room for others. It may be closed for a new one meanwhile.
        """
        connection = self.connection
        gevent.sleep(min(connection.answer_s, MAX_PIPELINE_PAUSE_S))
        connection.since_s = read_monotonic_s()
        return b"" if connection.is_evicted else line

    def MessageClass(self, rfile, *_):
        """Return the headers."""
        connection = self.connection
        limit = connection.limits.max_header_bytes
        buffered = rfile.peek()
        end = buffered.find(END_OF_HEAD)
        if 0 <= end <= limit - len(END_OF_HEAD):
            section = rfile.read(end + len(END_OF_HEAD))
        else:
            section = read_section(rfile, limit)
        headers = self.parse_section(section)
        if headers is None:
            headers = super().MessageClass(io.BytesIO(section))
        if not has_plain_framing(headers):
            check_framing(headers.items())
        return headers

    def parse_section(self, section: bytes):
        """Return the headers of a complete section, or None to read them by line."""
        return None

    def get_environ(self):
        """Return the WSGI environment, with a body that has limits.

        The objects that the head has become are counted beside its text.
        """
        self.connection.receive(
            HEADER_BYTES * len(self.headers.items()) + LINE_COPIES * len(self.path)
        )
        environ = super().get_environ()
        is_chunked = "HTTP_TRANSFER_ENCODING" in environ
        expects = environ.get("HTTP_EXPECT", "").lower() == "100-continue"
        self.wsgi_input = environ["wsgi.input"] = RequestBody(
            rfile=self.rfile,
            connection=self.connection,
            length=None if is_chunked else self.content_length or 0,
            send_continue=self._send_continue if expects else None,
        )
        return environ

    def start_response(self, status, headers, exc_info=None):
        """Start a response; the last one of a connection says that it is."""
        if (
            self.connection.closes_after_answer
            and ("Connection", "close") not in headers
        ):
            headers = [*headers, ("Connection", "close")]
        return super().start_response(status, headers, exc_info)

    def _send_continue(self) -> None:
        self.socket.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _sendall(self, data) -> None:
        self.connection.start_writing(len(data))
        self.socket.timeout = WRITE_TIMEOUT_S
        super()._sendall(data)

    def _handle_client_error(self, ex):
        """Count a refused request; return status and answer, if there is one."""
        match ex:
            case RequestRefused(status=status, reason=reason):
                pass
            case TimeoutError():
                status, reason = 408, "head not sent in time"
            case OSError():
                status, reason = None, "connection broken"
            case ValueError():
                status, reason = 400, "malformed request"
            case HTTPException():
                # The library's parser of headers raises it for more than a hundred.
                status, reason = 431, HEADERS_TOO_LARGE
            case _:
                return super()._handle_client_error(ex)
        self.connection.table.record_refusal(reason)
        return None if status is None else (str(status), encode_refusal(status))

    def handle_error(self, t, v, tb):
        """Close a broken connection without a log line of its own."""
        if issubclass(t, OSError):
            self.connection.table.record_refusal("connection broken")
            self.close_connection = True
        else:
            super().handle_error(t, v, tb)

    def _send_refusal(self, answer: bytes) -> None:
        try:
            self.socket.settimeout(WRITE_TIMEOUT_S)
            self.socket.sendall(answer)
        except OSError:
            # The client has ended the connection.
            return
        self._linger()

    def _linger(self) -> None:
        """Read until the client ends, as unread input would drop the answer."""
        connection, sock = self.connection, self.socket
        connection.phase = Phase.CLOSING
        connection.table.release(connection)
        until_s = read_monotonic_s() + LINGER_S
        left = LINGER_BYTES
        try:
            sock.shutdown(socket.SHUT_WR)
            while left > 0 and (left_s := until_s - read_monotonic_s()) > 0:
                sock.settimeout(left_s)
                size = sock.recv_into(_DROPPED)
                if not size:
                    return
                left -= size
        except OSError:
            # The client has ended the connection, or sends nothing.
            return
