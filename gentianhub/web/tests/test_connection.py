"""Reuse of an HTTP connection after a failed exchange."""

import select
import unittest
from unittest import mock

from gentianhub.stand_ins.processes import LOOPBACK, find_free_ports
from gentianhub.web import (
    HTTP_ERRORS,
    Response,
    build_application,
    open_connection,
    open_server,
)


class ConnectionTest(unittest.TestCase):
    """Guards against a connection that stays closed after its first failed request."""

    def test_request_succeeds_after_a_reset(self):
        (port,) = find_free_ports(1)
        application = build_application(
            lambda request: Response(status=200, body=request.body),
            lambda error: Response(status=error.status),
            100,
        )
        with open_connection(LOOPBACK, port, 1.0, 1.0) as connection:
            with self.assertRaises(HTTP_ERRORS):
                connection.request("POST", "/", b"lost")
            connection.reset()
            with open_server((LOOPBACK, port), application, 4):
                response = connection.request("POST", "/", b"found")
                self.assertEqual(bytes(response.read()), b"found")

    def test_an_open_connection_is_checked_once_for_a_request(self):
        """Guards against a needless system call for each start of a run."""
        (port,) = find_free_ports(1)
        application = build_application(
            lambda request: Response(status=200, body=request.body),
            lambda error: Response(status=error.status),
            100,
        )
        with (
            open_server((LOOPBACK, port), application, 4),
            open_connection(LOOPBACK, port, 1.0, 1.0) as connection,
        ):
            connection.request("POST", "/", b"first").read()
            with mock.patch.object(select, "poll", side_effect=select.poll) as poll:
                connection.connect()
                response = connection.request("POST", "/", b"second")
                self.assertEqual(bytes(response.read()), b"second")
                self.assertEqual(1, poll.call_count)
                connection.request("POST", "/", b"third").read()
                self.assertEqual(2, poll.call_count)
