"""Frames on a link: length, token of the receiver, checksum, message.

The token of the receiving incarnation is not part of the message, so that a heartbeat
is encoded once for all receivers. The checksum keeps foreign and damaged bytes from
reaching Cap'n Proto, whose exceptions crash the process when they are raised in a
greenlet.
"""

import struct
from typing import Any

import xxhash

from gentianhub.core.records import define, field, frozen
from gentianhub.linking.frame_memory import OVER_FRAME_MEMORY, FrameMemory

# Enough for a caller's largest job (16 MiB) and for an answer with 170 results.
MAX_FRAME_BYTES = 32 * 1024 * 1024
READ_BYTES = 2**16
ANY_RECEIVER_TOKEN = "0" * 16

_HEADER = struct.Struct(">IQQ")
HEADER_BYTES = _HEADER.size


@frozen(kw_only=True)
class MalformedMessage:
    """Sentinel: a frame's body is not a message of the schema."""

    reason: str


@frozen(kw_only=True)
class ReceivedFrame:
    """A complete frame: the token of the receiving incarnation and the body."""

    to_token: str
    body: bytes


@frozen(kw_only=True)
class FrameTooLarge:
    """Sentinel: the frame exceeds the size limit; its body was not read."""

    size: int


@frozen(kw_only=True)
class LinkEnded:
    """Sentinel: the connection ended, possibly within a frame."""

    reason: str


@frozen(kw_only=True)
class DamagedFrame:
    """Sentinel: the frame's checksum does not match its content."""


def encode_frame(to_token: str, body: bytes) -> bytes:
    """Return the frame that carries an encoded message."""
    token = int(to_token, 16)
    checksum = xxhash.xxh3_64_intdigest(body, seed=token)
    return _HEADER.pack(len(body), token, checksum) + body


@define(kw_only=True, eq=False)
class FrameReader:
    """Reads frames from a socket; one `recv` often returns several of them.

    Frames that don't fit in one `recv` are counted in `memory`.
    """

    sock: Any
    memory: FrameMemory = field(factory=FrameMemory)
    _buffer: bytearray = field(init=False, factory=bytearray)

    def read_frame(
        self, max_bytes: int = MAX_FRAME_BYTES
    ) -> ReceivedFrame | FrameTooLarge | DamagedFrame | LinkEnded:
        """Return the next complete frame; block until it has arrived."""
        match self._read_bytes(HEADER_BYTES):
            case LinkEnded() as ended:
                return ended
            case header:
                size, token, checksum = _HEADER.unpack(header)
        if size > max_bytes:
            return FrameTooLarge(size=size)
        match self._read_bytes(size):
            case LinkEnded() as ended:
                return ended
            case body if xxhash.xxh3_64_intdigest(body, seed=token) != checksum:
                return DamagedFrame()
            case body:
                return ReceivedFrame(to_token=f"{token:016x}", body=body)

    def _read_bytes(self, size: int) -> bytes | LinkEnded:
        while len(self._buffer) < size:
            try:
                chunk = self.sock.recv(READ_BYTES)
            except OSError as error:
                return self._end(repr(error))
            if not chunk:
                missing = size - len(self._buffer)
                return self._end(f"closed with {missing} bytes missing")
            self._buffer += chunk
            is_large = size > READ_BYTES
            if is_large and not self.memory.receive(self.sock, len(chunk)):
                return self._end(OVER_FRAME_MEMORY)
        if size > READ_BYTES:
            self.memory.release(self.sock)
        content = bytes(self._buffer[:size])
        del self._buffer[:size]
        return content

    def _end(self, reason: str) -> LinkEnded:
        """Drop what was received of a frame."""
        self.memory.release(self.sock)
        self._buffer.clear()
        return LinkEnded(reason=reason)
