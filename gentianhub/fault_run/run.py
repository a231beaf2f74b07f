"""Runs load with all faults on real processes, and reports the result."""

from collections import Counter
from collections.abc import Callable, Iterator
from typing import Annotated

import gevent
import typer

from gentianhub.client import EntryAddress
from gentianhub.core import read_monotonic_s, spawn_greenlet
from gentianhub.core.records import define, field, frozen
from gentianhub.fault_run.audit import (
    JobTrace,
    Violation,
    audit_run,
    classify_answer,
    read_starts,
)
from gentianhub.fault_run.faults import FaultInjector
from gentianhub.fault_run.load import CallerTask
from gentianhub.fault_run.plan import FaultPlan, plan_faults
from gentianhub.fault_run.testbed import Testbed, TestbedPlan, open_testbed
from gentianhub.fault_run.watch import VersionWatch
from gentianhub.stand_ins.processes import LOOPBACK, EntryPlan, TargetPlan

DATA_CENTRES = ("olten", "aarau")
ENTRIES = tuple(
    EntryPlan(name=f"{data_centre}-{number}", data_centre=data_centre)
    for data_centre in DATA_CENTRES
    for number in (1, 2)
)
TARGETS = tuple(
    TargetPlan(name=f"{data_centre}-t{number}", data_centre=data_centre, speed=speed)
    for data_centre in DATA_CENTRES
    for number, speed in enumerate((0.7, 1.0, 1.6))
)
TABLE_ROWS = (
    {"sheet": "teams", "name": "desk"},
    {"sheet": "services", "name": "checks", "team": "desk", "weight": 2.0},
    {"sheet": "services", "name": "reports", "team": "desk"},
)
MAX_PRINTED_VIOLATIONS = 20


@define(kw_only=True, eq=False)
class RunResult:
    """Counts, traces and violations of a run."""

    traces: list[JobTrace] = field(factory=list)
    violations: list[Violation] = field(factory=list)
    faults: dict[str, int] = field(factory=dict)
    starts: int = 0
    leaving_checks: int = 0
    in_force_p99_ms: float = 0.0
    in_force_max_ms: float = 0.0


@frozen(kw_only=True)
class RunPlan:
    """Size of a run: `callers` callers for `duration_s` seconds.

    `fault_gap_s` is the mean time between faults.
    """

    seed: int
    duration_s: float
    callers: int
    fault_gap_s: float


def run_faults(plan: RunPlan) -> RunResult:
    """Run load and faults together, then compare the answers with the starts."""
    testbed_plan = TestbedPlan(
        data_centres=DATA_CENTRES,
        entries=ENTRIES,
        targets=TARGETS,
        table_rows=TABLE_ROWS,
    )
    with open_testbed(testbed_plan) as testbed:
        return _run_load_and_faults(testbed, plan)


def _run_load_and_faults(testbed: Testbed, plan: RunPlan) -> RunResult:
    until_s = read_monotonic_s() + plan.duration_s

    def should_stop() -> bool:
        return read_monotonic_s() >= until_s

    injector = FaultInjector(testbed=testbed)
    watch = VersionWatch(testbed=testbed, injector=injector)
    watchers = [
        spawn_greenlet(watch.run_writer, should_stop),
        *(
            spawn_greenlet(watch.run_reader, entry.name, should_stop)
            for entry in ENTRIES
        ),
    ]
    callers = list(_start_callers(testbed, plan, should_stop))
    _inject_faults(injector, plan)
    gevent.joinall([task for _, task in callers], raise_error=True)
    gevent.joinall(watchers, raise_error=True)
    result = RunResult(faults=injector.counts)
    result.traces = [trace for caller, _ in callers for trace in caller.traces]
    starts = list(read_starts(testbed.locate_starts(target.name) for target in TARGETS))
    result.starts = len(starts)
    result.violations = [
        *audit_run(result.traces, starts),
        *watch.violations,
        *injector.violations,
    ]
    result.leaving_checks = injector.leaving_checks
    result.in_force_p99_ms = watch.in_force_ms.get_value_at_percentile(99)
    result.in_force_max_ms = watch.in_force_ms.get_max_value()
    return result


def _start_callers(
    testbed: Testbed, plan: RunPlan, should_stop: Callable[[], bool]
) -> Iterator[tuple[CallerTask, gevent.Greenlet]]:
    addresses = tuple(
        EntryAddress(host=LOOPBACK, port=testbed.children[entry.name].ports["callers"])
        for entry in ENTRIES
    )
    for number in range(plan.callers):
        caller = CallerTask(number=number, seed=plan.seed, addresses=addresses)
        yield caller, spawn_greenlet(caller.run, should_stop)


def _inject_faults(injector: FaultInjector, plan: RunPlan) -> None:
    """Start each planned fault at its time and wait until all have ended."""
    fault_plan = FaultPlan(
        seed=plan.seed,
        duration_s=plan.duration_s,
        gap_s=plan.fault_gap_s,
        entries=tuple(entry.name for entry in ENTRIES),
        targets=tuple(target.name for target in TARGETS),
        data_centres=DATA_CENTRES,
    )
    started_s = read_monotonic_s()
    running = []
    for planned in plan_faults(fault_plan):
        gevent.sleep(max(0.0, started_s + planned.start_s - read_monotonic_s()))
        running.append(spawn_greenlet(injector.run_fault, planned))
    gevent.joinall(running, raise_error=True)


def print_report(result: RunResult) -> None:
    """Print the counts and the first violations."""
    answers = Counter(
        classify_answer(answer) for trace in result.traces for answer in trace.answers
    )
    tasks = sum(len(trace.bodies) for trace in result.traces)
    print(f"jobs {len(result.traces)}, tasks {tasks}, starts {result.starts}")
    for name, count in sorted(answers.items()):
        print(f"  {name:<24}{count:>8}")
    faults = ", ".join(f"{name} {n}" for name, n in sorted(result.faults.items()))
    print(f"faults: {faults}")
    print(
        "table version in force at processes without a fault:"
        f" p99 {result.in_force_p99_ms} ms, max {result.in_force_max_ms} ms"
    )
    print(f"leaving targets checked: {result.leaving_checks}")
    print(f"violations: {len(result.violations)}")
    for violation in result.violations[:MAX_PRINTED_VIOLATIONS]:
        print(f"  {violation.guarantee}: {violation.subject}")


def run_command(
    seed: Annotated[int, typer.Option(help="Seed of load and faults.")] = 1,
    minutes: Annotated[float, typer.Option(min=0.1)] = 1.0,
    callers: Annotated[int, typer.Option(min=1)] = 12,
    fault_gap_s: Annotated[float, typer.Option(min=0.1)] = 1.5,
) -> None:
    """Run load and faults on real processes and check every guarantee."""
    plan = RunPlan(
        seed=seed, duration_s=minutes * 60, callers=callers, fault_gap_s=fault_gap_s
    )
    print(f"seed {seed}, {minutes} minutes, {callers} callers")
    result = run_faults(plan)
    print_report(result)
    if result.violations:
        raise typer.Exit(1)
