"""Compares the target policies with baselines and with parts disabled.

Run with `python -m benchmarks.targets [SEED] [LENGTH_S]`. All metrics are ratios on
a manual clock, so a seed gives the same values on every machine.
"""

import random
import sys
from collections.abc import Iterator

from attrs import evolve, frozen

from benchmarks.driver import LoadRun, PolicySet, run_load
from benchmarks.policies import BASELINES, CHOSEN
from benchmarks.report import (
    compute_answered_share,
    compute_response_quantiles,
    compute_wasted_ratio,
)
from benchmarks.workload import (
    FailsAllTasks,
    LoadPlan,
    RefusesAllTasks,
    RefusesConnections,
    RefusesExcessTasks,
    RefusesTemporarily,
    build_plan,
    draw_targets,
)
from gentianhub.core import Incarnation
from gentianhub.decisions import Dispatcher
from gentianhub.decisions.placement import LeastLoaded
from gentianhub.decisions.retries import Retries, RetryPolicy
from gentianhub.decisions.targets import TargetSelectionOptions, TargetSelector

SEED = 1
LENGTH_S = 40.0
BROKEN_TARGETS = 2


@frozen(kw_only=True)
class Variant:
    """The chosen policies with some parts disabled or enabled."""

    name: str
    targets: TargetSelectionOptions = TargetSelectionOptions()
    retries: RetryPolicy = RetryPolicy()

    def build(self, owner: Incarnation, seed: int) -> Dispatcher:
        """Return a dispatcher with the policies of this variant."""
        return Dispatcher(
            owner=owner,
            targets=TargetSelector(options=self.targets, rng=random.Random(seed)),
            retries=Retries(policy=self.retries, rng=random.Random(seed)),
        )


NO_PROTECTION = TargetSelectionOptions(
    is_ejection_enabled=False, is_concurrency_limited=False
)
NO_BACKOFF = RetryPolicy(has_backoff=False)

VARIANTS = (
    Variant(
        name="without speeds", targets=TargetSelectionOptions(placement=LeastLoaded())
    ),
    Variant(
        name="without ejection",
        targets=TargetSelectionOptions(is_ejection_enabled=False),
    ),
    Variant(
        name="without limits",
        targets=TargetSelectionOptions(is_concurrency_limited=False),
    ),
    Variant(name="without back-off", retries=RetryPolicy(has_backoff=False)),
    Variant(name="with budget", retries=RetryPolicy(has_budget=True)),
    Variant(name="only speeds", targets=NO_PROTECTION, retries=NO_BACKOFF),
    Variant(
        name="speeds, ejection",
        targets=TargetSelectionOptions(is_concurrency_limited=False),
        retries=NO_BACKOFF,
    ),
    Variant(
        name="speeds, limits",
        targets=TargetSelectionOptions(is_ejection_enabled=False),
        retries=NO_BACKOFF,
    ),
    Variant(name="speeds, back-off", targets=NO_PROTECTION, retries=RetryPolicy()),
    Variant(
        name="speeds, budget",
        targets=NO_PROTECTION,
        retries=RetryPolicy(has_backoff=False, has_budget=True),
    ),
)


@frozen(kw_only=True)
class TargetMetrics:
    """Metrics of one run; `p50` and `p99` are response over ideal."""

    policies: str
    p50: float
    p99: float
    wasted: float
    answered: float


def build_scenarios(seed: int, length_s: float) -> dict[str, LoadPlan]:
    """Return the load plans by name, with healthy and with faulty targets."""
    modes = {
        "two fail everything": FailsAllTasks(),
        "two refuse everything": RefusesAllTasks(),
        "two refuse connections": RefusesConnections(),
        "two accept 4 of 8 tasks": RefusesExcessTasks(slots=4),
    }
    plans = {"all well": build_plan(seed, length_s=length_s)}
    for name, mode in modes.items():
        targets = draw_targets(seed, broken=BROKEN_TARGETS, mode=mode)
        plans[name] = build_plan(seed, targets=targets, length_s=length_s)
    outage = RefusesTemporarily(start_s=length_s / 2, end_s=length_s / 2 + 1.0)
    targets = tuple(evolve(t, mode=outage) for t in draw_targets(seed))
    plans["all refuse for 1 s"] = build_plan(seed, targets=targets, length_s=length_s)
    return plans


def compute_metrics(run: LoadRun, policies: str) -> TargetMetrics:
    """Return the metrics of a finished run."""
    ratios = compute_response_quantiles(run)["all"]
    return TargetMetrics(
        policies=policies,
        p50=ratios.p50,
        p99=ratios.p99,
        wasted=compute_wasted_ratio(run),
        answered=compute_answered_share(run),
    )


def compare_policies(plan: LoadPlan) -> Iterator[TargetMetrics]:
    """Yield the metrics of the chosen policies, the variants and the baselines."""
    variants = (PolicySet(name=v.name, build=v.build) for v in VARIANTS)
    for policies in (CHOSEN, *variants, *BASELINES):
        yield compute_metrics(run_load(plan, policies), policies.name)


def main() -> None:
    """Print one table per scenario."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else SEED
    length_s = float(sys.argv[2]) if len(sys.argv) > 2 else LENGTH_S
    for name, plan in build_scenarios(seed, length_s).items():
        print(f"\n{name} (seed {seed}, {length_s:g} s)")
        print(f"{'policies':<22}{'p50':>8}{'p99':>8}{'wasted':>10}{'answered':>10}")
        for row in compare_policies(plan):
            print(
                f"{row.policies:<22}{row.p50:>8.3f}{row.p99:>8.3f}"
                f"{row.wasted:>10.2%}{row.answered:>10.2%}",
                flush=True,
            )


if __name__ == "__main__":
    main()
