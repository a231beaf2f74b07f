"""Measures the slopes from which docs/CAPACITY.md is computed.

Run with `python -m benchmarks.slopes`; it writes `docs/capacity-slopes.json`. Each
slope is a line fitted to three sizes or more, measured on one machine in one run.
"""

import gc
import json
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable, Iterator
from pathlib import Path

import cattrs
from attrs import frozen

from benchmarks.heartbeats import measure_processes
from benchmarks.overhead import TABLE_ROWS, measure_throughput
from gentianhub.core import (
    Complete,
    Incarnation,
    JobId,
    JobRequest,
    Mailbox,
    ProcessName,
    ServiceRow,
    Table,
    TargetAddress,
    TargetRow,
    Task,
    TaskId,
)
from gentianhub.core import events as ev
from gentianhub.decisions import Dispatcher
from gentianhub.decisions.admission import NoLoadShedding
from gentianhub.decisions.versions import TableChange, apply_change
from gentianhub.stand_ins.processes import (
    EntryPlan,
    TargetPlan,
    start_deployment,
    wait_until_serving,
)
from gentianhub.storage.rows import decode_change, decode_targets, encode_change

SLOPES_FILE = Path(__file__).resolve().parent.parent / "docs" / "capacity-slopes.json"
OWNER = Incarnation(name=ProcessName(data_centre="olten", process="e1"), token="0" * 16)
REPETITIONS = 5
THROUGHPUT_DURATION_S = 5.0
HEARTBEAT_DURATION_S = 10.0


@frozen(kw_only=True)
class Slope:
    """A line fitted to `points`: `per_unit` in `unit` for each of `of`."""

    name: str
    unit: str
    of: str
    points: tuple[tuple[float, float], ...]
    per_unit: float
    at_zero: float


def fit_slope(name: str, unit: str, of: str, points) -> Slope:
    """Return the least-squares line through the points."""
    points = tuple(points)
    line = statistics.linear_regression(*zip(*points, strict=True))
    return Slope(
        name=name,
        unit=unit,
        of=of,
        points=points,
        per_unit=line.slope,
        at_zero=line.intercept,
    )


def measure_cpu_us(run: Callable[[], object]) -> float:
    """Return the least processor time of `REPETITIONS` calls in microseconds."""
    times = []
    for _ in range(REPETITIONS):
        started_s = time.process_time()
        run()
        times.append(time.process_time() - started_s)
    return min(times) * 1e6


def measure_allocated_bytes(build: Callable[[], object]) -> int:
    """Return the number of bytes that the built object keeps allocated."""
    gc.collect()
    tracemalloc.start()
    built = build()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return size


def build_request(tasks: int, number: int) -> JobRequest:
    """Return a job request whose task bodies take 100 bytes each."""
    return JobRequest(
        service="orders",
        tasks=tuple(
            Task(kind="check", body=b"%099d" % (number * 1000 + index))
            for index in range(tasks)
        ),
        deadline_s=600.0,
        idempotent=False,
        digest=f"{number:064d}",
    )


def build_dispatcher(jobs: int, job_tasks: int = 10) -> Dispatcher:
    """Return a dispatcher without targets that holds `jobs` queued jobs."""
    dispatcher = Dispatcher(owner=OWNER, admission=NoLoadShedding())
    services = {
        "orders": ServiceRow(name="orders", team="desk", max_queued_s=1e9),
    }
    table = Table(version=1, services=services)
    list(dispatcher.handle(ev.TableAdopted(table=table), 0.0))
    for number in range(jobs):
        submit = ev.SubmitJob(
            request=build_request(job_tasks, number), reply_to=Mailbox(limit=1)
        )
        list(dispatcher.handle(submit, 0.001 * number))
    return dispatcher


def measure_queued_tasks() -> Slope:
    """Return the memory of queued tasks in jobs of ten, with bodies of 100 bytes."""
    points = [
        (jobs * 10, measure_allocated_bytes(lambda jobs=jobs: build_dispatcher(jobs)))
        for jobs in (50, 200, 800)
    ]
    return fit_slope("memory of a queued task", "bytes", "queued tasks", points)


def measure_kept_answers() -> Slope:
    """Return the memory of kept answers with results of 100 bytes."""

    def build(jobs: int) -> Dispatcher:
        dispatcher = build_dispatcher(jobs, job_tasks=1)
        for sequence in range(1, jobs + 1):
            task_id = TaskId(job_id=JobId(owner=OWNER, sequence=sequence), index=0)
            result = Complete(result=b"%099d" % sequence, run_s=0.1)
            list(dispatcher.ledger.end_task(task_id, result, 1.0))
        return dispatcher

    points = [
        (jobs, measure_allocated_bytes(lambda jobs=jobs: build(jobs)))
        for jobs in (200, 800, 3200)
    ]
    return fit_slope("memory of a kept answer", "bytes", "jobs of one task", points)


def build_table(rows: int) -> Table:
    """Return a table with `rows` target rows."""
    targets = {f"t{number}": TargetRow(name=f"t{number}") for number in range(rows)}
    return Table(version=1, targets=targets)


