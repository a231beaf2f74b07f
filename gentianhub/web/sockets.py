"""Sockets to one peer, which tell whether any byte of a request was sent."""

import select
import socket
from collections.abc import Callable

import gevent.socket
from geventhttpclient.connectionpool import ConnectionPool


class _ReportingSocket(gevent.socket.socket):
    """Socket that reports each write before its first byte is sent."""

    def __init__(self, *args, report_send: Callable[[], None]):
        super().__init__(*args)
        self._report_send = report_send

    def sendall(self, *args):
        """Report, then send."""
        self._report_send()
        return super().sendall(*args)


class PeerSockets(ConnectionPool):
    """The one socket that a connection uses at a time.

    `has_sent` is true once a byte may have been sent since it was last cleared,
    over whichever socket.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        connect_timeout_s: float,
        reply_timeout_s: float | None,
    ):
        super().__init__(
            host,
            port,
            host,
            port,
            size=1,
            connection_timeout=connect_timeout_s,
            network_timeout=reply_timeout_s,
        )
        self.has_sent = False

    def _mark_sent(self) -> None:
        self.has_sent = True

    def _create_tcp_socket(self, family, socktype, protocol):
        return _ReportingSocket(family, socktype, protocol, report_send=self._mark_sent)

    def after_connect(self, sock) -> None:
        """Send small requests at once; Nagle's algorithm delays them by 40 ms."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def _is_socket_alive(self, sock) -> bool:
        """Return whether an idle connection is open and silent.

        The library asks with select(), which takes no descriptor over 1023 and so
        would open a new connection for every request of a process with many peers.
        """
        if sock is None or sock.fileno() < 0:
            return False
        poller = select.poll()
        poller.register(sock.fileno(), select.POLLIN | select.POLLRDHUP)
        return not poller.poll(0)
