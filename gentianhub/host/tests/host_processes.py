"""Starts hosts as processes against stand-ins for the users' platform."""

import json
import os
import subprocess
import tempfile
import time
import unittest
from collections.abc import Mapping
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
START_TIMEOUT_S = 20.0


def build_addresses(count: int) -> tuple[str, ...]:
    """Return loopback addresses that no other process of tests uses.

    Each host needs its own address because the metrics port is fixed. Process ids are
    below 2**22 and unique, also among several runs of the tests on one machine.
    """
    process = os.getpid()
    second, third, fourth = process >> 16, process >> 8 & 0xFF, process & 0xFF
    return tuple(
        f"127.{64 * (number + 1) + second}.{third}.{fourth}" for number in range(count)
    )


class HostProcessesTest(unittest.TestCase):
    """`host_count` hosts that share the two targets of one data centre.

    `limits` are those of the hosts' machines.
    """

    host_count = 1
    limits: Mapping[str, float] = {}

    def setUp(self):
        self.addresses = build_addresses(self.host_count)
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
        self.target_ports = (first, second)
        served = {
            ("127.0.0.1", port): target
            for port, target in zip(self.target_ports, self.targets, strict=True)
        }
        self.stack.enter_context(serve_targets(self.store, served, "olten"))
        self.processes = [self.start_host(address) for address in self.addresses]
        for address in self.addresses:
            self.wait_until_ready(address)

    def register_target(self, number: int, state: str) -> None:
        target, port = self.targets[number], self.target_ports[number]
        row = target.encode_row("127.0.0.1", port, "olten", state)
        self.store.put("servers", target.name, row)

    def start_host(self, address: str) -> subprocess.Popen:
        folder = self.stack.enter_context(tempfile.TemporaryDirectory())
        settings = Path(folder) / "local.toml"
        write_settings(
            settings,
            name=f"host-{self.addresses.index(address) + 1}",
            data_centre="olten",
            address=address,
            ports=HostPorts(callers=self.callers, ready=self.ready, links=self.links),
            store=f"{self.store_address[0]}:{self.store_address[1]}",
            limits=self.limits,
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

    def fetch(self, address: str, port: int, path: str) -> str:
        """Return the text that a host answers."""
        client = HTTPClient(address, port, network_timeout=10.0)
        try:
            return client.get(path).read().decode()
        finally:
            client.close()

    def submit(self, number: int, address: str = "") -> int:
        phases = [{"count": 2, "cpu": 3000, "mem_mb": 16, "estimate_ms": 50}]
        job = {"spec": "text", "best_effort": True, "phases": phases}
        return self.call(
            address or self.addresses[0],
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
