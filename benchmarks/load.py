"""Compares the chosen policies with the baselines under the same seeded load.

Run with `python -m benchmarks.load [--seeds N]`.
"""

from collections.abc import Iterator
from functools import cached_property
from itertools import chain

import typer
from attrs import define, evolve, frozen

from benchmarks.driver import JobTrace, LoadRun, PolicySet, run_arrivals, run_load
from benchmarks.policies import BASELINES, CHOSEN, VARIANTS
from benchmarks.report import (
    Quantiles,
    collect_ratios,
    compute_answered_share,
    compute_goodput,
    compute_quantiles,
    compute_recovery_s,
    compute_refused_share,
    compute_short_waits,
    compute_wasted_ratio,
)
from benchmarks.workload import (
    CONTROL_SERVICE,
    LONG_SERVICE,
    FailsAllTasks,
    FailureMode,
    Peak,
    RefusesAllTasks,
    ServicePlan,
    add_service,
    build_plan,
    draw_arrivals,
    draw_targets,
)

PEAK = Peak(start_s=8.0, length_s=8.0)
BURST = Peak(start_s=8.0, length_s=8.0, factor=20.0, service="rotation")
BROKEN_TARGETS = 2
FIRST_SEED = 1
# The p99 of waits depends on a few large jobs, so it needs more seeds and longer runs.
WAIT_SEEDS = 6
WAIT_LENGTH_S = 40.0


@frozen(kw_only=True)
class NormalLoadMetrics:
    """Metrics at normal load; `responses` holds response over ideal by service."""

    responses: dict[str, Quantiles]
    answered: float
    wasted: float


@frozen(kw_only=True)
class PeakMetrics:
    """Worst values over the seeds in a peak of all services."""

    goodput: float
    recovery_s: float


@frozen(kw_only=True)
class BurstMetrics:
    """Metrics of the other services while one sends 20 times its normal demand."""

    p99: float
    answered: float


@frozen(kw_only=True)
class WaitMetrics:
    """Waits of short tasks; `ratio` is the p99 with long tasks over that without."""

    ratio: float
    with_long_s: float
    refused_short: float
    answered_long: float


@define(kw_only=True, eq=False)
class LoadMetrics:
    """Metrics of one set of policies, pooled over the seeds.

    Each scenario runs once, when its metrics are first read.
    """

    policies: PolicySet
    seeds: tuple[int, ...]
    length_s: float = 30.0

    @cached_property
    def normal(self) -> NormalLoadMetrics:
        """Metrics at normal load with all targets healthy."""
        plans = [build_plan(seed, length_s=self.length_s) for seed in self.seeds]
        runs = [run_load(plan, self.policies) for plan in plans]
        return NormalLoadMetrics(
            responses={
                name: compute_quantiles(ratios)
                for name, ratios in collect_ratios(runs).items()
            },
            answered=min(map(compute_answered_share, runs)),
            wasted=max(map(compute_wasted_ratio, runs)),
        )

    @cached_property
    def peak(self) -> PeakMetrics:
        """Metrics of a peak of all services."""
        runs = [_run_peak(s, self.policies, self.length_s, PEAK) for s in self.seeds]
        return PeakMetrics(
            goodput=min(compute_goodput(r, PEAK.start_s, PEAK.end_s) for r in runs),
            recovery_s=max(
                compute_recovery_s(run, _run_control(run, self.policies))
                for run in runs
            ),
        )

    @cached_property
    def burst(self) -> BurstMetrics:
        """Metrics of the other services in a burst of one service."""
        runs = [_run_peak(s, self.policies, self.length_s, BURST) for s in self.seeds]
        for run in runs:
            run.traces = [t for t in run.traces if _is_other_service_in_burst(t)]
        return BurstMetrics(
            p99=compute_quantiles(collect_ratios(runs)["all"]).p99,
            answered=min(map(compute_answered_share, runs)),
        )

    @cached_property
    def wasted_on_refusal(self) -> float:
        """Wasted messages with two targets that refuse all tasks, worst seed."""
        return self._measure_wasted(RefusesAllTasks())

    @cached_property
    def wasted_on_failure(self) -> float:
        """Wasted messages with two targets that fail all tasks, worst seed."""
        return self._measure_wasted(FailsAllTasks())

    def _measure_wasted(self, mode: FailureMode) -> float:
        runs = (_run_faulty(seed, self.policies, mode) for seed in self.seeds)
        return max(map(compute_wasted_ratio, runs))

    @cached_property
    def waits(self) -> WaitMetrics:
        """Waits of short tasks with long tasks in the load."""
        control_waits = compute_short_waits(
            _run_with_service(self.policies, CONTROL_SERVICE)
        )
        with_long = list(_run_with_service(self.policies, LONG_SERVICE))
        wait_s = compute_short_waits(with_long).p99
        long_name = LONG_SERVICE.name
        return WaitMetrics(
            ratio=wait_s / control_waits.p99,
            with_long_s=wait_s,
            refused_short=compute_refused_share(with_long),
            answered_long=min(compute_answered_share(r, long_name) for r in with_long),
        )


