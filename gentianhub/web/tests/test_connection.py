"""Reuse of an HTTP connection after a failed exchange."""

import unittest

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
