"""The `development demo` command: a mixed load on a local deployment."""

from collections import Counter
from typing import Annotated

import gevent
import typer

from gentianhub.client import EntryAddress
from gentianhub.stand_ins.load import JobKind, LoadPlan, LoadResult, run_load
from gentianhub.stand_ins.processes import (
    LOOPBACK,
    EntryPlan,
    LocalDeployment,
    TargetPlan,
    start_deployment,
    wait_until_serving,
)

TARGETS = [
    TargetPlan(name="slow", speed=0.5),
    TargetPlan(name="even", speed=1.0),
    TargetPlan(name="good", speed=1.5),
    TargetPlan(name="fast", speed=2.0),
]
ENTRIES = [EntryPlan(name=f"e{number}") for number in (1, 2, 3)]
TABLE_ROWS = [
    {"sheet": "teams", "name": "hospitals", "weight": 2.0},
    {"sheet": "teams", "name": "sales", "weight": 1.0},
    {"sheet": "services", "name": "stock-check", "team": "hospitals", "weight": 2.0},
    {"sheet": "services", "name": "refill", "team": "hospitals", "weight": 1.0},
    {"sheet": "services", "name": "report", "team": "sales", "weight": 1.0},
]
JOB_KINDS = (
    JobKind(
        service="stock-check",
        share=0.7,
        task_counts=(1, 8),
        run_ms=(50, 200),
        deadline_s=5,
    ),
    JobKind(
        service="refill",
        share=0.25,
        task_counts=(1, 20),
        run_ms=(100, 400),
        deadline_s=8,
    ),
    JobKind(
        service="report",
        share=0.05,
        task_counts=(1, 4),
        run_ms=(1000, 3000),
        deadline_s=20,
    ),
)
COLUMNS = ("complete", "failed", "not run", "unknown")


def run_demo(
    duration_s: Annotated[float, typer.Option(min=5, help="Seconds of load.")] = 20.0,
    jobs_per_s: Annotated[float, typer.Option(min=0.1)] = 17.0,
    peak_factor: Annotated[float, typer.Option(min=1)] = 4.0,
    seed: Annotated[int, typer.Option(help="Seed of the load.")] = 1,
    kill_target: Annotated[
        bool, typer.Option(help="Kill one target with SIGKILL during the load.")
    ] = False,
) -> None:
    """Run a mixed load through 3 entry processes and 4 targets of different speeds."""
    speeds = [target.speed for target in TARGETS]
    plan = LoadPlan(
        kinds=JOB_KINDS,
        duration_s=duration_s,
        jobs_per_s=jobs_per_s,
        peak_factor=peak_factor,
        slots=sum(target.slots for target in TARGETS),
        mean_speed=sum(speeds) / len(speeds),
        seed=seed,
    )
    print(
        f"seed {seed}; starting 1 platform, {len(TARGETS)} targets, 3 entry processes"
    )
    with start_deployment(
        targets=TARGETS, entries=ENTRIES, table_rows=TABLE_ROWS
    ) as deployment:
        wait_until_serving(deployment)
        if kill_target:
            gevent.spawn_later(duration_s / 3, deployment.targets["good"].process.kill)
        addresses = tuple(
            EntryAddress(host=LOOPBACK, port=entry.ports["callers"])
            for entry in deployment.entries.values()
        )
        result = run_load(plan, addresses)
        starts, refused = _count_starts(deployment)
    _print_results(result, starts, refused)


def _count_starts(deployment: LocalDeployment) -> tuple[Counter, int]:
    starts: Counter = Counter()
    refused = 0
    for target in deployment.targets.values():
        if target.process.poll() is None:
            _, content = target.send_request("target", "GET", "/starts")
            starts.update(content["starts"])
            refused += content["refused"]
    return starts, refused


def _print_results(result: LoadResult, starts: Counter, refused: int) -> None:
    services = [kind.service for kind in JOB_KINDS]
    heading = "".join(f"{name:>10}" for name in COLUMNS)
    print(f"\n{'service':<14}{heading}   response over ideal p50 / p99")
    for service in services:
        counts = "".join(
            f"{result.answer_counts[(service, name)]:>10}" for name in COLUMNS
        )
        p50, p99 = (result.get_response_ratio(service, q) or 0.0 for q in (50.0, 99.0))
        print(f"{service:<14}{counts}   {p50:>14.2f} / {p99:.2f}")
    peak_jobs = sum(result.peak_answer_counts.values())
    share = result.peak_answer_counts["complete"] / peak_jobs if peak_jobs else 0.0
    print(f"\nat the peak: {share:.1%} of {peak_jobs} jobs complete")
    jobs = sum(result.answer_counts.values())
    print(f"complete within their deadline: {result.completed_in_time} of {jobs} jobs")
    sent = sum(starts.values()) + refused
    print(
        f"requests sent to targets: {sent}, "
        f"refused for lack of a slot: {refused / sent:.2%}"
    )
    repeated = sum(1 for count in starts.values() if count > 1)
    print(f"tasks started more than once: {repeated}")
    if repeated:
        raise typer.Exit(1)
