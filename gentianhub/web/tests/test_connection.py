"""Reuse of an HTTP connection after a failed exchange."""

import errno
import select
import unittest
from contextlib import contextmanager
from unittest import mock

import gevent
from gevent.server import StreamServer
from geventhttpclient import HTTPClient

from gentianhub.stand_ins.processes import LOOPBACK, find_free_ports
from gentianhub.web import (
    HTTP_ERRORS,
    Response,
    build_application,
    open_connection,
    open_server,
)
from gentianhub.web.sockets import _SendTrackingSocket

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class ConnectionTest(unittest.TestCase):
    """Guards against a connection that stays closed after its first failed request."""

    def test_request_succeeds_after_a_reset(self):
        (port,) = find_free_ports(1)
        application = build_application(
            lambda request: Response(status=200, body=request.body),
            lambda error: Response(status=error.status),
            100,
        )
        with open_connection(LOOPBACK, port, 1.0, 1.0) as connection:
            with self.assertRaises(HTTP_ERRORS):
                connection.request("POST", "/", b"lost")
            connection.reset()
            with open_server((LOOPBACK, port), application, 4):
                response = connection.request("POST", "/", b"found")
                self.assertEqual(bytes(response.read()), b"found")

    def test_an_open_connection_is_checked_once_for_a_request(self):
        """Guards against a needless system call for each start of a run."""
        (port,) = find_free_ports(1)
        application = build_application(
            lambda request: Response(status=200, body=request.body),
            lambda error: Response(status=error.status),
            100,
        )
        with (
            open_server((LOOPBACK, port), application, 4),
            open_connection(LOOPBACK, port, 1.0, 1.0) as connection,
        ):
            connection.request("POST", "/", b"first").read()
            with mock.patch.object(select, "poll", side_effect=select.poll) as poll:
                connection.connect()
                response = connection.request("POST", "/", b"second")
                self.assertEqual(bytes(response.read()), b"second")
                self.assertEqual(1, poll.call_count)
                connection.request("POST", "/", b"third").read()
                self.assertEqual(2, poll.call_count)


class PostTest(unittest.TestCase):
    """Guards against requests that differ from the library's or are sent twice."""

    def setUp(self):
        (self.port,) = find_free_ports(1)
        self.received: list[bytes] = []
        self.answers: list[bytes] = []

    def _serve(self, sock, _) -> None:
        """Record what arrives in each connection, and send the next answer."""
        while chunk := sock.recv(65_536):
            self.received.append(chunk)
            if not self.answers:
                return
            sock.sendall(self.answers.pop(0))

    @contextmanager
    def _open_server(self):
        server = StreamServer((LOOPBACK, self.port), self._serve)
        server.start()
        try:
            yield
        finally:
            server.stop(timeout=0)

    def test_a_request_has_the_bytes_of_the_library(self):
        cases = (
            ("/api/hold", b"{}", {"Content-Type": "application/json", "X": "1"}),
            ("/api/hold", b"{}" * 900, {"Content-Type": "application/json", "X": "1"}),
            ("/api/hold", b"{}", {"Content-Type": "application/json", "X": "2"}),
            ("/", b"", {}),
        ) + tuple((f"/{number}", b"x", {}) for number in range(20))
        self.answers = [ANSWER] * (2 * len(cases))
        with (
            self._open_server(),
            open_connection(LOOPBACK, self.port, 1.0, 1.0) as connection,
        ):
            for path, body, headers in cases:
                connection.request("POST", path, body, headers).read()
                library = HTTPClient(LOOPBACK, self.port)
                library.request("POST", path, body, headers).read()
                library.close()
        self.assertEqual(2 * len(cases), len(self.received))
        self.assertEqual(self.received[::2], self.received[1::2])

    def test_a_header_with_a_line_break_is_rejected(self):
        with (
            self._open_server(),
            open_connection(LOOPBACK, self.port, 1.0, 1.0) as connection,
            self.assertRaises(ValueError),
        ):
            connection.request("POST", "/", b"", {"X": "1\r\nY: 2"})
        self.assertEqual([], self.received)

    def test_a_request_that_may_have_run_is_not_repeated(self):
        self.answers = [ANSWER]
        with (
            self._open_server(),
            open_connection(LOOPBACK, self.port, 1.0, 1.0) as connection,
        ):
            connection.request("POST", "/", b"answered").read()
            connection.connect()
            with self.assertRaises(HTTP_ERRORS):
                connection.request("POST", "/", b"not answered")
            self.assertTrue(connection.may_have_sent)
        self.assertEqual(2, len(self.received))

    def test_the_answer_of_a_peer_that_closes_early_is_read(self):
        self.answers = [ANSWER.replace(b"200 OK", b"413 Too Large")]
        with (
            self._open_server(),
            open_connection(LOOPBACK, self.port, 1.0, 1.0) as connection,
        ):
            connection.connect()
            reset = ConnectionResetError(errno.ECONNRESET, "reset")
            sent = _SendTrackingSocket.send

            def send_and_fail(sock, data):
                sent(sock, data)
                raise reset

            with mock.patch.object(_SendTrackingSocket, "send", send_and_fail):
                response = connection.request("POST", "/", b"too large")
            self.assertEqual(413, response.status_code)
        self.assertEqual(1, len(self.received))

    def test_answers_that_are_large_late_or_missing_are_told_apart(self):
        """Guards against a read that waits although the answer has arrived."""
        body = b"x" * 300_000
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        self.answers = [head + body, ANSWER]
        with (
            self._open_server(),
            open_connection(LOOPBACK, self.port, 1.0, 0.2) as connection,
        ):
            response = connection.request("POST", "/", b"large")
            gevent.sleep(0.05)
            self.assertEqual(body, bytes(response.read()))
            with mock.patch.object(self, "answers", [b"HTTP/1.1 "]):
                with self.assertRaises(TimeoutError):
                    connection.request("POST", "/", b"missing")
            connection.reset()
            response = connection.request("POST", "/", b"again")
            self.assertEqual(b"ok", bytes(response.read()))
