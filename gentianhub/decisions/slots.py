"""Slots that this process holds and the leases under which it holds them."""

import math
from collections import Counter
from collections.abc import Iterator

from gentianhub.core import Incarnation
from gentianhub.core.records import define, field
from gentianhub.decisions.heaps import LazyHeap


@define(kw_only=True, eq=False)
class SlotHoldings:
    """Slots held and in use per target, with the ends of their leases.

    Lease ends are in seconds on this process's monotonic clock. After a lease
    has ended, `held` counts only the slots whose tasks still run. `idle` has the
    targets with at least one idle slot.
    """

    held: dict[str, int] = field(init=False, factory=dict)
    in_use: dict[str, int] = field(init=False, factory=dict)
    lease_ends: dict[str, float] = field(init=False, factory=dict)
    idle_since: dict[str, float] = field(init=False, factory=dict)
    homes: dict[str, Incarnation] = field(init=False, factory=dict)
    held_by_home: Counter[Incarnation] = field(init=False, factory=Counter)
    # A dict keeps insertion order, so that one seed gives one result.
    idle: dict[str, None] = field(init=False, factory=dict)
    _newly_idle: dict[str, None] = field(init=False, factory=dict)
    _expired: set[str] = field(init=False, factory=set)
    _lease_expiries: LazyHeap[str] = field(init=False, factory=lambda: LazyHeap())

    def set_held(self, target: str, count: int) -> None:
        """Hold `count` slots of a target under a lease that does not end."""
        self._change_held(target, count - self.held.get(target, 0))
        self.renew_lease(target, math.inf)

    def add_slots(self, target: str, count: int, now_s: float) -> None:
        """Hold `count` more slots of a target."""
        if not self.count_idle(target):
            self.idle_since[target] = now_s
        self._change_held(target, count)

    def remove_idle(self, target: str, count: int) -> None:
        """Release `count` idle slots of a target."""
        assert count <= self.count_idle(target), f"{count} slots of {target} not idle"
        self._change_held(target, -count)

    def renew_lease(self, target: str, end_s: float) -> None:
        """Set the end of the lease of a target's slots."""
        self.lease_ends[target] = end_s
        self._expired.discard(target)
        if end_s < math.inf:
            self._lease_expiries.put(end_s, target)
        else:
            self._lease_expiries.remove(target)

    def assign_home(self, target: str, home: Incarnation) -> None:
        """Assign a target and its held slots to another home."""
        count = self.held.get(target, 0)
        if target in self.homes:
            self.held_by_home[self.homes[target]] -= count
        self.homes[target] = home
        self.held_by_home[home] += count
        self.held.setdefault(target, 0)
        self.in_use.setdefault(target, 0)

    def drop_target(self, target: str) -> None:
        """Release all held slots of a target; tasks that run there may end."""
        count = self.held.pop(target, 0)
        home = self.homes.pop(target, None)
        if home is not None:
            self.held_by_home[home] -= count
        self.lease_ends.pop(target, None)
        self._lease_expiries.remove(target)
        self._update_idle(target)
        self.idle_since.pop(target, None)
        self._expired.discard(target)
        if not self.in_use.get(target):
            self.in_use.pop(target, None)

    def expire_leases(self, now_s: float) -> frozenset[Incarnation]:
        """Release the idle slots of ended leases; return the homes concerned."""
        ended = [target for target in self._pop_expired(now_s) if self.held[target]]
        for target in ended:
            self._change_held(target, self.in_use[target] - self.held[target])
            self._expired.add(target)
        return frozenset(self.homes[target] for target in ended if target in self.homes)

    def _pop_expired(self, now_s: float) -> Iterator[str]:
        while (first := self._lease_expiries.peek()) is not None and first[0] <= now_s:
            self._lease_expiries.remove(first[1])
            yield first[1]

    def pop_newly_idle(self) -> tuple[str, ...]:
        """Return the targets that gained an idle slot since the last call."""
        targets = tuple(target for target in self._newly_idle if target in self.idle)
        self._newly_idle.clear()
        return targets

    def count_idle(self, target: str) -> int:
        """Return the slots of a target that may start a task now."""
        return max(0, self.held.get(target, 0) - self.in_use.get(target, 0))

    def occupy(self, target: str) -> None:
        """Use one idle slot."""
        assert self.count_idle(target) > 0, f"no idle slot of {target}"
        assert target not in self._expired, f"the lease of {target} has ended"
        self.in_use[target] += 1
        self._update_idle(target)

    def release(self, target: str, now_s: float = 0.0) -> None:
        """Return one slot in use; under an ended lease it is no longer held."""
        assert self.in_use.get(target, 0) > 0, f"no slot of {target} in use"
        self.in_use[target] -= 1
        if target in self._expired:
            self._change_held(target, -1)
        elif target in self.held:
            self.idle_since[target] = now_s
            self._update_idle(target)
        elif not self.in_use[target]:
            del self.in_use[target]

    def _change_held(self, target: str, change: int) -> None:
        self.held[target] = self.held.get(target, 0) + change
        self.in_use.setdefault(target, 0)
        if target in self.homes:
            self.held_by_home[self.homes[target]] += change
        self._update_idle(target)

    def _update_idle(self, target: str) -> None:
        if self.count_idle(target):
            self.idle[target] = None
            self._newly_idle[target] = None
            return
        self.idle.pop(target, None)
        if not self.idle:
            # An emptied dict keeps its hash table, which iteration would scan to its
            # end.
            self.idle.clear()
