"""Runs the soak test: load and faults together, then the audit."""

import json
import math
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping
from datetime import datetime
from pathlib import Path
from typing import Annotated

import gevent
import typer
from gevent.event import Event
from geventhttpclient import HTTPClient

from gentianhub.core.records import define, field, frozen
from gentianhub.soak.audit import (
    Violation,
    audit_jobs,
    audit_leaving_targets,
    audit_recovery,
    audit_unanswered,
)
from gentianhub.soak.callers import Caller, JobTrace
from gentianhub.soak.faults import START_TIMEOUT_S, STORE, FaultInjector
from gentianhub.soak.plan import plan_faults
from gentianhub.soak.testbed import (
    DEFAULT_OBJECTIVE_MS,
    DEFAULT_ROOM,
    EXTRA_QUEUE_PREFIX,
    QUEUE_HOST,
    HostPlan,
    SoakTestbed,
    TargetPlan,
    open_testbed,
)
from gentianhub.stand_ins.processes import PORTS_PER_PROCESS, find_free_ports
from gentianhub.stand_ins.users_platform import RunRecord
from gentianhub.web import HTTP_ERRORS

DATA_CENTRES = ("olten", "aarau")
# A third one for callers that leave one and have tasks in another.
THIRD_DATA_CENTRE = "brugg"
HOSTS_PER_DATA_CENTRE = 2
# Targets in each data centre by their speed; each pair of its hosts adds one of each.
TARGET_SPEEDS = 3
# After the last fault: time to recover, then time in which jobs must be served.
RECOVERY_S = 3.0
FAULT_FREE_S = 3.0
MIN_SERVED_FRACTION = 0.95
# An operator's change must take effect within 2 s of its acknowledgement.
CONFIGURATION_LIMIT_S = 2.0
PROBE_INTERVAL_S = 0.25
STALL_CHECK_INTERVAL_S = 0.1
MAX_PRINTED_VIOLATIONS = 20
DEFAULT_CALLERS = 16
# Run time of the tasks on the fastest targets, s. Runs on targets whose rows lapse have
# to outlast the takeover of their cell. With departures, tasks wait in queues.
RUN_S = 0.04
LAPSE_RUN_S = 0.15
DEPARTURE_RUN_S = 0.3
# With losses in series, runs last longer than a caller waits before it comes again.
LONG_RUN_S = 2.2
LONG_ROOM = 16
LONG_OBJECTIVE_MS = 2500
# With suspensions, tasks of later submissions run when a host is resumed, and others
# wait in queues.
SUSPENSION_RUN_S = 0.6
SUSPENSION_ROOM = 8
SUSPENSION_OBJECTIVE_MS = 1200
# Delay with which the end of a caller's connection reaches its host.
DEPARTURE_DELAY_S = (0.01, 0.1)


