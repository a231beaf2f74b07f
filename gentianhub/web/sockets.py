"""Socket pool that records whether any byte of a request may have been sent."""

import select
import socket
from collections.abc import Callable

import gevent.socket
from geventhttpclient.connectionpool import ConnectionPool


class _SendTrackingSocket(gevent.socket.socket):
    """Socket that calls `on_send` before any byte of a write is sent."""

    def __init__(self, *args, on_send: Callable[[], None]):
        super().__init__(*args)
        self._on_send = on_send
        self._is_answer_awaited = False

    def send(self, *args, **kwargs):
        """Call `on_send`, then send; `sendall` calls this method as well."""
        self._on_send()
        self._is_answer_awaited = True
        return super().send(*args, **kwargs)

    def recv(self, *args):
        """Receive; wait first if a request has just been sent.

        Its answer is not there yet, so an attempt to read is a needless system call.
        """
        if self._is_answer_awaited:
            self._is_answer_awaited = False
            self._wait(self._read_event)
        return super().recv(*args)


class SendTrackingPool(ConnectionPool):
    """Connection pool of a single socket, which one greenlet uses.

    `may_have_sent` is set before the first byte of a request is sent, over any
    socket of the pool, and stays set until it is cleared by the user of the pool.
    `is_checked` is set by the user if it has just taken the socket and put it back; the
    next request does not check again whether it is open.
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
        self.host, self.port = host, port
        self.may_have_sent = False
        self.is_checked = False
        self._idle: gevent.socket.socket | None = None

    def get_socket(self) -> gevent.socket.socket:
        """Return the idle socket if it is still open, or else a connected one."""
        if self._closed:
            raise RuntimeError("connection pool closed")
        sock, self._idle = self._idle, None
        if sock is not None:
            if self._is_socket_alive(sock):
                return sock
            sock.close()
        return self._create_socket()

    def return_socket(self, sock: gevent.socket.socket) -> None:
        """Keep a socket for the next request."""
        if self._closed or self._idle is not None:
            sock.close()
        else:
            self._idle = sock

    def release_socket(self, sock: gevent.socket.socket) -> None:
        """Close a socket that cannot be used again."""
        sock.close()

    def close(self) -> None:
        """Close the idle socket; the others are closed when they are returned."""
        self._closed = True
        sock, self._idle = self._idle, None
        if sock is not None:
            sock.close()

    def _record_send(self) -> None:
        self.may_have_sent = True

    def _create_tcp_socket(self, family, socktype, protocol):
        return _SendTrackingSocket(
            family, socktype, protocol, on_send=self._record_send
        )

    def after_connect(self, sock) -> None:
        """Disable Nagle's algorithm, which delays small requests by 40 ms."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def _is_socket_alive(self, sock) -> bool:
        """Return whether an idle connection is open and has no unread data.

        The library uses select(), which does not support descriptors above 1023, so
        a process with many peers would open a new connection for every request.
        """
        if sock is None or sock.fileno() < 0:
            return False
        if self.is_checked:
            self.is_checked = False
            return True
        poller = select.poll()
        poller.register(sock.fileno(), select.POLLIN | select.POLLRDHUP)
        return not poller.poll(0)
