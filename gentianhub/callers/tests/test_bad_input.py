"""Invalid input on the caller port."""

import json
import re
import unittest
from unittest import mock

import gevent
from gevent import socket

from gentianhub.callers import CallerHandler, serve_callers
from gentianhub.callers.server import MAX_BODY_BYTES
from gentianhub.core import Incarnation, JobId, ProcessName
from gentianhub.core.operations import SubmitOperation
from gentianhub.decisions import JobAccepted
from gentianhub.stand_ins.processes import LOOPBACK, find_free_ports

OWNER = Incarnation(name=ProcessName(data_centre="olten", process="e1"), token="0" * 16)
TASK = {"kind": "check", "body": "x"}
JOB = {"service": "orders", "deadline_ms": 100, "tasks": [TASK]}


def is_reply_complete(reply: bytes) -> bool:
    head, separator, body = reply.partition(b"\r\n\r\n")
    length = re.search(rb"(?i)content-length: (\d+)", head)
    return bool(separator and length and len(body) >= int(length[1]))


class BadInputTest(unittest.TestCase):
    """Guards against invalid input that reaches the dispatcher or blocks the port.

    Each request must get an error, use bounded memory and start no operation.
    """

    def setUp(self):
        self.operations = []
        (self.port,) = find_free_ports(1)
        handler = CallerHandler(perform=self.perform, is_healthy=lambda: True)
        self.enterContext(serve_callers((LOOPBACK, self.port), handler, 16))

    def perform(self, operation):
        self.operations.append(operation)
        return JobAccepted(job_id=JobId(owner=OWNER, sequence=1), known=False)

    def send(self, data: bytes, half_close: bool = False) -> tuple[int, dict]:
        with socket.create_connection((LOOPBACK, self.port)) as sock:
            sock.sendall(data)
            if half_close:
                sock.shutdown(socket.SHUT_WR)
            reply = b""
            with gevent.Timeout(20):
                while not is_reply_complete(reply) and (chunk := sock.recv(65536)):
                    reply += chunk
        head, _, body = reply.partition(b"\r\n\r\n")
        status = int(head.split()[1])
        is_json = b"application/json" in head
        return status, json.loads(body) if is_json else {}

    def post(self, body: bytes, path="/v1/jobs", method="POST") -> tuple[int, dict]:
        head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        return self.send(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)

    def test_error_names_the_invalid_field(self):
        faults = {
            "service": {**JOB, "service": 7},
            "deadline_ms": {**JOB, "deadline_ms": 0},
            "tasks": {**JOB, "tasks": [TASK] * 171},
            "tasks[0].kind": {**JOB, "tasks": [{"body": "x"}]},
            "tasks[0].body_base64": {
                **JOB,
                "tasks": [{"kind": "check", "body_base64": "*"}],
            },
            "tasks[0].body": {**JOB, "tasks": [{**TASK, "body": "\ud800"}]},
            "idempotent": {**JOB, "idempotent": "no"},
            "sevrice": {**JOB, "sevrice": "orders"},
        }
        for field, job in faults.items():
            with self.subTest(field):
                status, reply = self.post(json.dumps(job).encode())
                self.assertEqual((status, reply["error"]["field"]), (400, field))
                self.assertEqual(reply["error"]["run"], "not_run")
                self.assertTrue(reply["error"]["expected"])
        self.assertEqual(self.operations, [])

    def test_invalid_json_and_invalid_ids_are_refused(self):
        for body in (b"{", b"\xff\xfe", b"[]", b"[" * 100_000):
            status, reply = self.post(body)
            self.assertEqual((status, reply["error"]["run"]), (400, "not_run"))
        for path in ("/v1/jobs/x", "/v1/jobs/olten.e1.00.1", "/v1/jobs/%00"):
            status, _ = self.post(b"", path=path, method="GET")
            self.assertEqual(status, 400)
        self.assertEqual(self.operations, [])

    def test_oversized_body_is_refused_without_reading_it(self):
        head = "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"
        length = f"Content-Length: {MAX_BODY_BYTES + 1}\r\n\r\n"
        status, reply = self.send((head + length).encode())
        self.assertEqual((status, reply["error"]["run"]), (413, "not_run"))

    def test_half_closed_body_is_refused(self):
        head = b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\n"
        status, reply = self.send(head + b'{"service"', half_close=True)
        self.assertEqual((status, reply["error"]["run"]), (400, "not_run"))
        self.assertEqual(self.operations, [])

    def test_slow_sender_is_timed_out(self):
        with mock.patch("gentianhub.web.bodies.BODY_TIMEOUT_S", 0.2):
            head = b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\n"
            status, _ = self.send(head + b"{")
        self.assertEqual(status, 408)
        self.assertEqual(self.operations, [])

    def test_header_flood_is_refused(self):
        flood = b"".join(b"X-%d: y\r\n" % number for number in range(100_000))
        with self.assertRaises((AssertionError, ConnectionError, IndexError)):
            status, _ = self.send(b"GET /health HTTP/1.1\r\n" + flood + b"\r\n")
            self.assertLess(status, 400)
        self.assertEqual(self.post(json.dumps(JOB).encode())[0], 202)

    def test_chunked_body_is_read_completely(self):
        body = json.dumps(JOB).encode()
        head = b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        chunked = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        status, _ = self.send(head + b"Transfer-Encoding: chunked\r\n\r\n" + chunked)
        self.assertEqual(status, 202)
        (operation,) = self.operations
        self.assertIsInstance(operation, SubmitOperation)
