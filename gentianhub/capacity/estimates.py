"""Run times learned from ended runs, per route, and the speed of each target."""

from attrs import define, field

# Weight of a new observation in the moving averages.
RUN_TIME_GAIN = 0.05
SPEED_GAIN = 0.25
# A single run may be a straggler; it moves the averages no further than this factor.
MAX_RATIO = 6.0
MIN_RATIO = 0.2
# Used for a route that has neither runs nor an estimate, s.
DEFAULT_RUN_S = 0.2


@define(kw_only=True, eq=False)
class RunEstimates:
    """Moving averages of run times at reference speed, s."""

    _means_s: dict[str, float] = field(init=False, factory=dict)

    def predict(self, route: str, declared_s: float) -> float:
        """Return the expected run time of a task at reference speed, s."""
        return self._means_s.get(route) or declared_s or DEFAULT_RUN_S

    def observe(self, route: str, declared_s: float, run_s: float, pace: float) -> None:
        """Learn from a run that took `run_s` on a target of relative time `pace`."""
        mean_s = self.predict(route, declared_s)
        ratio = min(MAX_RATIO, max(MIN_RATIO, run_s / pace / mean_s))
        self._means_s[route] = mean_s * (1 + RUN_TIME_GAIN * (ratio - 1))


@define(kw_only=True, eq=False)
class TargetPace:
    """A target's run times relative to the mean of all targets; over 1 is slow."""

    value: float = 1.0

    def observe(self, run_s: float, expected_s: float) -> None:
        """Learn from one run and its expected time at reference speed."""
        ratio = min(MAX_RATIO, max(MIN_RATIO, run_s / expected_s))
        self.value += SPEED_GAIN * (ratio - self.value)
