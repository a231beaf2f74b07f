"""Hosts run as processes while the store has the row of an evacuation."""

import os
import signal
import unittest

import gevent

from gentianhub.host.tests.host_processes import START_TIMEOUT_S, HostProcessesTest

EVACUATION = ("op", "evacuate/olten")


class EvacuatedHostsTest(HostProcessesTest):
    """Two hosts share the targets of one data centre, which is evacuated."""

    host_count = 2

    def submit_until(self, status: int, number: int, address: str = "") -> None:
        with gevent.Timeout(START_TIMEOUT_S):
            while self.submit(number, address) != status:
                number += 1
                gevent.sleep(0.1)

    def assert_nothing_starts(self, number: int, *addresses: str) -> None:
        before = self.count_starts()
        for address in addresses * 5:
            self.assertEqual(503, self.submit(number, address))
            number += 1
        self.assertEqual(before, self.count_starts())

    def wait_for_owner(self, *numbers: int) -> int:
        """Return the number of the first of the hosts that has taken the cell."""
        with gevent.Timeout(START_TIMEOUT_S):
            while True:
                for number in numbers:
                    if b"cell taken" in self.logs[self.addresses[number]].read_bytes():
                        return number
                gevent.sleep(0.1)

    def test_nothing_starts_until_the_row_is_removed(self):
        """Also not after the loss of the owner during an outage of the store."""
        self.assertEqual(200, self.submit(1))
        self.store.put(*EVACUATION, b"any value")
        for address in self.addresses:
            self.submit_until(503, 100, address)
        self.assert_nothing_starts(200, *self.addresses)
        self.store.is_down = True
        lost = self.wait_for_owner(0, 1)
        os.kill(self.processes[lost].pid, signal.SIGKILL)
        successor = self.addresses[1 - lost]
        self.assert_nothing_starts(300, successor)
        self.wait_for_owner(1 - lost)
        self.assert_nothing_starts(400, successor)
        self.store.is_down = False
        self.store.remove(*EVACUATION)
        self.submit_until(200, 500, successor)
        self.assertEqual({1}, set(self.count_starts().values()))


if __name__ == "__main__":
    unittest.main()
