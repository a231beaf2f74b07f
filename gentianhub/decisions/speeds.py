"""Speed of each target, estimated from replies.

A run time is modelled as the mean of the kind divided by the speed of the target. Both
are estimated together from the logarithms of the run times, so that one run many times
longer than the rest changes neither by much, and a target that mostly gets long kinds
does not count as slow.
"""

import math
from collections import OrderedDict

from gentianhub.core.records import define, field

HALF_LIFE_S = 30.0
# Weight of the prior of a target's estimate, in replies at the mean speed; it does not
# decay.
PRIOR_REPLIES = 4.0
# Callers choose the kinds, so their number needs a limit.
MAX_KINDS = 4096
MIN_RUN_S = 1e-4


@define(kw_only=True, eq=False)
class DecayedMean:
    """Mean of samples whose weight halves every `HALF_LIFE_S`.

    `prior_weight` samples of 0 are always included.
    """

    prior_weight: float = 0.0
    _total: float = field(init=False, default=0.0)
    _weight: float = field(init=False, default=0.0)
    _updated_s: float = field(init=False, default=-math.inf)

    def add(self, value: float, now_s: float) -> None:
        """Add a sample."""
        decay = 0.5 ** ((now_s - self._updated_s) / HALF_LIFE_S)
        self._total = self._total * decay + value
        self._weight = self._weight * decay + 1.0
        self._updated_s = now_s

    @property
    def mean(self) -> float:
        """Mean at the last sample, 0 without one."""
        weight = self._weight + self.prior_weight
        return self._total / weight if weight else 0.0


def _build_target_mean() -> DecayedMean:
    return DecayedMean(prior_weight=PRIOR_REPLIES)


@define(kw_only=True, eq=False)
class Speeds:
    """Speeds of targets relative to the mean of all targets, which is 1.0."""

    _targets: dict[str, DecayedMean] = field(init=False, factory=dict)
    _kinds: OrderedDict[tuple[str, str], DecayedMean] = field(
        init=False, factory=OrderedDict
    )

    def observe_run(
        self, target: str, service: str, kind: str, run_s: float, now_s: float
    ) -> None:
        """Record a complete run; failures say nothing about speed."""
        kind_mean = self._find_kind(service, kind)
        target_mean = self._targets.setdefault(target, _build_target_mean())
        log_run = math.log(max(run_s, MIN_RUN_S))
        kind_mean.add(log_run + target_mean.mean, now_s)
        target_mean.add(kind_mean.mean - log_run, now_s)

    def _find_kind(self, service: str, kind: str) -> DecayedMean:
        key = (service, kind)
        if key not in self._kinds and len(self._kinds) >= MAX_KINDS:
            self._kinds.popitem(last=False)
        mean = self._kinds.setdefault(key, DecayedMean())
        self._kinds.move_to_end(key)
        return mean

    def get_speed(self, target: str) -> float:
        """Return the speed of a target, 1.0 if it has no estimate."""
        mean = self._targets.get(target)
        return math.exp(mean.mean) if mean else 1.0

    def remove_target(self, target: str) -> None:
        """Discard the estimate of a target."""
        self._targets.pop(target, None)
