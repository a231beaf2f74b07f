"""Tasks that a target really carries at once, learned from its refusals.

Additive increase, multiplicative decrease. Up to the highest level that was
carried the limit recovers by one per round of replies; above it, it grows by one
only per `PROBE_REPLIES` replies, because each step above what the target carries
costs a refused message.
"""

from attrs import define, field

DECREASE = 0.75
PROBE_REPLIES = 500


@define(kw_only=True, eq=False)
class ConcurrencyLimit:
    """Limit of one target: tasks in use at most, and the level it last carried."""

    limit: float
    carried: int
    decreased_s: float


@define(kw_only=True, eq=False)
class ConcurrencyLimits:
    """Limits of the targets that refused as full below their slots."""

    is_on: bool = True
    _limits: dict[str, ConcurrencyLimit] = field(init=False, factory=dict)

    def get_limit(self, target: str, slots: int) -> int:
        """Return the tasks that may be in use at once, at most `slots`."""
        limit = self._limits.get(target)
        return slots if limit is None else min(slots, int(limit.limit))

    def take_refusal(
        self, target: str, others_in_use: int, started_s: float, now_s: float
    ) -> None:
        """Lower the limit after a refusal as full.

        Refusals of tasks that were sent before the last decrease count once,
        because they were all caused by the limit that it lowered.
        """
        current = self._limits.get(target)
        if not self.is_on or (current and started_s <= current.decreased_s):
            return
        carried = max(1, others_in_use)
        self._limits[target] = ConcurrencyLimit(
            limit=max(1.0, carried * DECREASE), carried=carried, decreased_s=now_s
        )

    def take_success(self, target: str, in_use: int, slots: int) -> None:
        """Raise the limit after a reply that came while the limit was in use."""
        current = self._limits.get(target)
        if current is None or in_use < int(current.limit):
            return
        replies = max(1, int(current.limit))
        if current.limit >= current.carried:
            replies = PROBE_REPLIES
        current.limit += 1.0 / replies
        if current.limit >= slots:
            del self._limits[target]

    def forget_target(self, target: str) -> None:
        """Drop what was learned of a target."""
        self._limits.pop(target, None)

    def describe(self) -> dict[str, int]:
        """Return the limits that are in force."""
        return {name: int(limit.limit) for name, limit in self._limits.items()}
