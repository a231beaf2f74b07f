"""Processor time of hosts without work: how often the timer wakes a host.

Twenty ticks a second on each of 97 hosts, most of them idle, took more processor time
than their heartbeats.
"""

import unittest
from unittest import mock

from gentianhub.capacity import events as ev
from gentianhub.capacity.ownership import CellOwner
from gentianhub.capacity.submissions import OwnersChanged
from gentianhub.capacity.tests.builders import CELL, build_host
from gentianhub.core import Mailbox
from gentianhub.host import membership, process
from gentianhub.host.coordinator import (
    HOUSEKEEPING_TICKS,
    IDLE_PERIOD_TICKS,
    OWNERSHIP_TICKS,
    WORKING_PERIOD_TICKS,
    Coordinator,
)
from gentianhub.host.tests.test_membership import FakeLinks


class TestPeriod(unittest.TestCase):
    def setUp(self):
        self.coordinator = Coordinator(
            local_host=build_host("e1"),
            mailbox=Mailbox(limit=10),
            registry_commands=Mailbox(limit=10),
            target_polls=Mailbox(limit=1),
            links=FakeLinks(),
        )
        self.registry = self.coordinator.requests.job_registry
        self.coordinator.membership.ownership.candidates = frozenset()

    def become_ready(self) -> None:
        self.coordinator.configuration.current = mock.Mock(version=1)
        claim = ev.CellClaim(cell=CELL, term=1, free_millicores=0, total_millicores=1)
        owner = CellOwner(owner=build_host("e2", "b"), claim=claim)
        list(self.registry.handle(OwnersChanged(owners={CELL: owner}), 0.0))

    def test_a_host_that_starts_has_the_shortest_period(self):
        """Its links and its first owner would be delayed."""
        self.assertEqual(1, self.coordinator.timer_period_ticks)

    def test_an_idle_host_has_the_longest_period(self):
        self.become_ready()
        self.assertEqual(IDLE_PERIOD_TICKS, self.coordinator.timer_period_ticks)

    def test_a_candidate_notices_a_silent_owner_in_time(self):
        self.become_ready()
        self.coordinator.membership.ownership.candidates = None
        self.assertEqual(WORKING_PERIOD_TICKS, self.coordinator.timer_period_ticks)

    def test_a_host_with_open_jobs_notices_deadlines_in_time(self):
        self.become_ready()
        self.registry.jobs["a"] = mock.Mock()
        self.assertEqual(WORKING_PERIOD_TICKS, self.coordinator.timer_period_ticks)

    def test_the_periods_divide_the_intervals_that_they_carry(self):
        """Heartbeats would be skipped and their receivers take this host as lost."""
        for interval in (
            HOUSEKEEPING_TICKS,
            membership.HEARTBEAT_TICKS,
            membership.IDLE_HEARTBEAT_TICKS,
        ):
            self.assertEqual(0, interval % IDLE_PERIOD_TICKS)
        self.assertEqual(0, OWNERSHIP_TICKS % WORKING_PERIOD_TICKS)


class TestTimer(unittest.TestCase):
    def test_counts_are_aligned_when_the_period_changes(self):
        """A heartbeat interval would be missed until the period changes again."""
        mailbox = Mailbox(limit=100)
        periods = iter((1, 4, 4, 2, 1, 1, 4))
        with mock.patch.object(process.gevent, "sleep") as sleep:
            with self.assertRaises(StopIteration):
                process.run_timer(mailbox, lambda: next(periods), Mailbox(limit=100))
        counts = [mailbox.get().count for _ in range(len(mailbox))]
        self.assertEqual([1, 4, 8, 10, 11, 12, 16], counts)
        slept_s = sum(call.args[0] for call in sleep.call_args_list)
        self.assertAlmostEqual(16 * process.TICK_S, slept_s)


if __name__ == "__main__":
    unittest.main()
