"""Tasks that a target really carries at once, learned from its refusals.

Additive increase, multiplicative decrease. Up to the highest level that was
carried, the limit recovers by one per round of replies. Above it, each refused
step doubles the number of replies before the next step, because a step above what
the target carries costs a refused message; a step that is carried makes the next
one quick again, so that the limit is back soon after a bad spell.
"""

import heapq
import random
from collections.abc import Iterator

from attrs import define, field

DECREASE = 0.75
MAX_STEP_REPLIES = 500
FIRST_PAUSE_S = 0.02
MAX_PAUSE_S = 0.5


@define(kw_only=True, eq=False)
class ConcurrencyLimit:
    """Limit of one target, in tasks; `step_replies` are replies between steps."""

    limit: float
    carried: int
    step_replies: int
    decreased_s: float
    refusals_in_row: int = 0
    is_paused: bool = False


@define(kw_only=True, eq=False)
class ConcurrencyLimits:
    """Limits of the targets that refused as full below their slots."""

    rng: random.Random = field(factory=random.Random)
    is_on: bool = True
    _limits: dict[str, ConcurrencyLimit] = field(init=False, factory=dict)
    _pauses: list[tuple[float, str]] = field(init=False, factory=list)

    def get_limit(self, target: str, slots: int) -> int:
        """Return the tasks that may be in use at once, at most `slots`."""
        limit = self._limits.get(target)
        if limit is None:
            return slots
        return 0 if limit.is_paused else min(slots, int(limit.limit))

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
        step_replies = 1
        if current and others_in_use >= current.carried:
            step_replies = min(MAX_STEP_REPLIES, 2 * current.step_replies)
        self._limits[target] = ConcurrencyLimit(
            limit=max(1.0, carried * DECREASE),
            carried=carried,
            step_replies=step_replies,
            decreased_s=now_s,
            refusals_in_row=current.refusals_in_row if current else 0,
        )
        if not others_in_use:
            self._pause(target, now_s)

    def _pause(self, target: str, now_s: float) -> None:
        """Send nothing for a while to a target that refused its only task."""
        current = self._limits[target]
        pause_s = min(
            MAX_PAUSE_S, FIRST_PAUSE_S * 2 ** min(16, current.refusals_in_row)
        )
        current.refusals_in_row += 1
        current.is_paused = True
        due_s = now_s + pause_s * self.rng.uniform(0.5, 1.0)
        heapq.heappush(self._pauses, (due_s, target))

    def end_pauses(self, now_s: float) -> Iterator[str]:
        """Yield the targets whose pause is over."""
        while self._pauses and self._pauses[0][0] <= now_s:
            _, target = heapq.heappop(self._pauses)
            if target in self._limits:
                self._limits[target].is_paused = False
                yield target

    def take_success(self, target: str, level: int, in_use: int, slots: int) -> None:
        """Raise the limit after a reply that came while the limit was in use.

        `level` is the number of tasks in use when the task was sent.
        """
        current = self._limits.get(target)
        if current is None:
            return
        current.refusals_in_row = 0
        if level > current.carried:
            current.carried, current.step_replies = level, 1
        if in_use < int(current.limit):
            return
        is_known = current.limit < current.carried
        current.limit += 1 / (int(current.limit) if is_known else current.step_replies)
        if current.limit >= slots:
            del self._limits[target]

    def forget_target(self, target: str) -> None:
        """Drop what was learned of a target."""
        self._limits.pop(target, None)

    def describe(self) -> dict[str, int]:
        """Return the limits that are in force."""
        return {name: int(limit.limit) for name, limit in self._limits.items()}
