"""Policy sets that the load benchmark compares."""

import random

from benchmarks.driver import PolicySet
from gentianhub.core import Incarnation
from gentianhub.decisions import Dispatcher
from gentianhub.decisions.admission import (
    QUEUE_SHARE,
    AdmitKnownServices,
    LoadShedding,
)
from gentianhub.decisions.fairness import LONG_SHARE, FairOrder
from gentianhub.decisions.nodes import AGEING
from gentianhub.decisions.order import FirstInFirstOut
from gentianhub.decisions.placement import (
    MostIdle,
    PlacementPolicy,
    RandomIdle,
    RoundRobin,
)
from gentianhub.decisions.retries import Retries, RetryPolicy
from gentianhub.decisions.runtimes import RunTimes
from gentianhub.decisions.targets import KnownTargets, TargetPolicies


def _build_baseline(name: str, placement: PlacementPolicy) -> PolicySet:
    def build(owner: Incarnation, seed: int) -> Dispatcher:
        policies = TargetPolicies(
            placement=placement, ejection=False, concurrency=False
        )
        targets = KnownTargets(policies=policies, rng=random.Random(seed))
        retries = Retries(
            policy=RetryPolicy(backoff=False, budget=False), rng=random.Random(seed)
        )
        return Dispatcher(
            owner=owner,
            order=FirstInFirstOut(),
            admission=AdmitKnownServices(),
            targets=targets,
            retries=retries,
        )

    return PolicySet(name=name, build=build)


def _build_variant(
    name: str,
    *,
    has_load_shedding: bool = True,
    queue_share: float = QUEUE_SHARE,
    long_share: float = LONG_SHARE,
    ageing: float = AGEING,
) -> PolicySet:
    def build(owner: Incarnation, seed: int) -> Dispatcher:
        runtimes = RunTimes()
        order = FairOrder(runtimes=runtimes, long_share=long_share, ageing=ageing)
        shedding = LoadShedding(
            order=order,
            runtimes=runtimes,
            queue_share=queue_share,
            rng=random.Random(seed),
        )
        return Dispatcher(
            owner=owner,
            runtimes=runtimes,
            order=order,
            admission=shedding if has_load_shedding else AdmitKnownServices(),
            targets=KnownTargets(rng=random.Random(seed)),
            retries=Retries(rng=random.Random(seed)),
        )

    return PolicySet(name=name, build=build)


CHOSEN = _build_variant("chosen")
BASELINES = (
    _build_baseline("first-in-first-out", MostIdle()),
    _build_baseline("round-robin", RoundRobin()),
    _build_baseline("random", RandomIdle()),
)
# Each disables one policy of the chosen set.
VARIANTS = (
    _build_variant("without load shedding", has_load_shedding=False),
    _build_variant("shedding by the deadline alone", queue_share=1.0),
    _build_variant("without a limit for long kinds", long_share=1.0),
    _build_variant("by arrival within a service", ageing=1e6),
)
POLICY_SETS = {policies.name: policies for policies in (CHOSEN, *BASELINES, *VARIANTS)}
