"""Metrics of a run, as ratios within the run or between runs of one seed."""

from collections import defaultdict
from collections.abc import Iterable, Iterator

from attrs import frozen
from hdrh.histogram import HdrHistogram

from benchmarks.driver import Attempt, JobTrace, LoadRun
from benchmarks.workload import LoadPlan

HISTOGRAM_SCALE = 1000
MAX_RECORDED_VALUE = 10_000_000
SIGNIFICANT_FIGURES = 3
RECOVERY_WINDOW_S = 0.5
RECOVERY_FACTOR = 1.5
REQUIRED_NORMAL_WINDOWS = 4


@frozen(kw_only=True)
class Quantiles:
    """Quantiles of a ratio or of a time."""

    p50: float
    p99: float
    p999: float
    count: int


def compute_quantiles(values: Iterable[float]) -> Quantiles:
    """Return the quantiles of values, to three significant figures."""
    histogram = HdrHistogram(1, MAX_RECORDED_VALUE, SIGNIFICANT_FIGURES)
    for value in values:
        histogram.record_value(
            min(MAX_RECORDED_VALUE, max(1, round(value * HISTOGRAM_SCALE)))
        )
    p50, p99, p999 = (
        histogram.get_value_at_percentile(q) / HISTOGRAM_SCALE for q in (50, 99, 99.9)
    )
    return Quantiles(p50=p50, p99=p99, p999=p999, count=histogram.get_total_count())


def compute_ideal_s(plan: LoadPlan, trace: JobTrace) -> float:
    """Return the response time of the job alone on idle targets of mean speed, in s."""
    arrival = trace.arrival
    longest_s = max(arrival.run_times_s)
    return max(longest_s, arrival.work_s / plan.slots) / plan.mean_speed


def compute_response_quantiles(run: LoadRun) -> dict[str, Quantiles]:
    """Return quantiles of response over ideal by service, and for all jobs as "all"."""
    return {name: compute_quantiles(r) for name, r in collect_ratios([run]).items()}


def collect_ratios(runs: Iterable[LoadRun]) -> dict[str, list[float]]:
    """Return each complete job's response over ideal, by service and under "all".

    Refused and failed jobs are left out; `compute_answered_share` counts them.
    """
    ratios = defaultdict(list)
    for run in runs:
        for trace in run.traces:
            if trace.is_complete:
                ratio = trace.response_s / compute_ideal_s(run.plan, trace)
                ratios[trace.arrival.service].append(ratio)
                ratios["all"].append(ratio)
    return ratios


def compute_answered_share(run: LoadRun, service: str | None = None) -> float:
    """Return the share of submitted jobs that completed within their deadline."""
    traces = [t for t in run.traces if service in (None, t.arrival.service)]
    return sum(trace.is_within_deadline for trace in traces) / max(1, len(traces))


def compute_refused_share(runs: Iterable[LoadRun]) -> float:
    """Return the share of submitted jobs of foreground services that were refused."""
    refused = submitted = 0
    for run in runs:
        background = {s.name for s in run.plan.services if s.is_background}
        traces = [t for t in run.traces if t.arrival.service not in background]
        refused += sum(trace.refusal is not None for trace in traces)
        submitted += len(traces)
    return refused / max(1, submitted)


def compute_wasted_ratio(run: LoadRun) -> float:
    """Return attempts sent over attempts needed, less 1.

    One attempt is needed for each task of a job that completed.
    """
    sent = sum(len(trace.attempts) for trace in run.traces)
    needed = sum(len(t.arrival.run_times_s) for t in run.traces if t.is_complete)
    return sent / max(1, needed) - 1


def compute_goodput(run: LoadRun, start_s: float, end_s: float) -> float:
    """Return useful work in a period as a share of the capacity in it.

    Work is useful if its job completed within its deadline.
    """
    useful_s = sum(
        _overlap_s(attempt, start_s, end_s) * attempt.speed
        for trace in run.traces
        if trace.is_within_deadline
        for attempt in trace.attempts
    )
    return useful_s / (run.plan.capacity * (end_s - start_s))


def _overlap_s(attempt: Attempt, start_s: float, end_s: float) -> float:
    return max(0.0, min(attempt.end_s, end_s) - max(attempt.start_s, start_s))


def compute_short_waits(runs: Iterable[LoadRun]) -> Quantiles:
    """Return quantiles of the time to first start of foreground tasks, in s."""
    return compute_quantiles(wait_s for run in runs for wait_s in _compute_waits(run))


def _compute_waits(run: LoadRun) -> Iterator[float]:
    background = {s.name for s in run.plan.services if s.is_background}
    for trace in run.traces:
        if trace.arrival.service in background:
            continue
        first = {}
        for attempt in trace.attempts:
            first.setdefault(attempt.task_id.index, attempt.start_s)
        yield from (start_s - trace.arrival.at_s for start_s in first.values())


def compute_recovery_s(run: LoadRun, control: LoadRun) -> float:
    """Return the time from the end of the peak until service is normal, in s.

    The control run has normal demand during the peak and the same arrivals after it.
    A window is normal if all jobs submitted in it completed and their median response
    over ideal is at most `RECOVERY_FACTOR` times the greater of the median before the
    peak and that of the control in the same window. A burst at normal load, which
    slows down the control as well, is thus not taken for an effect of the peak.
    Service is normal from the first of `REQUIRED_NORMAL_WINDOWS` consecutive normal
    windows.
    """
    peak = run.plan.peak
    before = [t for t in run.traces if t.arrival.at_s < peak.start_s]
    ratio_before_peak = _median_ratio(run.plan, before)
    windows = int((run.plan.length_s - peak.end_s) / RECOVERY_WINDOW_S)
    consecutive = 0
    for index in range(windows):
        start_s = peak.end_s + index * RECOVERY_WINDOW_S
        control_ratio = _median_ratio(run.plan, _select_window(control, start_s))
        limit = RECOVERY_FACTOR * max(ratio_before_peak, control_ratio)
        consecutive = consecutive + 1 if _is_normal(run, start_s, limit) else 0
        if consecutive == REQUIRED_NORMAL_WINDOWS:
            return (index + 1 - REQUIRED_NORMAL_WINDOWS) * RECOVERY_WINDOW_S
    return run.plan.length_s - peak.end_s


def _select_window(run: LoadRun, start_s: float) -> list[JobTrace]:
    end_s = start_s + RECOVERY_WINDOW_S
    return [t for t in run.traces if start_s <= t.arrival.at_s < end_s]


def _is_normal(run: LoadRun, start_s: float, limit: float) -> bool:
    window = _select_window(run, start_s)
    all_complete = all(trace.is_complete for trace in window)
    return all_complete and _median_ratio(run.plan, window) <= limit


def _median_ratio(plan: LoadPlan, traces: list[JobTrace]) -> float:
    return compute_quantiles(
        trace.response_s / compute_ideal_s(plan, trace)
        for trace in traces
        if trace.is_complete
    ).p50
