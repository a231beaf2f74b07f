"""How fast the slots of a cell become free."""

from attrs import define, field

# Weight of a new interval in the moving average.
GAIN = 0.05
# Intervals are capped, s: an idle cell frees few slots, yet has some.
MAX_INTERVAL_S = 0.02


@define(kw_only=True, eq=False)
class SlotTurnover:
    """Moving average of the time between two ends of runs, s."""

    interval_s: float = MAX_INTERVAL_S
    _ended_s: float = field(init=False, default=float("-inf"))

    def note_end(self, now_s: float) -> None:
        """Take in the end of a run."""
        interval_s = min(MAX_INTERVAL_S, now_s - self._ended_s)
        self._ended_s = now_s
        self.interval_s += GAIN * (interval_s - self.interval_s)

    def estimate_wait_s(self, count: int) -> float:
        """Return how long it takes until `count` slots have become free, s."""
        return count * self.interval_s
