"""Computes docs/CAPACITY.md from the recorded slopes.

Run with `python -m benchmarks.capacity`; `python -m benchmarks.slopes` measures the
slopes again. A test compares the page with the output of this module.
"""

import json
import math
from collections.abc import Iterator
from pathlib import Path

import cattrs
from attrs import frozen

from benchmarks.slopes import SLOPES_FILE, Slope
from gentianhub.capacity.heartbeat_peers import (
    OWNERS_PER_REMOTE_DATA_CENTRE,
    choose_candidates,
    choose_heartbeat_peers,
)
from gentianhub.capacity.jobs import count_cells
from gentianhub.core import ProcessName
from gentianhub.host.membership import HEARTBEAT_TICKS
from gentianhub.host.process import TICK_S

PAGE = SLOPES_FILE.parent / "CAPACITY.md"
TEMPLATE = Path(__file__).resolve().parent / "capacity.md"
DAY_S = 86_400
# Heartbeat period in the measurement of the link slopes.
SLOPE_HEARTBEAT_PERIOD_S = 0.25


@frozen(kw_only=True)
class DesignSize:
    """Design load, limits per process and assumptions.

    Assumptions: jobs of 20 tasks on average, entry processes at 60% of a core, bodies
    and results of 100 bytes, jobs of 1 s, eight entry processes on a host.
    """

    targets: int = 33_000
    starts_per_s: float = 2.5e6
    data_centres: int = 24
    teams: int = 140
    changes_per_day: float = 68_000
    failures_per_day: float = 590
    restarts_per_day: float = 5_600
    max_core_share: float = 0.014
    max_memory_bytes: float = 128e6
    max_bytes_per_s: float = 26e3
    max_table_reads_per_s: float = 2_000
    max_table_writes_per_s: float = 300
    job_tasks: float = 20
    utilisation: float = 0.6
    job_s: float = 1.0
    processes_per_host: int = 8


@frozen(kw_only=True)
class Row:
    """One table row: a requirement of a role, its value, limit and mechanism."""

    role: str
    need: str
    figure: str
    limit: str
    mechanism: str

    def format_row(self) -> str:
        """Return the row as a Markdown table row."""
        cells = (self.role, self.need, self.figure, self.limit, self.mechanism)
        return "| " + " | ".join(cells) + " |"


