"""Works docs/CAPACITY.md out from the recorded slopes.

Run with `python -m benchmarks.capacity`; `python -m benchmarks.slopes` measures the
slopes anew. A test keeps the page equal to what this module computes.
"""

import json
import math
from collections.abc import Iterator
from pathlib import Path

import cattrs
from attrs import frozen

from benchmarks.slopes import RECORD, Slope
from gentianhub.capacity.heartbeat_peers import (
    OWNERS_PER_REMOTE_DATA_CENTRE,
    choose_candidates,
    choose_heartbeat_peers,
)
from gentianhub.capacity.jobs import count_cells
from gentianhub.core import ProcessName
from gentianhub.host.membership import HEARTBEAT_TICKS
from gentianhub.host.process import TICK_S

PAGE = RECORD.parent / "CAPACITY.md"
TEXT = Path(__file__).resolve().parent / "capacity.md"
DAY_S = 86_400
# Period of the heartbeats with which the slope of the links was measured, s.
BEATS_OF_SLOPE_S = 0.25


@frozen(kw_only=True)
class DesignSize:
    """The size to design for, and what is assumed beside it.

    Assumed: jobs of 20 tasks on average, entry processes at 60% of a core, bodies
    and results of 100 bytes, jobs of 1 s, eight entry processes on a host.
    """

    targets: int = 33_000
    starts_per_s: float = 2.5e6
    data_centres: int = 24
    teams: int = 140
    changes_per_day: float = 68_000
    failures_per_day: float = 590
    restarts_per_day: float = 5_600
    core_share: float = 0.014
    memory_bytes: float = 128e6
    bytes_per_s: float = 26e3
    platform_reads_per_s: float = 2_000
    platform_writes_per_s: float = 300
    job_tasks: float = 20
    utilisation: float = 0.6
    job_s: float = 1.0
    processes_per_host: int = 8


@frozen(kw_only=True)
class Row:
    """One line of the page: a role's need, the figure and what carries it."""

    role: str
    need: str
    figure: str
    limit: str
    mechanism: str

    def format_line(self) -> str:
        """Return the row of the table."""
        cells = (self.role, self.need, self.figure, self.limit, self.mechanism)
        return "| " + " | ".join(cells) + " |"


