"""Host processes behind relays, with a stand-in store and stand-in targets."""

import base64
import json
import signal
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from functools import partial
from pathlib import Path

import gevent
from gevent import socket, subprocess

from gentianhub.core.records import define, field, frozen
from gentianhub.host.registry import HOSTS_TABLE
from gentianhub.stand_ins.hosts import HostPorts, start_host, write_settings
from gentianhub.stand_ins.processes import LOOPBACK, find_free_ports
from gentianhub.stand_ins.relay import Relay, open_relay
from gentianhub.stand_ins.suspendable_host import add_suspension
from gentianhub.stand_ins.users_platform import (
    LeasedTargetStandIn,
    StoreStandIn,
    serve_stand_in,
)
from gentianhub.web import Request, Response

QUEUE_PREFIX = "/jobs/"
EXTRA_QUEUE_PREFIX = "/extra/"
QUEUE_HOST = "desk.example"
GRACE_PERIOD_S = 6.0
# Number of tasks that a target runs at the same time.
DEFAULT_ROOM = 3
# Latency objective of jobs, ms, beside a multiple of their run time.
DEFAULT_OBJECTIVE_MS = 400
# Time until a target that a task has crashed is back.
RESTART_S = 2.0
# Longest time until SIGSTOP takes effect; the clock of a host must not go back.
STOP_EFFECT_S = 0.001


@frozen(kw_only=True)
class HostPlan:
    """A host, its data centre and its own loopback address."""

    name: str
    data_centre: str
    address: str


@frozen(kw_only=True)
class TargetPlan:
    """A stand-in target: its data centre, the run time and the number of its tasks."""

    name: str
    data_centre: str
    run_s: float
    room: int = DEFAULT_ROOM


@define(kw_only=True, eq=False)
class StoreProxy:
    """Forwards one host's calls to the store, with relays as sibling addresses."""

    store: StoreStandIn
    relays: dict[str, Relay]

    def handle(self, request: Request) -> Response:
        """Return the store's response; the host table lists relays."""
        response = self.store.handle(request)
        if request.query.get("table") != HOSTS_TABLE or response.status != 200:
            return response
        content = json.loads(response.body)
        for row in content["rows"]:
            if row["key"] in self.relays and "value" in row:
                row["value"] = self._redirect(row["value"], self.relays[row["key"]])
        return Response(status=200, body=json.dumps(content).encode())

    def _redirect(self, value: str, relay: Relay) -> str:
        entry = json.loads(base64.b64decode(value))
        entry |= {"address": LOOPBACK, "port": relay.port}
        return base64.b64encode(json.dumps(entry).encode()).decode()


