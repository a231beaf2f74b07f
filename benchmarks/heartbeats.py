"""Measures traffic, processor time and memory of idle sibling links.

Run with `python -m benchmarks.heartbeats`. The entry processes run on loopback
without load; a single process gives the part that is not due to siblings.
"""

import statistics
from collections.abc import Iterator
from typing import Annotated

import gevent
import psutil
import typer
from attrs import frozen

from gentianhub.core import read_monotonic_s
from gentianhub.stand_ins.processes import (
    ChildProcess,
    EntryPlan,
    LocalDeployment,
    TargetPlan,
    start_deployment,
)

TABLE_ROWS = [
    {"sheet": "teams", "name": "desk"},
    {"sheet": "services", "name": "orders", "team": "desk"},
]
POLL_PERIOD_S = 0.2


@frozen(kw_only=True)
class Usage:
    """Resource use of one process since its start; bytes count frames only."""

    sampled_at_s: float
    cpu_s: float
    sent_bytes: int
    received_bytes: int
    memory_bytes: int


@frozen(kw_only=True)
class Rates:
    """Resource use of one process over the measurement."""

    core_share: float
    sent_bytes_per_s: float
    received_bytes_per_s: float
    memory_bytes: int


def read_sibling_state(entry: ChildProcess) -> dict:
    """Return the sibling section of the state dump."""
    return entry.send_request("operators", "GET", "/dump")[1]["siblings"]


def read_usage(entry: ChildProcess) -> Usage:
    """Return the resource use of one process since its start."""
    links = read_sibling_state(entry)["links"]
    process = psutil.Process(entry.process.pid)
    times = process.cpu_times()
    return Usage(
        sampled_at_s=read_monotonic_s(),
        cpu_s=times.user + times.system,
        sent_bytes=sum(link["sent_bytes"] for link in links),
        received_bytes=sum(link["received_bytes"] for link in links),
        memory_bytes=process.memory_info().rss,
    )


def compute_rates(first: Usage, last: Usage) -> Rates:
    """Return the rates between two samples."""
    seconds = last.sampled_at_s - first.sampled_at_s
    return Rates(
        core_share=(last.cpu_s - first.cpu_s) / seconds,
        sent_bytes_per_s=(last.sent_bytes - first.sent_bytes) / seconds,
        received_bytes_per_s=(last.received_bytes - first.received_bytes) / seconds,
        memory_bytes=last.memory_bytes,
    )


def wait_until_linked(deployment: LocalDeployment) -> None:
    """Block until each process lists all processes as live."""
    entries = list(deployment.entries.values())
    for entry in entries:
        while len(read_sibling_state(entry)["live"]) < len(entries):
            gevent.sleep(POLL_PERIOD_S)


def measure_processes(count: int, seconds: float) -> Iterator[Rates]:
    """Yield the rates of each of `count` entry processes of one data centre."""
    plans = [EntryPlan(name=f"e{number}") for number in range(count)]
    targets = [TargetPlan(name="t1")]
    with start_deployment(
        targets=targets, entries=plans, table_rows=TABLE_ROWS
    ) as deployment:
        wait_until_linked(deployment)
        entries = deployment.entries.values()
        first = [read_usage(entry) for entry in entries]
        gevent.sleep(seconds)
        last = [read_usage(entry) for entry in entries]
    yield from map(compute_rates, first, last)


def describe_rates(count: int, rates: list[Rates]) -> str:
    """Return a line with the median and the maximum over the processes."""
    shares = [100 * rate.core_share for rate in rates]
    sent = [rate.sent_bytes_per_s / 1000 for rate in rates]
    received = [rate.received_bytes_per_s / 1000 for rate in rates]
    memory = [rate.memory_bytes / 1e6 for rate in rates]
    columns = [
        f"{statistics.median(values):.2f} (max {max(values):.2f}) {unit}"
        for values, unit in (
            (shares, "% of a core"),
            (sent, "KB/s sent"),
            (received, "KB/s received"),
            (memory, "MB"),
        )
    ]
    return f"{count} processes: " + ", ".join(columns)


def run(
    counts: Annotated[list[int], typer.Option("--count")] = [1, 3, 12, 48],  # noqa: B006
    seconds: Annotated[float, typer.Option(min=1.0)] = 20.0,
) -> None:
    """Measure deployments of several sizes in turn."""
    for count in counts:
        rates = list(measure_processes(count, seconds))
        print(describe_rates(count, rates), flush=True)


if __name__ == "__main__":
    typer.run(run)
