"""Stand-ins of the store, the workers and the clients, for the scripts of this review.

They follow PROTOCOL.md and use the standard library only. All of them run in one event
loop; the hosts run as processes of their own, with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
HOLD_MAX_MS = 1000
HEARTBEAT_S = 1.5
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
# Longest time that a case may take once the hosts are ready, s.
PLAY_TIMEOUT_S = 75.0


def find_free_port(address="127.0.0.1"):
    """Return a free TCP port of an address."""
    with socket.socket() as sock:
        sock.bind((address, 0))
        return sock.getsockname()[1]


class Record:
    """The file `record.txt`: what was sent, answered and run, with times in s."""

    def __init__(self, path):
        self.began_s = time.monotonic()
        self.file = Path(path).open("w")

    def note(self, who, what, **values):
        """Write one line."""
        at_s = time.monotonic() - self.began_s
        rest = " ".join(f"{name}={value}" for name, value in values.items())
        self.file.write(f"{at_s:8.3f} {who} {what} {rest}\n")
        self.file.flush()


async def serve_http(address, port, handle):
    """Serve `handle(method, path, query, headers, body)`, which returns an answer.

    An answer is a pair of status and content; None leaves the request unanswered.
    """
    writers = set()

    async def serve(reader, writer):
        writers.add(writer)
        ends = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*ends):
            while line := await reader.readline():
                method, target, _ = line.decode().split(" ", 2)
                headers = {}
                while (row := await reader.readline()).strip():
                    name, _, value = row.decode().partition(":")
                    headers[name.strip().lower()] = value.strip()
                size = int(headers.get("content-length", 0))
                body = await reader.readexactly(size) if size else b""
                parts = urlsplit(target)
                query = {k: v[-1] for k, v in parse_qs(parts.query).items()}
                answer = await handle(method, parts.path, query, headers, body)
                if answer is None:
                    await asyncio.sleep(3600)
                status, content = answer
                text = json.dumps(content).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%b" % (status, len(text), text)
                )
                await writer.drain()
        writers.discard(writer)
        writer.close()

    server = await asyncio.start_server(serve, address, port, limit=2**20)
    server.writers = writers
    return server


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.removed = {}
        self.version = 0
        self.changed = asyncio.Event()

    def put(self, table, key, value):
        """Write one row."""
        self.version += 1
        self.rows[table, key] = (self.version, value)
        self.removed.pop((table, key), None)
        self._notify()

    def remove(self, table, key):
        """Remove one row."""
        if self.rows.pop((table, key), None) is not None:
            self.version += 1
            self.removed[table, key] = self.version
            self._notify()

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _encode(self, table, key):
        version, value = self.rows[table, key]
        text = base64.b64encode(value).decode()
        row = {"table": table, "part": "", "key": key}
        return row | {"value": text, "ver": version}

    def _list(self, table, after=0):
        present = [
            self._encode(table, key)
            for (other, key), (version, _) in sorted(self.rows.items())
            if other == table and version > after
        ]
        removed = [
            {"table": table, "part": "", "key": key, "ver": version, "deleted": True}
            for (other, key), version in self.removed.items()
            if other == table and version > after > 0
        ]
        return sorted(present + removed, key=lambda row: row["ver"] if after else 0)

    def _answer(self, **content):
        now_ms = int(time.monotonic() * 1000)
        return 200, {"ver": self.version, "now_ms": now_ms} | content

    async def handle(self, method, path, query, headers, body):
        """Answer one call."""
        await asyncio.sleep(0.004)
        match path:
            case "/api/rows-get":
                first, last = query.get("from", ""), query.get("to")
                rows = [
                    row
                    for row in self._list(query["table"])
                    if row["key"] >= first and (last is None or row["key"] < last)
                ]
                rows.sort(key=lambda row: row["key"])
                return self._answer(rows=rows, has_more=False)
            case "/api/rows-feed":
                after, table = int(query["after"]), query["table"]
                until_s = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
                while not (rows := self._list(table, after)):
                    left_s = until_s - time.monotonic()
                    if left_s <= 0:
                        break
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), left_s)
                return self._answer(rows=rows)
            case "/api/rows-tx":
                return self._transact(json.loads(body))
        return 404, {}

    def _transact(self, changes):
        for row in changes.get("if_rev", []):
            name = row["table"], row["key"]
            if self.rows.get(name, (0, b""))[0] != row["ver"]:
                found = [self._encode(*name)] if name in self.rows else []
                return 412, {"rows": found, "ver": self.version}
        for row in changes.get("set_keys", []):
            if row["table"] in ("op", "servers"):
                return 403, {}
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in changes.get("remove", []):
            self.remove(row["table"], row["key"])
        return self._answer()


class Proxy:
    """Forwards connections to an address."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.open = {}
        self.is_cut = False

    async def begin(self, address="127.0.0.1"):
        """Listen, and return the port."""
        port = find_free_port(address)
        self.server = await asyncio.start_server(self._serve, address, port)
        return port

    async def _serve(self, reader, writer):
        if self.is_cut:
            await asyncio.sleep(3600)
        try:
            other_reader, other_writer = await asyncio.open_connection(
                self.host, self.port
            )
        except OSError:
            writer.close()
            return
        copies = [
            asyncio.create_task(self._copy(reader, other_writer)),
            asyncio.create_task(self._copy(other_reader, writer)),
        ]
        self.open[writer] = copies
        await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        if self.open.pop(writer, None) is None:
            # The connection is silent: it stays open, and nothing passes.
            await asyncio.sleep(3600)
        writer.close()
        other_writer.close()

    async def _copy(self, reader, writer):
        with contextlib.suppress(OSError):
            while chunk := await reader.read(65536):
                writer.write(chunk)
                await writer.drain()

    def silence(self):
        """Let nothing pass over the open connections any more; new ones work."""
        silenced, self.open = self.open, {}
        for copies in silenced.values():
            for copy in copies:
                copy.cancel()
        return len(silenced)

    def cut(self):
        """Let nothing pass any more, over new connections either."""
        self.is_cut = True
        self.silence()

    def heal(self):
        """Forward new connections again."""
        self.is_cut = False


