"""A small deployment on loopback: hosts, workers, the store and the operator."""

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import traceback
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from pathlib import Path

from attrs import define, field, frozen

from review.gate import Gate
from review.store import Store
from review.web import send_request, start_server

ROOT = Path(__file__).resolve().parents[1]
HEARTBEAT_S = 1.5
QUEUE_HOST = "desk.example"
QUEUE_PREFIX = "/desk/"
SERVICE = "desk"
READY_TIMEOUT_S = 30.0
START_ATTEMPTS = 5
# Port of the hosts' metrics, as the deploy file says.
METRICS_PORT = 9464
SETTINGS = """
node = "{name}"
role = "entry"
machine_class = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "region"
port_range = [7720,7735]
seeds = {seeds}
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform"]
orders = "call"
[bind_addrs]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu_share = 1.0
cores = 1
memory_mb = 300
max_fds = 4100
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 6
config_ms = 2000
hold_max_ms = 1000
stop_ms = 50
cancel_ms = 3000
resend_ms = 1300
[platform]
address = "{store}"
form = "table"
"""


@define(kw_only=True, eq=False)
class Host:
    """One host of the system; `process` is its running process, if there is one."""

    name: str
    zone: str
    ip: str
    ports: dict[str, int]
    settings: Path
    log: Path
    process: asyncio.subprocess.Process | None = None

    @property
    def front(self) -> tuple[str, int]:
        """Address for clients."""
        return self.ip, self.ports["front"]

    async def start(self) -> None:
        """Start the process as the deploy file says."""
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target/deps"),
            "GENTIANHUB_BOOT": str(self.settings),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *("python3", "-S", "-m", "gentianhub.host"),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def kill(self, number: int = signal.SIGKILL) -> None:
        """Send a signal that ends the process, and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Whether the host reports itself ready, as the load balancer asks it."""
        address = self.ip, self.ports["ready"]
        status, _ = await send_request(address, "GET", "/api/readiness", {}, None, 1.0)
        return status == 200


@define(kw_only=True, eq=False)
class WorkerProcess:
    """A worker's supervisor; `pid` and `born_ms` are those of the present life.

    The next life has `next_labels`. With gates, hosts reach it through its `gate`, at
    `address`.
    """

    name: str
    zone: str
    address: tuple[str, int]
    slots: int
    labels: list[str]
    next_labels: list[str]
    gate: Gate
    process: asyncio.subprocess.Process | None = None
    pid: int = 0
    born_ms: int = 0
    sequence: int = 0

    def encode_entry(self) -> dict:
        """Return the entry that the worker writes of itself."""
        self.sequence += 1
        return {
            "service": SERVICE,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "1",
            "slots": self.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": self.sequence,
            "born": self.born_ms,
            "capacity": {"cpu": 1000 * self.slots, "mem_mb": 65536, "gpu": 0},
            "labels": self.labels,
        }

    def crash(self) -> float:
        """Kill the present life; return the steady time just before."""
        now_s = time.monotonic()
        os.kill(self.pid, signal.SIGKILL)
        return now_s


@frozen(kw_only=True)
class Shape:
    """Size of a deployment.

    `worker_options` go to each worker. With gates, the paths to workers can be cut.
    """

    zones: tuple[str, ...]
    hosts_per_zone: int
    workers_per_zone: int
    slots: int = 8
    workers_of_kind_a: int = 1_000_000
    has_gates: bool = False
    worker_options: dict = field(factory=dict)


