"""Clients that nobody controls, against the process of a host.

No check depends on the speed of the machine: the process lives, its memory and its open
descriptors stay within its settings, and an ordinary request is answered afterwards.
The module runs alone (`tools/tests.py`).
"""

import unittest

import gevent

from gentianhub.host.callers import METRICS_PORT
from gentianhub.host.tests.hostile_clients import (
    Dripping,
    EmptyLines,
    EndlessChunks,
    EndlessHead,
    HeldBody,
    Malformed,
    ManyHeaders,
    Reset,
    SentBody,
    Silent,
    UnreadAnswers,
)
from gentianhub.host.tests.limited_hosts import LimitedHostTest

# What the settings allow the process. A host uses 43 MB and 20 descriptors at rest.
MEMORY_MB = 128
MAX_FDS = 400
# Clients at once: more than `MAX_FDS` for descriptors, and enough for memory.
MANY = 600
LARGE = 300
MIB = 2**20
# Log lines that a flood of clients may cause.
MAX_LINES = 50


class HostileClientsTest(LimitedHostTest):
    """Guards against hosts that end, hang or fall silent because of their clients."""

    limits = {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}

    def test_bodies_whose_last_byte_is_held_back(self):
        self.connect(HeldBody(size=MIB), self.callers, LARGE)
        self.check_host()

    def test_bodies_within_the_limit_whose_last_byte_is_held_back(self):
        self.connect(HeldBody(size=262_144), self.callers, MANY)
        self.check_host()

    def test_chunks_without_an_end(self):
        self.connect(EndlessChunks(chunk=8192, size=MIB), self.callers, LARGE)
        self.check_host()

    def test_small_chunks_without_an_end(self):
        self.connect(EndlessChunks(chunk=2, size=MIB), self.callers, LARGE // 10)
        self.check_host()

    def test_heads_without_an_end(self):
        self.connect(EndlessHead(line=60_000, size=2 * MIB), self.callers, LARGE)
        self.check_host()

    def test_heads_without_an_end_on_the_readiness_port(self):
        self.connect(EndlessHead(line=60_000, size=4 * MIB), self.ready, 100)
        self.check_host()

    def test_bodies_held_back_on_the_metrics_port(self):
        self.connect(HeldBody(size=MIB), METRICS_PORT, LARGE)
        self.check_host()

    def test_silent_connections_of_callers(self):
        self.connect(Silent(), self.callers, MANY)
        self.check_host()

    def test_silent_connections_on_the_readiness_port(self):
        self.connect(Silent(), self.ready, MANY)
        self.check_host()

    def test_silent_connections_on_the_metrics_port(self):
        self.connect(Silent(), METRICS_PORT, MANY)
        self.check_host()

    def test_heads_that_arrive_byte_by_byte(self):
        self.connect(Dripping(interval_s=0.5, count=12), self.callers, MANY)
        self.check_host()

    def test_greetings_that_arrive_byte_by_byte(self):
        self.connect(Dripping(interval_s=0.5, count=12), self.links, MANY)
        self.check_host()

    def test_answers_that_nobody_reads(self):
        self.connect(UnreadAnswers(path="/dump", count=50_000), METRICS_PORT, 100)
        self.check_host()

    def test_a_body_over_the_limit_is_refused_with_an_answer(self):
        """The unread rest of the body had reset the connection, or was all read."""
        outcome = self.run_client(SentBody(size=64 * MIB), self.callers)
        self.assertLess(outcome.sent, 64 * MIB, "all of the body was taken")
        outcome = self.run_client(SentBody(size=2 * MIB), self.callers)
        self.assertEqual(b"HTTP/1.1 413", outcome.received[:12])
        outcome = self.run_client(SentBody(size=300_000), self.callers)
        self.assertEqual(b"HTTP/1.1 413", outcome.received[:12])
        self.check_host()

    def test_empty_lines_are_refused_with_an_answer(self):
        outcome = self.run_client(EmptyLines(size=MIB), self.callers)
        self.assertEqual(b"HTTP/1.1 400", outcome.received[:12])
        self.check_host()

    def test_a_head_over_the_limit_is_refused_with_an_answer(self):
        outcome = self.run_client(EndlessHead(line=900, size=MIB), self.callers)
        self.assertEqual(b"HTTP/1.1 431", outcome.received[:12])
        self.check_host()

    def test_a_flood_of_refusals_is_no_flood_of_lines(self):
        log = self.logs[self.addresses[0]]
        before = log.read_text().count("\n")
        for number in range(500):
            self.run_client(Malformed(number=number), self.callers)
            self.run_client(ManyHeaders(count=200), self.callers)
            self.run_client(Reset(size=5000), self.callers)
        gevent.sleep(0.5)
        lines = log.read_text().count("\n") - before
        self.assertLess(lines, MAX_LINES)
        self.check_host()


if __name__ == "__main__":
    unittest.main()
