"""Run time estimates learned per route, and the relative speed of each target.

Callers' estimates are rough, but they distinguish long tasks of a route from short
ones: the logarithm of the run time is modelled as a linear function of the logarithm
of the estimate, with a fixed slope below one and an offset learned per route.
"""

import math

from gentianhub.core.records import define, field

# Slope of the logarithm of run times over that of estimates. If estimates are off by
# 40%, and run times differ by as much from the mean of their route, an estimate has a
# weight of about two thirds.
ESTIMATE_SLOPE = 0.65
# Weight of a new observation in the exponential moving averages.
OFFSET_GAIN = 0.05
PACE_GAIN = 0.25
# Weight of a run that took less than expected although its task had been expected to
# end too late. Such runs are rare, and other tasks are refused until it is corrected.
TRIAL_GAIN = 1.0
# Ratios are clipped to this range to limit the effect of a single straggler.
MAX_RATIO = 6.0
MIN_RATIO = 0.2
# Estimate for tasks whose caller gave none.
DEFAULT_RUN_S = 0.2


@define(kw_only=True, eq=False)
class RunEstimates:
    """Offset between the logarithms of run times and of estimates for each route.

    Runs on all targets count alike, whatever the paces of these are. Paces are relative
    to these estimates; if the estimates depended on paces in turn, both would drift.
    """

    _offsets: dict[str, float] = field(init=False, factory=dict)

    def predict(self, route: str, declared_s: float) -> float:
        """Return the expected run time of a task, the mean over recent runs, s."""
        declared_s = declared_s or DEFAULT_RUN_S
        offset = self._offsets.get(route)
        if offset is None:
            return declared_s
        return math.exp(offset + ESTIMATE_SLOPE * math.log(declared_s))

    def observe(
        self, route: str, declared_s: float, run_s: float, is_trial: bool = False
    ) -> None:
        """Update the offset from a run that took `run_s`.

        A trial is the run of a task that was expected to end too late.
        """
        declared_s = declared_s or DEFAULT_RUN_S
        ratio = run_s / self.predict(route, declared_s)
        log_error = math.log(min(MAX_RATIO, max(MIN_RATIO, ratio)))
        known = self._offsets.get(route)
        if known is None:
            known = (1 - ESTIMATE_SLOPE) * math.log(declared_s)
        gain = TRIAL_GAIN if is_trial and log_error < 0 else OFFSET_GAIN
        self._offsets[route] = known + gain * log_error


@define(kw_only=True, eq=False)
class TargetPace:
    """Run time on a target relative to the expected one; above 1 is slower."""

    value: float = 1.0

    def observe(self, run_s: float, expected_s: float) -> None:
        """Update the pace from one run and its expected time on any target."""
        ratio = min(MAX_RATIO, max(MIN_RATIO, run_s / expected_s))
        self.value += PACE_GAIN * (ratio - self.value)
