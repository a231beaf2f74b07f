"""Choice of the target for a task among those with an idle slot."""

import heapq
import random
from collections.abc import Callable
from typing import Protocol

from gentianhub.core.records import define, field, frozen

# A heap entry is updated when the speed of its target has changed by more than this
# fraction.
SPEED_CHANGE_TOLERANCE = 0.05


class IdleView(Protocol):
    """Read-only view of the targets and the tasks that each may start."""

    @property
    def held(self) -> dict[str, int]:
        """Slots held per target."""

    @property
    def in_use(self) -> dict[str, int]:
        """Slots in use per target."""

    def count_idle(self, target: str) -> int:
        """Return the tasks that may start on a target now."""


@frozen(kw_only=True)
class FastestIdle:
    """The fastest target with an idle slot, other than those that refused the task."""


@frozen(kw_only=True)
class LeastLoaded:
    """Baseline: the target with most idle slots (least outstanding)."""


@frozen(kw_only=True)
class RoundRobin:
    """Baseline: the next target in turn that has an idle slot."""


@frozen(kw_only=True)
class RandomIdle:
    """Baseline: any target that has an idle slot."""


PlacementPolicy = FastestIdle | LeastLoaded | RoundRobin | RandomIdle


def choose_least_loaded(view: IdleView) -> str | None:
    """Return the target with most idle slots, or None if every slot is in use."""
    target = max(view.held, key=view.count_idle, default=None)
    if target is None or not view.count_idle(target):
        return None
    return target


def choose_in_turn(view: IdleView, turn: int) -> str | None:
    """Return the first target with an idle slot from position `turn` on."""
    names = list(view.held)
    start = turn % len(names) if names else 0
    ordered = names[start:] + names[:start]
    return next((name for name in ordered if view.count_idle(name)), None)


def choose_at_random(view: IdleView, rng: random.Random) -> str | None:
    """Return any target with an idle slot, each with the same probability."""
    idle = [name for name in view.held if view.count_idle(name)]
    return rng.choice(idle) if idle else None


@define(kw_only=True, eq=False)
class SpeedHeap:
    """Targets that may have an idle slot, fastest first.

    Entries are checked when they reach the top: one without an idle slot is dropped,
    one whose speed has changed is updated. The cost of a choice is therefore
    logarithmic in the number of targets.
    """

    get_speed: Callable[[str], float]
    rng: random.Random
    _entries: list[tuple[float, float, str]] = field(init=False, factory=list)
    _names: set[str] = field(init=False, factory=set)

    def add(self, target: str) -> None:
        """Add a target that may have an idle slot."""
        if target not in self._names:
            self._names.add(target)
            heapq.heappush(self._entries, self._build_entry(target))

    def _build_entry(self, target: str) -> tuple[float, float, str]:
        # Targets of equal speed are chosen in random order, so that entry processes
        # without observations do not all choose the same one.
        return -self.get_speed(target), self.rng.random(), target

    def choose(self, view: IdleView, avoid: tuple[str, ...]) -> str | None:
        """Return the fastest idle target, one of `avoid` only if no other is idle."""
        avoided = []
        chosen = None
        while (entry := self._find_top(view)) is not None:
            if entry[2] not in avoid:
                chosen = entry[2]
                break
            avoided.append(heapq.heappop(self._entries))
        for entry in avoided:
            heapq.heappush(self._entries, entry)
        if chosen is None and avoided:
            return avoided[0][2]
        return chosen

    def _find_top(self, view: IdleView) -> tuple[float, float, str] | None:
        while self._entries:
            speed, _, target = self._entries[0]
            current = -self.get_speed(target)
            if not view.count_idle(target):
                heapq.heappop(self._entries)
                self._names.discard(target)
            elif abs(current / speed - 1) > SPEED_CHANGE_TOLERANCE:
                heapq.heapreplace(self._entries, self._build_entry(target))
            else:
                return self._entries[0]
        return None


@define(kw_only=True, eq=False)
class Placement:
    """Chooses targets by a policy."""

    get_speed: Callable[[str], float]
    policy: PlacementPolicy = field(factory=lambda: FastestIdle())
    rng: random.Random = field(factory=random.Random)
    _idle: SpeedHeap = field(init=False)
    _idle_slowest: SpeedHeap = field(init=False)
    _turn: int = field(init=False, default=0)

    def __attrs_post_init__(self):
        self._idle = SpeedHeap(get_speed=self.get_speed, rng=self.rng)
        self._idle_slowest = SpeedHeap(
            get_speed=lambda target: -self.get_speed(target), rng=self.rng
        )

    def add_idle(self, target: str) -> None:
        """Record that a target may have an idle slot."""
        self._idle.add(target)
        self._idle_slowest.add(target)

    def has_idle(self, view: IdleView) -> bool:
        """Return whether any target has an idle slot."""
        return self._idle.choose(view, ()) is not None

    def choose(
        self, view: IdleView, avoid: tuple[str, ...], *, is_long: bool = False
    ) -> str | None:
        """Return the target for a task, or None if every slot is in use.

        A target of `avoid` is chosen only if no other one is idle. A long task takes
        the slowest target, because on a fast one it would keep out short tasks for many
        times their run time.
        """
        match self.policy:
            case FastestIdle() if is_long:
                return self._idle_slowest.choose(view, avoid)
            case FastestIdle():
                return self._idle.choose(view, avoid)
            case LeastLoaded():
                return choose_least_loaded(view)
            case RoundRobin():
                self._turn += 1
                return choose_in_turn(view, self._turn)
            case RandomIdle():
                return choose_at_random(view, self.rng)