class Run:
    """One run of a task on a worker."""

    def __init__(self, task, number, spec, until_s):
        self.task, self.number, self.spec = task, number, spec
        self.started_s = time.monotonic()
        self.ends_s = self.started_s + until_s
        self.ended_s = None
        self.how = ""


class Worker:
    """A worker with `cpu` thousandths of a core that guards its capacity.

    `find_run_s` returns how long a task works. `before` may delay a call, or return
    False to leave it unanswered.
    """

    def __init__(self, name, zone, record, store, address, port, find_run_s, **options):
        self.name, self.zone, self.record, self.store = name, zone, record, store
        self.address, self.port, self.find_run_s = address, port, find_run_s
        self.cpu = options.get("cpu", 32000)
        self.labels = options.get("labels", ["a", "r-" + name])
        self.service = options.get("service", "desk")
        self.before = None
        self.all_runs = []
        self.is_up = False
        self.is_draining = False

    def begin(self):
        """Begin a life."""
        self.born_ms = int(time.time() * 1000)
        self.began_s = time.monotonic()
        self.fence = self.end_count = self.seq = 0
        self.lease_s = 0.0
        self.running, self.ended, self.last_runs, self.demands = {}, [], {}, {}
        self.is_up = True
        self.changed = asyncio.Event()

    def read_clock_ms(self):
        """Return the time of the worker's clock, which starts with its life."""
        return int((time.monotonic() - self.began_s) * 1000)

    def register(self):
        """Write the entry in the store."""
        self.seq += 1
        entry = {
            "id": self.name,
            "service": self.service,
            "address": f"{self.address}:{self.port}",
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": "draining" if self.is_draining else "ready",
            "cold_left_ms": 0,
            "seq": self.seq,
            "born": self.born_ms,
            "capacity": {"cpu": self.cpu, "mem_mb": 131072, "gpu": 0},
            "labels": self.labels,
        }
        self.store.put("servers", self.name, json.dumps(entry).encode())

    async def live(self):
        """Serve, write heartbeats and enforce the lease; never returns."""
        self.begin()
        self.server = await serve_http(self.address, self.port, self.handle)
        beat_s = 0.0
        while True:
            if self.is_up:
                if time.monotonic() >= beat_s:
                    beat_s = time.monotonic() + HEARTBEAT_S
                    self.register()
                self._advance()
            await asyncio.sleep(0.005)

    def _advance(self):
        now_s = time.monotonic()
        for run in list(self.running.values()):
            if now_s >= self.lease_s:
                self._end(run, "lapsed", min(now_s, self.lease_s))
            elif now_s >= run.ends_s:
                self._end(run, "done", now_s)

    def _end(self, run, how, ended_s):
        del self.running[run.task]
        self.demands.pop(run.task, None)
        run.how, run.ended_s = how, ended_s
        self.last_runs[run.task] = max(run.number, self.last_runs.get(run.task, 0))
        self.end_count += 1
        self.ended.append([self.end_count, run.task, run.number, how, ""])
        self.record.note(self.name, "run ends", task=run.task, run=run.number, how=how)
        self.changed.set()
        self.changed = asyncio.Event()

    def _answer(self, status, **content):
        return status, {"clock_ms": self.read_clock_ms()} | content

    def _extend(self, until_ms):
        now_s = time.monotonic()
        until_s = min(self.began_s + until_ms / 1000, now_s + HOLD_MAX_MS / 1000)
        self.lease_s = max(self.lease_s, until_s)

    async def handle(self, method, path, query, headers, body):
        """Answer one call."""
        if not self.is_up:
            return None
        if path == "/health":
            return 200, {}
        content = json.loads(body) if body else {}
        if self.before is not None and not await self.before(path, content):
            return None
        if headers.get("target-instance", self.name) != self.name:
            return 421, {}
        self._advance()
        if content.get("fence", 0) < self.fence:
            return self._answer(409, reason="fence")
        self.fence = content.get("fence", 0)
        match path:
            case "/api/run-start":
                return self._start(content)
            case "/api/run-stop":
                return await self._stop(content)
            case "/api/hold":
                return await self._hold(content)
        return 404, {}

    def _start(self, content):
        task, number = content["task"], content["run"]
        known = self.running.get(task)
        if content["until_ms"] <= self.read_clock_ms():
            return self._refuse(content, "late")
        self._extend(content["until_ms"])
        if known is not None and known.number == number:
            return self._answer(200)
        if known is not None or number <= self.last_runs.get(task, 0):
            return self._refuse(content, "old")
        run = Run(task, number, content["spec"], self.find_run_s(task, self))
        self.running[task] = run
        self.all_runs.append(run)
        self.record.note(
            self.name, "run starts", task=task, run=number, spec=len(run.spec)
        )
        return self._answer(200)

    def _refuse(self, content, reason):
        self.record.note(
            self.name,
            "start refused",
            task=content["task"],
            run=content["run"],
            reason=reason,
        )
        return self._answer(409, reason=reason)

    async def _stop(self, content):
        task, number = content["task"], content["run"]
        self.record.note(self.name, "stop", task=task, run=number)
        known = self.running.get(task)
        self.last_runs[task] = max(number, self.last_runs.get(task, 0))
        if known is not None and known.number <= number:
            self._end(known, "stopped", time.monotonic())
        return self._answer(200)

    async def _hold(self, content):
        if "until_ms" in content:
            self._extend(content["until_ms"])
        acked = content.get("acked_upto", 0)
        self.ended = [end for end in self.ended if end[0] > acked]
        if not self.ended and content.get("wait_ms"):
            with contextlib.suppress(TimeoutError):
                wait_s = min(2000, content["wait_ms"]) / 1000
                await asyncio.wait_for(self.changed.wait(), wait_s)
        running = [
            [run.task, run.number, "", self._find_percent(run), 0]
            for run in self.running.values()
        ]
        return self._answer(
            200, born=self.born_ms, running=running, ended=self.ended[:500]
        )

    def _find_percent(self, run):
        whole_s = max(0.001, run.ends_s - run.started_s)
        return max(0, min(99, int(100 * (time.monotonic() - run.started_s) / whole_s)))

    def crash(self):
        """End the life: everything that runs ends, and the connections break."""
        self.record.note(self.name, "crashes")
        now_s = time.monotonic()
        for run in self.running.values():
            run.how, run.ended_s = "crashed", now_s
        self.is_up = False
        self.running = {}
        self.server.close()
        for writer in self.server.writers:
            writer.close()


