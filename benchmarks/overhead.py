"""Measures job overhead over a direct POST, and throughput of an entry process.

Run with `python -m benchmarks.overhead`. The direct POSTs and the jobs are measured
in one run on loopback; the direct POSTs go to one of the stand-in targets.
"""

import json
from collections.abc import Callable
from typing import Annotated

import gevent
import psutil
import typer
from attrs import frozen
from geventhttpclient import HTTPClient
from hdrh.histogram import HdrHistogram

from gentianhub.client import (
    EntryAddress,
    JobComplete,
    JobContent,
    Task,
    open_client,
)
from gentianhub.core import read_monotonic_s
from gentianhub.stand_ins.processes import (
    LOOPBACK,
    ChildProcess,
    EntryPlan,
    TargetPlan,
    start_deployment,
    wait_until_serving,
)

TABLE_ROWS = [
    {"sheet": "teams", "name": "desk"},
    {"sheet": "services", "name": "orders", "team": "desk"},
]
MAX_RECORDED_US = 60_000_000
BODY = json.dumps({"run_ms": 0}).encode()
JOB_DEADLINE_S = 30.0
WARM_UP_JOBS = 50


@frozen(kw_only=True)
class Throughput:
    """Tasks per second and cores used by the entry process."""

    job_tasks: int
    tasks_per_s: float
    core_share: float

    @property
    def tasks_per_core_s(self) -> float:
        """Tasks per second of the entry process's processor time."""
        return self.tasks_per_s / self.core_share


def measure_latencies(run: Callable[[], None], count: int) -> HdrHistogram:
    """Return the latencies of `count` calls in microseconds."""
    histogram = HdrHistogram(1, MAX_RECORDED_US, 3)
    for _ in range(count):
        started_s = read_monotonic_s()
        run()
        histogram.record_value(round((read_monotonic_s() - started_s) * 1e6))
    return histogram


def measure_direct(target: ChildProcess, count: int) -> HdrHistogram:
    """Return the latencies of direct POSTs over one connection, in microseconds."""
    client = HTTPClient(LOOPBACK, target.ports["target"], concurrency=1)

    def post_task() -> None:
        client.post("/run", body=BODY, headers={"Gentianhub-Task": "direct"}).read()

    measure_latencies(post_task, WARM_UP_JOBS)
    return measure_latencies(post_task, count)


def measure_dispatch(entry: ChildProcess, count: int) -> HdrHistogram:
    """Return the latencies of one-task jobs in microseconds, submission to answer."""
    address = EntryAddress(host=LOOPBACK, port=entry.ports["callers"])
    with open_client((address,)) as client:

        def run_job() -> None:
            job = _build_job(1)
            assert isinstance(client.run_job(job, JOB_DEADLINE_S), JobComplete)

        measure_latencies(run_job, WARM_UP_JOBS)
        return measure_latencies(run_job, count)


def measure_throughput(
    entry: ChildProcess, job_tasks: int, callers: int, duration_s: float
) -> Throughput:
    """Return the throughput of jobs submitted by `callers` greenlets."""
    address = EntryAddress(host=LOOPBACK, port=entry.ports["callers"])
    until_s = read_monotonic_s() + duration_s
    process = psutil.Process(entry.process.pid)
    before = process.cpu_times()

    def run_jobs() -> int:
        ended = 0
        with open_client((address,)) as client:
            while read_monotonic_s() < until_s:
                answer = client.run_job(_build_job(job_tasks), JOB_DEADLINE_S)
                ended += job_tasks * isinstance(answer, JobComplete)
        return ended

    started_s = read_monotonic_s()
    greenlets = [gevent.spawn(run_jobs) for _ in range(callers)]
    gevent.joinall(greenlets, raise_error=True)
    elapsed_s = read_monotonic_s() - started_s
    after = process.cpu_times()
    used_s = after.user + after.system - before.user - before.system
    return Throughput(
        job_tasks=job_tasks,
        tasks_per_s=sum(greenlet.value for greenlet in greenlets) / elapsed_s,
        core_share=used_s / elapsed_s,
    )


def _build_job(tasks: int) -> JobContent:
    return JobContent(
        service="orders",
        tasks=(Task(kind="empty", body=BODY),) * tasks,
        deadline_s=JOB_DEADLINE_S,
    )


def run_benchmark(
    count: Annotated[int, typer.Option(min=10)] = 2000,
    duration_s: Annotated[float, typer.Option(min=1)] = 5.0,
) -> None:
    """Print the overhead at low load and the throughput of one entry process."""
    targets = [TargetPlan(name=f"t{number}", slots=64) for number in range(4)]
    with start_deployment(
        targets=targets, entries=[EntryPlan(name="e1")], table_rows=TABLE_ROWS
    ) as deployment:
        wait_until_serving(deployment)
        entry = deployment.entries["e1"]
        direct = measure_direct(deployment.targets["t0"], count)
        dispatched = measure_dispatch(entry, count)
        _print_latencies("direct POST to the target", direct)
        _print_latencies("job of 1 task, submit and wait", dispatched)
        overhead_us = dispatched.get_value_at_percentile(
            50
        ) - direct.get_value_at_percentile(50)
        print(f"median overhead: {overhead_us / 1000:.2f} ms")
        for job_tasks, callers in ((1, 32), (10, 16), (100, 4)):
            throughput = measure_throughput(entry, job_tasks, callers, duration_s)
            _print_throughput(throughput)


def _print_latencies(label: str, histogram: HdrHistogram) -> None:
    p50, p99 = (histogram.get_value_at_percentile(q) / 1000 for q in (50, 99))
    print(f"{label:<28} p50 {p50:.2f} ms  p99 {p99:.2f} ms")


def _print_throughput(throughput: Throughput) -> None:
    print(
        f"jobs of {throughput.job_tasks:>3} tasks: "
        f"{throughput.tasks_per_s:>6.0f} tasks/s, "
        f"{throughput.core_share:.2f} cores of the entry process, "
        f"{throughput.tasks_per_core_s:.0f} tasks per core second"
    )


if __name__ == "__main__":
    typer.run(run_benchmark)
