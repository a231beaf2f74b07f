"""Run times learned from ended runs, per route, and the speed of each target.

Callers' estimates are rough, but they tell a long task of a route from a short one:
the logarithm of a run time follows that of its estimate with a slope below one. The
offset is learned for each route.
"""

import math

from attrs import define, field

# Slope of the logarithm of run times over that of the estimates. An estimate that is
# off by 40%, as is a run time by its route's mean, has a weight of about two thirds.
ESTIMATE_SLOPE = 0.65
# Weight of a new observation in the moving averages.
OFFSET_GAIN = 0.05
PACE_GAIN = 0.25
# A single run may be a straggler; it moves the averages no further than this factor.
MAX_RATIO = 6.0
MIN_RATIO = 0.2
# Used for a task without an estimate, s.
DEFAULT_RUN_S = 0.2


@define(kw_only=True, eq=False)
class RunEstimates:
    """Offsets between the logarithms of run times and of estimates, by route."""

    _offsets: dict[str, float] = field(init=False, factory=dict)

    def predict(self, route: str, declared_s: float) -> float:
        """Return the expected run time of a task at reference speed, s."""
        declared_s = declared_s or DEFAULT_RUN_S
        offset = self._offsets.get(route)
        if offset is None:
            return declared_s
        return math.exp(offset + ESTIMATE_SLOPE * math.log(declared_s))

    def observe(self, route: str, declared_s: float, run_s: float, pace: float) -> None:
        """Learn from a run that took `run_s` on a target of relative time `pace`."""
        declared_s = declared_s or DEFAULT_RUN_S
        ratio = run_s / pace / self.predict(route, declared_s)
        surprise = math.log(min(MAX_RATIO, max(MIN_RATIO, ratio)))
        known = self._offsets.get(route)
        if known is None:
            known = (1 - ESTIMATE_SLOPE) * math.log(declared_s)
        self._offsets[route] = known + OFFSET_GAIN * surprise


@define(kw_only=True, eq=False)
class TargetPace:
    """A target's run times relative to the mean of all targets; over 1 is slow."""

    value: float = 1.0

    def observe(self, run_s: float, expected_s: float) -> None:
        """Learn from one run and its expected time at reference speed."""
        ratio = min(MAX_RATIO, max(MIN_RATIO, run_s / expected_s))
        self.value += PACE_GAIN * (ratio - self.value)
