"""Clients that send what no caller would: one data class for each kind."""

import struct
import uuid
from collections.abc import Iterator

import gevent
from attrs import frozen
from gevent import socket

from gentianhub.core import Incarnation, ProcessName
from gentianhub.host.encoding import encode_message
from gentianhub.linking.frames import ANY_RECEIVER_TOKEN, encode_frame
from gentianhub.linking.handshake import Hello

HEAD = b"POST /jobs/00000000000000aa HTTP/1.1\r\nHost: desk.example\r\n"
PIECE_BYTES = 16_384
# Time for a host to take what it will ever take, s. No check depends on what is
# served within it.
SEND_S = 20.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@frozen(kw_only=True)
class HeldBody:
    """Announces a body, and sends all of it but the last byte."""

    size: int


@frozen(kw_only=True)
class HeldRequest:
    """Sends a head with many headers, and all of the body but the last byte."""

    headers: int
    header_size: int
    size: int


@frozen(kw_only=True)
class ManySteps:
    """Submits a job of many steps, each of which waits for the one before."""

    steps: int


@frozen(kw_only=True)
class ManyTasks:
    """Submits a job of one step with many tasks."""

    tasks: int


@frozen(kw_only=True)
class HeldFrame:
    """Greets as a host, and sends all of a frame but the last byte."""

    size: int


@frozen(kw_only=True)
class ManyValues:
    """Submits a job with a member that nobody reads and that has many values."""

    size: int


@frozen(kw_only=True)
class SentBody:
    """Announces a body, and sends it."""

    size: int


@frozen(kw_only=True)
class EndlessChunks:
    """Sends chunks up to a size, and no last one."""

    chunk: int
    size: int


@frozen(kw_only=True)
class EndlessHead:
    """Sends header lines up to a size, and no end of the head."""

    line: int
    size: int


@frozen(kw_only=True)
class EmptyLines:
    """Sends empty lines up to a size, and no request."""

    size: int


@frozen(kw_only=True)
class ManyHeaders:
    """Sends a request with more headers than any client has."""

    count: int


@frozen(kw_only=True)
class Malformed:
    """Sends a line that is not HTTP."""

    number: int


@frozen(kw_only=True)
class Reset:
    """Resets the connection within a body."""

    size: int


@frozen(kw_only=True)
class Silent:
    """Sends nothing."""


@frozen(kw_only=True)
class Dripping:
    """Sends a byte now and then, never a whole request or greeting."""

    interval_s: float
    count: int


@frozen(kw_only=True)
class UnreadAnswers:
    """Sends requests and reads no answer."""

    path: str
    count: int


def iterate_input(client) -> Iterator[bytes]:
    """Yield the pieces that a client sends."""
    match client:
        case HeldBody(size=size) | SentBody(size=size) | Reset(size=size):
            yield HEAD + b"Content-Length: %d\r\n\r\n" % size
            kept = 0 if isinstance(client, SentBody) else 1
            yield from iterate_pieces(b"x", size - kept)
        case HeldRequest(headers=count, header_size=header_size, size=size):
            value = b"x" * header_size
            names = b"".join(b"X-%d: %b\r\n" % (n, value) for n in range(count))
            yield HEAD + names + b"Content-Length: %d\r\n\r\n" % size
            yield from iterate_pieces(b"x", size - 1)
        case ManySteps(steps=count):
            steps = (f'{{"after":[{n}]}}' for n in range(count - 1))
            yield encode_job(",".join(["{}", *steps]))
        case ManyTasks(tasks=count):
            yield encode_job(f'{{"count":{count},"cpu":3000,"estimate_ms":50}}')
        case ManyValues(size=size):
            values = ",".join(["[]"] * (size // 3))
            yield encode_job(f'{{"values":[{values}]}}')
        case HeldFrame(size=size):
            hello = Hello(
                sender=Incarnation(
                    name=ProcessName(
                        data_centre="olten", process=uuid.uuid4().hex[:16]
                    ),
                    token="0" * 15 + "1",
                ),
                started_ms=0,
                host="127.0.0.1",
                port=1,
            )
            yield encode_frame(ANY_RECEIVER_TOKEN, encode_message(hello))
            yield struct.pack(">IQQ", size, 0, 0)
            yield from iterate_pieces(b"x", size - 1)
        case EndlessChunks(chunk=chunk, size=size):
            yield HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
            yield from iterate_pieces(b"%x\r\n%b\r\n" % (chunk, b"x" * chunk), size)
        case EndlessHead(line=line, size=size):
            yield HEAD
            yield from iterate_pieces(b"X-Line: " + b"x" * line + b"\r\n", size)
        case EmptyLines(size=size):
            yield from iterate_pieces(b"\r\n", size)
        case ManyHeaders(count=count):
            yield HEAD + b"".join(b"X-%d: 1\r\n" % n for n in range(count)) + b"\r\n"
        case Malformed(number=number):
            yield b"no such request %d %%s\r\n\r\n" % number
        case Silent():
            return
        case Dripping(interval_s=interval_s, count=count):
            for _ in range(count):
                yield b"G"
                gevent.sleep(interval_s)
        case UnreadAnswers(path=path, count=count):
            request = f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode()
            yield from iterate_pieces(request, count * len(request))


def encode_job(steps: str) -> bytes:
    """Return the request that submits a job; each call has a new id."""
    body = f'{{"spec":"text","best_effort":true,"phases":[{steps}]}}'.encode()
    job_id = uuid.uuid4().hex[:16]
    head = f"POST /jobs/{job_id} HTTP/1.1\r\nHost: desk.example\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def iterate_pieces(unit: bytes, size: int) -> Iterator[bytes]:
    """Yield `size` bytes of a repeated unit in pieces."""
    piece = unit * max(1, PIECE_BYTES // len(unit))
    for position in range(0, size, len(piece)):
        yield piece[: size - position]


@frozen(kw_only=True)
class Outcome:
    """What a client has sent, and what it has received."""

    sent: int
    received: bytes


def send_input(client, sock) -> int:
    """Send a client's input; return how many bytes were sent before an error."""
    sent = 0
    try:
        for piece in iterate_input(client):
            sock.sendall(piece)
            sent += len(piece)
    except OSError:
        pass
    return sent


def run_client(client, address: tuple[str, int]) -> Outcome:
    """Send a client's input, and then read until the server ends the connection."""
    with socket.create_connection(address, timeout=SEND_S) as sock:
        sent = send_input(client, sock)
        if isinstance(client, Reset):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            return Outcome(sent=sent, received=b"")
        received = b""
        try:
            while piece := sock.recv(65_536):
                received += piece
        except OSError:
            pass
        return Outcome(sent=sent, received=received)


def open_clients(client, address: tuple[str, int], count: int) -> list:
    """Connect `count` clients that send at the same time; return their sockets.

    A connection that isn't made or that breaks is left as it is. The clients stay
    connected until their sockets are closed.
    """
    sockets = []

    def connect() -> None:
        sock = socket.socket()
        sock.settimeout(SEND_S)
        sockets.append(sock)
        try:
            sock.connect(address)
        except OSError:
            return
        send_input(client, sock)

    greenlets = [gevent.spawn(connect) for _ in range(count)]
    gevent.joinall(greenlets, timeout=SEND_S)
    gevent.killall(greenlets)
    return sockets