@define(kw_only=True, eq=False)
class Deployment:
    """The processes of a deployment, and the records of what was seen."""

    store: Store
    folder: Path
    hosts: list[Host] = field(factory=list)
    workers: list[WorkerProcess] = field(factory=list)
    version: int = 0
    notes: list[dict] = field(factory=list)

    @property
    def late_flag(self) -> Path:
        """File that exists while the workers leave a share of the orders unanswered."""
        return self.folder / "late"

    def note(self, event: str, **values) -> None:
        """Record what a client or the operator has done or seen."""
        self.notes.append({"t": time.monotonic(), "event": event, **values})

    async def configure(self) -> None:
        """Write the next version of the configuration as the operator does."""
        self.version += 7
        route = {
            "name": "work",
            "host": QUEUE_HOST,
            "prefix": QUEUE_PREFIX,
            "service": SERVICE,
            "priority": 0,
            "max_attempts": 3,
            "stretch": 1.6,
            "slo_ms": 60,
        }
        service = {"name": SERVICE, "admission_check": True}
        await self.store.put(
            "op",
            "config",
            {
                "version": self.version,
                "routes": [route],
                "services": [service],
                "limits": {"max_body_bytes": 262144},
            },
        )

    async def register(self, worker: WorkerProcess) -> None:
        """Write a worker's entry."""
        await self.store.put("servers", worker.name, worker.encode_entry())

    async def beat(self) -> None:
        """Write the workers' entries every heartbeat."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for worker in self.workers:
                await self.register(worker)

    async def follow_lives(self, worker: WorkerProcess) -> None:
        """Register each new life of a worker."""
        while line := await worker.process.stdout.readline():
            worker.pid, worker.born_ms = map(int, line.split())
            worker.labels = worker.next_labels
            await self.register(worker)
            self.note(
                "registered",
                worker=worker.name,
                born=worker.born_ms,
                labels=worker.labels,
            )

    async def wait_until_ready(self) -> None:
        """Wait until all hosts are ready.

        Raises
        ------
        TimeoutError
            If they are not in time.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not all([await host.is_ready() for host in self.hosts]):
                await asyncio.sleep(0.2)

    async def find_owner(self, zone: str) -> Host:
        """Return the host that owns the workers of a zone, by its own state page."""
        for host in self.hosts:
            address = host.ip, METRICS_PORT
            _, state = await send_request(address, "GET", "/dump", {}, None, 2.0)
            for cell, (owner, _) in state.get("owners", {}).items():
                if cell.startswith(f"{zone}/"):
                    names = {other.name: other for other in self.hosts}
                    return next(h for n, h in names.items() if f".{n}." in owner)
        raise LookupError(f"no host owns the workers of {zone}")

    def find_last_starters(self) -> list[WorkerProcess]:
        """Return the workers that have started tasks, the last one first."""
        starts = (e for e in reversed(self.read_events()) if e["event"] == "start")
        names = dict.fromkeys(event["worker"] for event in starts)
        workers = {worker.name: worker for worker in self.workers}
        return [workers[name] for name in names]

    def read_events(self) -> list[dict]:
        """Return the events of the workers and the notes, in the order of time."""
        path = self.folder / "events"
        lines = path.read_text().splitlines() if path.exists() else []
        events = [json.loads(line) for line in lines] + self.notes
        return sorted(events, key=lambda event: event["t"])


