"""Policy sets that the load benchmark compares."""

import random

from benchmarks.driver import PolicySet
from gentianhub.core import Incarnation
from gentianhub.decisions import Dispatcher
from gentianhub.decisions.admission import (
    MAX_QUEUE_WAIT_FRACTION,
    LoadShedding,
    NoLoadShedding,
)
from gentianhub.decisions.fairness import LONG_TASK_FRACTION, FairOrder
from gentianhub.decisions.nodes import AGEING_FACTOR
from gentianhub.decisions.order import FifoOrder
from gentianhub.decisions.placement import (
    LeastLoaded,
    PlacementPolicy,
    RandomIdle,
    RoundRobin,
)
from gentianhub.decisions.retries import Retries, RetryPolicy
from gentianhub.decisions.runtimes import RunTimeEstimates
from gentianhub.decisions.targets import TargetSelectionOptions, TargetSelector


def _build_baseline(name: str, placement: PlacementPolicy) -> PolicySet:
    def build(owner: Incarnation, seed: int) -> Dispatcher:
        options = TargetSelectionOptions(
            placement=placement, is_ejection_enabled=False, is_concurrency_limited=False
        )
        targets = TargetSelector(options=options, rng=random.Random(seed))
        retries = Retries(
            policy=RetryPolicy(has_backoff=False, has_budget=False),
            rng=random.Random(seed),
        )
        return Dispatcher(
            owner=owner,
            order=FifoOrder(),
            admission=NoLoadShedding(),
            targets=targets,
            retries=retries,
        )

    return PolicySet(name=name, build=build)


def _build_variant(
    name: str,
    *,
    has_load_shedding: bool = True,
    max_queue_wait_fraction: float = MAX_QUEUE_WAIT_FRACTION,
    long_task_fraction: float = LONG_TASK_FRACTION,
    ageing_factor: float = AGEING_FACTOR,
) -> PolicySet:
    def build(owner: Incarnation, seed: int) -> Dispatcher:
        runtimes = RunTimeEstimates()
        order = FairOrder(
            runtimes=runtimes,
            long_task_fraction=long_task_fraction,
            ageing_factor=ageing_factor,
        )
        shedding = LoadShedding(
            order=order,
            runtimes=runtimes,
            max_queue_wait_fraction=max_queue_wait_fraction,
            rng=random.Random(seed),
        )
        return Dispatcher(
            owner=owner,
            runtimes=runtimes,
            order=order,
            admission=shedding if has_load_shedding else NoLoadShedding(),
            targets=TargetSelector(rng=random.Random(seed)),
            retries=Retries(rng=random.Random(seed)),
        )

    return PolicySet(name=name, build=build)


CHOSEN = _build_variant("chosen")
BASELINES = (
    _build_baseline("first-in-first-out", LeastLoaded()),
    _build_baseline("round-robin", RoundRobin()),
    _build_baseline("random", RandomIdle()),
)
# Each disables one policy of the chosen set.
VARIANTS = (
    _build_variant("without load shedding", has_load_shedding=False),
    _build_variant("shedding by the deadline alone", max_queue_wait_fraction=1.0),
    _build_variant("without a limit for long kinds", long_task_fraction=1.0),
    _build_variant("by arrival within a service", ageing_factor=1e6),
)
POLICY_SETS = {policies.name: policies for policies in (CHOSEN, *BASELINES, *VARIANTS)}
