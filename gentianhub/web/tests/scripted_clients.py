"""Connections without a network: sockets that follow a script."""

import enum
from collections.abc import Iterable, Iterator

from attrs import define, field

from gentianhub.web import ConnectionTable, Request, Response, build_application
from gentianhub.web.server import _BoundedHandler, _NoDelayServer

ADDRESS = ("127.0.0.1", 50_000)
PORT = "callers"


class Ending(enum.Enum):
    """What follows the last piece of a client's input."""

    CLOSE = "close"
    RESET = "reset"
    SILENCE = "silence"


@define(kw_only=True, eq=False)
class ScriptedSocket:
    """Socket whose input is a script; it records what is sent and read."""

    pieces: Iterator[bytes]
    ending: Ending = Ending.CLOSE
    timeout: float | None = None
    sent: bytearray = field(init=False, factory=bytearray)
    taken: int = field(init=False, default=0)
    is_shut_down: bool = field(init=False, default=False)
    _rest: bytes = field(init=False, default=b"")

    def settimeout(self, timeout: float) -> None:
        self.timeout = timeout

    def recv_into(self, buffer) -> int:
        while not self._rest:
            try:
                self._rest = next(self.pieces)
            except StopIteration:
                return self._end()
        size = min(len(buffer), len(self._rest))
        buffer[:size] = self._rest[:size]
        self._rest = self._rest[size:]
        self.taken += size
        return size

    def _end(self) -> int:
        match self.ending:
            case Ending.CLOSE:
                return 0
            case Ending.RESET:
                raise ConnectionResetError
            case Ending.SILENCE:
                raise TimeoutError

    def send(self, data) -> int:
        self.sent += data
        return len(data)

    def sendall(self, data) -> None:
        self.sent += data

    def shutdown(self, how: int) -> None:
        self.is_shut_down = True

    def close(self) -> None:
        self.is_shut_down = True

    def fileno(self) -> int:
        return -1


@define(kw_only=True, eq=False)
class ScriptedServer:
    """Handles connections one after the other; keeps the requests that it got."""

    table: ConnectionTable
    requests: list[Request] = field(init=False, factory=list)
    errors: list = field(init=False, factory=list)

    def _handle(self, request: Request) -> Response:
        self.requests.append(request)
        return Response(status=200, body=b"done")

    def _refuse(self, error) -> Response:
        return Response(status=error.status)

    def serve(self, pieces: Iterable[bytes], ending=Ending.CLOSE) -> ScriptedSocket:
        """Handle a connection until the server closes it."""
        sock = ScriptedSocket(pieces=iter(pieces), ending=ending)
        server = _NoDelayServer(
            ("127.0.0.1", 0),
            build_application(self._handle, self._refuse),
            connections=self.table,
            port=PORT,
            log=None,
        )
        server.environ = {}
        with self.table.admit(sock, ADDRESS[0], PORT) as connection:
            server.admitted[sock] = connection
            handler = _BoundedHandler(sock, ADDRESS, server)
            handler.handle_error = lambda *error: self.errors.append(error)
            handler.handle()
        return sock