def find_free_ports(ip: str, count: int) -> list[int]:
    """Return ports that are free on an address."""
    sockets = [socket.create_server((ip, 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def find_free_ips(count: int) -> list[str]:
    """Return loopback addresses on which the port of the metrics is free."""
    for base in range(16, 216):
        ips = [
            f"127.{16 + (base + os.getpid()) % 200}.0.{number + 2}"
            for number in range(count)
        ]
        try:
            for ip in ips:
                socket.create_server((ip, METRICS_PORT)).close()
        except OSError:
            continue
        return ips
    raise LookupError("no free loopback addresses")


async def try_start_worker(
    deployment: Deployment, zone: str, number: int, shape: Shape
) -> WorkerProcess | None:
    """Start a worker and wait until it lives; None if its port was taken meanwhile."""
    address, own_address = (
        ("127.0.0.1", port) for port in find_free_ports("127.0.0.1", 2)
    )
    labels = ["a" if number < shape.workers_of_kind_a else "b", f"r{number // 8}"]
    worker = WorkerProcess(
        name=f"w{number:x}{os.urandom(4).hex()}",
        zone=zone,
        address=address if shape.has_gates else own_address,
        slots=shape.slots,
        labels=labels,
        next_labels=labels,
        gate=Gate(target=own_address, address=address),
    )
    options = {
        "name": worker.name,
        "slots": shape.slots,
        "events": str(deployment.folder / "events"),
        "late_flag": str(deployment.late_flag),
        **shape.worker_options,
    }
    settings = json.dumps({"options": options, "address": own_address})
    worker.process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-S", "-m", "review.worker", settings),
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
    )
    line = await worker.process.stdout.readline()
    if not line:
        await worker.process.wait()
        return None
    worker.pid, worker.born_ms = map(int, line.split())
    if shape.has_gates:
        await worker.gate.start()
    return worker


async def start_worker(
    deployment: Deployment, zone: str, number: int, shape: Shape
) -> WorkerProcess:
    """Start a worker; try again with another port if one was taken meanwhile."""
    for _ in range(START_ATTEMPTS):
        worker = await try_start_worker(deployment, zone, number, shape)
        if worker is not None:
            return worker
    raise LookupError("no free port for a worker")


def plan_hosts(deployment: Deployment, shape: Shape, store: str) -> list[Host]:
    """Choose addresses for the hosts and write their settings."""
    numbers = range(len(shape.zones) * shape.hosts_per_zone)
    ips = find_free_ips(len(numbers))
    front, ready, control = find_free_ports(ips[0], 3)
    ports = {"front": front, "ready": ready, "control": control}
    hosts = []
    for number in numbers:
        name = f"front-{shape.zones[number // shape.hosts_per_zone]}-{number}"
        host = Host(
            name=name,
            zone=shape.zones[number // shape.hosts_per_zone],
            ip=ips[number],
            ports=ports,
            settings=deployment.folder / f"{name}.toml",
            log=deployment.folder / f"{name}.log",
        )
        seeds = json.dumps([f"{ip}:{control}" for ip in ips[:3]])
        text = SETTINGS.format(
            **ports, name=name, ip=host.ip, zone=host.zone, seeds=seeds, store=store
        )
        host.settings.write_text(text)
        hosts.append(host)
    return hosts


@asynccontextmanager
async def open_deployment(shape: Shape) -> AsyncIterator[Deployment]:
    """Start a deployment; end all its processes at the end of the block."""
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        deployment = Deployment(store=Store(), folder=Path(folder))
        (port,) = find_free_ports("127.0.0.1", 1)
        server = await start_server(
            deployment.store.handle, host="127.0.0.1", port=port
        )
        tasks = []
        try:
            await deployment.configure()
            for zone in shape.zones:
                for _ in range(shape.workers_per_zone):
                    number = len(deployment.workers)
                    worker = await start_worker(deployment, zone, number, shape)
                    deployment.workers.append(worker)
                    await deployment.register(worker)
                    tasks.append(asyncio.create_task(deployment.follow_lives(worker)))
            tasks.append(asyncio.create_task(deployment.beat()))
            deployment.hosts += plan_hosts(deployment, shape, f"127.0.0.1:{port}")
            for host in deployment.hosts:
                await host.start()
            await deployment.wait_until_ready()
            yield deployment
        finally:
            for task in tasks:
                task.cancel()
            for host in deployment.hosts:
                await host.kill()
            for worker in deployment.workers:
                if worker.process.returncode is None:
                    with suppress(ProcessLookupError):
                        worker.process.terminate()
                    await worker.process.wait()
            server.close()
            logs = os.environ.get("REVIEW_LOGS")
            if logs:
                Path(logs).mkdir(parents=True, exist_ok=True)
                for path in Path(folder).iterdir():
                    (Path(logs) / path.name).write_bytes(path.read_bytes())


def run_scenario(play: Callable[[], Awaitable[int]]) -> int:
    """Return the exit status of a scenario; 2 if it could not be played to its end."""
    try:
        return asyncio.run(_play_until_signal(play))
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        return 2


async def _play_until_signal(play: Callable[[], Awaitable[int]]) -> int:
    """Play; SIGTERM cancels it, so that the deployment's processes are ended."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    return await play()
