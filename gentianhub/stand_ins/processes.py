"""Local deployment of separate processes for demonstrations and tests.

The daemons never start processes. This module starts them for the development
commands and the tests, and stops only the processes that it started.
"""

import itertools
import json
import random
import signal
import sys
import tempfile
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path

import gevent
from gevent import socket, subprocess
from geventhttpclient import HTTPClient

from gentianhub.core.records import Factory, define, frozen
from gentianhub.stand_ins.relay import Relay, open_relay

LOOPBACK = "127.0.0.1"
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 40.0
POLL_INTERVAL_S = 0.05
FIRST_PORT = 10_000
LAST_PORT = 32_000
PORTS_PER_PROCESS = 500


@frozen(kw_only=True)
class TargetPlan:
    """A stand-in target, its data centre, slots and speed (1.0 is normal)."""

    name: str
    data_centre: str = "olten"
    slots: int = 8
    speed: float = 1.0


@frozen(kw_only=True)
class EntryPlan:
    """An entry process and its data centre."""

    name: str
    data_centre: str = "olten"


@define(kw_only=True, eq=False)
class ChildProcess:
    """A child process, with its ports by purpose."""

    name: str
    process: subprocess.Popen
    ports: dict[str, int]
    data_centre: str = ""

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to this process only."""
        self.process.send_signal(signal_number)

    def send_request(self, purpose: str, method: str, path: str, content=None):
        """Return the status and the decoded JSON of one HTTP request."""
        return call_http(self.ports[purpose], method, path, content)


@define(kw_only=True, eq=False)
class LocalDeployment:
    """Child processes and relays of a deployment on this machine."""

    platform: ChildProcess
    targets: dict[str, ChildProcess]
    entries: dict[str, ChildProcess]
    relays: dict[str, Relay] = Factory(dict)


def call_http(port: int, method: str, path: str, content=None, timeout_s=90.0):
    """Return the status and the decoded JSON reply of one request on loopback."""
    client = HTTPClient(LOOPBACK, port, network_timeout=timeout_s)
    try:
        body = b"" if content is None else json.dumps(content).encode()
        response = client.request(method, path, body=body)
        reply = bytes(response.read())
        return response.status_code, json.loads(reply) if reply else None
    finally:
        client.close()


def find_free_ports(count: int) -> list[int]:
    """Return loopback ports that are free at present.

    They are below the ephemeral port range, since an outgoing connection could take
    a port from that range before the server binds it. Each process draws from a block
    of its own: a server that is stopped and started again needs its port to stay free
    meanwhile. No port is returned twice until all of the block have been returned.
    """
    free = filter(_is_free, _PORTS)
    return [next(free) for _ in range(count)]


def reserve_ports() -> tuple[range, socket.socket]:
    """Return a block of ports, and the socket that reserves it while it is open.

    Raises
    ------
    RuntimeError
        If every block is reserved.
    """
    starts = range(FIRST_PORT, LAST_PORT - PORTS_PER_PROCESS + 1, PORTS_PER_PROCESS)
    for start in random.SystemRandom().sample(starts, len(starts)):
        lock = socket.socket()
        try:
            lock.bind((LOOPBACK, start))
        except OSError:
            lock.close()
            continue
        return range(start + 1, start + PORTS_PER_PROCESS), lock
    raise RuntimeError(f"no free block of ports from {FIRST_PORT} to {LAST_PORT}")


def _draw_ports() -> Iterator[int]:
    """Yield the ports of a reserved block cyclically."""
    ports, lock = reserve_ports()
    with lock:
        yield from itertools.cycle(ports)


_PORTS = _draw_ports()


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((LOOPBACK, port))
        except OSError:
            return False
        return True


@contextmanager
def start_child(
    name: str, arguments: list[str], ports: dict[str, int], data_centre: str = ""
) -> Iterator[ChildProcess]:
    """Run `python -m gentianhub ARGUMENTS`; stop it when the context closes."""
    process = subprocess.Popen([sys.executable, "-m", "gentianhub", *arguments])
    try:
        for port in ports.values():
            wait_for_port(port, process)
        yield ChildProcess(
            name=name, process=process, ports=ports, data_centre=data_centre
        )
    finally:
        _stop(process)


def wait_for_port(port: int, process: subprocess.Popen) -> None:
    """Block until a port accepts connections.

    Raises
    ------
    RuntimeError
        If the process exits before.
    gevent.Timeout
        If the port does not accept connections in time.
    """
    with gevent.Timeout(START_TIMEOUT_S):
        while True:
            try:
                socket.create_connection((LOOPBACK, port), timeout=1).close()
                return
            except OSError:
                if process.poll() is not None:
                    raise RuntimeError(
                        f"child process exited with status {process.returncode}"
                    ) from None
                gevent.sleep(POLL_INTERVAL_S)


def _stop(process: subprocess.Popen) -> None:
    if process.poll() is None:
        process.send_signal(signal.SIGCONT)
        process.terminate()
    try:
        process.wait(timeout=STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


@contextmanager
def start_deployment(
    *,
    targets: list[TargetPlan],
    entries: list[EntryPlan],
    table_rows: list[dict],
    has_relays: bool = False,
) -> Iterator[LocalDeployment]:
    """Run a platform, targets and entry processes, one process each.

    With `has_relays` the host list contains a relay for each sibling port.
    """
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        (platform_port,) = find_free_ports(1)
        platform = stack.enter_context(
            start_child(
                "platform",
                ["development", "platform", "--port", str(platform_port)],
                {"platform": platform_port},
            )
        )
        target_children = {
            plan.name: stack.enter_context(start_target(plan)) for plan in targets
        }
        ports = {plan.name: find_free_ports(3) for plan in entries}
        relays = {
            name: stack.enter_context(start_relay(entry_ports[1]))
            for name, entry_ports in ports.items()
            if has_relays
        }
        listed_ports = {name: list(entry_ports) for name, entry_ports in ports.items()}
        for name, relay in relays.items():
            listed_ports[name][1] = relay.port
        fill_platform(
            platform, entries, listed_ports, targets, target_children, table_rows
        )
        entry_children = {
            plan.name: stack.enter_context(
                start_entry(plan, ports[plan.name], platform_port, folder)
            )
            for plan in entries
        }
        yield LocalDeployment(
            platform=platform,
            targets=target_children,
            entries=entry_children,
            relays=relays,
        )


def wait_until_serving(deployment: LocalDeployment) -> None:
    """Block until each entry process has a table and holds target slots."""
    for entry in deployment.entries.values():
        with gevent.Timeout(START_TIMEOUT_S):
            while not _is_serving(entry):
                gevent.sleep(POLL_INTERVAL_S)


def _is_serving(entry: ChildProcess) -> bool:
    _, dump = entry.send_request("operators", "GET", "/dump")
    return bool(dump["table_version"] and dump["slots_held"])


def start_target(plan: TargetPlan):
    """Return a context that runs a stand-in target process."""
    (port,) = find_free_ports(1)
    arguments = ["development", "target", "--port", str(port), "--name", plan.name]
    arguments += ["--slots", str(plan.slots), "--speed", str(plan.speed)]
    return start_child(plan.name, arguments, {"target": port}, plan.data_centre)


@contextmanager
def start_relay(target_port: int) -> Iterator[Relay]:
    """Run a relay to `target_port` in this process; it listens on `relay.port`."""
    (port,) = find_free_ports(1)
    with open_relay(port, target_port) as relay:
        yield relay


def start_entry(
    plan: EntryPlan,
    ports: list[int],
    platform_port: int,
    folder: Path,
    seed_ports: tuple[int, ...] = (),
):
    """Return a context that runs an entry process with its own settings file."""
    path = folder / f"{plan.name}.json"
    purposes = dict(zip(("callers", "siblings", "operators"), ports, strict=True))
    process = {
        purpose: {"host": LOOPBACK, "port": port} for purpose, port in purposes.items()
    }
    settings = {
        "data_centre": plan.data_centre,
        "platform": {"host": LOOPBACK, "port": platform_port},
        "processes": [{"name": plan.name, **process}],
        "siblings": [{"host": LOOPBACK, "port": port} for port in seed_ports],
        "log_level": "warning",
    }
    path.write_text(json.dumps(settings))
    arguments = ["entry", "--settings", str(path), "--process", plan.name]
    return start_child(plan.name, arguments, purposes, plan.data_centre)


def build_initial_change(table_rows: list[dict]) -> dict:
    """Return the change that creates version 1 of the table."""
    return {
        "version": 1,
        "change_id": "first",
        "author": "development",
        "reason": "first version",
        "rows": table_rows,
        "removals": [],
    }


def fill_platform(
    platform: ChildProcess,
    entries: list[EntryPlan],
    ports: dict[str, list[int]],
    targets: list[TargetPlan],
    children: dict[str, ChildProcess],
    table_rows: list[dict],
) -> None:
    """Write the host list and the first version of the table."""
    hosts = {
        "entry_processes": [
            {
                "name": plan.name,
                "data_centre": plan.data_centre,
                "host": LOOPBACK,
                "port": ports[plan.name][1],
                "state": "live",
            }
            for plan in entries
        ],
        "targets": [
            {
                "name": plan.name,
                "data_centre": plan.data_centre,
                "host": LOOPBACK,
                "port": children[plan.name].ports["target"],
                "state": "live",
            }
            for plan in targets
        ],
    }
    platform.send_request("platform", "PUT", "/hosts", hosts)
    writes = [
        {"key": "table/head", "value": {"version": 1}},
        {"key": "table/change/000000000001", "value": build_initial_change(table_rows)},
    ]
    platform.send_request(
        "platform", "POST", "/table/transact", {"checks": [], "writes": writes}
    )
