"""Sets of policies that the load benchmark compares."""

import random
from collections.abc import Callable

from attrs import define, field

from benchmarks.driver import PolicySet
from gentianhub.core import Incarnation
from gentianhub.decisions import Dispatcher
from gentianhub.decisions.order import FirstInFirstOut
from gentianhub.decisions.slots import SlotHoldings


def choose_fewest_in_use(holdings: SlotHoldings) -> str | None:
    """Least outstanding: the target with the fewest slots in use."""
    idle = _list_idle(holdings)
    return min(idle, key=lambda name: holdings.in_use[name], default=None)


@define(kw_only=True, eq=False)
class RoundRobin:
    """The next target in turn that has an idle slot."""

    _turn: int = field(init=False, default=0)

    def __call__(self, holdings: SlotHoldings) -> str | None:
        """Return the chosen target, or None if every slot is in use."""
        names = list(holdings.held)
        for _ in names:
            self._turn += 1
            name = names[self._turn % len(names)]
            if holdings.count_idle(name):
                return name
        return None


@define(kw_only=True, eq=False)
class RandomChoice:
    """Any target that has an idle slot."""

    rng: random.Random

    def __call__(self, holdings: SlotHoldings) -> str | None:
        """Return the chosen target, or None if every slot is in use."""
        idle = _list_idle(holdings)
        return self.rng.choice(idle) if idle else None


def _list_idle(holdings: SlotHoldings) -> list[str]:
    return [name for name in holdings.held if holdings.count_idle(name)]


def _build_baseline(
    name: str, build_choice: Callable[[int], Callable[[SlotHoldings], str | None]]
) -> PolicySet:
    def build(owner: Incarnation, seed: int) -> Dispatcher:
        return Dispatcher(
            owner=owner, order=FirstInFirstOut(), choose_target=build_choice(seed)
        )

    return PolicySet(name=name, build=build)


CHOSEN = PolicySet(name="chosen", build=lambda owner, _: Dispatcher(owner=owner))
BASELINES = (
    _build_baseline("first-in-first-out", lambda _: choose_fewest_in_use),
    _build_baseline("round-robin", lambda _: RoundRobin()),
    _build_baseline("random", lambda seed: RandomChoice(rng=random.Random(seed))),
)
POLICY_SETS = {policies.name: policies for policies in (CHOSEN, *BASELINES)}
