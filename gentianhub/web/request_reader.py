"""Reading from a client's connection within its limits."""

import io
import re
from typing import Any

import gevent
from attrs import define

from gentianhub.core import read_monotonic_s
from gentianhub.web.connections import ClientConnection, RequestRefused

# Longest request line, bytes; gevent's server has the same limit.
MAX_REQUEST_LINE = 8192
# Some clients send an empty line after the body of the request before.
MAX_EMPTY_LINES = 4
# A read that takes less time has not waited for its input, s.
IMMEDIATE_S = 0.000_1
# Reads without a wait after which other connections run.
MAX_IMMEDIATE_READS = 8
_LENGTH_PATTERN = re.compile(r"[0-9]{1,18}")


class ConnectionReader(io.RawIOBase):
    """Raw file of a connection that counts each byte and keeps the deadline."""

    def __init__(self, connection: ClientConnection):
        self.connection = connection
        self._immediate_reads = 0

    def readable(self) -> bool:
        """Whether bytes can be read; always true."""
        return True

    def readinto(self, buffer) -> int:
        """Read what has arrived, or wait for it.

        Raises
        ------
        TimeoutError
            At the connection's deadline.
        RequestRefused
            If there is no memory for the request.
        """
        connection = self.connection
        now_s = read_monotonic_s()
        if connection.deadline_s <= now_s:
            raise TimeoutError("the client is too slow")
        connection.check()
        connection.sock.settimeout(connection.deadline_s - now_s)
        size = connection.sock.recv_into(buffer)
        connection.receive(size)
        self._yield_after_immediate_reads(now_s)
        return size

    def _yield_after_immediate_reads(self, started_s: float) -> None:
        """Let other connections run if this one's input never ends."""
        if read_monotonic_s() - started_s > IMMEDIATE_S:
            self._immediate_reads = 0
            return
        self._immediate_reads += 1
        if self._immediate_reads >= MAX_IMMEDIATE_READS:
            self._immediate_reads = 0
            gevent.sleep(0)


@define(kw_only=True, eq=False)
class LimitedLines:
    """File whose lines have `left` bytes together."""

    rest: Any
    left: int
    status: int
    reason: str

    def readline(self, size: int = -1) -> bytes:
        """Return the next line, or `size` bytes of it.

        Raises
        ------
        RequestRefused
            If the lines are larger than the limit.
        """
        longest = self.left + 1 if size < 0 else min(size, self.left + 1)
        line = self.rest.readline(longest)
        self.left -= len(line)
        if self.left < 0:
            raise RequestRefused(self.status, self.reason)
        return line


def read_request_line(rfile) -> bytes:
    """Return the first line of a request, or nothing at the end of the connection.

    Raises
    ------
    RequestRefused
        If there are too many empty lines before it, or if it is too long.
    """
    for _ in range(MAX_EMPTY_LINES + 1):
        line = rfile.readline(MAX_REQUEST_LINE + 1)
        if len(line) > MAX_REQUEST_LINE:
            raise RequestRefused(414, "request line too long")
        if line not in (b"\r\n", b"\n"):
            return line
    raise RequestRefused(400, "empty lines before a request")


def check_framing(rows: list[tuple[str, str]]) -> None:
    """Refuse headers that leave the end of the body open to interpretation.

    Raises
    ------
    RequestRefused
        If there are two lengths, a length beside an encoding, or an unknown one.
    """
    lengths = [value.strip() for name, value in rows if name == "content-length"]
    encodings = [value.strip() for name, value in rows if name == "transfer-encoding"]
    if len(lengths) + len(encodings) > 1:
        raise RequestRefused(400, "more than one length of a body")
    if encodings and encodings[0].lower() != "chunked":
        raise RequestRefused(400, "unknown transfer encoding")
    if lengths and not _LENGTH_PATTERN.fullmatch(lengths[0]):
        raise RequestRefused(400, "length of a body is no number")