@frozen(kw_only=True)
class Capacity:
    """Resource use at the design size."""

    size: DesignSize
    slopes: dict[str, Slope]

    def evaluate(self, name: str, amount: float) -> float:
        """Return the value of a slope's line at an amount."""
        slope = self.slopes[name]
        return slope.at_zero + slope.per_unit * amount

    @property
    def data_centre_starts_per_s(self) -> float:
        """Task starts per second in one data centre."""
        return self.size.starts_per_s / self.size.data_centres

    @property
    def data_centre_targets(self) -> float:
        """Targets in one data centre."""
        return self.size.targets / self.size.data_centres

    @property
    def job_cpu_us(self) -> float:
        """Processor time of an entry process for an average job, in microseconds."""
        return self.evaluate("entry process: a job", self.size.job_tasks)

    @property
    def processes(self) -> int:
        """Entry processes in one data centre."""
        jobs_per_s = self.data_centre_starts_per_s / self.size.job_tasks
        return math.ceil(jobs_per_s * self.job_cpu_us / 1e6 / self.size.utilisation)

    @property
    def process_starts_per_s(self) -> float:
        """Task starts per second of one entry process."""
        return self.data_centre_starts_per_s / self.processes

    def build_rows(self) -> Iterator[Row]:
        """Yield every row of the page."""
        yield from self.build_entry_rows()
        yield from self.build_link_rows()
        yield from self.build_partner_rows()
        yield from self.build_table_rows()
        yield from self.build_platform_rows()
        yield from self.build_failure_rows()

    def build_entry_rows(self) -> Iterator[Row]:
        """Yield the rows of the processing of tasks in an entry process."""
        role = "entry process"
        yield Row(
            role=role,
            need="processes in a data centre",
            figure=f"{self.processes} (in all {self.processes * 24})",
            limit="—",
            mechanism=f"{self.job_cpu_us / self.size.job_tasks:.0f} us a task in jobs"
            f" of {self.size.job_tasks:.0f}; any process takes any job",
        )
        queued = self.process_starts_per_s * self.size.job_s
        jobs_per_s = self.process_starts_per_s / self.size.job_tasks
        answers = jobs_per_s * 60
        per_answer = self.slopes["memory of a kept answer"].per_unit
        per_task = self.slopes["memory of a queued task"].per_unit
        answer_bytes = answers * (per_answer + (self.size.job_tasks - 1) * per_task)
        yield Row(
            role=role,
            need="memory of tasks of 1 s and of answers kept for 60 s",
            figure=f"{(queued * per_task + answer_bytes) / 1e6:.0f} MB",
            limit="256 MB of results by setting",
            mechanism="bounded queues, retention by time and bytes",
        )
        targets_mb = self.evaluate("memory of a target", self.data_centre_targets) / 1e6
        yield Row(
            role=role,
            need=f"memory of {self.data_centre_targets:.0f} targets",
            figure=f"{targets_mb:.2f} MB",
            limit="128 MB",
            mechanism="only targets of the own data centre are kept",
        )

    def build_link_rows(self) -> Iterator[Row]:
        """Yield the rows of the links between entry processes."""
        others = self.processes - 1
        cores = self.evaluate("links: processor time", others) / 1e6
        sent = self.evaluate("links: frames both ways", others)
        memory = self.evaluate("links: memory of a process", others)
        role, mechanism = "sibling links", "heartbeat of 250 ms on a link per pair"
        yield Row(
            role=role,
            need=f"processor time with {others} others",
            figure=f"{cores:.2%} of a core",
            limit=_format_limit(cores, self.size.max_core_share, "1.4%"),
            mechanism=mechanism,
        )
        yield Row(
            role=role,
            need="bytes a second both ways",
            figure=f"{sent / 1e3:.1f} KB/s",
            limit=_format_limit(sent, self.size.max_bytes_per_s, "26 KB/s"),
            mechanism=mechanism,
        )
        yield Row(
            role=role,
            need="memory of an idle process",
            figure=f"{memory / 1e6:.0f} MB",
            limit=_format_limit(memory, self.size.max_memory_bytes, "128 MB"),
            mechanism="one interpreter a process",
        )

    def build_partner_rows(self) -> Iterator[Row]:
        """Yield the rows of the heartbeats between hosts on the users' platform."""
        hosts = list(self._generate_host_names())
        local_hosts = [
            host for host in hosts if host.data_centre == hosts[0].data_centre
        ]
        cells = count_cells(math.ceil(self.data_centre_targets))
        candidates = choose_candidates(local_hosts, {}, cells)
        owners = sorted(candidates)[:cells]
        front = sorted(set(local_hosts) - candidates)[0]
        remote_owners = OWNERS_PER_REMOTE_DATA_CENTRE * (self.size.data_centres - 1)
        front_partners = remote_owners + len(
            choose_heartbeat_peers(front, local_hosts, owners, candidates, False, True)
        )
        owner_partners = len(
            choose_heartbeat_peers(owners[0], hosts, owners, candidates, True, True)
        )
        link_cores = self.slopes["links: processor time"].per_unit / 1e6
        for role, partners in (("front", front_partners), ("owner", owner_partners)):
            per_s = partners / (HEARTBEAT_TICKS * TICK_S)
            cores = (
                partners
                * link_cores
                * SLOPE_HEARTBEAT_PERIOD_S
                / (HEARTBEAT_TICKS * TICK_S)
            )
            yield Row(
                role=f"{role} host on the users' platform",
                need=f"heartbeats to {partners} partners of {len(hosts)} hosts",
                figure=f"{per_s:.0f} a second each way, {cores:.2%} of a core",
                limit=_format_limit(cores, self.size.max_core_share, "1.4%"),
                mechanism="candidates and owners near, two owners in each other"
                " data centre",
            )

    def _generate_host_names(self) -> Iterator[ProcessName]:
        for number in range(self.size.data_centres):
            for process_number in range(self.processes):
                yield ProcessName(
                    data_centre=f"d{number}", process=f"d{number}-{process_number}"
                )

    def build_table_rows(self) -> Iterator[Row]:
        """Yield the rows of the configuration table."""
        per_s = self.size.changes_per_day / DAY_S
        rows = self.size.targets + 10 * self.size.teams
        apply_us = self.evaluate("applying a table change", rows)
        decode_us = self.slopes["decoding a table change"].per_unit
        share = per_s * (apply_us + decode_us) / 1e6
        yield Row(
            role="table",
            need=f"{per_s:.2f} changes a second on {rows} rows",
            figure=f"{share:.4%} of a core",
            limit=_format_limit(share, self.size.max_core_share, "1.4%"),
            mechanism="deltas; two pollers a data centre; siblings pass them on",
        )
        yield Row(
            role="table",
            need="time until in force",
            figure="0.5 s poll + 0.25 s heartbeat + round trips",
            limit="3 s: holds",
            mechanism="see docs/table.md; measured in the fault run",
        )

    def build_platform_rows(self) -> Iterator[Row]:
        """Yield the rows of the platform's table service and host list."""
        reads = 2 * self.size.data_centres * 2 * 2
        yield Row(
            role="table service",
            need="reads by pollers",
            figure=f"{reads} a second",
            limit=_format_limit(
                reads, self.size.max_table_reads_per_s, "2,000 a second"
            ),
            mechanism="2 pollers x 2 polls a second x (host list and changes)",
        )
        processes = self.processes * self.size.data_centres
        yield Row(
            role="table service",
            need=f"journal of {processes} processes",
            figure="200 writes a second",
            limit=_format_limit(
                200, self.size.max_table_writes_per_s, "several hundred"
            ),
            mechanism=f"one flush each {processes * 2 / 200:.0f} s and process",
        )
        claims = (self.size.max_table_writes_per_s - 201) * 256
        yield Row(
            role="table service",
            need="keyed submissions",
            figure=f"at most {claims:,.0f} a second",
            limit=f"{self.size.starts_per_s / self.size.job_tasks:,.0f} jobs a second",
            mechanism="group commits of 256; jobs under issued ids cost no write",
        )
        list_bytes = self.evaluate("size of the host list", self.data_centre_targets)
        changes = self.size.failures_per_day + self.size.restarts_per_day
        rate = changes * 2 / self.size.data_centres / DAY_S * list_bytes
        yield Row(
            role="host list",
            need=f"{list_bytes / 1e3:.0f} KB, sent when changed",
            figure=f"{rate / 1e3:.2f} KB/s on average",
            limit=_format_limit(rate, self.size.max_bytes_per_s, "26 KB/s"),
            mechanism="entity tag and 304; only the own data centre's targets",
        )

    def build_failure_rows(self) -> Iterator[Row]:
        """Yield the rows of failures and restarts."""
        hosts = self.size.targets + self.processes * 24 / self.size.processes_per_host
        share = self.processes * 24 / self.size.processes_per_host / hosts
        lost = self.size.failures_per_day * share
        restarts = self.size.restarts_per_day * share
        yield Row(
            role="entry hosts",
            need="lost and restarted a day",
            figure=f"{lost:.1f} and {restarts:.0f} of {hosts * share:.0f}",
            limit="—",
            mechanism="owners' jobs unknown, slots back after the 2 s lease",
        )
        open_tasks = self.process_starts_per_s * self.size.job_s
        yield Row(
            role="entry hosts",
            need="tasks unknown for each lost host",
            figure=f"{open_tasks * self.size.processes_per_host:,.0f}",
            limit="—",
            mechanism="those in flight or queued; finished answers are in the journal",
        )
        targets_lost = self.size.failures_per_day * (1 - share)
        yield Row(
            role="targets",
            need="failures a day in a data centre",
            figure=f"{targets_lost / self.size.data_centres:.0f}",
            limit="—",
            mechanism="ejection by each process after one failed connection",
        )


