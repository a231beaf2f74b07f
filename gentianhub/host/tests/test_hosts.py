"""Hosts run as processes against stand-ins for the users' platform."""

import os
import signal
import unittest

import gevent

from gentianhub.host.tests.host_processes import HostProcessesTest


class HostsTest(HostProcessesTest):
    """Two hosts share the targets of one data centre."""

    host_count = 2

    def test_tasks_start_once_and_unknown_routes_are_rejected(self):
        """Guards against tasks that are lost or started by both hosts."""
        statuses = [
            self.submit(number, self.addresses[number % 2]) for number in range(8)
        ]
        self.assertEqual([200] * 8, statuses)
        starts = self.count_starts()
        self.assertEqual(16, len(starts))
        self.assertEqual({1}, set(starts.values()))
        unknown = self.call(
            self.addresses[0], self.callers, "POST", "/other/1", b"{}", Host="x.example"
        )
        self.assertEqual(404, unknown)

    def test_jobs_succeed_after_a_host_is_killed_during_a_store_outage(self):
        """The surviving host must take over the cell without access to the store."""
        self.assertEqual(200, self.submit(1))
        self.store.is_down = True
        os.kill(self.processes[1].pid, signal.SIGKILL)
        statuses = []
        for number in range(2, 42):
            statuses.append(self.submit(number))
            if statuses[-3:] == [200] * 3 and len(statuses) > 10:
                break
            gevent.sleep(0.1)
        self.assertEqual([200] * 3, statuses[-3:])

    def test_host_exits_after_its_drain_and_the_other_serves(self):
        """Guards against a drain that never ends or that interrupts the service."""
        self.assertEqual(200, self.submit(1))
        os.kill(self.processes[0].pid, signal.SIGTERM)
        with gevent.Timeout(10.0):
            while self.processes[0].poll() is None:
                gevent.sleep(0.1)
        self.assertEqual(0, self.processes[0].returncode)
        self.assertEqual(200, self.submit(2, self.addresses[1]))


if __name__ == "__main__":
    unittest.main()
