"""The reading of requests without a network, also of generated ones."""

import itertools
import re
import tracemalloc
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from gentianhub.core.request_limits import RequestLimits
from gentianhub.web import ConnectionTable, Response
from gentianhub.web.bodies import MAX_CHUNKS
from gentianhub.web.connections import CONNECTION_BYTES
from gentianhub.web.request_reader import MAX_EMPTY_LINES, MAX_REQUEST_LINE
from gentianhub.web.tests.scripted_clients import Ending, ScriptedServer

LIMITS = RequestLimits(max_header_bytes=2000, max_body_bytes=5000)
LINGER_BYTES = 20_000
BUDGET_BYTES = CONNECTION_BYTES + 60_000
# Input that may be read of one request, with what is dropped after a refusal: the
# buffer, the line, the headers, and a body in the smallest chunks with extensions.
MAX_TAKEN = 8192 + MAX_REQUEST_LINE + 2 * 2000 + 5000 * 6 + LINGER_BYTES + 65_536
HEAD = b"POST /jobs/1 HTTP/1.1\r\nHost: a\r\n"
ANSWER_PATTERN = re.compile(rb"HTTP/1\.1 ([1-5][0-9][0-9]) ")
FRAGMENTS = (
    b"GET / HTTP/1.1\r\n", b"POST /jobs/1 HTTP/1.1\r\n", b"GET /\r\n", b"\r\n", b"\n",
    b"Host: a\r\n", b"Content-Length: 5\r\n", b"Content-Length: -1\r\n",
    b"Content-Length: +5\r\n", b"Content-Length: 99999999999999999999\r\n",
    b"Content-Length: 4999\r\n", b"Content-Length: 5001\r\n", b"Content-Length: \r\n",
    b"Transfer-Encoding: chunked\r\n", b"Transfer-Encoding: gzip, chunked\r\n",
    b"Expect: 100-continue\r\n", b"Connection: close\r\n", b"Connection: Upgrade\r\n",
    b"Upgrade: websocket\r\n", b" folded\r\n", b"No colon\r\n", b": no name\r\n",
    b"5\r\nhello\r\n", b"0\r\n\r\n", b"0\r\n", b"fffffffffffffff\r\n", b"5;a=b\r\n",
    b"Trailer: x\r\n\r\n", b"hello", b"x" * 900, b"\x00\xff", b"%s%n",
)  # fmt: skip
# Starts of valid requests, so that what follows their heads is generated too.
STARTS = (
    b"",
    HEAD,
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
    HEAD + b"Content-Length: 5\r\n\r\n",
    HEAD + b"Content-Length: 4000\r\nExpect: 100-continue\r\n\r\n",
)


def build_table() -> ConnectionTable:
    return ConnectionTable(max_bytes=BUDGET_BYTES, read_limits=lambda: LIMITS)


