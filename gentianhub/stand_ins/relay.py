"""TCP relay that injects network faults between processes."""

from collections.abc import Iterator
from contextlib import contextmanager
from random import Random

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from gentianhub.core.records import define, field, frozen

CHUNK_BYTES = 65536
LOOPBACK = "127.0.0.1"


@frozen(kw_only=True)
class Forwarding:
    """Bytes are forwarded in both directions."""


@frozen(kw_only=True)
class Cut:
    """Open connections are closed and new ones are refused."""


@frozen(kw_only=True)
class Stalled:
    """Bytes are held back until the link is restored, as if packets were lost."""


@frozen(kw_only=True)
class Delayed:
    """Each chunk of bytes is delayed by `delay_s` seconds."""

    delay_s: float


@frozen(kw_only=True)
class OneWay:
    """Bytes are forwarded to the target only; its answers are dropped."""


@define(kw_only=True, eq=False)
class Relay:
    """Forwards connections to `target_port` of `target_host`.

    `link` is the current state of the link. The end of a connection that the client
    or the relay closes reaches the target after a random delay from the range
    `departure_delay_s`.
    """

    port: int
    target_port: int
    target_host: str = LOOPBACK
    link: Forwarding | Cut | Stalled | Delayed | OneWay = field(factory=Forwarding)
    departure_delay_s: tuple[float, float] = (0.0, 0.0)
    random: Random = field(factory=Random)
    _forwarding: Event = field(init=False, factory=Event)
    _open_sockets: set[socket.socket] = field(init=False, factory=set)

    def __attrs_post_init__(self):
        self._forwarding.set()

    def stall_link(self) -> None:
        """Hold back all bytes; connections stay open and new ones are not answered."""
        self.link = Stalled()
        self._forwarding.clear()

    def cut_link(self) -> None:
        """Close every connection and refuse new ones."""
        self.link = Cut()
        for sock in self._open_sockets:
            _close(sock)

    def reset_connections(self) -> None:
        """Close every open connection; new ones are accepted."""
        for sock in self._open_sockets:
            _close(sock)

    def change_link(self, link: Delayed | OneWay) -> None:
        """Delay or drop bytes, on open connections too."""
        self.link = link
        self._forwarding.set()

    def restore_link(self) -> None:
        """Forward bytes and accept connections again."""
        self.link = Forwarding()
        self._forwarding.set()

    def handle(self, client: socket.socket, _address) -> None:
        """Forward one connection until either side closes it."""
        match self.link:
            case Cut():
                client.close()
            case Forwarding() | Stalled() | Delayed() | OneWay():
                self._forwarding.wait()
                self._relay(client)

    def _relay(self, client: socket.socket) -> None:
        try:
            address = (self.target_host, self.target_port)
            upstream = socket.create_connection(address, timeout=5)
        except OSError:
            client.close()
            return
        upstream.settimeout(None)
        for sock in (client, upstream):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        delay_s = self.random.uniform(*self.departure_delay_s)
        sockets = {client} if delay_s else {client, upstream}
        self._open_sockets |= sockets
        try:
            copies = [
                gevent.spawn(self._copy, client, upstream, is_response=False),
                gevent.spawn(self._copy, upstream, client, is_response=True),
            ]
            gevent.joinall(copies, count=1)
            gevent.killall(copies)
        finally:
            self._open_sockets -= sockets
            client.close()
            if delay_s:
                gevent.sleep(delay_s)
            upstream.close()

    def _copy(
        self, source: socket.socket, destination: socket.socket, is_response: bool
    ) -> None:
        try:
            while chunk := source.recv(CHUNK_BYTES):
                self._forwarding.wait()
                match self.link:
                    case Delayed(delay_s=delay_s):
                        gevent.sleep(delay_s)
                    case OneWay() if is_response:
                        continue
                destination.sendall(chunk)
        except OSError:
            return


def _close(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return


@contextmanager
def open_relay(
    port: int,
    target_port: int,
    target_host: str = LOOPBACK,
    departure_delay_s: tuple[float, float] = (0.0, 0.0),
) -> Iterator[Relay]:
    """Run a relay on a loopback port."""
    relay = Relay(
        port=port,
        target_port=target_port,
        target_host=target_host,
        departure_delay_s=departure_delay_s,
    )
    server = StreamServer((LOOPBACK, port), relay.handle)
    server.start()
    try:
        yield relay
    finally:
        server.stop(timeout=1)
