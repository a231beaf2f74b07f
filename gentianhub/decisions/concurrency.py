"""Adaptive concurrency limits of targets, learned from their refusals.

Additive increase, multiplicative decrease (AIMD). Up to the highest sustained
concurrency, the limit recovers by one per round of replies. Above it, each refused step
doubles the number of replies before the next step, because a step beyond the capacity
of the target costs a refused message. A step that succeeds resets this number, so that
the limit recovers soon after an overload.
"""

import heapq
import random
from collections.abc import Iterator

from gentianhub.core.records import define, field

DECREASE_FACTOR = 0.75
MAX_REPLIES_PER_STEP = 500
FIRST_PAUSE_S = 0.02
MAX_PAUSE_S = 0.5


@define(kw_only=True, eq=False)
class ConcurrencyLimit:
    """Limit of one target, in tasks.

    `sustained` is the highest number of tasks that the target ran at once;
    `replies_per_step` counts the replies between steps above it.
    """

    limit: float
    sustained: int
    replies_per_step: int
    decreased_s: float
    refusals_in_row: int = 0
    is_paused: bool = False


@define(kw_only=True, eq=False)
class ConcurrencyLimits:
    """Limits of the targets that refused a task as full although slots were free."""

    rng: random.Random = field(factory=random.Random)
    is_enabled: bool = True
    _limits: dict[str, ConcurrencyLimit] = field(init=False, factory=dict)
    _pauses: list[tuple[float, str]] = field(init=False, factory=list)

    def get_limit(self, target: str, slots: int) -> int:
        """Return the number of tasks that may run at once, at most `slots`."""
        limit = self._limits.get(target)
        if limit is None:
            return slots
        return 0 if limit.is_paused else min(slots, int(limit.limit))

    def record_refusal(
        self, target: str, others_in_use: int, started_s: float, now_s: float
    ) -> None:
        """Lower the limit after a target refused a task as full.

        Refusals of tasks that were sent before the last decrease count once, because
        they were all caused by the limit that it lowered.
        """
        current = self._limits.get(target)
        if not self.is_enabled or (current and started_s <= current.decreased_s):
            return
        sustained = max(1, others_in_use)
        replies_per_step = 1
        if current and others_in_use >= current.sustained:
            replies_per_step = min(MAX_REPLIES_PER_STEP, 2 * current.replies_per_step)
        self._limits[target] = ConcurrencyLimit(
            limit=max(1.0, sustained * DECREASE_FACTOR),
            sustained=sustained,
            replies_per_step=replies_per_step,
            decreased_s=now_s,
            refusals_in_row=current.refusals_in_row if current else 0,
        )
        if not others_in_use:
            self._pause(target, now_s)

    def _pause(self, target: str, now_s: float) -> None:
        """Pause a target that refused its only task."""
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

    def record_success(
        self, target: str, in_use_at_start: int, in_use: int, slots: int
    ) -> None:
        """Raise the limit after a reply that arrived while the limit was reached.

        `in_use_at_start` is the number of tasks in use when the task was sent.
        """
        current = self._limits.get(target)
        if current is None:
            return
        current.refusals_in_row = 0
        if in_use_at_start > current.sustained:
            current.sustained, current.replies_per_step = in_use_at_start, 1
        if in_use < int(current.limit):
            return
        is_below_sustained = current.limit < current.sustained
        current.limit += 1 / (
            int(current.limit) if is_below_sustained else current.replies_per_step
        )
        if current.limit >= slots:
            del self._limits[target]

    def remove_target(self, target: str) -> None:
        """Discard the state of a target."""
        self._limits.pop(target, None)

    def describe(self) -> dict[str, int]:
        """Return the limits that are in force."""
        return {name: int(limit.limit) for name, limit in self._limits.items()}
