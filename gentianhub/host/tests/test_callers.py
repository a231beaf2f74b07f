"""Headers of callers' requests, and the departure of callers."""

import unittest

import gevent
from gevent import socket

from gentianhub.core import Mailbox
from gentianhub.host import messages as ms
from gentianhub.host.callers import MAX_WAIT_S, CallerHandler, parse_wait_s
from gentianhub.web import ConnectionEnd, Request

# Time for an event of a socket on loopback to be handled, s.
NOTICE_S = 0.5


class TestWait(unittest.TestCase):
    def test_only_a_finite_wait_is_used(self):
        """A deadline at infinity would keep a job open for good."""
        cases = {
            None: None,
            "": None,
            "soon": None,
            "nan": None,
            "inf": None,
            "1e400": None,
            "-5": 0.0,
            "1500": 1.5,
            "1e300": MAX_WAIT_S,
        }
        for text, expected in cases.items():
            with self.subTest(text):
                self.assertEqual(expected, parse_wait_s(text))


class TestDepartures(unittest.TestCase):
    """Guards against jobs of callers that have left and that nobody withdraws."""

    def setUp(self):
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            self.caller = socket.create_connection(listener.getsockname())
            self.connection, _ = listener.accept()
        self.addCleanup(self.caller.close)
        self.addCleanup(self.connection.close)

    def build_handler(self, limit: int) -> CallerHandler:
        coordinator = Mailbox(limit=limit)
        return CallerHandler(coordinator=coordinator, is_draining=lambda: False)

    def spawn_request(self, handler: CallerHandler) -> gevent.Greenlet:
        request = Request(
            method="POST",
            path="/jobs/0000000000000001",
            query={},
            headers={"host": "desk.example"},
            body=b"{}",
            peer="127.0.0.1",
            connection=self.connection,
        )
        greenlet = gevent.spawn(handler.handle, request)
        self.addCleanup(greenlet.kill)
        return greenlet

    def test_a_job_is_refused_if_the_mailbox_is_full(self):
        handler = self.build_handler(limit=1)
        handler.coordinator.put(ms.InterruptOpenJobs())
        response = self.spawn_request(handler).get(timeout=NOTICE_S)
        self.assertEqual(503, response.status)

    def test_a_departure_is_reported_once_a_full_mailbox_has_room(self):
        """It was dropped, and the job held until the caller's deadline."""
        handler = self.build_handler(limit=1)
        self.spawn_request(handler)
        request = handler.coordinator.get(timeout_s=NOTICE_S)
        handler.coordinator.put(ms.InterruptOpenJobs())
        self.caller.close()
        gevent.sleep(0.05)
        handler.coordinator.get()
        departure = handler.coordinator.get(timeout_s=NOTICE_S)
        expected = ms.CallerConnectionClosed(
            reply_to=request.reply_to, end=ConnectionEnd.CLOSED
        )
        self.assertEqual(expected, departure)

    def test_a_departure_is_handled_before_what_has_arrived_with_it(self):
        """An owner's question for the open jobs was answered with the job of a caller
        that had left, if both were read at once after a pause."""
        for is_departure_first in (False, True):
            with self.subTest(is_departure_first=is_departure_first):
                self.check_order(is_departure_first)

    def check_order(self, is_departure_first: bool) -> None:
        (owner, link), (caller, self.connection) = (
            socket.socketpair(),
            socket.socketpair(),
        )
        handler = self.build_handler(limit=10)

        def read_link() -> None:
            handler.coordinator.put(link.recv(1))

        def run_coordinator() -> list:
            """Return the messages that stood in the mailbox with the question."""
            messages = []
            while b"?" not in messages or len(handler.coordinator):
                messages.append(handler.coordinator.get())
            return messages

        self.spawn_request(handler)
        gevent.spawn(read_link)
        coordinator = gevent.spawn(run_coordinator)
        gevent.sleep(0.01)
        arrivals = (lambda: owner.send(b"?"), caller.close)
        for arrive in reversed(arrivals) if is_departure_first else arrivals:
            arrive()
        kinds = [type(message) for message in coordinator.get(timeout=NOTICE_S)]
        self.assertIn(ms.CallerConnectionClosed, kinds)

    def test_a_request_of_a_caller_that_has_left_is_not_passed_on(self):
        """A host that was frozen reads a request and the end behind it at once. Its
        tasks were started beside those of the next submission elsewhere."""
        self.caller.sendall(b"POST")
        self.caller.close()
        handler = self.build_handler(limit=10)
        response = self.spawn_request(handler).get(timeout=NOTICE_S)
        self.assertEqual(503, response.status)
        self.assertEqual(0, len(handler.coordinator))

    def test_the_connection_of_a_caller_that_has_left_is_closed(self):
        """Its greenlet waited for an answer that never came: after 2,000 departures
        a host accepted no more connections."""
        handler = self.build_handler(limit=10)
        greenlet = self.spawn_request(handler)
        request = handler.coordinator.get(timeout_s=NOTICE_S)
        self.assertIsInstance(request, ms.CallerRequest)
        self.caller.close()
        response = greenlet.get(timeout=NOTICE_S)
        self.assertEqual("close", response.headers.get("Connection"))
        departure = ms.CallerConnectionClosed(
            reply_to=request.reply_to, end=ConnectionEnd.CLOSED
        )
        self.assertEqual(departure, handler.coordinator.get(timeout_s=NOTICE_S))


if __name__ == "__main__":
    unittest.main()
