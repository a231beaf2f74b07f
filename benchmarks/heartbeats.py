"""Bytes, processor time and memory that idle links cost each entry process.

Run with `python -m benchmarks.heartbeats`. The processes run on loopback without
load; one process alone gives the part that is not due to siblings.
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
    Child,
    Deployment,
    EntryPlan,
    TargetPlan,
    start_deployment,
)

TABLE_ROWS = [
    {"sheet": "teams", "name": "desk"},
    {"sheet": "services", "name": "orders", "team": "desk"},
]
POLL_S = 0.2


@frozen(kw_only=True)
class Usage:
    """Totals of one process since its start; bytes are those in the frames."""

    at_s: float
    cpu_s: float
    sent_bytes: int
    received_bytes: int
    memory_bytes: int


@frozen(kw_only=True)
class Rates:
    """What one process used over the measurement."""

    core_share: float
    sent_bytes_per_s: float
    received_bytes_per_s: float
    memory_bytes: int


def read_siblings(entry: Child) -> dict:
    """Return what the state dump shows of the siblings."""
    return entry.call("operators", "GET", "/dump")[1]["siblings"]


def read_usage(entry: Child) -> Usage:
    """Return the totals of one process."""
    links = read_siblings(entry)["links"]
    process = psutil.Process(entry.popen.pid)
    times = process.cpu_times()
    return Usage(
        at_s=read_monotonic_s(),
        cpu_s=times.user + times.system,
        sent_bytes=sum(link["sent_bytes"] for link in links),
        received_bytes=sum(link["received_bytes"] for link in links),
        memory_bytes=process.memory_info().rss,
    )


def compute_rates(first: Usage, last: Usage) -> Rates:
    """Return the rates between two readings."""
    seconds = last.at_s - first.at_s
    return Rates(
        core_share=(last.cpu_s - first.cpu_s) / seconds,
        sent_bytes_per_s=(last.sent_bytes - first.sent_bytes) / seconds,
        received_bytes_per_s=(last.received_bytes - first.received_bytes) / seconds,
        memory_bytes=last.memory_bytes,
    )


def wait_until_linked(deployment: Deployment) -> None:
    """Block until each process hears all the others."""
    entries = list(deployment.entries.values())
    for entry in entries:
        while len(read_siblings(entry)["live"]) < len(entries):
            gevent.sleep(POLL_S)


def measure_processes(count: int, seconds: float) -> Iterator[Rates]:
    """Yield the rates of each of `count` processes of one data centre."""
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
    """Return a line with the median and the greatest value over the processes."""
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
    """Measure deployments of several sizes, one after the other."""
    for count in counts:
        rates = list(measure_processes(count, seconds))
        print(describe_rates(count, rates), flush=True)


if __name__ == "__main__":
    typer.run(run)