def _run_peak(seed: int, policies: PolicySet, length_s: float, peak: Peak) -> LoadRun:
    return run_load(build_plan(seed, length_s=length_s, peak=peak), policies)


def _run_control(run: LoadRun, policies: PolicySet) -> LoadRun:
    """Run the same arrivals after the peak, with normal demand until its end."""
    peak = run.plan.peak
    plan = evolve(run.plan, peak=None)
    until_peak_end = (a for a in draw_arrivals(plan) if a.at_s < peak.end_s)
    after_peak_end = (a for a in run.arrivals if a.at_s >= peak.end_s)
    return run_arrivals(plan, policies, chain(until_peak_end, after_peak_end))


def _is_other_service_in_burst(trace: JobTrace) -> bool:
    arrival = trace.arrival
    in_burst = BURST.start_s <= arrival.at_s < BURST.end_s
    return in_burst and arrival.service != BURST.service


def _run_with_service(policies: PolicySet, added: ServicePlan) -> Iterator[LoadRun]:
    for seed in range(FIRST_SEED, FIRST_SEED + WAIT_SEEDS):
        plan = add_service(build_plan(seed, length_s=WAIT_LENGTH_S), added)
        yield run_load(plan, policies)


def _run_faulty(seed: int, policies: PolicySet, mode: FailureMode) -> LoadRun:
    targets = draw_targets(seed, broken=BROKEN_TARGETS, mode=mode)
    return run_load(build_plan(seed, targets=targets, length_s=10.0), policies)


def format_metrics(metrics: LoadMetrics) -> Iterator[str]:
    """Yield the lines of the report."""
    yield f"{metrics.policies.name}"
    for name, q in sorted(metrics.normal.responses.items()):
        yield (
            f"  response over ideal, {name:11} "
            f"p50 {q.p50:7.2f}  p99 {q.p99:7.2f}  p99.9 {q.p999:7.2f}  of {q.count}"
        )
    yield f"  jobs answered within their deadline    {metrics.normal.answered:8.4f}"
    yield f"  wasted messages                        {metrics.normal.wasted:8.4f}"
    yield f"  wasted, two targets refuse all tasks   {metrics.wasted_on_refusal:8.4f}"
    yield f"  wasted, two targets fail all tasks     {metrics.wasted_on_failure:8.4f}"
    yield f"  goodput over capacity in a 5x peak     {metrics.peak.goodput:8.4f}"
    yield f"  recovery time after the peak (s)       {metrics.peak.recovery_s:8.1f}"
    yield f"  p99 short wait, with long over without {metrics.waits.ratio:8.2f}"
    yield f"  p99 short wait with long tasks (s)     {metrics.waits.with_long_s:8.3f}"
    yield f"  p99 of other services in a burst       {metrics.burst.p99:8.2f}"
    yield f"  other services answered in a burst     {metrics.burst.answered:8.4f}"
    yield f"  short jobs refused with long tasks     {metrics.waits.refused_short:8.4f}"
    yield f"  long jobs answered within deadline     {metrics.waits.answered_long:8.4f}"


def run(seeds: int = 3, variants: bool = False) -> None:
    """Print the metrics of the chosen policies and of every baseline.

    With `--variants`, also those of the chosen policies with one policy left out.
    """
    numbers = tuple(range(FIRST_SEED, FIRST_SEED + seeds))
    others = (*BASELINES, *VARIANTS) if variants else BASELINES
    for policies in (CHOSEN, *others):
        for line in format_metrics(LoadMetrics(policies=policies, seeds=numbers)):
            print(line, flush=True)


if __name__ == "__main__":
    typer.run(run)