class FuzzTest(unittest.TestCase):
    """Guards against input that ends a greenlet, hangs it or is kept without a bound.

    The examples are the same in each run.
    """

    def setUp(self):
        # The reader drops less after a refusal, and logs nothing here.
        for name, value in (
            ("bounded_requests.LINGER_BYTES", LINGER_BYTES),
            ("connections.logger", mock.Mock()),
        ):
            patch = mock.patch(f"gentianhub.web.{name}", value)
            patch.start()
            self.addCleanup(patch.stop)

    def check(self, pieces, ending: Ending) -> None:
        """The outcome is whole requests, a refusal or a closed connection."""
        table = build_table()
        server = ScriptedServer(table=table)
        peaks = []
        original = ConnectionTable.reserve

        def reserve(table, connection, size):
            is_reserved = original(table, connection, size)
            if is_reserved:
                peaks.append(table.held_bytes)
            return is_reserved

        with mock.patch.object(ConnectionTable, "reserve", reserve):
            sock = server.serve(pieces, ending)
        self.assertEqual([], server.errors)
        self.assertTrue(sock.is_shut_down)
        self.assertEqual(0, table.held_bytes, "bytes of a closed connection")
        self.assertLessEqual(max(peaks, default=0), BUDGET_BYTES)
        for request in server.requests:
            self.assertLessEqual(len(request.body), LIMITS.max_body_bytes)
        statuses = ANSWER_PATTERN.findall(sock.sent)
        served = [status for status in statuses if status == b"200"]
        refused = [status for status in statuses if status not in (b"200", b"100")]
        self.assertEqual(len(server.requests), len(served))
        self.assertLessEqual(len(refused), 1)

    @settings(max_examples=1500, derandomize=True, database=None, deadline=None)
    @given(
        start=st.sampled_from(STARTS),
        fragments=st.lists(
            st.one_of(st.sampled_from(FRAGMENTS), st.binary(max_size=40)), max_size=25
        ),
        size=st.integers(min_value=1, max_value=3000),
        ending=st.sampled_from(Ending),
    )
    def test_any_input_is_served_refused_or_closed(
        self, start, fragments, size, ending
    ):
        content = start + b"".join(fragments)
        pieces = [content[n : n + size] for n in range(0, len(content), size)]
        self.check(pieces, ending)

    @settings(max_examples=200, derandomize=True, database=None, deadline=None)
    @given(
        fragments=st.lists(st.sampled_from(FRAGMENTS), max_size=6),
        repeated=st.lists(
            st.one_of(st.sampled_from(FRAGMENTS), st.binary(min_size=1, max_size=20)),
            min_size=1,
            max_size=3,
        ),
    )
    def test_input_without_an_end_is_not_all_read(self, fragments, repeated):
        """Whole requests may go on; anything else ends within the limits."""
        piece = b"".join(repeated)
        piece *= 1 + 2000 // len(piece)
        table = build_table()
        server = ScriptedServer(table=table)
        most = 300
        endless = itertools.chain([b"".join(fragments)], itertools.repeat(piece, most))
        sock = server.serve(endless)
        if not server.requests:
            self.assertLessEqual(sock.taken, MAX_TAKEN)
        self.assertEqual([], server.errors)
        self.assertEqual(0, table.held_bytes)

    def test_memory_stays_below_a_bound(self):
        endings = (
            b"X: " + b"x" * 5000,
            b"X: 1\r\n" * 1000,
            b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 1000,
            b"Transfer-Encoding: chunked\r\n\r\n5;" + b"x" * 5000,
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n" + b"T: 1\r\n" * 1000,
            b"Content-Length: 999999999999999\r\n\r\n" + b"x" * 5000,
        )
        for start in endings:
            with self.subTest(start[:40]):
                server = ScriptedServer(table=build_table())
                server.serve([HEAD])
                tail = start[len(start) // 2 :]
                tracemalloc.start()
                server.serve(itertools.chain([HEAD, start], itertools.repeat(tail, 9)))
                _, peak = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                self.assertLess(peak, 2 * BUDGET_BYTES)


class ReplacementTest(unittest.TestCase):
    """Guards against a replaced connection that gets no answer, or goes on."""

    def test_a_replaced_connection_says_that_its_answer_is_the_last(self):
        table = build_table()
        server = ScriptedServer(table=table)

        def handle(request):
            next(iter(table._connections)).closes_after_answer = True
            return Response(status=200, body=b"done")

        with mock.patch.object(ScriptedServer, "_handle", lambda _, r: handle(r)):
            sock = server.serve([HEAD + b"\r\n", HEAD + b"\r\n"])
        self.assertEqual([b"200"], ANSWER_PATTERN.findall(bytes(sock.sent)))
        self.assertIn(b"\r\nConnection: close\r\n", sock.sent)


class RefusalTest(unittest.TestCase):
    """Guards against another answer to input at a limit or just beyond it."""

    def setUp(self):
        patch = mock.patch("gentianhub.web.connections.logger")
        patch.start()
        self.addCleanup(patch.stop)

    def answer(self, content: bytes, ending: Ending = Ending.SILENCE) -> list[bytes]:
        server = ScriptedServer(table=build_table())
        return ANSWER_PATTERN.findall(server.serve([content], ending).sent)

    def test_heads(self):
        end = b"\r\n\r\n"
        full = b"X: " + b"x" * (2000 - len(b"Host: a\r\nX: \r\n\r\n"))
        cases = (
            (HEAD + full + end, b"200"),
            (HEAD + full + b"x" + end, b"431"),
            (HEAD + b"".join(b"X-%d: 1\r\n" % n for n in range(120)) + b"\r\n", b"431"),
            (HEAD + b"x\n" * 900, b"431"),
            (b"\r\n" * MAX_EMPTY_LINES + HEAD + b"\r\n", b"200"),
            (b"\r\n" * (MAX_EMPTY_LINES + 1) + HEAD + b"\r\n", b"400"),
            (b"GET /" + b"x" * MAX_REQUEST_LINE + b" HTTP/1.1\r\n", b"414"),
            (HEAD, b"408"),
            (b"G", b"408"),
            (b"no request\r\n\r\n", b"400"),
        )
        for content, status in cases:
            with self.subTest(content[:50]):
                self.assertEqual([status], self.answer(content))
        self.assertEqual([], self.answer(b""), "an idle connection is only closed")

    def test_bodies(self):
        chunked = b"Transfer-Encoding: chunked\r\n\r\n"
        full = b"%x\r\n%b\r\n" % (5000, b"x" * 5000)
        end = b"0\r\n\r\n"
        cases = (
            (b"Content-Length: 5000\r\n\r\n" + b"x" * 5000, b"200"),
            (b"Content-Length: 5001\r\n\r\n" + b"x" * 5001, b"413"),
            (b"Content-Length: 5000\r\n\r\n" + b"x" * 4999, b"408"),
            (b"Content-Length: 1\r\nContent-Length: 1\r\n\r\nx", b"400"),
            (b"Content-Length: 1\r\n" + chunked + end, b"400"),
            (b"Content-Length: 1_0\r\n\r\n" + b"x" * 10, b"400"),
            (b"Transfer-Encoding: gzip\r\n\r\n", b"400"),
            (chunked + full + end, b"200"),
            (chunked + full + b"1\r\nx\r\n" + end, b"413"),
            (chunked + b"1;a=b\r\nx\r\n0\r\nTrailer: 1\r\n\r\n", b"200"),
            (chunked + b"1\r\nx\r\n" * 5000 + end, b"200"),
            (chunked + b"1;" + b"x" * 3000 + b"\r\n", b"400"),
            (chunked + b"0\r\n" + b"Trailer: 1\r\n" * 300 + b"\r\n", b"400"),
            (chunked + b"1\r\nxx\r\n", b"400"),
            (chunked + b"-1\r\n", b"400"),
            (chunked + b"\r\n", b"400"),
        )
        for content, status in cases:
            with self.subTest(content[:60]):
                self.assertEqual([status], self.answer(HEAD + content))

    def test_a_body_of_too_many_chunks_is_refused(self):
        """Chunks of a byte or two kept a host from answering anyone else."""
        limits = RequestLimits(max_body_bytes=100_000)
        table = ConnectionTable(read_limits=lambda: limits)
        chunks = b"1\r\nx\r\n" * (MAX_CHUNKS + 1)
        server = ScriptedServer(table=table)
        head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        sock = server.serve([head, chunks, b"0\r\n\r\n"])
        self.assertEqual([b"400"], ANSWER_PATTERN.findall(sock.sent))

    def test_expectations_are_answered_only_for_bodies_within_the_limit(self):
        head = HEAD + b"Expect: 100-continue\r\n"
        small = head + b"Content-Length: 2\r\n\r\nok"
        large = head + b"Content-Length: 9999\r\n\r\n"
        self.assertEqual([b"100", b"200"], self.answer(small))
        self.assertEqual([b"413"], self.answer(large))

    def test_a_second_request_before_the_first_is_answered_gets_its_turn(self):
        request = HEAD + b"Content-Length: 2\r\n\r\nok"
        self.assertEqual([b"200"] * 3, self.answer(request * 3))


if __name__ == "__main__":
    unittest.main()
