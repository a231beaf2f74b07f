"""Seeded load of mixed jobs, submitted to the caller ports of a deployment."""

import json
import random
from collections import Counter
from collections.abc import Iterator

import gevent
from gevent.pool import Pool
from hdrh.histogram import HdrHistogram

from gentianhub.client import (
    EntryAddress,
    JobComplete,
    JobContent,
    JobFailed,
    Refusal,
    Task,
    open_client,
)
from gentianhub.core import RunState, read_monotonic_s
from gentianhub.core.records import define, field, frozen

RATIO_SCALE = 100
MAX_RATIO = 10_000
MAX_OPEN_JOBS = 200


@frozen(kw_only=True)
class JobKind:
    """A kind of job: its relative frequency and the ranges of its random sizes."""

    service: str
    share: float
    task_counts: tuple[int, int]
    run_ms: tuple[float, float]
    deadline_s: float


@frozen(kw_only=True)
class PlannedJob:
    """A job, its submission time relative to the run and its ideal response time."""

    submit_at_s: float
    service: str
    tasks: tuple[Task, ...]
    ideal_s: float
    deadline_s: float
    is_peak: bool


@frozen(kw_only=True)
class LoadPlan:
    """Load of `jobs_per_s`, multiplied by `peak_factor` in the middle fifth."""

    kinds: tuple[JobKind, ...]
    duration_s: float
    jobs_per_s: float
    peak_factor: float
    slots: int
    mean_speed: float
    seed: int


def _build_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_RATIO * RATIO_SCALE, 3)


@define(kw_only=True, eq=False)
class LoadResult:
    """Counts of answers, and ratios of actual to ideal response times."""

    answer_counts: Counter = field(factory=Counter)
    peak_answer_counts: Counter = field(factory=Counter)
    tasks: int = 0
    completed_in_time: int = 0
    ratios: dict[str, HdrHistogram] = field(factory=dict)

    def count_answer(self, job: PlannedJob, answer, response_s: float) -> None:
        """Count one job's answer."""
        name = classify_answer(answer)
        self.answer_counts[(job.service, name)] += 1
        self.completed_in_time += name == "complete" and response_s <= job.deadline_s
        if job.is_peak:
            self.peak_answer_counts[name] += 1
        if isinstance(answer, JobComplete):
            assert len(answer.results) == len(job.tasks), "partial answer"
            histogram = self.ratios.setdefault(job.service, _build_histogram())
            ratio = min(response_s / job.ideal_s, MAX_RATIO)
            histogram.record_value(round(ratio * RATIO_SCALE))

    def get_response_ratio(self, service: str, percentile: float) -> float | None:
        """Return a percentile of actual to ideal response time, None without data."""
        histogram = self.ratios.get(service)
        if histogram is None:
            return None
        return histogram.get_value_at_percentile(percentile) / RATIO_SCALE


def classify_answer(answer) -> str:
    """Return the column of the result table in which an answer is counted."""
    match answer:
        case JobComplete():
            return "complete"
        case JobFailed():
            return "failed"
        case Refusal(run=RunState.NOT_RUN):
            return "not run"
        case Refusal():
            return "unknown"


def plan_jobs(plan: LoadPlan) -> Iterator[PlannedJob]:
    """Yield the jobs of a load in order of submission."""
    rng = random.Random(plan.seed)
    submit_at_s = 0.0
    while submit_at_s < plan.duration_s:
        is_peak = 0.4 <= submit_at_s / plan.duration_s < 0.6
        rate = plan.jobs_per_s * (plan.peak_factor if is_peak else 1.0)
        submit_at_s += rng.expovariate(rate)
        yield _draw_job(rng, plan, submit_at_s, is_peak)


def _draw_job(
    rng: random.Random, plan: LoadPlan, submit_at_s: float, is_peak: bool
) -> PlannedJob:
    kind = rng.choices(plan.kinds, [kind.share for kind in plan.kinds])[0]
    run_ms = [rng.uniform(*kind.run_ms) for _ in range(rng.randint(*kind.task_counts))]
    tasks = tuple(
        Task(kind=kind.service, body=json.dumps({"run_ms": run_ms}).encode())
        for run_ms in run_ms
    )
    ideal_ms = max(max(run_ms), sum(run_ms) / plan.slots) / plan.mean_speed
    return PlannedJob(
        submit_at_s=submit_at_s,
        service=kind.service,
        tasks=tasks,
        ideal_s=ideal_ms / 1000,
        deadline_s=kind.deadline_s,
        is_peak=is_peak,
    )


def run_load(plan: LoadPlan, addresses: tuple[EntryAddress, ...]) -> LoadResult:
    """Submit each job at its time; return when all have been answered."""
    result = LoadResult()
    pool = Pool(MAX_OPEN_JOBS)
    started_s = read_monotonic_s()
    for number, job in enumerate(plan_jobs(plan)):
        gevent.sleep(max(0.0, started_s + job.submit_at_s - read_monotonic_s()))
        shift = number % len(addresses)
        pool.spawn(_run_job, job, addresses[shift:] + addresses[:shift], result)
        result.tasks += len(job.tasks)
    pool.join()
    return result


def _run_job(
    job: PlannedJob, addresses: tuple[EntryAddress, ...], result: LoadResult
) -> None:
    content = JobContent(
        service=job.service, tasks=job.tasks, deadline_s=job.deadline_s
    )
    with open_client(addresses) as client:
        started_s = read_monotonic_s()
        answer = client.run_job(content, wait_s=3 * job.deadline_s)
        result.count_answer(job, answer, read_monotonic_s() - started_s)