@frozen(kw_only=True)
class Capacity:
    """Figures at the design size."""

    size: DesignSize
    slopes: dict[str, Slope]

    def evaluate(self, name: str, amount: float) -> float:
        """Return a slope's value at an amount."""
        slope = self.slopes[name]
        return slope.at_zero + slope.per_unit * amount

    @property
    def starts_per_centre_s(self) -> float:
        """Task starts a second in one data centre."""
        return self.size.starts_per_s / self.size.data_centres

    @property
    def targets_per_centre(self) -> float:
        """Targets in one data centre."""
        return self.size.targets / self.size.data_centres

    @property
    def job_us(self) -> float:
        """Processor time of an entry process for an average job, in us."""
        return self.evaluate("entry process: a job", self.size.job_tasks)

    @property
    def processes(self) -> int:
        """Entry processes in one data centre."""
        jobs_per_s = self.starts_per_centre_s / self.size.job_tasks
        return math.ceil(jobs_per_s * self.job_us / 1e6 / self.size.utilisation)

    @property
    def starts_per_process_s(self) -> float:
        """Task starts a second of one entry process."""
        return self.starts_per_centre_s / self.processes

    def find_rows(self) -> Iterator[Row]:
        """Yield every row of the page."""
        yield from self.find_entry_rows()
        yield from self.find_link_rows()
        yield from self.find_partner_rows()
        yield from self.find_table_rows()
        yield from self.find_platform_rows()
        yield from self.find_failure_rows()

    def find_entry_rows(self) -> Iterator[Row]:
        """Yield the rows of the path of tasks."""
        role = "entry process"
        yield Row(
            role=role,
            need="processes in a data centre",
            figure=f"{self.processes} (in all {self.processes * 24})",
            limit="—",
            mechanism=f"{self.job_us / self.size.job_tasks:.0f} us a task in jobs of "
            f"{self.size.job_tasks:.0f}; any process takes any job",
        )
        queued = self.starts_per_process_s * self.size.job_s
        jobs_per_s = self.starts_per_process_s / self.size.job_tasks
        answers = jobs_per_s * 60
        per_answer = self.slopes["memory of a kept answer"].per_unit
        extra = self.slopes["memory of a queued task"].per_unit
        answer_bytes = answers * (per_answer + (self.size.job_tasks - 1) * extra)
        yield Row(
            role=role,
            need="memory of tasks of 1 s and of answers kept for 60 s",
            figure=f"{(queued * extra + answer_bytes) / 1e6:.0f} MB",
            limit="256 MB of results by setting",
            mechanism="bounded queues, retention by time and bytes",
        )
        targets_mb = self.evaluate("memory of a target", self.targets_per_centre) / 1e6
        yield Row(
            role=role,
            need=f"memory of {self.targets_per_centre:.0f} targets",
            figure=f"{targets_mb:.2f} MB",
            limit="128 MB",
            mechanism="only targets of the own data centre are kept",
        )

    def find_link_rows(self) -> Iterator[Row]:
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
            limit=_judge(cores, self.size.core_share, "1.4%"),
            mechanism=mechanism,
        )
        yield Row(
            role=role,
            need="bytes a second both ways",
            figure=f"{sent / 1e3:.1f} KB/s",
            limit=_judge(sent, self.size.bytes_per_s, "26 KB/s"),
            mechanism=mechanism,
        )
        yield Row(
            role=role,
            need="memory of an idle process",
            figure=f"{memory / 1e6:.0f} MB",
            limit=_judge(memory, self.size.memory_bytes, "128 MB"),
            mechanism="one interpreter a process",
        )

    def find_partner_rows(self) -> Iterator[Row]:
        """Yield the rows of the heartbeats between hosts of the users' platform."""
        hosts = list(self._name_hosts())
        near = [host for host in hosts if host.data_centre == hosts[0].data_centre]
        cells = count_cells(math.ceil(self.targets_per_centre))
        candidates = choose_candidates(near, {}, cells)
        owners = sorted(candidates)[:cells]
        front = sorted(set(near) - candidates)[0]
        far_owners = OWNERS_PER_REMOTE_DATA_CENTRE * (self.size.data_centres - 1)
        front_partners = far_owners + len(
            choose_heartbeat_peers(front, near, owners, candidates, False, True)
        )
        owner_partners = len(
            choose_heartbeat_peers(owners[0], hosts, owners, candidates, True, True)
        )
        link = self.slopes["links: processor time"].per_unit / 1e6
        for role, partners in (("front", front_partners), ("owner", owner_partners)):
            per_s = partners / (HEARTBEAT_TICKS * TICK_S)
            cores = partners * link * BEATS_OF_SLOPE_S / (HEARTBEAT_TICKS * TICK_S)
            yield Row(
                role=f"{role} host on the users' platform",
                need=f"heartbeats to {partners} partners of {len(hosts)} hosts",
                figure=f"{per_s:.0f} a second each way, {cores:.2%} of a core",
                limit=_judge(cores, self.size.core_share, "1.4%"),
                mechanism="candidates and owners near, two owners in each other"
                " data centre",
            )

    def _name_hosts(self) -> Iterator[ProcessName]:
        for number in range(self.size.data_centres):
            for at in range(self.processes):
                yield ProcessName(data_centre=f"d{number}", process=f"d{number}-{at}")

    def find_table_rows(self) -> Iterator[Row]:
        """Yield the rows of the table of weights and limits."""
        per_s = self.size.changes_per_day / DAY_S
        rows = self.size.targets + 10 * self.size.teams
        apply_us = self.evaluate("applying a table change", rows)
        decode_us = self.slopes["decoding a table change"].per_unit
        share = per_s * (apply_us + decode_us) / 1e6
        yield Row(
            role="table",
            need=f"{per_s:.2f} changes a second on {rows} rows",
            figure=f"{share:.4%} of a core",
            limit=_judge(share, self.size.core_share, "1.4%"),
            mechanism="deltas; two pollers a data centre; siblings pass them on",
        )
        yield Row(
            role="table",
            need="time until in force",
            figure="0.5 s poll + 0.25 s heartbeat + round trips",
            limit="3 s: holds",
            mechanism="see docs/table.md; measured in the fault run",
        )

    def find_platform_rows(self) -> Iterator[Row]:
        """Yield the rows of the platform's table service and host list."""
        reads = 2 * self.size.data_centres * 2 * 2
        yield Row(
            role="table service",
            need="reads by pollers",
            figure=f"{reads} a second",
            limit=_judge(reads, self.size.platform_reads_per_s, "2,000 a second"),
            mechanism="2 pollers x 2 polls a second x (host list and changes)",
        )
        processes = self.processes * self.size.data_centres
        yield Row(
            role="table service",
            need=f"journal of {processes} processes",
            figure="200 writes a second",
            limit=_judge(200, self.size.platform_writes_per_s, "several hundred"),
            mechanism=f"one flush each {processes * 2 / 200:.0f} s and process",
        )
        claims = (self.size.platform_writes_per_s - 201) * 256
        yield Row(
            role="table service",
            need="keyed submissions",
            figure=f"at most {claims:,.0f} a second",
            limit=f"{self.size.starts_per_s / self.size.job_tasks:,.0f} jobs a second",
            mechanism="group commits of 256; jobs under issued ids cost no write",
        )
        list_bytes = self.evaluate("size of the host list", self.targets_per_centre)
        changes = self.size.failures_per_day + self.size.restarts_per_day
        rate = changes * 2 / self.size.data_centres / DAY_S * list_bytes
        yield Row(
            role="host list",
            need=f"{list_bytes / 1e3:.0f} KB, sent when changed",
            figure=f"{rate / 1e3:.2f} KB/s on average",
            limit=_judge(rate, self.size.bytes_per_s, "26 KB/s"),
            mechanism="entity tag and 304; only the own data centre's targets",
        )

    def find_failure_rows(self) -> Iterator[Row]:
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
        open_tasks = self.starts_per_process_s * self.size.job_s
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


def _judge(value: float, bound: float, text: str) -> str:
    return f"{text}: {'holds' if value <= bound else '**does not hold**'}"


def load_slopes() -> dict[str, Slope]:
    """Return the recorded slopes by name."""
    content = json.loads(RECORD.read_text())
    slopes = cattrs.structure(content["slopes"], list[Slope])
    return {slope.name: slope for slope in slopes}


def describe_slopes(slopes: dict[str, Slope]) -> Iterator[str]:
    """Yield a table row for each slope with its points."""
    for slope in slopes.values():
        points = "; ".join(f"{x:,.0f}: {y:,.1f}" for x, y in slope.points)
        yield (
            f"| {slope.name} | {slope.at_zero:,.1f} + {slope.per_unit:,.3f} x "
            f"| {slope.unit}, x = {slope.of} | {points} |"
        )


def build_page() -> str:
    """Return the page."""
    slopes = load_slopes()
    capacity = Capacity(size=DesignSize(), slopes=slopes)
    rows = "\n".join(row.format_line() for row in capacity.find_rows())
    text = TEXT.read_text()
    return text.replace("{rows}", rows).replace(
        "{slopes}", "\n".join(describe_slopes(slopes))
    )


if __name__ == "__main__":
    PAGE.write_text(build_page())
