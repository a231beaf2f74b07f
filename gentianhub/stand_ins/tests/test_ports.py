"""Ports of the servers that tests start, stop and start again."""

import unittest

from gentianhub.stand_ins.processes import find_free_ports, reserve_ports


class TestPorts(unittest.TestCase):
    """Guards against a port that another test takes while its server is restarted.

    A restarted process ended with "address already in use" in one run of all tests.
    """

    def test_two_processes_never_draw_the_same_port(self):
        first, first_lock = reserve_ports()
        with first_lock:
            for _ in range(20):
                other, other_lock = reserve_ports()
                with other_lock:
                    self.assertEqual(set(), set(first) & set(other))

    def test_a_port_is_drawn_once(self):
        ports = find_free_ports(100)
        self.assertEqual(100, len(set(ports)))


if __name__ == "__main__":
    unittest.main()
