"""HTTP exchanges with targets that fail, refuse tasks or truncate their replies."""

import fcntl
import resource
import socket
import unittest
from unittest import mock

from gevent.event import Event
from gevent.pywsgi import WSGIServer
from gevent.server import StreamServer

from gentianhub.core import (
    Complete,
    JobId,
    NotRun,
    ProcessName,
    Step,
    TargetAddress,
    Task,
    TaskId,
    Unknown,
    create_incarnation,
    read_monotonic_s,
)
from gentianhub.core.effects import StartTask
from gentianhub.stand_ins.processes import find_free_ports
from gentianhub.stand_ins.target import TargetStandIn, serve_target
from gentianhub.targets import AttemptResult, TargetPool, open_target_client
from gentianhub.targets.exchange import TargetClient
from gentianhub.web.sockets import SendTrackingPool

LOOPBACK = "127.0.0.1"
COMPLETE_REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def build_start(kind: str = "check") -> StartTask:
    owner = create_incarnation(ProcessName(data_centre="olten", process="e1"))
    return StartTask(
        task_id=TaskId(job_id=JobId(owner=owner, sequence=1), index=0),
        task=Task(kind=kind, body=b"{}"),
        service="orders",
        target="t1",
        deadline_at_s=read_monotonic_s() + 5,
    )


def build_address(port: int) -> TargetAddress:
    return TargetAddress(name="t1", data_centre="olten", host=LOOPBACK, port=port)


class ScriptedTarget:
    """Server that sends the next scripted reply on each connection and closes it."""

    def __init__(self, *scripts: bytes):
        self.scripts = list(scripts)
        self.requests = []
        self.closed = Event()
        self.server = StreamServer((LOOPBACK, 0), self.serve)

    def serve(self, sock, _address):
        request = sock.recv(65536)
        if request:
            self.requests.append(request)
            sock.sendall(self.scripts.pop(0))
        sock.shutdown(socket.SHUT_RDWR)
        sock.close()
        self.closed.set()


class ExchangeTest(unittest.TestCase):
    """Guards against tasks that are sent twice and against incorrect outcomes."""

    def open(self, *scripts: bytes) -> tuple[ScriptedTarget, TargetClient]:
        target = ScriptedTarget(*scripts)
        target.server.start()
        self.addCleanup(target.server.stop)
        address = build_address(target.server.server_port)
        return target, self.enterContext(open_target_client(address))

    def test_connection_closed_without_a_reply_is_unknown_and_not_retried(self):
        target, client = self.open(b"", COMPLETE_REPLY)
        self.assertIsInstance(client.run_task(build_start()).outcome, Unknown)
        self.assertEqual(len(target.requests), 1)
        # A broken connection must not make the following tasks fail.
        outcome = client.run_task(build_start()).outcome
        self.assertEqual(outcome, Complete(result=b"ok", run_s=mock.ANY))
        self.assertEqual(len(target.requests), 2)

    def test_truncated_reply_is_unknown(self):
        head = b"HTTP/1.1 200 OK\r\n"
        for reply in (
            head[:9],
            head + b"Content-Length: 9\r\n\r\nhalf",
            head + b"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
            head + b"Connection: close\r\n\r\nhalf",
        ):
            with self.subTest(reply=reply):
                target, client = self.open(reply)
                self.assertIsInstance(client.run_task(build_start()).outcome, Unknown)
                self.assertEqual(len(target.requests), 1)

    def test_connection_closed_while_idle_is_replaced(self):
        target, client = self.open(COMPLETE_REPLY, COMPLETE_REPLY)
        for count in (1, 2):
            self.assertIsInstance(client.run_task(build_start()).outcome, Complete)
            self.assertEqual(len(target.requests), count)
            self.assertTrue(target.closed.wait(5))
            target.closed.clear()

    def test_descriptor_above_the_select_limit_is_usable(self):
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        self.addCleanup(resource.setrlimit, resource.RLIMIT_NOFILE, limits)
        resource.setrlimit(resource.RLIMIT_NOFILE, (max(2048, limits[0]), limits[1]))
        local, remote = socket.socketpair()
        high_descriptor = socket.socket(fileno=fcntl.fcntl(local, fcntl.F_DUPFD, 1100))
        pool = SendTrackingPool(
            host=LOOPBACK, port=1, connect_timeout_s=1, reply_timeout_s=None
        )
        with local, remote, high_descriptor:
            self.assertTrue(pool._is_socket_alive(high_descriptor))
            remote.shutdown(socket.SHUT_WR)
            self.assertFalse(pool._is_socket_alive(high_descriptor))

    def test_failure_before_sending_is_not_run(self):
        (port,) = find_free_ports(1)
        with open_target_client(build_address(port)) as client:
            outcome = client.run_task(build_start()).outcome
        self.assertEqual((type(outcome), outcome.step), (NotRun, Step.CONNECT_TARGET))
        target, client = self.open(COMPLETE_REPLY)
        outcome = client.run_task(build_start(kind="a\r\nb")).outcome
        self.assertEqual((type(outcome), outcome.step), (NotRun, Step.SEND_TASK))
        self.assertEqual(target.requests, [])

    def test_refusal_is_not_run(self):
        target, client = self.open(
            b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n"
            b"Gentianhub-Not-Run: 1\r\nGentianhub-Leaving: 1\r\n\r\n",
            b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
        )
        match client.run_task(build_start()):
            case AttemptResult(outcome=NotRun(step=Step.AWAIT_REPLY), leaving=True):
                pass
            case other:
                self.fail(other)
        self.assertNotIsInstance(client.run_task(build_start()).outcome, NotRun)

    def test_nagle_is_disabled_on_both_sides(self):
        (port,) = find_free_ports(1)
        nodelay_options = []
        handle = WSGIServer.handle

        def record_nodelay(server, sock, address):
            nodelay_options.append(
                sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            )
            handle(server, sock, address)

        with (
            mock.patch.object(WSGIServer, "handle", record_nodelay),
            serve_target(TargetStandIn(name="t1"), (LOOPBACK, port)),
            open_target_client(build_address(port)) as client,
        ):
            self.assertIsInstance(client.run_task(build_start()).outcome, Complete)
            sock = client._connection._pool.get_socket()
            nodelay_options.append(
                sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            )
        self.assertEqual([bool(value) for value in nodelay_options], [True, True])

    def test_idle_connection_to_a_replaced_address_is_closed(self):
        pool = TargetPool(results=mock.Mock())
        pool.set_targets((build_address(1),))
        connection = pool._open_connection(build_address(1))
        pool.release_connection(connection)
        pool.set_targets((build_address(2),))
        self.assertEqual(pool.count_idle_connections(), 0)
        connection.greenlet.join(5)
        self.assertTrue(connection.greenlet.dead)
