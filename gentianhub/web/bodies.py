"""Reading the body of a request."""

import io
import re
from collections.abc import Callable
from typing import Any

import gevent

from gentianhub.core.records import define, field, frozen
from gentianhub.web.connections import ClientConnection, Phase, RequestRefused
from gentianhub.web.request_reader import LimitedLines

# Time for a whole body, s. A body of 16 MiB takes 14 s at 9.5 Mbit/s.
BODY_TIMEOUT_S = 60.0
# Bodies up to this size are read at once, larger ones in pieces of at most this size.
# It is that of the buffer of a connection.
PIECE_BYTES = io.DEFAULT_BUFFER_SIZE
# Most chunks of a body; each costs processor time. A body of the largest default size
# has 16 bytes in each of them then.
MAX_CHUNKS = 16_384
# Chunks after which other connections run, about 0.3 ms.
CHUNKS_PER_TURN = 64
# Bodies with more chunks pause after each turn, s: thirty of them kept a host from
# answering for seconds.
UNPACED_CHUNKS = 1024
CHUNK_PAUSE_S = 0.02
# One body may use the memory budget divided by this.
BODY_PARTS = 8
# Longest line with the size of a chunk, without extensions, bytes.
_CHUNK_SIZE_PATTERN = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(;[^\r\n]*)?\r\n")


@frozen(kw_only=True)
class BodyError:
    """Error status and reason of a request body that could not be read."""

    status: int
    reason: str


@define(kw_only=True, eq=False)
class RequestBody:
    """Body of one request; `length` is None for a chunked body.

    `send_continue` tells a client that expects it to send the body.
    """

    rfile: Any
    connection: ClientConnection
    length: int | None
    send_continue: Callable[[], None] | None = None
    is_refused: bool = field(init=False, default=False)

    @property
    def max_bytes(self) -> int:
        """Largest body that the connection's limits and the memory admit."""
        connection = self.connection
        largest = connection.limits.max_body_bytes
        affordable = connection.table.max_bytes // BODY_PARTS
        return largest if largest < affordable else affordable

    def read_whole(self, max_bytes: int) -> bytes | BodyError:
        """Return the complete body, or the error that prevented reading it."""
        content = self._read_within(max_bytes)
        if isinstance(content, BodyError):
            self.is_refused = True
            self.connection.table.record_refusal(content.reason)
        else:
            self.connection.phase = Phase.ANSWERING
        return content

    def _read_within(self, max_bytes: int) -> bytes | BodyError:
        if self.length == 0:
            return b""
        too_large = BodyError(status=413, reason=f"body larger than {max_bytes} bytes")
        if self.length is not None and self.length > max_bytes:
            return too_large
        self.connection.start_body(BODY_TIMEOUT_S)
        try:
            if self.send_continue is not None:
                self.send_continue()
            if self.length is None:
                body = self._read_chunks(max_bytes)
                return too_large if body is None else body
            body = self._read_content()
        except TimeoutError:
            reason = f"body not sent within {BODY_TIMEOUT_S} s"
            return BodyError(status=408, reason=reason)
        except OSError:
            return BodyError(status=400, reason="body could not be read")
        except RequestRefused as error:
            return BodyError(status=error.status, reason=error.reason)
        if len(body) < self.length:
            reason = "body shorter than its Content-Length"
            return BodyError(status=400, reason=reason)
        return body

    def _read_content(self) -> bytes:
        """Return the body, or what was sent of it before the connection ended."""
        if self.length <= PIECE_BYTES:
            return self.rfile.read(self.length)
        content = bytearray()
        self._read_into(content, self.length)
        return bytes(content)

    def _read_into(self, content: bytearray, size: int) -> None:
        """Append `size` bytes, or fewer if the connection ends before.

        Memory is taken for what has arrived. `BufferedReader.read` takes it for all
        that was asked for before it waits.
        """
        while size and (piece := self.rfile.peek()[:size]):
            content += piece
            self.rfile.read(len(piece))
            size -= len(piece)

    def _read_chunks(self, max_bytes: int) -> bytes | None:
        """Return the content of all chunks, or None if it is too large."""
        content = bytearray()
        extras = LimitedLines(
            rest=self.rfile,
            left=self.connection.limits.max_header_bytes,
            status=400,
            reason="chunk extensions and trailers too long",
        )
        chunks = 0
        while size := self._read_chunk_size(extras):
            chunks += 1
            if chunks > MAX_CHUNKS:
                raise RequestRefused(400, "too many chunks")
            if chunks % CHUNKS_PER_TURN == 0:
                gevent.sleep(CHUNK_PAUSE_S if chunks > UNPACED_CHUNKS else 0)
            if len(content) + size > max_bytes:
                return None
            self._read_into(content, size)
            # At the end of the connection nothing follows either.
            if self.rfile.read(2) != b"\r\n":
                raise RequestRefused(400, "chunk without its end")
        while line := extras.readline():
            if line == b"\r\n":
                return bytes(content)
            if b":" not in line or not line.endswith(b"\r\n"):
                break
        raise RequestRefused(400, "malformed trailer")

    def _read_chunk_size(self, extras: LimitedLines) -> int:
        line = extras.readline()
        match = _CHUNK_SIZE_PATTERN.fullmatch(line)
        if match is None:
            raise RequestRefused(400, "malformed chunk size")
        # The limit is for extensions; sizes are bounded by the chunks they stand for.
        plain = len(line) - len(match[2] or b"")
        extras.left += plain
        self.connection.table.release(self.connection, plain + 2)
        return int(match[1], 16)

    def _discard(self) -> None:
        """Do nothing: the server closes a connection whose body it has not read."""
