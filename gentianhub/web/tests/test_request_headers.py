"""Parsing of request headers, and the packets of a response."""

import unittest
from http.client import HTTPException
from io import BufferedReader, BytesIO
from unittest import mock

from gevent import pywsgi
from gevent import socket as gsocket

from gentianhub.core.request_limits import RequestLimits
from gentianhub.stand_ins.processes import LOOPBACK, find_free_ports
from gentianhub.web import Response, build_application, open_server
from gentianhub.web.connections import RequestRefused
from gentianhub.web.server import PlainHeaders, _BoundedHandler, _ConnectionHandler

HEADER_SECTIONS = (
    b"Host: desk.example\r\nContent-Length: 12\r\nDeadline-Ms: 1500\r\n\r\nbody",
    b"host:desk.example\r\nCONNECTION:  Keep-Alive \t\r\nEmpty:\r\n\r\n",
    b"X: 1\r\nx: 2\r\nContent-Length: 3\r\ncontent-length: 4\r\n\r\n",
    b"Folded: first\r\n second\r\nNext: 1\r\n\r\n",
    b"No colon\r\nNext: 1\r\n\r\n",
    b": no name\r\nNext: 1\r\n\r\n",
    b"Space : before colon\r\nNext: 1\r\n\r\n",
    b"Bare: carriage\rreturn\r\nNext: 1\r\n\r\n",
    b"Only-Line-Feed: 1\nNext: 1\n\n",
    b"Latin: caf\xe9\r\nBad\xe9Name: 1\r\n\r\n",
    b"Under_Score: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"Cut: short\r\n",
    b"",
    b"\r\n",
    b"".join(b"Header-%d: %d\r\n" % (n, n) for n in range(60)) + b"\r\n",
    b"".join(b"Header-%d: %d\r\n" % (n, n) for n in range(120)) + b"\r\n",
    b"Long: " + b"x" * 70_000 + b"\r\n\r\n",
)
NAMES = (
    "host", "Content-Length", "connection", "X", "folded", "next", "Latin",
    "transfer-encoding", "empty",
)  # fmt: skip


def read_environ_headers(handler_class, section: bytes):
    """Return what a handler makes of a header section, or the error's type."""
    handler = handler_class.__new__(handler_class)
    rest = BytesIO(section)
    try:
        handler.headers = headers = handler.MessageClass(rest, 0)
    except Exception as error:  # noqa: BLE001
        return type(error)
    del headers["content-length"]
    deleted = headers.get("content-length")
    values = [headers.get(name, "absent") for name in NAMES]
    return headers.status, deleted, values, list(handler._headers()), rest.read()


class HeadersTest(unittest.TestCase):
    """Guards against headers that mean something else than to gevent's own parser."""

    def test_headers_are_those_of_the_library(self):
        for section in HEADER_SECTIONS:
            with self.subTest(section=section[:60]):
                self.assertEqual(
                    read_environ_headers(pywsgi.WSGIHandler, section),
                    read_environ_headers(_ConnectionHandler, section),
                )

    def test_headers_in_the_buffer_are_those_of_the_library(self):
        """Sections that are complete in the buffer are parsed at once."""
        for section in HEADER_SECTIONS:
            is_complete = b"\r\n\r\n" in section[:8192]
            if not is_complete:
                continue
            with self.subTest(section=section[:60]):
                expected = read_environ_headers(pywsgi.WSGIHandler, section)
                handler = _BoundedHandler.__new__(_BoundedHandler)
                handler.connection = mock.Mock(limits=RequestLimits())
                rest = BufferedReader(BytesIO(section))
                try:
                    handler.headers = headers = handler.MessageClass(rest, 0)
                except RequestRefused:
                    # Two lengths, which the library accepts.
                    self.assertIn(b"content-length: 4", section)
                    continue
                except HTTPException as error:
                    self.assertIs(expected, type(error))
                    continue
                found = list(handler._headers())
                self.assertEqual(expected[3:], (found, rest.read()))
                del headers["content-length"]
                values = [headers.get(name, "absent") for name in NAMES]
                self.assertEqual(expected[2], values)

    def test_first_values_are_those_of_the_library(self):
        """Guards against another choice between two lengths of one body."""
        for section in HEADER_SECTIONS[:3]:
            with self.subTest(section=section[:60]):
                expected = pywsgi.headers_factory(BytesIO(section))
                handler = _ConnectionHandler.__new__(_ConnectionHandler)
                found = handler.MessageClass(BytesIO(section), 0)
                self.assertIsInstance(found, PlainHeaders)
                self.assertEqual(expected.typeheader, found.typeheader)
                for name in NAMES:
                    self.assertEqual(expected.getheader(name), found.getheader(name))


class ResponseTest(unittest.TestCase):
    """Guards against responses whose bytes are sent twice, in parts or not at all."""

    def setUp(self):
        (self.port,) = find_free_ports(1)
        self.application = build_application(
            lambda request: Response(status=200, body=request.body),
            lambda error: Response(status=error.status),
            100_000,
        )

    def _exchange(self, request: bytes, size: int) -> bytes:
        """Return the bytes received, of which `size` follow the first head."""
        with (
            open_server((LOOPBACK, self.port), self.application, 4),
            gsocket.create_connection((LOOPBACK, self.port), timeout=2.0) as sock,
        ):
            sock.sendall(request)
            received = b""
            while len(received.partition(b"\r\n\r\n")[2]) < size:
                received += sock.recv(65_536)
            return received

    def test_head_and_body_are_sent_by_one_call(self):
        calls = []
        original = gsocket.socket.send

        def record(sock, data, *args, **kwargs):
            calls.append(bytes(data))
            return original(sock, data, *args, **kwargs)

        request = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
        with mock.patch.object(gsocket.socket, "send", record):
            received = self._exchange(request, 4)
        self.assertEqual([request, received], calls)
        self.assertTrue(received.endswith(b"\r\n\r\nbody"))

    def test_requests_on_one_connection_are_answered_in_turn(self):
        """Guards against headers of a request that are taken for its body."""
        request = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n"
        first = self._exchange(request + b"01", 2)
        both = self._exchange(request + b"01" + request + b"02", 2 + len(first))
        self.assertEqual([b"01", b"02"], [both[len(first) - 2 :][:2], both[-2:]])
        self.assertEqual(2 * len(first), len(both))

    def test_large_bodies_arrive_complete(self):
        body = b"x" * 90_000
        request = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 90000\r\n\r\n"
        received = self._exchange(request + body, len(body))
        self.assertEqual(body, received.partition(b"\r\n\r\n")[2])
