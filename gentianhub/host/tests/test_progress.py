"""Order of departures and of the messages that wait until departures are known."""

import time
import unittest
from contextlib import ExitStack

import gevent
from gevent import socket

from gentianhub.core import Mailbox
from gentianhub.host.progress import return_behind_departures
from gentianhub.web import ConnectionWatches

# One call of epoll returns 64 events at first.
CALLERS = 100
# Time for which the process gets no processor time, as under a quota, s.
PAUSE_S = 0.08


class TestPausedProcess(unittest.TestCase):
    """Guards against jobs that are confirmed although their callers had left before.

    The wait for an idle event loop ended by its time-out while the process was paused,
    ahead of the departures that the next call of epoll returned.
    """

    def test_departures_are_ahead_of_a_message_that_waits_for_them(self):
        pairs = [socket.socketpair() for _ in range(CALLERS)]
        for connection, _ in pairs:
            self.addCleanup(connection.close)
        coordinator, marks = Mailbox(limit=2 * CALLERS), Mailbox(limit=10)
        watches = ConnectionWatches()
        reader = gevent.spawn(
            return_behind_departures, marks, coordinator, watches.report_ended
        )
        self.addCleanup(reader.kill)
        with ExitStack() as stack:
            for connection, _ in pairs:
                stack.enter_context(watches.watch(connection, coordinator.try_put))
            gevent.sleep(0.01)
            for _, peer in pairs:
                peer._sock.close()
            marks.put("mark")
            gevent.spawn(time.sleep, PAUSE_S).join()
            gevent.sleep(0.1)
        messages = [coordinator.get(0.1) for _ in range(CALLERS + 1)]
        self.assertEqual(CALLERS, messages.index("mark"))

    def test_a_message_does_not_pass_a_departure_that_found_no_room(self):
        connection, peer = socket.socketpair()
        self.addCleanup(connection.close)
        coordinator, marks = Mailbox(limit=1), Mailbox(limit=10)
        coordinator.put("message")
        watches = ConnectionWatches()
        reader = gevent.spawn(
            return_behind_departures, marks, coordinator, watches.report_ended
        )
        self.addCleanup(reader.kill)
        with watches.watch(connection, coordinator.try_put):
            peer.close()
            gevent.sleep(0.02)
            self.assertEqual("message", coordinator.get(0.1))
            marks.put("mark")
            gevent.sleep(0.02)
            self.assertEqual(0, len(coordinator))


if __name__ == "__main__":
    unittest.main()