def measure_table_change() -> Slope:
    """Return the processor time to apply one change, against the rows of the table."""
    change = TableChange(
        version=2,
        change_id="x" * 32,
        author="operator",
        reason="weight",
        rows=(ServiceRow(name="orders", team="desk"),),
    )
    points = []
    for rows in (1_000, 10_000, 33_000):
        table = build_table(rows)
        points.append(
            (rows, measure_cpu_us(lambda table=table: apply_change(table, change)))
        )
    return fit_slope("applying a table change", "us", "rows in the table", points)


def measure_change_decoding() -> Slope:
    """Return the processor time to decode table changes, against their number."""
    content = encode_change(
        TableChange(
            version=1,
            change_id="x" * 32,
            author="operator",
            reason="weight",
            rows=(ServiceRow(name="orders", team="desk"),),
        )
    )
    points = []
    for count in (100, 400, 1600):

        def decode(count: int = count) -> None:
            for _ in range(count):
                decode_change(content)

        points.append((count, measure_cpu_us(decode)))
    return fit_slope("decoding a table change", "us", "changes", points)


def build_host_list(targets: int) -> dict:
    """Return a host list in the platform's format."""
    rows = [
        {
            "name": f"olten-r{number // 8}-t{number}",
            "data_centre": "olten",
            "host": "127.0.0.1",
            "port": 8000,
            "state": "live",
        }
        for number in range(targets)
    ]
    return {"entry_processes": [], "targets": rows}


def measure_host_list() -> Iterator[Slope]:
    """Yield the size of the host list and the processor time to decode it."""
    sizes, times = [], []
    for targets in (24, 240, 1_400):
        text = json.dumps(build_host_list(targets))
        sizes.append((targets, len(text)))
        times.append(
            (
                targets,
                measure_cpu_us(
                    lambda text=text: decode_targets(json.loads(text), "olten")
                ),
            )
        )
    yield fit_slope("size of the host list", "bytes", "targets", sizes)
    yield fit_slope("decoding the host list", "us", "targets", times)


def measure_target_state() -> Slope:
    """Return the memory that a dispatcher uses for targets."""

    def build(count: int) -> Dispatcher:
        dispatcher = Dispatcher(owner=OWNER)
        targets = tuple(
            TargetAddress(
                name=f"t{number}", data_centre="olten", host="127.0.0.1", port=8000
            )
            for number in range(count)
        )
        list(dispatcher.handle(ev.TargetsListed(targets=targets), 0.0))
        return dispatcher

    points = [
        (count, measure_allocated_bytes(lambda count=count: build(count)))
        for count in (24, 240, 1_400)
    ]
    return fit_slope("memory of a target", "bytes", "targets", points)


def measure_entry_cpu() -> Slope:
    """Return the processor time of an entry process per job, against its tasks."""
    targets = [TargetPlan(name=f"t{number}", slots=64) for number in range(4)]
    points = []
    with start_deployment(
        targets=targets, entries=[EntryPlan(name="e1")], table_rows=TABLE_ROWS
    ) as deployment:
        wait_until_serving(deployment)
        entry = deployment.entries["e1"]
        for job_tasks, callers in ((1, 32), (10, 16), (100, 4)):
            throughput = measure_throughput(
                entry, job_tasks, callers, THROUGHPUT_DURATION_S
            )
            points.append((job_tasks, 1e6 * job_tasks / throughput.tasks_per_core_s))
    return fit_slope("entry process: a job", "us", "tasks in the job", points)


def measure_sibling_links() -> Iterator[Slope]:
    """Yield processor time, traffic and memory of idle links, against the processes."""
    cpu_us_per_s, sizes, memory = [], [], []
    for count in (3, 12, 36):
        rates = list(measure_processes(count, HEARTBEAT_DURATION_S))
        others = count - 1
        cores = statistics.median(rate.core_share for rate in rates)
        cpu_us_per_s.append((others, cores * 1e6))
        bytes_per_s = (
            rate.sent_bytes_per_s + rate.received_bytes_per_s for rate in rates
        )
        sizes.append((others, statistics.median(bytes_per_s)))
        memory.append((others, statistics.median(rate.memory_bytes for rate in rates)))
    yield fit_slope("links: processor time", "us/s", "other processes", cpu_us_per_s)
    yield fit_slope("links: frames both ways", "bytes/s", "other processes", sizes)
    yield fit_slope("links: memory of a process", "bytes", "other processes", memory)


def measure_all() -> Iterator[Slope]:
    """Yield every slope."""
    yield measure_entry_cpu()
    yield from measure_sibling_links()
    yield measure_queued_tasks()
    yield measure_kept_answers()
    yield measure_target_state()
    yield measure_table_change()
    yield measure_change_decoding()
    yield from measure_host_list()


def record_slopes() -> None:
    """Measure every slope; print each and write it to the file at once."""
    slopes = []
    for slope in measure_all():
        print(
            f"{slope.name:<28}{slope.per_unit:>12.3f} {slope.unit} per {slope.of}",
            file=sys.stderr,
            flush=True,
        )
        slopes.append(cattrs.unstructure(slope))
        SLOPES_FILE.write_text(json.dumps({"slopes": slopes}, indent=1) + "\n")


if __name__ == "__main__":
    record_slopes()
