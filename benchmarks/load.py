"""Compares the chosen policies with the baselines under one seeded load.

Run with `python -m benchmarks.load [--seeds N]`.
"""

from collections.abc import Iterator

import typer
from attrs import frozen

from benchmarks.driver import JobTrace, LoadRun, PolicySet, run_load
from benchmarks.policies import BASELINES, CHOSEN, VARIANTS
from benchmarks.report import (
    Quantiles,
    measure_answered,
    measure_goodput,
    measure_quantiles,
    measure_recovery_s,
    measure_refused,
    measure_short_waits,
    measure_wasted,
    pool_ratios,
)
from benchmarks.workload import (
    FILLER_SERVICE,
    LONG_SERVICE,
    FailsAll,
    Peak,
    RefusesAll,
    ServicePlan,
    add_service,
    build_plan,
    draw_targets,
)

PEAK = Peak(start_s=8.0, length_s=8.0)
BURST = Peak(start_s=8.0, length_s=8.0, factor=20.0, service="rotation")
BROKEN_TARGETS = 2
FIRST_SEED = 1
# A p99 of waits rests on few large jobs, so this case needs more of them.
WAIT_SEEDS = 6
WAIT_LENGTH_S = 40.0


@frozen(kw_only=True)
class LoadFigures:
    """Figures of one set of policies, pooled over the seeds.

    `responses` holds response over ideal by service. The ratio of waits is that of
    the p99 with long work over that without. The worst recovery counts. `others`
    are the services beside the one that sends 20 times its normal demand.
    """

    policies: str
    responses: dict[str, Quantiles]
    answered: float
    wasted: float
    wasted_refusing: float
    wasted_failing: float
    goodput: float
    recovery_s: float
    wait_ratio: float
    wait_with_long_s: float
    others_p99: float
    others_answered: float
    answered_long: float
    refused_short: float


def measure_policies(
    policies: PolicySet, seeds: tuple[int, ...], length_s: float = 30.0
) -> LoadFigures:
    """Run every case for every seed and return the figures."""
    normal = [run_load(build_plan(s, length_s=length_s), policies) for s in seeds]
    peaks = [_run_peak(seed, policies, length_s, PEAK) for seed in seeds]
    bursts = [_run_peak(seed, policies, length_s, BURST) for seed in seeds]
    for burst in bursts:
        burst.traces = [t for t in burst.traces if _is_beside_burst(t)]
    refusing = [_run_broken(seed, policies, RefusesAll()) for seed in seeds]
    failing = [_run_broken(seed, policies, FailsAll()) for seed in seeds]
    without = list(_run_added(policies, FILLER_SERVICE))
    with_long = list(_run_added(policies, LONG_SERVICE))
    wait_s = measure_short_waits(with_long).p99
    return LoadFigures(
        policies=policies.name,
        responses={
            name: measure_quantiles(ratios)
            for name, ratios in pool_ratios(normal).items()
        },
        answered=min(map(measure_answered, normal)),
        wasted=max(map(measure_wasted, normal)),
        wasted_refusing=max(map(measure_wasted, refusing)),
        wasted_failing=max(map(measure_wasted, failing)),
        goodput=min(measure_goodput(r, PEAK.start_s, PEAK.end_s) for r in peaks),
        recovery_s=max(map(measure_recovery_s, peaks)),
        wait_ratio=wait_s / measure_short_waits(without).p99,
        wait_with_long_s=wait_s,
        others_p99=measure_quantiles(pool_ratios(bursts)["all"]).p99,
        others_answered=min(map(measure_answered, bursts)),
        answered_long=min(measure_answered(r, LONG_SERVICE.name) for r in with_long),
        refused_short=measure_refused(with_long),
    )


def _run_peak(seed: int, policies: PolicySet, length_s: float, peak: Peak) -> LoadRun:
    return run_load(build_plan(seed, length_s=length_s, peak=peak), policies)


def _is_beside_burst(trace: JobTrace) -> bool:
    arrival = trace.arrival
    in_burst = BURST.start_s <= arrival.at_s < BURST.end_s
    return in_burst and arrival.service != BURST.service


def _run_added(policies: PolicySet, added: ServicePlan) -> Iterator[LoadRun]:
    for seed in range(FIRST_SEED, FIRST_SEED + WAIT_SEEDS):
        plan = add_service(build_plan(seed, length_s=WAIT_LENGTH_S), added)
        yield run_load(plan, policies)


def _run_broken(seed: int, policies: PolicySet, mode) -> LoadRun:
    targets = draw_targets(seed, broken=BROKEN_TARGETS, mode=mode)
    return run_load(build_plan(seed, targets=targets, length_s=10.0), policies)


def render_figures(figures: LoadFigures) -> Iterator[str]:
    """Yield lines of text with the figures."""
    yield f"{figures.policies}"
    for name, q in sorted(figures.responses.items()):
        yield (
            f"  response over ideal, {name:11} "
            f"p50 {q.p50:7.2f}  p99 {q.p99:7.2f}  p99.9 {q.p999:7.2f}  of {q.count}"
        )
    yield f"  jobs answered in their deadline        {figures.answered:8.4f}"
    yield f"  wasted messages                        {figures.wasted:8.4f}"
    yield f"  the same, two targets refusing all     {figures.wasted_refusing:8.4f}"
    yield f"  the same, two targets failing all      {figures.wasted_failing:8.4f}"
    yield f"  goodput at a 5x peak over capacity     {figures.goodput:8.4f}"
    yield f"  normal again after the peak (s)        {figures.recovery_s:8.1f}"
    yield f"  p99 short wait, long work over without {figures.wait_ratio:8.2f}"
    yield f"  p99 short wait with long work (s)      {figures.wait_with_long_s:8.3f}"
    yield f"  p99 of others in a burst of one        {figures.others_p99:8.2f}"
    yield f"  others answered in a burst of one      {figures.others_answered:8.4f}"
    yield f"  short jobs refused with long work      {figures.refused_short:8.4f}"
    yield f"  long jobs answered in their deadline   {figures.answered_long:8.4f}"


def run(seeds: int = 3, variants: bool = False) -> None:
    """Print the figures of the chosen policies and of every baseline.

    With `--variants`, also those of sets that lack one of the chosen policies.
    """
    numbers = tuple(range(FIRST_SEED, FIRST_SEED + seeds))
    others = (*BASELINES, *VARIANTS) if variants else BASELINES
    for policies in (CHOSEN, *others):
        for line in render_figures(measure_policies(policies, numbers)):
            print(line, flush=True)


if __name__ == "__main__":
    typer.run(run)
