"""Observation of the peer's end of a server connection."""

import struct
import unittest

import gevent
from gevent import socket

from gentianhub.core import Mailbox
from gentianhub.web import (
    ConnectionEnd,
    ConnectionWatches,
    Request,
    Response,
    build_application,
    open_server,
)

# Time for an event of a socket on loopback to be handled, s.
NOTICE_S = 0.5


class ConnectionWatchesTest(unittest.TestCase):
    """Guards against jobs of callers that have left and that nobody withdraws."""

    def setUp(self):
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            self.peer = socket.create_connection(listener.getsockname())
            self.connection, _ = listener.accept()
        self.addCleanup(self.peer.close)
        self.addCleanup(self.connection.close)
        self.watches = ConnectionWatches()
        self.reports = 0
        self.end: ConnectionEnd | None = None

    def count_report(self, end: ConnectionEnd) -> bool:
        self.reports += 1
        self.end = end
        return True

    def wait_for_report(self) -> None:
        with gevent.Timeout(NOTICE_S, False):
            while not self.reports:
                gevent.sleep(0.005)

    def test_a_close_is_reported_once(self):
        with self.watches.watch(self.connection, self.count_report):
            self.peer.close()
            gevent.sleep(NOTICE_S)
        self.assertEqual(1, self.reports)
        self.assertEqual(ConnectionEnd.CLOSED, self.end)

    def test_a_close_after_another_request_is_reported(self):
        """The bytes of the next request had ended the observation."""
        with self.watches.watch(self.connection, self.count_report):
            self.peer.sendall(b"GET / HTTP/1.1\r\n")
            gevent.sleep(0.02)
            self.assertEqual(0, self.reports)
            self.peer.close()
            self.wait_for_report()
        self.assertEqual(1, self.reports)

    def test_a_reset_after_another_request_is_reported(self):
        with self.watches.watch(self.connection, self.count_report):
            self.peer.sendall(b"GET / HTTP/1.1\r\n")
            gevent.sleep(0.02)
            linger = struct.pack("ii", 1, 0)
            self.peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            self.peer.close()
            self.wait_for_report()
        self.assertEqual(1, self.reports)
        self.assertEqual(ConnectionEnd.RESET, self.end)

    def test_a_request_and_a_close_that_arrive_together_are_a_close(self):
        """A process that was frozen reads both at once."""
        self.peer.sendall(b"GET / HTTP/1.1\r\n")
        self.peer.close()
        with self.watches.watch(self.connection, self.count_report):
            self.wait_for_report()
        self.assertEqual(1, self.reports)

    def test_an_open_connection_is_not_reported(self):
        with self.watches.watch(self.connection, self.count_report):
            self.peer.sendall(b"GET / HTTP/1.1\r\n")
            gevent.sleep(NOTICE_S)
        self.peer.close()
        gevent.sleep(0.02)
        self.assertEqual(0, self.reports)

    def test_an_end_is_reported_to_who_asks_before_the_event_loop_comes_to_it(self):
        """A job was confirmed after its caller had left and before that was read."""
        with self.watches.watch(self.connection, self.count_report):
            self.peer._sock.close()
            self.assertTrue(self.watches.report_ended())
            self.assertEqual(1, self.reports)
            gevent.sleep(0.02)
            self.assertTrue(self.watches.report_ended())
        self.assertEqual(1, self.reports)

    def test_an_end_behind_unread_bytes_is_reported_to_who_asks(self):
        with self.watches.watch(self.connection, self.count_report):
            self.peer.sendall(b"GET / HTTP/1.1\r\n")
            gevent.sleep(0.02)
            self.peer.close()
            self.watches.report_ended()
            self.assertEqual(1, self.reports)

    def test_a_report_that_is_not_taken_is_told(self):
        """A message behind it would pass the departure, which is still to come."""
        with self.watches.watch(self.connection, lambda end: False):
            self.assertTrue(self.watches.report_ended())
            self.peer._sock.close()
            self.assertFalse(self.watches.report_ended())
            self.assertFalse(self.watches.report_ended())
        self.assertTrue(self.watches.report_ended())


class TestSilentPeers(unittest.TestCase):
    """Guards against jobs that are kept for a caller whose connection is cut off.

    No reset reaches the server then, and the job stayed open until its deadline.
    """

    def test_a_connection_without_a_sign_of_its_peer_ends_within_seconds(self):
        options = Mailbox(limit=1)

        def handle(request: Request) -> Response:
            connection = request.connection
            values = [
                connection.getsockopt(level, name)
                for level, name in (
                    (socket.SOL_SOCKET, socket.SO_KEEPALIVE),
                    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE),
                    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL),
                    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT),
                )
            ]
            options.put(values)
            return Response(status=200)

        application = build_application(handle, lambda error: Response(status=400), 1)
        with open_server(("127.0.0.1", 0), application, 1) as server:
            caller = socket.create_connection(("127.0.0.1", server.server_port))
            self.addCleanup(caller.close)
            caller.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            is_enabled, idle_s, interval_s, count = options.get(NOTICE_S)
        self.assertTrue(is_enabled)
        self.assertLessEqual(idle_s + interval_s * count, 3)
        self.assertGreater(count, 1, "one lost packet would end a live connection")


if __name__ == "__main__":
    unittest.main()