@define(kw_only=True, eq=False)
class SoakTestbed:
    """Owns the host processes, the relays and the stand-ins of a run."""

    hosts: dict[str, HostPlan]
    target_plans: dict[str, TargetPlan]
    folder: Path
    objective_ms: int = DEFAULT_OBJECTIVE_MS
    departure_delay_s: tuple[float, float] = (0.0, 0.0)
    is_suspendable: bool = False
    suspended_hosts: set[str] = field(factory=set)
    store: StoreStandIn = field(factory=StoreStandIn)
    targets: dict[str, LeasedTargetStandIn] = field(factory=dict)
    target_relays: dict[str, Relay] = field(factory=dict)
    store_relays: dict[str, Relay] = field(factory=dict)
    caller_relays: dict[str, Relay] = field(factory=dict)
    sibling_relays: dict[tuple[str, str], Relay] = field(factory=dict)
    ports: HostPorts | None = None
    processes: dict[str, subprocess.Popen] = field(factory=dict)
    version: int = 1
    has_extra_queue: bool = False
    configured_s: float = 0.0

    def configure(self, has_extra_queue: bool) -> None:
        """Write the next configuration version, with or without the extra queue."""
        self.has_extra_queue, self.configured_s = has_extra_queue, time.monotonic()
        prefixes = [QUEUE_PREFIX] + [EXTRA_QUEUE_PREFIX] * has_extra_queue
        self.version += 1
        routes = [
            {
                "name": f"r{number}",
                "host": QUEUE_HOST,
                "prefix": prefix,
                "slo_ms": self.objective_ms,
                "stretch": 2.0,
                "service": "desk",
                "max_attempts": 3,
            }
            for number, prefix in enumerate(prefixes)
        ]
        content = {"version": self.version, "routes": routes, "services": []}
        self.store.put("op", "config", json.dumps(content).encode())

    def open_targets(self, stack: ExitStack) -> None:
        """Serve the targets, each behind a relay, and register them."""
        for plan in self.target_plans.values():
            target = LeasedTargetStandIn(
                name=plan.name,
                run_s=plan.run_s,
                room=plan.room,
                on_crash=partial(self._restart_target, plan.name),
            )
            port, relay_port = find_free_ports(2)
            stack.enter_context(serve_stand_in((LOOPBACK, port), target))
            relay = stack.enter_context(open_relay(relay_port, port))
            lease_greenlet = gevent.spawn(target.enforce_lease)
            stack.callback(lease_greenlet.kill)
            self.targets[plan.name], self.target_relays[plan.name] = target, relay
            self.register_target(plan.name)

    def _restart_target(self, name: str) -> None:
        """Refuse connections to a target for some time after a task has crashed it."""
        relay = self.target_relays[name]
        relay.cut_link()

        def restore() -> None:
            relay.restore_link()
            self.register_target(name)

        gevent.spawn_later(RESTART_S, restore)

    def register_target(self, name: str, state: str = "ready") -> None:
        """Write a target's row to the store."""
        relay, data_centre = (
            self.target_relays[name],
            self.target_plans[name].data_centre,
        )
        content = self.targets[name].encode_row(
            LOOPBACK, relay.port, data_centre, state
        )
        self.store.put("servers", name, content)

    def open_relays(self, stack: ExitStack) -> None:
        """Open relays between the hosts, their callers and the store."""
        callers, ready, links = find_free_ports(3)
        self.ports = HostPorts(callers=callers, ready=ready, links=links)
        for host, host_plan in self.hosts.items():
            (caller_port,) = find_free_ports(1)
            self.caller_relays[host] = stack.enter_context(
                open_relay(
                    caller_port, callers, host_plan.address, self.departure_delay_s
                )
            )
            relays = {}
            for peer, plan in self.hosts.items():
                if peer != host:
                    (port,) = find_free_ports(1)
                    relay = open_relay(port, links, plan.address)
                    relays[peer] = stack.enter_context(relay)
                    self.sibling_relays[host, peer] = relays[peer]
            proxy_port, relay_port = find_free_ports(2)
            proxy = StoreProxy(store=self.store, relays=relays)
            stack.enter_context(serve_stand_in((LOOPBACK, proxy_port), proxy))
            self.store_relays[host] = stack.enter_context(
                open_relay(relay_port, proxy_port)
            )

    def start(self, name: str) -> None:
        """Start a host's process."""
        plan = self.hosts[name]
        settings = self.folder / f"{name}.toml"
        write_settings(
            settings,
            name=name,
            data_centre=plan.data_centre,
            address=plan.address,
            ports=self.ports,
            store=f"{LOOPBACK}:{self.store_relays[name].port}",
            grace_s=GRACE_PERIOD_S,
        )
        suspensions = None
        if self.is_suspendable:
            suspensions = self._find_suspensions(name)
            add_suspension(suspensions, 0.0)
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = start_host(settings, log, suspensions)

    def _find_suspensions(self, name: str) -> Path:
        return self.folder / f"{name}.suspensions"

    @contextmanager
    def suspended(self, name: str) -> Iterator[None]:
        """Stop a host and its steady clock until the context closes."""
        self.suspended_hosts.add(name)
        self.processes[name].send_signal(signal.SIGSTOP)
        gevent.sleep(STOP_EFFECT_S)
        stopped_s = time.monotonic()
        yield
        add_suspension(self._find_suspensions(name), time.monotonic() - stopped_s)
        self.processes[name].send_signal(signal.SIGCONT)
        self.suspended_hosts.discard(name)

    def is_listening(self, name: str) -> bool:
        """Whether a host accepts connections of callers."""
        address = (self.hosts[name].address, self.ports.callers)
        try:
            socket.create_connection(address, timeout=1.0).close()
        except OSError:
            return False
        return True

    def stop(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a host and wait until its process exits.

        A host that does not exit within the grace period is killed.
        """
        process = self.processes[name]
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal_number)
        try:
            process.wait(timeout=GRACE_PERIOD_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()

    def stop_all(self) -> None:
        """Kill every host that was started."""
        for name in self.processes:
            self.stop(name, signal.SIGKILL)


@contextmanager
def open_testbed(
    hosts: tuple[HostPlan, ...],
    targets: tuple[TargetPlan, ...],
    folder: Path,
    **options,
) -> Iterator[SoakTestbed]:
    """Start a testbed; kill its hosts when the context closes.

    `options` are further fields of `SoakTestbed`.
    """
    with ExitStack() as stack:
        testbed = SoakTestbed(
            hosts={plan.name: plan for plan in hosts},
            target_plans={plan.name: plan for plan in targets},
            folder=folder,
            **options,
        )
        testbed.configure(has_extra_queue=False)
        testbed.open_targets(stack)
        testbed.open_relays(stack)
        stack.callback(testbed.stop_all)
        for name in testbed.hosts:
            testbed.start(name)
        yield testbed