def _format_limit(value: float, limit_value: float, text: str) -> str:
    return f"{text}: {'holds' if value <= limit_value else '**does not hold**'}"


def load_slopes() -> dict[str, Slope]:
    """Return the recorded slopes by name."""
    content = json.loads(SLOPES_FILE.read_text())
    slopes = cattrs.structure(content["slopes"], list[Slope])
    return {slope.name: slope for slope in slopes}


def describe_slopes(slopes: dict[str, Slope]) -> Iterator[str]:
    """Yield a Markdown table row for each slope with its points."""
    for slope in slopes.values():
        points = "; ".join(f"{x:,.0f}: {y:,.1f}" for x, y in slope.points)
        yield (
            f"| {slope.name} | {slope.at_zero:,.1f} + {slope.per_unit:,.3f} x "
            f"| {slope.unit}, x = {slope.of} | {points} |"
        )


def build_page() -> str:
    """Return the text of the capacity page."""
    slopes = load_slopes()
    capacity = Capacity(size=DesignSize(), slopes=slopes)
    rows = "\n".join(row.format_row() for row in capacity.build_rows())
    text = TEMPLATE.read_text()
    return text.replace("{rows}", rows).replace(
        "{slopes}", "\n".join(describe_slopes(slopes))
    )


if __name__ == "__main__":
    PAGE.write_text(build_page())
