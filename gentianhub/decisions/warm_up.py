"""Warm-up of new targets, which run one task at a time."""

from collections import deque
from collections.abc import Iterable, Iterator

from gentianhub.core.records import define, field

# Limits the warm-up of targets whose first tasks are long.
WARM_UP_S = 1.0


@define(kw_only=True, eq=False)
class WarmingTargets:
    """Targets without a complete reply.

    A first job of 170 tasks would otherwise fill every slot of a target that fails all
    its tasks, before the first failure is known. The warm-up of a target ends with its
    first complete reply, or `WARM_UP_S` after its first start.
    """

    _targets: set[str] = field(init=False, factory=set)
    _started: set[str] = field(init=False, factory=set)
    _ends: deque[tuple[float, str]] = field(init=False, factory=deque)

    def __contains__(self, target: str) -> bool:
        return target in self._targets

    def add(self, targets: Iterable[str]) -> None:
        """Add targets that are new in the host list."""
        self._targets.update(targets)

    def record_start(self, target: str, now_s: float) -> None:
        """Record a start; the first one begins the warm-up time."""
        if target in self._targets and target not in self._started:
            self._started.add(target)
            self._ends.append((now_s + WARM_UP_S, target))

    def remove(self, target: str) -> None:
        """End the warm-up of a target."""
        self._targets.discard(target)
        self._started.discard(target)

    def end_warm_ups(self, now_s: float) -> Iterator[str]:
        """End the warm-up of the targets whose time is over, and yield them."""
        while self._ends and self._ends[0][0] <= now_s:
            _, target = self._ends.popleft()
            if target in self._targets:
                self.remove(target)
                yield target
