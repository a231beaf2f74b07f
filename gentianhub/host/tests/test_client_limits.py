"""Limits of a host's clients on the machines in use."""

import json
import unittest
from unittest import mock

from gentianhub.core.request_limits import RequestLimits
from gentianhub.host.client_limits import (
    CALLERS,
    PROCESS_MB,
    choose_budget_bytes,
    choose_max_connections,
    choose_max_handshakes,
)
from gentianhub.platform.content import decode_configuration
from gentianhub.web.bodies import BODY_PARTS
from gentianhub.web.connections import CONNECTION_BYTES, LARGE_SHARE

MIB = 2**20
# Memory, MB, and descriptors of the smallest and the largest machine.
MACHINES = ((160, 1638), (552, 10_250))


class ClientLimitsTest(unittest.TestCase):
    """Guards against limits that refuse a single request, or exceed the machine."""

    def test_a_single_request_within_the_limits_fits_each_machine(self):
        limits = RequestLimits()
        for memory_mb, _ in MACHINES:
            budget = choose_budget_bytes(memory_mb)
            self.assertGreaterEqual(budget // BODY_PARTS, limits.max_body_bytes)
            # A body in chunks of one byte takes six bytes for each; they are released.
            most = CONNECTION_BYTES + limits.max_header_bytes + limits.max_body_bytes
            self.assertLess(most, budget * LARGE_SHARE)

    def test_the_budget_leaves_what_the_process_needs(self):
        for memory_mb, _ in MACHINES:
            budget_mb = choose_budget_bytes(memory_mb) / MIB
            self.assertLessEqual(budget_mb + PROCESS_MB, memory_mb)

    def test_connections_leave_descriptors_for_targets_and_links(self):
        for _, max_fds in MACHINES:
            connections = sum(choose_max_connections(max_fds).values())
            self.assertLess(connections + choose_max_handshakes(max_fds), 0.8 * max_fds)
        self.assertEqual(2000, choose_max_connections(10_250)[CALLERS])


class ConfiguredLimitsTest(unittest.TestCase):
    """Guards against an operator's limits that are ignored, or that end a host."""

    def setUp(self):
        self.enterContext(mock.patch("gentianhub.platform.content.logger"))

    def decode(self, limits: object) -> RequestLimits:
        content = json.dumps({"version": 1, "routes": [], "limits": limits})
        return decode_configuration(content.encode()).limits

    def test_limits_are_those_of_the_operator(self):
        limits = self.decode(
            {
                "max_header_bytes": 8192,
                "max_body_bytes": 100_000,
                "header_timeout_ms": 2500,
                "idle_timeout_ms": 45_000,
            }
        )
        expected = RequestLimits(
            max_header_bytes=8192,
            max_body_bytes=100_000,
            header_timeout_s=2.5,
            idle_timeout_s=45.0,
        )
        self.assertEqual(expected, limits)

    def test_absent_limits_have_defaults(self):
        self.assertEqual(RequestLimits(), self.decode({}))

    def test_limits_that_cannot_be_used_are_skipped(self):
        for value in (-1, 0, "many", 1.5, 2**80, None, [], True):
            with self.subTest(value):
                limits = self.decode(
                    {"max_body_bytes": value, "header_timeout_ms": 500}
                )
                self.assertEqual(RequestLimits(header_timeout_s=0.5), limits)
        self.assertEqual(RequestLimits(), self.decode("none"))

    def test_a_short_idle_timeout_cuts_off_no_caller(self):
        """A connection that closes between two requests drops the second one."""
        self.assertEqual(RequestLimits(), self.decode({"idle_timeout_ms": 500}))


if __name__ == "__main__":
    unittest.main()
