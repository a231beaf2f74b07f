"""Compares the processor time of ordinary requests in an earlier version and this one.

Run with `python -m benchmarks.request_cost --earlier COMMIT`. The servers of both
versions run at the same time and get blocks of requests in turn, so that other load on
the machine meets both. The application answers at once: all of the time is that of the
server's part, of which the limits of requests are a larger share than of a job's cost.
"""

import json
import os
import socket
import statistics
import subprocess
import sys
import tarfile
import tempfile
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Annotated

import typer
from attrs import frozen
from geventhttpclient import HTTPClient

from gentianhub.stand_ins.processes import LOOPBACK, find_free_ports

ROOT = Path(__file__).resolve().parent.parent
# The version before requests had limits.
EARLIER_COMMIT = "d4ae324"
# Most that the limits may add to the processor time, stated in the design page.
ALLOWED_RATIO = 1.03
# Connections that are open at once if each request has its own.
BATCH = 16
SERVER = """
import sys, time
import gevent
from gentianhub.web import Response, build_application, open_server

def handle(request):
    if request.path == "/cpu":
        return Response(status=200, body=str(time.process_time()).encode())
    return Response(status=200, body=b'{"state": "completed"}')

options = []
try:
    from collections import Counter
    from gentianhub.core.request_limits import RequestLimits
    from gentianhub.host.client_limits import CALLERS, build_connection_table
    limits = RequestLimits()
    table = build_connection_table(160.0, 1638, lambda: limits, Counter())
    options = [0.1, table, CALLERS]
except ImportError:
    pass
application = build_application(handle, None, 1048576)
with open_server(("127.0.0.1", int(sys.argv[1])), application, 64, *options):
    print("ready", flush=True)
    gevent.sleep(1e9)
"""
TASKS = [{"count": 4, "cpu": 3000, "mem_mb": 16, "estimate_ms": 50}]
BODY = json.dumps({"spec": "x" * 200, "best_effort": True, "phases": TASKS}).encode()
HEADERS = {
    "Host": "desk.example",
    "Deadline-Ms": "1500",
    "User-Agent": "caller/1.0",
    "Accept": "application/json",
    "Content-Type": "application/json",
}


@frozen(kw_only=True)
class Server:
    """A server process of one version."""

    name: str
    port: int

    def run_requests(self, count: int, is_kept_alive: bool) -> float:
        """Return the processor time of a request, us."""
        before_s = self._read_cpu_s()
        if is_kept_alive:
            self._send_on_one_connection(count)
        else:
            for _ in range(count // BATCH):
                self._send_on_connections(BATCH)
        return (self._read_cpu_s() - before_s) / count * 1e6

    def _send_on_connections(self, count: int) -> None:
        """Send one request on each of several connections, then read the answers.

        A request that is there before the server reads it costs no wait. Whether one
        was, with one connection after the other, depended on the scheduler alone.
        """
        lines = [f"{name}: {value}" for name, value in HEADERS.items()]
        lines += ["Connection: close", f"Content-Length: {len(BODY)}", "", ""]
        request = "\r\n".join(["POST /jobs/0000000000000001 HTTP/1.1", *lines])
        with ExitStack() as stack:
            socks = [
                stack.enter_context(socket.create_connection((LOOPBACK, self.port)))
                for _ in range(count)
            ]
            for sock in socks:
                sock.sendall(request.encode() + BODY)
            for sock in socks:
                while sock.recv(65_536):
                    pass

    def _send_on_one_connection(self, count: int) -> None:
        client = HTTPClient(LOOPBACK, self.port, network_timeout=30.0)
        for number in range(count):
            path = f"/jobs/{number:016x}"
            client.request("POST", path, body=BODY, headers=HEADERS).read()
        client.close()

    def _read_cpu_s(self) -> float:
        client = HTTPClient(LOOPBACK, self.port, network_timeout=30.0)
        seconds = float(client.get("/cpu").read())
        client.close()
        return seconds


@contextmanager
def extract_version(commit: str) -> Iterator[Path]:
    """Write the package of a commit to a folder, which lasts as long as the context."""
    with tempfile.TemporaryDirectory() as folder:
        archive = Path(folder) / "version.tar"
        command = ["git", "archive", "-o", str(archive), commit, "gentianhub"]
        subprocess.run(command, cwd=ROOT, check=True)
        with tarfile.open(archive) as content:
            content.extractall(folder, filter="data")
        yield Path(folder)


@contextmanager
def start_server(name: str, folder: Path) -> Iterator[Server]:
    """Run the server of the version in a folder while the context is open."""
    (port,) = find_free_ports(1)
    process = subprocess.Popen(
        [sys.executable, "-c", SERVER, str(port)],
        cwd=folder,
        env={**os.environ, "PYTHONPATH": str(folder)},
        stdout=subprocess.PIPE,
    )
    try:
        process.stdout.readline()
        yield Server(name=name, port=port)
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


def compare(servers: list[Server], blocks: int, count: int, is_kept_alive: bool) -> str:
    """Return a line with the median times of both versions and their ratio.

    The smallest times are those with the least disturbance by other load.
    """
    times: dict[str, list[float]] = {server.name: [] for server in servers}
    for block in range(blocks):
        # The order changes, so that neither version is always first.
        for server in servers if block % 2 else servers[::-1]:
            times[server.name].append(server.run_requests(count, is_kept_alive))
    earlier, present = (statistics.median(times[server.name]) for server in servers)
    ratios = [
        new / old for old, new in zip(*(times[s.name] for s in servers), strict=True)
    ]
    least_earlier, least_present = (min(times[server.name]) for server in servers)
    kind = "one connection" if is_kept_alive else "a connection each"
    low, middle, high = statistics.quantiles(ratios, n=4)
    return (
        f"{kind}: {earlier:.1f} us before, {present:.1f} us now; ratio {middle:.3f} "
        f"(quartiles {low:.3f} to {high:.3f}, allowed {ALLOWED_RATIO}); smallest "
        f"{least_earlier:.1f} us and {least_present:.1f} us, "
        f"{least_present / least_earlier:.3f}"
    )


def run(
    earlier: Annotated[str, typer.Option(help="commit to compare with")] = (
        EARLIER_COMMIT
    ),
    blocks: Annotated[int, typer.Option(help="blocks of requests")] = 40,
    count: Annotated[int, typer.Option(help="requests in a block")] = 1000,
) -> None:
    """Print the processor time of a request in both versions."""
    with ExitStack() as stack:
        folder = stack.enter_context(extract_version(earlier))
        servers = [
            stack.enter_context(start_server("earlier", folder)),
            stack.enter_context(start_server("present", ROOT)),
        ]
        for is_kept_alive in (True, False):
            compare(servers, 2, count, is_kept_alive)
            print(compare(servers, blocks, count, is_kept_alive), flush=True)


if __name__ == "__main__":
    typer.run(run)
