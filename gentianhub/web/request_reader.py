"""Reading from a client's connection within its limits."""

import io
import re
from collections.abc import Iterable
from typing import Any

import gevent

from gentianhub.core import read_monotonic_s
from gentianhub.core.records import define
from gentianhub.web.connections import ClientConnection, RequestRefused

# Longest request line, bytes; gevent's server has the same limit.
MAX_REQUEST_LINE = 8192
# Some clients send an empty line after the body of the request before.
MAX_EMPTY_LINES = 4
# Reads that fill the buffer after which other connections run.
MAX_FULL_READS = 8
MAX_LENGTH_DIGITS = 18
# Lines of a header section with the empty one at its end, as http.client accepts.
MAX_SECTION_LINES = 100
HEADERS_TOO_LARGE = "headers too large"
_LENGTH_PATTERN = re.compile(rf"[0-9]{{1,{MAX_LENGTH_DIGITS}}}")


class ConnectionReader(io.RawIOBase):
    """Raw file of a connection that counts each byte and keeps the deadline.

    `reads` is the number of reads so far.
    """

    def __init__(self, connection: ClientConnection):
        self.connection = connection
        self.reads = 0
        self._full_reads = 0

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
        left_s = connection.deadline_s - read_monotonic_s()
        if left_s <= 0:
            raise TimeoutError("the client is too slow")
        if connection.is_evicted:
            connection.check()
        sock = connection.sock
        sock.timeout = left_s
        size = sock.recv_into(buffer)
        self.reads += 1
        connection.receive(size)
        if connection.table.ending_bytes:
            # The owners of requests that were ended drop them now.
            gevent.sleep(0)
        elif size == len(buffer):
            self._yield_after_full_reads()
        return size

    def _yield_after_full_reads(self) -> None:
        """Let other connections run if this one's input never ends."""
        self._full_reads += 1
        if self._full_reads >= MAX_FULL_READS:
            self._full_reads = 0
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


def read_section(rfile, max_bytes: int) -> bytes:
    """Return the lines of a header section with the empty line at its end.

    The end is missing if the connection ends before it.

    Raises
    ------
    RequestRefused
        If the section has more than `max_bytes` or `MAX_SECTION_LINES`.
    """
    lines = LimitedLines(
        rest=rfile, left=max_bytes, status=431, reason=HEADERS_TOO_LARGE
    )
    section = bytearray()
    for _ in range(MAX_SECTION_LINES):
        line = lines.readline()
        section += line
        if line in (b"\r\n", b"\n", b""):
            return bytes(section)
    raise RequestRefused(431, HEADERS_TOO_LARGE)


def has_plain_framing(headers) -> bool:
    """Whether headers that may have repeated names have one length or none."""
    if getattr(headers, "has_repeated_names", True):
        return False
    if headers.get("transfer-encoding") is not None:
        return False
    length = headers.get("content-length")
    return length is None or (length.isdecimal() and len(length) <= MAX_LENGTH_DIGITS)


def check_framing(rows: Iterable[tuple[str, str]]) -> None:
    """Refuse headers that leave the end of the body open to interpretation.

    Raises
    ------
    RequestRefused
        If there are two lengths, a length beside an encoding, or an unknown one.
    """
    framing = [(name.lower(), value.strip()) for name, value in rows]
    lengths = [value for name, value in framing if name == "content-length"]
    encodings = [value for name, value in framing if name == "transfer-encoding"]
    if len(lengths) + len(encodings) > 1:
        raise RequestRefused(400, "more than one length of a body")
    if encodings and encodings[0].lower() != "chunked":
        raise RequestRefused(400, "unknown transfer encoding")
    if lengths and not _LENGTH_PATTERN.fullmatch(lengths[0]):
        raise RequestRefused(400, "length of a body is no number")
