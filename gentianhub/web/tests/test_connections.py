"""Whose requests end when the memory or the connections of a process are used up."""

import unittest
from collections import Counter
from contextlib import ExitStack
from unittest import mock

from gevent import socket

from gentianhub.web import ConnectionTable
from gentianhub.web.connections import (
    CONNECTION_BYTES,
    LOG_INTERVAL_S,
    ORDINARY_BYTES,
    ClientConnection,
    Phase,
    RequestRefused,
)

PORT = "callers"
READY = "readiness"
LARGE = 4 * ORDINARY_BYTES


class ConnectionTableTest(unittest.TestCase):
    """Guards against ordinary requests that end for those of a client with more."""

    def setUp(self):
        self.stack = self.enterContext(ExitStack())
        self.enterContext(mock.patch("gentianhub.web.connections.logger"))

    def build_table(self, connections: int, **options) -> ConnectionTable:
        """Return a table for connections without input and two large requests."""
        share = LARGE * 8 // 3
        return ConnectionTable(
            max_bytes=connections * CONNECTION_BYTES + share, **options
        )

    def admit(self, table, address="192.0.2.1", port=PORT) -> ClientConnection | None:
        ours, theirs = socket.socketpair()
        self.stack.enter_context(ours)
        self.stack.enter_context(theirs)
        return self.stack.enter_context(table.admit(ours, address, port))

    def test_the_largest_request_ends_for_a_smaller_one(self):
        table = self.build_table(8)
        large = [self.admit(table) for _ in range(2)]
        large[0].receive(LARGE)
        large[1].receive(LARGE + 1)
        small = self.admit(table)
        small.receive(ORDINARY_BYTES)
        self.assertFalse(small.is_evicted)
        third = self.admit(table)
        third.receive(LARGE)
        self.assertEqual([False, True], [c.is_evicted for c in large])
        with self.assertRaises(RequestRefused):
            large[1].receive(1)

    def test_a_request_that_would_be_the_largest_is_refused(self):
        table = self.build_table(2)
        first, second = self.admit(table), self.admit(table)
        first.receive(LARGE)
        with self.assertRaises(RequestRefused):
            second.receive(2 * LARGE)
        self.assertFalse(first.is_evicted)

    def test_the_address_that_holds_most_loses_first(self):
        table = self.build_table(8)
        other = self.admit(table, "192.0.2.2")
        other.receive(LARGE // 2)
        many = [self.admit(table) for _ in range(6)]
        for connection in many[:-1]:
            connection.receive(LARGE // 3)
        with self.assertRaises(RequestRefused):
            many[-1].receive(LARGE // 2)
        self.assertFalse(other.is_evicted)

    def test_a_request_that_is_being_handled_is_never_ended(self):
        """Its job may run; a second run of it would follow."""
        table = self.build_table(3)
        handled = [self.admit(table) for _ in range(2)]
        for connection in handled:
            connection.receive(LARGE)
            connection.phase = Phase.ANSWERING
        newcomer = self.admit(table)
        with self.assertRaises(RequestRefused):
            newcomer.receive(LARGE)
        self.assertEqual([False, False], [c.is_evicted for c in handled])

    def test_large_requests_leave_room_for_ordinary_ones(self):
        table = self.build_table(3)
        for _ in range(2):
            connection = self.admit(table)
            connection.receive(LARGE)
            connection.phase = Phase.ANSWERING
        self.admit(table).receive(ORDINARY_BYTES)

    def test_bytes_of_an_ended_request_are_counted_until_they_are_dropped(self):
        """What its owner has yet to drop was given to others a second time."""
        table = self.build_table(4)
        ended = self.admit(table)
        ended.receive(2 * LARGE)
        self.admit(table).receive(LARGE // 2)
        self.assertTrue(ended.is_evicted)
        self.assertEqual(2 * LARGE, table.ending_bytes)
        held_bytes = table.held_bytes
        table.release(ended)
        self.assertEqual(0, table.ending_bytes)
        self.assertEqual(held_bytes - 2 * LARGE, table.held_bytes)

    def fill_with_handled_request(self, table) -> list[ClientConnection]:
        """Fill a table for four connections; return two that have no request."""
        idle = [self.admit(table) for _ in range(2)]
        handled = self.admit(table)
        table.reserve(handled, table.max_bytes - table.held_bytes - CONNECTION_BYTES)
        handled.phase = Phase.ANSWERING
        return idle

    def test_idle_connections_end_for_an_ordinary_request(self):
        """Ordinary requests were refused while others had none."""
        table = self.build_table(4)
        idle = self.fill_with_handled_request(table)
        self.admit(table).receive(ORDINARY_BYTES)
        self.assertEqual([True, False], [c.is_evicted for c in idle])

    def test_idle_connections_do_not_end_for_a_large_request(self):
        table = self.build_table(4)
        idle = self.fill_with_handled_request(table)
        with self.assertRaises(RequestRefused):
            self.admit(table).receive(LARGE)
        self.assertEqual([False, False], [c.is_evicted for c in idle])

    def test_connections_without_input_leave_room_for_requests(self):
        """Connections alone filled the memory, and each request was refused."""
        table = ConnectionTable(max_bytes=8 * CONNECTION_BYTES)
        silent = [self.admit(table) for _ in range(7)]
        self.assertEqual(1, sum(c.is_evicted for c in silent))
        silent[-1].receive(ORDINARY_BYTES)

    def test_released_bytes_are_free(self):
        table = self.build_table(1)
        connection = self.admit(table)
        for _ in range(5):
            connection.receive(LARGE)
            connection.start_waiting()
        self.assertEqual(CONNECTION_BYTES, table.held_bytes)

    def test_the_connection_that_waits_longest_is_closed_for_a_new_one(self):
        table = ConnectionTable(max_connections={PORT: 3})
        old = [self.admit(table) for _ in range(3)]
        for number, connection in enumerate(old):
            connection.since_s = 10.0 - number
        old[2].phase = Phase.ANSWERING
        self.assertIsNotNone(self.admit(table))
        self.assertEqual([False, True, False], [c.is_evicted for c in old])

    def test_a_request_that_has_begun_is_not_closed_for_its_idle_time(self):
        """A caller that had kept its connection for long would lose its request."""
        table = ConnectionTable(max_connections={PORT: 2})
        kept, silent = self.admit(table), self.admit(table)
        kept.since_s -= 20.0
        silent.since_s -= 5.0
        kept.receive(100)
        self.assertIsNotNone(self.admit(table))
        self.assertEqual((False, True), (kept.is_evicted, silent.is_evicted))

    def test_the_address_with_most_connections_loses_one(self):
        table = ConnectionTable(max_connections={PORT: 4})
        single = self.admit(table, "192.0.2.2")
        single.since_s = 0.0
        many = [self.admit(table) for _ in range(3)]
        self.assertIsNotNone(self.admit(table))
        self.assertFalse(single.is_evicted)
        self.assertEqual(1, sum(c.is_evicted for c in many))

    def test_a_new_connection_is_refused_if_all_others_are_handled(self):
        table = ConnectionTable(
            max_connections={PORT: 1, READY: 1},
            interruptible_ports=frozenset((READY,)),
        )
        for port in (PORT, READY):
            self.admit(table, port=port).phase = Phase.ANSWERING
        self.assertIsNone(self.admit(table, port=PORT))
        self.assertIsNotNone(self.admit(table, port=READY))
        self.assertEqual(
            Counter({"too many connections": 1, "closed for a new connection": 1}),
            table.refusals,
        )

    def test_a_handled_connection_ends_after_its_answer_for_a_new_one(self):
        """New connections were refused while others sent request after request."""
        table = ConnectionTable(max_connections={PORT: 64})
        handled = [self.admit(table) for _ in range(64)]
        for number, connection in enumerate(handled):
            connection.phase = Phase.ANSWERING
            connection.since_s = float(number)
        for _ in range(2):
            self.admit(table).phase = Phase.ANSWERING
        self.assertIsNone(self.admit(table))
        replaced = [c.closes_after_answer for c in handled]
        self.assertEqual([True, True] + 62 * [False], replaced)

    def test_connections_are_counted_until_they_end(self):
        table = ConnectionTable(max_connections={PORT: 1})
        for _ in range(3):
            with table.admit(mock.Mock(), "192.0.2.1", PORT) as connection:
                self.assertIsNotNone(connection)
        self.assertEqual((0, Counter()), (table.held_bytes, table.refusals))

    def test_refusals_are_logged_once_in_an_interval(self):
        """Each malformed request had written lines of its own."""
        table = ConnectionTable()
        clock = mock.patch("gentianhub.web.connections.read_monotonic_s")
        read_s = self.enterContext(clock)
        log = self.enterContext(mock.patch("gentianhub.web.connections.logger"))
        for second in range(21):
            read_s.return_value = 100.0 + second * LOG_INTERVAL_S / 10
            table.record_refusal("malformed request")
        counts = [call.kwargs["extra"]["counts"] for call in log.warning.mock_calls]
        self.assertEqual([{"malformed request": n} for n in (1, 10, 10)], counts)


if __name__ == "__main__":
    unittest.main()