class Host:
    """One process of the system."""

    def __init__(self, name, zone, address, ports, folder, store, seeds, **limits):
        self.name, self.zone, self.address, self.ports = name, zone, address, ports
        self.folder, self.limits = folder, limits
        self.settings = folder / f"{name}.toml"
        self.store, self.seeds = store, seeds
        self.process = None

    def write_settings(self):
        """Write the settings file."""
        front, ready, control = self.ports
        limits = {
            "cpu_share": 0.537,
            "cores": 2,
            "memory_mb": 300,
            "max_fds": 4100,
            "link_mbps": 1000.0,
            "disk_mb": 0,
        } | self.limits
        lines = [
            f'node = "{self.name}"',
            'role = "entry"',
            'machine_class = "front"',
            'serves = ["front","control"]',
            f'ip = "{self.address}"',
            f'zone = "{self.zone}"',
            'region = "loop"',
            f"port_range = [{control + 1},{control + 8}]",
            f"seeds = {json.dumps(self.seeds)}",
            "bootstrap = true",
            "heartbeat_ms = 1500",
            'orders = "call"',
            "[bind_addrs]",
            f'front = "{self.address}:{front}"',
            f'ready = "{self.address}:{ready}"',
            f'control = "{self.address}:{control}"',
            "[limits]",
            *(f"{name} = {value}" for name, value in limits.items()),
            "[bounds]",
            "contact_ms = 3000\nack_ms = 4000\ndrain_ms = 2000\ngrace_s = 6",
            "config_ms = 2000\nhold_max_ms = 1000\nstop_ms = 50\ncancel_ms = 3000",
            "visible_ms = 3000\nstatus_s = 120\nresend_ms = 1300\nlease_ms = 3000",
            "[platform]",
            f'address = "{self.store}"',
            'form = "table"\nwrites_per_s = 800\nreads_per_s = 2000\ntx_ms = 4.0',
        ]
        self.settings.write_text("\n".join(lines) + "\n")

    def start(self):
        """Start the process with the command of the deploy file."""
        self.write_settings()
        env = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["GENTIANHUB_BOOT"] = str(self.settings)
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-S", "-m", "gentianhub.host"],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Answer:
    """What a client got: status 0 if there was no answer."""

    def __init__(self, status, content, sent_s, answered_s):
        self.status, self.content = status, content
        self.sent_s, self.answered_s = sent_s, answered_s


