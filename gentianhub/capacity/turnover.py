"""Rate at which the runs of a cell end and free their slots."""

from gentianhub.core.records import define, field

# Weight of a new interval in the exponential moving average.
INTERVAL_GAIN = 0.05
# Upper bound on an interval: in an idle cell few runs end although slots are free.
MAX_INTERVAL_S = 0.02


@define(kw_only=True, eq=False)
class SlotTurnover:
    """Moving average of the time between the ends of runs, in seconds."""

    interval_s: float = MAX_INTERVAL_S
    _last_end_s: float = field(init=False, default=float("-inf"))

    def record_end(self, now_s: float) -> None:
        """Update the average with the end of a run."""
        interval_s = min(MAX_INTERVAL_S, now_s - self._last_end_s)
        self._last_end_s = now_s
        self.interval_s += INTERVAL_GAIN * (interval_s - self.interval_s)

    def estimate_wait_s(self, count: int) -> float:
        """Return the expected time until `count` slots have become free, in seconds."""
        return count * self.interval_s
