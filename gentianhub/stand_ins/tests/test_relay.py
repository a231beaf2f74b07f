"""How a relay passes on the end of a connection."""

import time
import unittest
from contextlib import closing, contextmanager

from gevent import socket

from gentianhub.stand_ins.processes import LOOPBACK, find_free_ports
from gentianhub.stand_ins.relay import open_relay

DELAY_S = 0.2
TIMEOUT_S = 5.0


class TestLateDeparture(unittest.TestCase):
    """Guards against a soak in which hosts learn at once that callers have left."""

    @contextmanager
    def open_connection(self, **options):
        """Yield the relay, and both ends of a connection through it."""
        listener = socket.socket()
        listener.bind((LOOPBACK, 0))
        listener.listen()
        port, target_port = find_free_ports(1)[0], listener.getsockname()[1]
        with closing(listener), open_relay(port, target_port, **options) as relay:
            client = socket.create_connection((LOOPBACK, port), timeout=TIMEOUT_S)
            target, _ = listener.accept()
            target.settimeout(TIMEOUT_S)
            with closing(client), closing(target):
                client.sendall(b"x")
                self.assertEqual(b"x", target.recv(1))
                yield relay, client, target

    def test_a_closed_connection_ends_late_at_the_target(self):
        delay_s = (DELAY_S, DELAY_S)
        with self.open_connection(departure_delay_s=delay_s) as (_, client, target):
            closed_s = time.monotonic()
            client.close()
            self.assertEqual(b"", target.recv(1))
            self.assertGreaterEqual(time.monotonic() - closed_s, DELAY_S)

    def test_a_reset_connection_ends_at_the_caller_first(self):
        """The caller counts from its end of the connection until it comes again."""
        delay_s = (DELAY_S, DELAY_S)
        with self.open_connection(departure_delay_s=delay_s) as (relay, client, target):
            relay.reset_connections()
            self.assertEqual(b"", client.recv(1))
            ended_s = time.monotonic()
            self.assertEqual(b"", target.recv(1))
            # The relay waits from its own close, which the client reads a bit later.
            self.assertGreaterEqual(time.monotonic() - ended_s, DELAY_S / 2)

    def test_without_a_delay_both_ends_are_closed(self):
        with self.open_connection() as (relay, client, target):
            relay.reset_connections()
            self.assertEqual(b"", target.recv(1))
            self.assertEqual(b"", client.recv(1))


if __name__ == "__main__":
    unittest.main()
