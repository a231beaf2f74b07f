"""Sets of policies that the load benchmark compares."""

import random

from benchmarks.driver import PolicySet
from gentianhub.core import Incarnation
from gentianhub.decisions import Dispatcher
from gentianhub.decisions.order import FirstInFirstOut
from gentianhub.decisions.placement import (
    MostIdle,
    PlacementPolicy,
    RandomIdle,
    RoundRobin,
)
from gentianhub.decisions.retries import Retries, RetryPolicy
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
            owner=owner, order=FirstInFirstOut(), targets=targets, retries=retries
        )

    return PolicySet(name=name, build=build)


def _build_chosen(owner: Incarnation, seed: int) -> Dispatcher:
    return Dispatcher(
        owner=owner,
        targets=KnownTargets(rng=random.Random(seed)),
        retries=Retries(rng=random.Random(seed)),
    )


CHOSEN = PolicySet(name="chosen", build=_build_chosen)
BASELINES = (
    _build_baseline("first-in-first-out", MostIdle()),
    _build_baseline("round-robin", RoundRobin()),
    _build_baseline("random", RandomIdle()),
)
POLICY_SETS = {policies.name: policies for policies in (CHOSEN, *BASELINES)}
