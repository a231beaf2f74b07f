"""Real processes on loopback, with relays and a stand-in platform."""

import signal
import tempfile
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path

from gentianhub.core.records import define, field, frozen
from gentianhub.stand_ins.platform import PlatformStandIn
from gentianhub.stand_ins.platform_proxies import PlatformProxy
from gentianhub.stand_ins.processes import (
    LOOPBACK,
    ChildProcess,
    EntryPlan,
    TargetPlan,
    build_initial_change,
    find_free_ports,
    start_child,
    start_entry,
)
from gentianhub.stand_ins.relay import Relay, open_relay
from gentianhub.web import Response, build_application, open_server

MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_PLATFORM_CONNECTIONS = 1000


@frozen(kw_only=True)
class TestbedPlan:
    """Data centres, entry processes, targets and the rows of the first table."""

    data_centres: tuple[str, ...]
    entries: tuple[EntryPlan, ...]
    targets: tuple[TargetPlan, ...]
    table_rows: tuple[dict, ...]


@define(kw_only=True, eq=False)
class Testbed:
    """Owns every process of the run; each can be stopped and restarted."""

    plan: TestbedPlan
    folder: Path
    platform: PlatformStandIn = field(factory=PlatformStandIn)
    platform_proxies: dict[str, PlatformProxy] = field(factory=dict)
    relays: dict[tuple[str, str], Relay] = field(factory=dict)
    children: dict[str, ChildProcess] = field(factory=dict)
    _ports: dict[str, list[int]] = field(factory=dict)
    _proxy_ports: dict[str, int] = field(factory=dict)
    _stacks: dict[str, ExitStack] = field(factory=dict)

    def open_relays(self, stack: ExitStack) -> None:
        """Open a relay to each sibling port for each data centre."""
        for plan in self.plan.entries:
            self._ports[plan.name] = find_free_ports(3)
            for data_centre in self.plan.data_centres:
                (port,) = find_free_ports(1)
                relay = open_relay(port, self._ports[plan.name][1])
                self.relays[plan.name, data_centre] = stack.enter_context(relay)
                self._ports[f"{plan.name} from {data_centre}"] = [port]
        for plan in self.plan.targets:
            self._ports[plan.name] = find_free_ports(1)

    def open_platform_proxies(self, stack: ExitStack) -> None:
        """Serve the platform to each data centre on a separate port."""
        change = build_initial_change(list(self.plan.table_rows))
        self.platform.rows["table/head"] = (1, {"version": 1})
        self.platform.rows["table/change/000000000001"] = (1, change)
        for data_centre in self.plan.data_centres:
            (port,) = find_free_ports(1)
            self._proxy_ports[data_centre] = port
            proxy = PlatformProxy(
                platform=self.platform, hosts=self._list_hosts(data_centre)
            )
            application = build_application(
                proxy.handle,
                lambda error: Response(status=error.status),
                MAX_BODY_BYTES,
            )
            stack.enter_context(
                open_server((LOOPBACK, port), application, MAX_PLATFORM_CONNECTIONS)
            )
            self.platform_proxies[data_centre] = proxy

    def _list_hosts(self, client_data_centre: str) -> dict:
        entries = [
            {
                "name": plan.name,
                "data_centre": plan.data_centre,
                "host": LOOPBACK,
                "port": self._ports[f"{plan.name} from {client_data_centre}"][0],
                "state": "live",
            }
            for plan in self.plan.entries
        ]
        targets = [
            {
                "name": plan.name,
                "data_centre": plan.data_centre,
                "host": LOOPBACK,
                "port": self._ports[plan.name][0],
                "state": "live",
            }
            for plan in self.plan.targets
        ]
        return {"entry_processes": entries, "targets": targets}

    def start(self, name: str) -> ChildProcess:
        """Start an entry process or a target on its reserved ports."""
        stack = ExitStack()
        for plan in self.plan.entries:
            if plan.name == name:
                proxy_port = self._proxy_ports[plan.data_centre]
                context = start_entry(plan, self._ports[name], proxy_port, self.folder)
        for plan in self.plan.targets:
            if plan.name == name:
                context = self._start_target(plan)
        self.children[name] = stack.enter_context(context)
        self._stacks[name] = stack
        return self.children[name]

    def _start_target(self, plan: TargetPlan):
        (port,) = self._ports[plan.name]
        arguments = ["development", "target", "--port", str(port)]
        arguments += ["--name", plan.name, "--slots", str(plan.slots)]
        arguments += ["--speed", str(plan.speed)]
        arguments += ["--starts-file", str(self.locate_starts(plan.name))]
        return start_child(plan.name, arguments, {"target": port}, plan.data_centre)

    def locate_starts(self, target: str) -> Path:
        """Return the file to which a target writes its starts; create it if needed."""
        path = self.folder / f"{target}.starts"
        path.touch()
        return path

    def stop(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a process and wait until it exits."""
        child = self.children[name]
        if child.process.poll() is None:
            child.send_signal(signal.SIGCONT)
            child.send_signal(signal_number)
        self._stacks.pop(name).close()

    def stop_all(self) -> None:
        """Kill every process."""
        for name in list(self._stacks):
            self.stop(name, signal.SIGKILL)


@contextmanager
def open_testbed(plan: TestbedPlan) -> Iterator[Testbed]:
    """Start a testbed; kill its processes when the context closes."""
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        testbed = Testbed(plan=plan, folder=folder)
        testbed.open_relays(stack)
        testbed.open_platform_proxies(stack)
        stack.callback(testbed.stop_all)
        for child_plan in (*plan.targets, *plan.entries):
            testbed.start(child_plan.name)
        yield testbed
