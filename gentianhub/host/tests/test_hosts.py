"""Hosts run as processes against stand-ins for the users' platform."""

import json
import os
import signal
import subprocess
import tempfile
import time
import unittest
from contextlib import ExitStack
from pathlib import Path

import gevent
from geventhttpclient import HTTPClient

from gentianhub.stand_ins.hosts import HostPorts, start_host, write_settings
from gentianhub.stand_ins.processes import find_free_ports
from gentianhub.stand_ins.users_platform import (
    LeasedTargetStandIn,
    StoreStandIn,
    serve_stand_in,
    serve_targets,
)

CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "r1",
            "host": "desk.example",
            "prefix": "/jobs/",
            "slo_ms": 60,
            "service": "desk",
            "max_attempts": 2,
            "stretch": 1.6,
        }
    ],
    "services": [{"name": "desk", "admission_check": True}],
}
# Each host needs its own address because the metrics port is fixed.
HOST_ADDRESSES = ("127.0.3.1", "127.0.3.2")
START_TIMEOUT_S = 20.0


class HostsTest(unittest.TestCase):
    """Two hosts share the targets of one data centre."""

    def setUp(self):
        self.stack = ExitStack()
        self.addCleanup(self.stack.close)
        self.logs: dict[str, Path] = {}
        self.store = StoreStandIn()
        self.store.put("op", "config", json.dumps(CONFIGURATION).encode())
        store_port, first, second, self.callers, self.ready, self.links = (
            find_free_ports(6)
        )
        self.store_address = ("127.0.0.1", store_port)
        self.stack.enter_context(serve_stand_in(self.store_address, self.store))
        self.targets = [
            LeasedTargetStandIn(name="i-1"),
            LeasedTargetStandIn(name="i-2"),
        ]
        served = {
            ("127.0.0.1", port): target
            for port, target in zip((first, second), self.targets, strict=True)
        }
        self.stack.enter_context(serve_targets(self.store, served, "olten"))
        self.processes = [self.start_host(address) for address in HOST_ADDRESSES]
        for address in HOST_ADDRESSES:
            self.wait_until_ready(address)

    def start_host(self, address: str) -> subprocess.Popen:
        folder = self.stack.enter_context(tempfile.TemporaryDirectory())
        settings = Path(folder) / "local.toml"
        write_settings(
            settings,
            name=f"host-{address.rpartition('.')[2]}",
            data_centre="olten",
            address=address,
            ports=HostPorts(callers=self.callers, ready=self.ready, links=self.links),
            store=f"{self.store_address[0]}:{self.store_address[1]}",
        )
        process = start_host(settings, self.open_log(address))
        self.stack.callback(process.wait)
        self.stack.callback(process.kill)
        return process

    def open_log(self, address: str):
        log = self.stack.enter_context(tempfile.NamedTemporaryFile())
        self.logs[address] = Path(log.name)
        return log

    def wait_until_ready(self, address: str) -> None:
        until_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until_s:
            try:
                if self.call(address, self.ready, "GET", "/") == 200:
                    return
            except OSError:
                pass
            gevent.sleep(0.1)
        log = self.logs[address].read_text()[:4000]
        self.fail(f"{address} is not ready after {START_TIMEOUT_S} s:\n{log}")

    def call(self, address, port, method, path, body=b"", **headers) -> int:
        client = HTTPClient(address, port, network_timeout=10.0)
        try:
            response = client.request(method, path, body=body, headers=headers)
            response.read()
            return response.status_code
        finally:
            client.close()

    def submit(self, number: int, address: str = HOST_ADDRESSES[0]) -> int:
        phases = [{"count": 2, "cpu": 3000, "mem_mb": 16, "estimate_ms": 50}]
        job = {"spec": "text", "best_effort": True, "phases": phases}
        return self.call(
            address,
            self.callers,
            "POST",
            f"/jobs/{number:016x}",
            json.dumps(job).encode(),
            **{"Host": "desk.example", "Deadline-Ms": "3000"},
        )

    def count_starts(self) -> dict[str, int]:
        starts: dict[str, int] = {}
        for target in self.targets:
            for task, count in target.count_starts().items():
                starts[task] = starts.get(task, 0) + count
        return starts

    def test_tasks_start_once_and_unknown_routes_are_rejected(self):
        """Guards against tasks that are lost or started by both hosts."""
        statuses = [
            self.submit(number, HOST_ADDRESSES[number % 2]) for number in range(8)
        ]
        self.assertEqual([200] * 8, statuses)
        starts = self.count_starts()
        self.assertEqual(16, len(starts))
        self.assertEqual({1}, set(starts.values()))
        unknown = self.call(
            HOST_ADDRESSES[0], self.callers, "POST", "/other/1", b"{}", Host="x.example"
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
        self.assertEqual(200, self.submit(2, HOST_ADDRESSES[1]))


if __name__ == "__main__":
    unittest.main()