@frozen(kw_only=True)
class SoakPlan:
    """Size of a run: `callers` callers and `duration_s` seconds with faults.

    `gap_s` is the mean time between the starts of two faults. `with_lapses` adds store
    outages during which the rows of targets expire. `crashing_fraction` of the jobs
    crash the targets that start their first task. During `departing_fraction` of the
    submissions their callers leave and come again, and hosts lose the connections to
    callers and to each other at once. `with_losses` adds long tasks, and series of
    losses of hosts and targets. `with_quotas` adds a third data centre, hosts with a
    processor quota, and departures that reach their host late; `with_suspensions` adds
    the same and suspended hosts.
    """

    seed: int
    duration_s: float
    callers: int = DEFAULT_CALLERS
    gap_s: float = 1.0
    with_lapses: bool = False
    crashing_fraction: float = 0.0
    departing_fraction: float = 0.0
    with_losses: bool = False
    with_suspensions: bool = False
    with_quotas: bool = False
    hosts_per_data_centre: int = HOSTS_PER_DATA_CENTRE

    @property
    def holds_hosts(self) -> bool:
        """Whether hosts are suspended or throttled while callers leave others."""
        return self.with_suspensions or self.with_quotas

    @property
    def is_overloaded(self) -> bool:
        """Whether the callers submit more than the targets can serve."""
        return self.departing_fraction > 0 or self.with_losses or self.holds_hosts

    @property
    def data_centres(self) -> tuple[str, ...]:
        """Names of the data centres."""
        return DATA_CENTRES + (THIRD_DATA_CENTRE,) * self.holds_hosts

    @property
    def objective_ms(self) -> int:
        """Latency objective of jobs, ms."""
        if self.holds_hosts:
            return SUSPENSION_OBJECTIVE_MS
        return LONG_OBJECTIVE_MS if self.with_losses else DEFAULT_OBJECTIVE_MS

    def list_hosts(self) -> tuple[HostPlan, ...]:
        """Return the hosts, each with its own loopback address.

        Hosts of other processes have other addresses, since the metrics port is fixed.
        """
        block = find_free_ports(1)[0] // PORTS_PER_PROCESS
        return tuple(
            HostPlan(
                name=f"{data_centre}-{number}",
                data_centre=data_centre,
                address=f"127.{block}.{4 + index}.{1 + number}",
            )
            for index, data_centre in enumerate(self.data_centres)
            for number in range(self.hosts_per_data_centre)
        )

    def list_targets(self) -> tuple[TargetPlan, ...]:
        """Return the targets; the run times of their tasks differ."""
        run_s, room = RUN_S, DEFAULT_ROOM
        if self.with_lapses:
            run_s = LAPSE_RUN_S
        if self.departing_fraction:
            run_s = DEPARTURE_RUN_S
        if self.holds_hosts:
            run_s, room = SUSPENSION_RUN_S, SUSPENSION_ROOM
        if self.with_losses:
            room = LONG_ROOM
        pairs = max(1, self.hosts_per_data_centre // 2)
        return tuple(
            TargetPlan(
                name=f"{data_centre}-t{number}",
                data_centre=data_centre,
                run_s=LONG_RUN_S
                if self.with_losses
                else run_s * (1 + number % TARGET_SPEEDS),
                room=room,
            )
            for data_centre in self.data_centres
            for number in range(TARGET_SPEEDS * pairs)
        )


# Seeds that exposed faults in the past; docs/soak.md gives the cause of each.
REGRESSION_PLANS = (
    SoakPlan(seed=106, duration_s=20.0, gap_s=0.7),
    SoakPlan(seed=201, duration_s=20.0, gap_s=0.7),
    SoakPlan(seed=520, duration_s=30.0, gap_s=0.7, with_lapses=True),
    SoakPlan(seed=521, duration_s=30.0, gap_s=0.7, with_lapses=True),
    SoakPlan(seed=700, duration_s=25.0, gap_s=0.7, crashing_fraction=0.01),
    SoakPlan(seed=701, duration_s=25.0, gap_s=0.7, crashing_fraction=0.01),
    *(
        SoakPlan(
            seed=seed, duration_s=20.0, gap_s=5.0, callers=48, departing_fraction=0.3
        )
        for seed in (1002, 1006, 1012, 1017)
    ),
    *(
        SoakPlan(
            seed=seed, duration_s=20.0, gap_s=10.0, callers=48, with_suspensions=True
        )
        for seed in (7001, 7003, 7006, 7007, 7011)
    ),
)


@define(kw_only=True, eq=False)
class SoakResult:
    """Counts, traces and violations of a run; `records` has the runs by target."""

    traces: list[JobTrace] = field(factory=list)
    violations: list[Violation] = field(factory=list)
    faults: Counter = field(factory=Counter)
    runs: int = 0
    records: dict[str, list[RunRecord]] = field(factory=dict)
    leaving_periods: int = 0
    probes: int = 0
    longest_stall_s: float = 0.0


@define(kw_only=True, eq=False)
class StallMeter:
    """Measures for how long this process did not run on a busy machine.

    Callers, relays and targets are late by a stall, which no host can make up for.
    """

    longest_s: float = 0.0

    def run(self, should_stop: Callable[[], bool]) -> None:
        """Measure until `should_stop` returns true."""
        while not should_stop():
            due_s = time.monotonic() + STALL_CHECK_INTERVAL_S
            gevent.sleep(STALL_CHECK_INTERVAL_S)
            self.longest_s = max(self.longest_s, time.monotonic() - due_s)


@define(kw_only=True, eq=False)
class ConfigurationProbe:
    """Checks at each host that an added or removed queue takes effect in time."""

    testbed: SoakTestbed
    injector: FaultInjector
    probes: int = 0
    violations: list[Violation] = field(factory=list)

    def run(self, should_stop: Callable[[], bool]) -> None:
        """Probe the hosts in turn until `should_stop` returns true."""
        while not should_stop():
            for host in self.testbed.hosts:
                self._probe_host(host)
                gevent.sleep(PROBE_INTERVAL_S)

    def _probe_host(self, host: str) -> None:
        version, sent_s = self.testbed.version, time.monotonic()
        has_extra_queue = self.testbed.has_extra_queue
        if sent_s < self.testbed.configured_s + CONFIGURATION_LIMIT_S:
            return
        client = HTTPClient(
            self.testbed.hosts[host].address,
            self.testbed.ports.callers,
            connection_timeout=1.0,
            network_timeout=1.0,
        )
        try:
            response = client.request(
                "GET", EXTRA_QUEUE_PREFIX, headers={"Host": QUEUE_HOST}
            )
            response.read()
        except HTTP_ERRORS:
            return
        finally:
            client.close()
        self._check_status(host, response.status_code, has_extra_queue, version, sent_s)

    def _check_status(
        self, host: str, status: int, has_extra_queue: bool, version: int, sent_s: float
    ) -> None:
        self.probes += 1
        expected = 200 if has_extra_queue else 404
        if status == expected or version != self.testbed.version:
            return
        # A fault at the host, or at the store that it reads, may delay the change.
        from_s = self.testbed.configured_s - CONFIGURATION_LIMIT_S
        if not self.injector.find_intervals([host, STORE], from_s, sent_s):
            subject = f"{host} answered {status} under version {version}"
            violation = Violation(guarantee="a change is in force", subject=subject)
            self.violations.append(violation)


def run_soak(plan: SoakPlan, folder: Path) -> SoakResult:
    """Run load and faults together; the hosts write their logs to `folder`."""
    hosts = plan.list_hosts()
    with open_testbed(
        hosts,
        plan.list_targets(),
        folder,
        objective_ms=plan.objective_ms,
        departure_delay_s=DEPARTURE_DELAY_S if plan.holds_hosts else (0.0, 0.0),
        is_suspendable=plan.with_suspensions,
    ) as testbed:
        for host in hosts:
            _wait_until_ready(testbed, host)
        return _run_load_and_faults(testbed, plan)


def _wait_until_ready(testbed: SoakTestbed, host: HostPlan) -> None:
    until_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < until_s:
        client = HTTPClient(host.address, testbed.ports.ready, network_timeout=1.0)
        try:
            response = client.request("GET", "/")
            response.read()
            if response.status_code == 200:
                return
        except HTTP_ERRORS:
            pass
        finally:
            client.close()
        gevent.sleep(0.1)
    raise TimeoutError(f"{host.name} not ready within {START_TIMEOUT_S:g} s")


def _run_load_and_faults(testbed: SoakTestbed, plan: SoakPlan) -> SoakResult:
    # Faults may end later than planned; the fault-free period still has full length.
    faults_ended, run_finished = Event(), Event()
    injector = FaultInjector(testbed=testbed)
    probe = ConfigurationProbe(testbed=testbed, injector=injector)
    callers = [
        Caller(
            number=number,
            seed=plan.seed,
            testbed=testbed,
            crashing_fraction=plan.crashing_fraction,
            departing_fraction=plan.departing_fraction,
            changes_data_centre=plan.with_losses or plan.holds_hosts,
            # Tasks wait only under more load than the targets can serve afterwards.
            is_extra=plan.is_overloaded and number % 4 > 0,
        )
        for number in range(plan.callers)
    ]
    stalls = StallMeter()
    greenlets = [
        gevent.spawn(task.run, run_finished.is_set) for task in (probe, stalls)
    ]
    for caller in callers:
        end = faults_ended if caller.is_extra else run_finished
        greenlets.append(gevent.spawn(caller.run, end.is_set))
    fault_free_from_s = _inject_faults(injector, plan) + RECOVERY_S
    faults_ended.set()
    for caller in callers:
        caller.crashing_fraction = caller.departing_fraction = 0.0
    gevent.sleep(RECOVERY_S + FAULT_FREE_S)
    run_finished.set()
    gevent.joinall(greenlets, raise_error=True)
    result = SoakResult(
        traces=[trace for caller in callers for trace in caller.traces],
        faults=Counter(interval.kind for interval in injector.intervals),
        leaving_periods=len(injector.leaving_periods),
        probes=probe.probes,
        longest_stall_s=stalls.longest_s,
    )
    result.violations = [*_audit(testbed, injector, result, fault_free_from_s)]
    result.violations += probe.violations
    result.records = {name: target.records for name, target in testbed.targets.items()}
    result.runs = sum(len(records) for records in result.records.values())
    return result


def _audit(
    testbed: SoakTestbed,
    injector: FaultInjector,
    result: SoakResult,
    fault_free_from_s: float,
) -> Iterator[Violation]:
    records = {name: target.records for name, target in testbed.targets.items()}
    all_records = [
        record for target_records in records.values() for record in target_records
    ]
    yield from audit_jobs(result.traces, all_records, injector.find_known_end_s)
    yield from audit_unanswered(result.traces, injector)
    yield from audit_leaving_targets(injector.leaving_periods, records, injector)
    yield from audit_recovery(result.traces, fault_free_from_s, MIN_SERVED_FRACTION)


def _inject_faults(injector: FaultInjector, plan: SoakPlan) -> float:
    """Start each planned fault at its time; return the time when all have ended."""
    started_s = time.monotonic()
    hosts, targets = tuple(injector.testbed.hosts), tuple(injector.testbed.targets)
    running = []
    for planned in plan_faults(
        plan.seed,
        plan.duration_s,
        plan.gap_s,
        hosts,
        targets,
        plan.with_lapses,
        with_departures=plan.departing_fraction > 0,
        with_losses=plan.with_losses,
        with_suspensions=plan.with_suspensions,
        with_quotas=plan.holds_hosts,
    ):
        gevent.sleep(max(0.0, started_s + planned.start_s - time.monotonic()))
        running.append(gevent.spawn(injector.run_fault, planned))
    gevent.joinall(running, raise_error=True)
    return time.monotonic()


def describe_result(result: SoakResult) -> Iterator[str]:
    """Yield report lines: the counts and the first violations."""
    answers = Counter(
        attempt.state or str(attempt.status)
        for trace in result.traces
        for attempt in trace.attempts
    )
    counts = ", ".join(f"{name} {count}" for name, count in sorted(answers.items()))
    faults = ", ".join(f"{name} {n}" for name, n in sorted(result.faults.items()))
    yield f"  jobs {len(result.traces)}, runs {result.runs}; answers: {counts}"
    yield f"  faults by subject: {faults}"
    yield f"  leaving targets {result.leaving_periods}, probes {result.probes}"
    yield f"  longest stall of this process {result.longest_stall_s:.1f} s"
    yield f"  violations: {len(result.violations)}"
    for violation in result.violations[:MAX_PRINTED_VIOLATIONS]:
        yield f"    {violation.guarantee}: {violation.subject}"


def run_command(
    first_seed: Annotated[int, typer.Option(help="Seed of load and faults.")] = 1,
    seeds: Annotated[
        int, typer.Option(min=1, help="Number of runs, one seed each.")
    ] = 1,
    seconds: Annotated[
        float, typer.Option(min=5.0, help="Duration of the faults in a run.")
    ] = 30.0,
    callers: Annotated[int, typer.Option(min=1)] = DEFAULT_CALLERS,
    gap_s: Annotated[float, typer.Option(min=0.1)] = 1.0,
    logs: Annotated[
        Path | None, typer.Option(help="Folder in which the logs are kept.")
    ] = None,
    lapses: Annotated[
        bool, typer.Option(help="Let rows of targets expire while the store is down.")
    ] = False,
    crashing: Annotated[
        float,
        typer.Option(min=0.0, max=1.0, help="Fraction of jobs that crash targets."),
    ] = 0.0,
    departures: Annotated[
        float,
        typer.Option(
            min=0.0,
            max=1.0,
            help="Fraction of submissions whose callers leave and come again.",
        ),
    ] = 0.0,
    losses: Annotated[
        bool, typer.Option(help="Add long tasks, and losses that follow one another.")
    ] = False,
    suspensions: Annotated[
        bool,
        typer.Option(help="Suspend hosts while callers of others leave; with quotas."),
    ] = False,
    quotas: Annotated[
        bool,
        typer.Option(help="Limit the processor time of hosts; departures are late."),
    ] = False,
    hosts: Annotated[
        int, typer.Option(min=2, help="Hosts in each data centre.")
    ] = HOSTS_PER_DATA_CENTRE,
    regressions: Annotated[
        bool, typer.Option(help="Run the regression seeds instead.")
    ] = False,
) -> None:
    """Run hosts under injected faults and check every guarantee."""
    seeded_plans = (
        SoakPlan(
            seed=seed,
            duration_s=seconds,
            callers=callers,
            gap_s=gap_s,
            with_lapses=lapses,
            crashing_fraction=crashing,
            departing_fraction=departures,
            with_losses=losses,
            with_suspensions=suspensions,
            with_quotas=quotas,
            hosts_per_data_centre=hosts,
        )
        for seed in range(first_seed, first_seed + seeds)
    )
    failed = [
        plan.seed
        for plan in (REGRESSION_PLANS if regressions else seeded_plans)
        if not _run_and_report(plan, logs)
    ]
    print(f"failed seeds: {failed or 'none'}")
    if failed:
        raise typer.Exit(1)


def _run_and_report(plan: SoakPlan, logs: Path | None) -> bool:
    """Run one plan and print its report; return whether no guarantee was violated."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(temporary) if logs is None else logs / f"seed-{plan.seed}"
        folder.mkdir(parents=True, exist_ok=True)
        result = run_soak(plan, folder)
        _write_violations(result, folder)
        _write_runs(result, folder)
    print(f"seed {plan.seed}, {plan.duration_s:g} s")
    for line in describe_result(result):
        print(line, flush=True)
    return not result.violations


def _write_violations(result: SoakResult, folder: Path) -> None:
    """Write the violations to the folder of the logs."""
    found = [[v.guarantee, v.subject] for v in result.violations]
    (folder / "violations.json").write_text(json.dumps(found, indent=1))


def _write_runs(result: SoakResult, folder: Path) -> None:
    """Write what the targets have run to the folder of the logs."""
    clock_offset_s = time.time() - time.monotonic()
    rows = describe_runs(result.records, clock_offset_s)
    lines = [json.dumps(row) + "\n" for row in rows]
    (folder / "runs.jsonl").write_text("".join(lines))


def describe_runs(
    records: Mapping[str, Iterable[RunRecord]], clock_offset_s: float
) -> Iterator[dict[str, str | int]]:
    """Yield the runs in the order of their starts, with times as in the hosts' logs.

    `clock_offset_s` is the time of day less the monotonic time, in seconds.
    """

    def describe_time(monotonic_s: float) -> str:
        if math.isinf(monotonic_s):
            return ""
        local = datetime.fromtimestamp(monotonic_s + clock_offset_s)
        return f"{local:%Y-%m-%d %H:%M:%S},{local.microsecond // 1000:03d}"

    runs = [(record, name) for name, group in records.items() for record in group]
    for record, name in sorted(runs, key=lambda item: item[0].started_s):
        yield {
            "time": describe_time(record.started_s),
            "ended": describe_time(record.ended_s),
            "target": name,
            "id": record.task,
            "run": record.run,
            "outcome": record.outcome,
        }