class Client:
    """Sends requests, each over a connection of its own."""

    def __init__(self, record, host_header="desk.example"):
        self.record, self.host_header = record, host_header

    async def send(self, address, method, path, content=None, wait_s=1.5, note=True):
        """Send one request and return its answer."""
        sent_s = time.monotonic()
        if note:
            self.record.note("client", "sends", method=method, path=path, to=address[0])
        status, answer = 0, {}
        try:
            async with asyncio.timeout(wait_s):
                status, answer = await self._exchange(
                    address, method, path, content, wait_s
                )
        except (TimeoutError, OSError, asyncio.IncompleteReadError, IndexError):
            status = 0
        now_s = time.monotonic()
        if note:
            self.record.note(
                "client",
                "answer",
                method=method,
                path=path,
                status=status,
                content=answer,
                after_s=round(now_s - sent_s, 3),
            )
        return Answer(status, answer, sent_s, now_s)

    async def _exchange(self, address, method, path, content, wait_s):
        reader, writer = await asyncio.open_connection(*address)
        try:
            body = b"" if content is None else json.dumps(content).encode()
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {self.host_header}\r\n"
                f"Deadline-Ms: {int(wait_s * 1000)}\r\n"
                f"Content-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode()
                + body
            )
            await writer.drain()
            line = await reader.readline()
            status, size = int(line.split()[1]), 0
            while (row := await reader.readline()).strip():
                name, _, value = row.decode().partition(":")
                if name.lower() == "content-length":
                    size = int(value)
            text = await reader.readexactly(size)
            return status, json.loads(text or b"{}")
        finally:
            writer.close()


CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "r1",
            "host": "desk.example",
            "prefix": "/jobs/",
            "route_type": "non_idempotent",
            "service": "desk",
            "priority": 0,
            "timeout_ms": 0,
            "slo_ms": 60,
            "max_attempts": 3,
            "stretch": 1.6,
        }
    ],
    "services": [{"name": "desk", "admission_check": True, "health_path": "/health"}],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 262144,
        "header_timeout_ms": 5000,
        "idle_timeout_ms": 60000,
    },
}


class Bed:
    """A small deployment: hosts, workers and a store on loopback addresses.

    `zones` maps each zone to its numbers of hosts and workers.
    """

    def __init__(self, folder, zones, find_run_s=lambda task, worker: 0.05, **options):
        self.record = Record(Path(folder) / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.zones, self.find_run_s, self.options = zones, find_run_s, options
        self.hosts, self.workers, self.proxies, self.tasks = {}, {}, {}, []
        self.links = {}
        self.store = Store(self.record)
        self.client = Client(self.record)
        self.address_count = 0

    def new_address(self):
        """Return a loopback address that no other script uses at the same time.

        Hosts need addresses of their own, as the port of their metrics is fixed.
        """
        self.address_count += 1
        pid = os.getpid()
        second = 32 + 70 * ((pid >> 16) % 3) + self.address_count
        return f"127.{second}.{pid >> 8 & 0xFF}.{pid & 0xFF}"

    async def begin(self):
        """Start everything."""
        configuration = self.options.get("configuration", CONFIGURATION)
        self.store.put("op", "config", json.dumps(configuration).encode())
        self.store_port = find_free_port()
        await serve_http("127.0.0.1", self.store_port, self.store.handle)
        self.ports = tuple(find_free_port() for _ in range(3))
        names = [
            (f"front-{zone}-{number}", zone)
            for zone, (hosts, _) in self.zones.items()
            for number in range(1, hosts + 1)
        ]
        addresses = {name: self.new_address() for name, _ in names}
        if self.options.get("links"):
            await self._open_links(addresses)
        for zone, (_, workers) in self.zones.items():
            for number in range(1, workers + 1):
                name = f"w-{zone}-{number}"
                worker = Worker(
                    name,
                    zone,
                    self.record,
                    self.store,
                    "127.0.0.1",
                    find_free_port(),
                    self.find_run_s,
                )
                self.workers[name] = worker
                self.tasks.append(asyncio.create_task(worker.live()))
        await asyncio.sleep(0.1)
        first = list(addresses.items())[:3]
        for name, zone in names:
            links = self.links.get(name)
            seeds = [
                f"127.0.0.1:{links[other][1]}"
                if links and other != name
                else f"{address}:{self.ports[2]}"
                for other, address in first
            ]
            host = Host(
                name,
                zone,
                addresses[name],
                self.ports,
                self.folder,
                await self._find_store(name),
                seeds,
                **self.options.get("limits_of", {}).get(name, {}),
            )
            self.hosts[name] = host
            host.start()

    async def _find_store(self, name):
        """Return the address of the store for a host, behind a proxy of its own.

        With links of their own, the hosts see proxies as each other's addresses, like
        behind a translation of addresses; gentianhub/soak does the same.
        """
        port = self.store_port
        if name in self.links:
            port = find_free_port()
            await serve_http("127.0.0.1", port, self._translate(self.links[name]))
        proxy = self.proxies[name] = Proxy("127.0.0.1", port)
        return f"127.0.0.1:{await proxy.begin()}"

    def _translate(self, proxies):
        async def handle(method, path, query, headers, body):
            status, content = await self.store.handle(
                method, path, query, headers, body
            )
            for row in content.get("rows", []):
                if row["table"] == "gentianhub-hosts" and row["key"] in proxies:
                    entry = json.loads(base64.b64decode(row.get("value", "e30=")))
                    entry |= {"address": "127.0.0.1", "port": proxies[row["key"]][1]}
                    text = base64.b64encode(json.dumps(entry).encode()).decode()
                    row["value"] = text
            return status, content

        return handle

    async def _open_links(self, addresses):
        """Open a proxy for each pair of hosts, from the first to the second."""
        for name in addresses:
            self.links[name] = {}
            for other, address in addresses.items():
                if other != name:
                    proxy = Proxy(address, self.ports[2])
                    self.links[name][other] = (proxy, await proxy.begin())

    def cut_off(self, name):
        """Cut a host off from all other hosts, in both directions, silently."""
        for proxy in self._find_links(name):
            proxy.cut()

    def join(self, name):
        """End the cut of a host."""
        for proxy in self._find_links(name):
            proxy.heal()

    def _find_links(self, name):
        for source, proxies in self.links.items():
            for target, (proxy, _) in proxies.items():
                if name in (source, target):
                    yield proxy

    def configure(self, configuration):
        """Write a configuration, and return when that was acknowledged."""
        self.store.put("op", "config", json.dumps(configuration).encode())
        version = configuration["version"]
        self.record.note("operator", "configuration acknowledged", version=version)
        return time.monotonic()

    def front(self, name):
        """Return the address of a host for clients."""
        return self.hosts[name].address, self.ports[0]

    async def is_ready(self, name):
        """Return whether a host reports itself ready."""
        address = (self.hosts[name].address, self.ports[1])
        answer = await self.client.send(
            address, "GET", "/api/readiness", wait_s=1.0, note=False
        )
        return answer.status == 200

    async def wait_ready(self, timeout_s=30.0, extra_s=2.0):
        """Wait until all hosts are ready; leave some time to settle."""
        until_s = time.monotonic() + timeout_s
        while not all([await self.is_ready(name) for name in self.hosts]):
            if time.monotonic() > until_s:
                raise RuntimeError("the hosts do not get ready")
            await asyncio.sleep(0.1)
        await asyncio.sleep(extra_s)
        self.record.note("script", "hosts are ready")

    def end(self):
        """End all processes."""
        for task in self.tasks:
            task.cancel()
        for host in self.hosts.values():
            host.kill()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def build_job(*steps, spec="work"):
    """Return the body of a job that need not be stored."""
    return {"spec": spec, "phases": list(steps), "best_effort": True}


def run_case(folder, zones, play, find_run_s=lambda task, worker: 0.05, **options):
    """Play a case and exit with its result; `play` returns whether the rule held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        bed = Bed(folder, zones, find_run_s, **options)
        try:
            await bed.begin()
            await bed.wait_ready()
            async with asyncio.timeout(PLAY_TIMEOUT_S):
                return HELD if await play(bed, trouble) else BROKEN
        except Exception as error:
            bed.record.note("script", "cannot run", error=repr(error))
            print(f"cannot run: {error!r}")
            return CANNOT_RUN
        finally:
            bed.end()

    with asyncio.Runner() as runner:
        result = runner.run(main())
        words = {HELD: "held", BROKEN: "broken", CANNOT_RUN: "could not run"}
        print(words[result], flush=True)
        # The stand-ins have no state to save; their open calls need no end.
        os._exit(result)
