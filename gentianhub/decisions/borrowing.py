"""The borrower's dealings with the homes of its data centre.

Demands are absolute and numbered. A report of the slots held (`SlotsHeld`) is
always followed at once by a demand, its *sync* demand. Grants in answer to an
earlier demand than the latest sync are void, so the home's ledger equals the
report whatever was lost or is still on its way.
"""

import math
from collections import Counter
from collections.abc import Iterable, Iterator

from attrs import define, field

from gentianhub.core import Incarnation
from gentianhub.core import effects as fx
from gentianhub.core import events as ev
from gentianhub.decisions.slots import SlotHoldings

RENEWAL_PERIOD_S = 1.0
# A reply takes about 1 ms; the demand or the reply is lost if none comes for longer.
REPLY_TIMEOUT_S = 0.25
# Asking one home for a few slots takes fewer messages than asking each for one.
MIN_DEMAND_SLOTS = 4
# An idle slot is often used again by the next job; it is returned after this time.
IDLE_RETENTION_S = 0.1
RETAINED_IDLE_SLOTS = 2
# Demands that wait follow the queue at this period, as each change is a message.
DEMAND_UPDATE_PERIOD_S = 0.25


@define(kw_only=True, eq=False)
class HomeState:
    """What was asked of one home; `capacity` is the slots of its targets."""

    home: Incarnation
    capacity: int = 0
    number: int = 0
    sync_number: int = 0
    sent_at_s: dict[int, float] = field(factory=dict)
    accepted_counts: Counter[tuple[int, str]] = field(factory=Counter)
    wanted: int = 0
    demanded_s: float = -math.inf
    synced_s: float = -math.inf
    is_answered: bool = True
    is_contended: bool = False
    must_sync: bool = False
    renewed_until_s: float = -math.inf


@define(kw_only=True, eq=False)
class Borrower:
    """Asks homes for slots and takes what they lend."""

    owner: Incarnation
    holdings: SlotHoldings
    home_states: dict[Incarnation, HomeState] = field(init=False, factory=dict)
    _number: int = field(init=False, default=0)
    _next_home_index: int = field(init=False, default=0)
    _pending_returns: Counter[str] = field(init=False, factory=Counter)

    def set_homes(self, capacities: dict[Incarnation, int]) -> None:
        """Deal with these homes, given the slots of the targets of each."""
        for home in set(self.home_states) - set(capacities):
            del self.home_states[home]
        for home, capacity in capacities.items():
            state = self.home_states.get(home)
            if state is None:
                state = self.home_states[home] = HomeState(home=home)
            state.capacity = capacity

    def require_sync(self, homes: Iterable[Incarnation]) -> None:
        """Report the slots held to these homes with the next messages."""
        for home in homes:
            if home in self.home_states:
                self.home_states[home].must_sync = True

    def handle_grant(self, grant: ev.SlotGrant, now_s: float) -> None:
        """Hold what a home lends, unless the grant is void or its lease over."""
        state = self.home_states.get(grant.home)
        if state is None or grant.demand_number not in state.sent_at_s:
            return
        lease_end_s = state.sent_at_s[grant.demand_number] + grant.lease_s
        if lease_end_s <= now_s:
            state.must_sync = True
            return
        state.is_contended = grant.contended
        state.is_answered |= grant.demand_number == state.number
        self._renew_leases(state, grant.target, lease_end_s)
        if self.holdings.homes.get(grant.target) != grant.home:
            return
        key = (grant.demand_number, grant.target)
        count = grant.count - state.accepted_counts[key]
        if count > 0:
            state.accepted_counts[key] = grant.count
            self.holdings.add_slots(grant.target, count, now_s)

    def _renew_leases(
        self, state: HomeState, granted_target: str, end_s: float
    ) -> None:
        """Renew the leases of a home, with all its targets once for each demand.

        The granted target may have been added since.
        """
        targets = (granted_target,)
        if state.renewed_until_s < end_s:
            state.renewed_until_s = end_s
            targets = self.holdings.homes
        for target in targets:
            is_later = self.holdings.lease_ends.get(target, 0.0) < end_s
            if is_later and self.holdings.homes.get(target) == state.home:
                self.holdings.renew_lease(target, end_s)

    def return_slot(self, target: str) -> None:
        """Give back one idle slot with the next messages."""
        self.holdings.remove_idle(target, 1)
        self._pending_returns[target] += 1

    def return_contended(self, target: str) -> None:
        """Give back a slot whose task ended if its home is contended."""
        state = self.home_states.get(self.holdings.homes.get(target))
        if state and state.is_contended and self.holdings.count_idle(target):
            self.return_slot(target)

    def return_idle(self, now_s: float) -> None:
        """Give back idle slots, but for a few where nobody else waits."""
        retained = RETAINED_IDLE_SLOTS
        for target in sorted(self.holdings.idle):
            state = self.home_states.get(self.holdings.homes.get(target))
            count = self.holdings.count_idle(target)
            if state is None:
                continue
            if not state.is_contended:
                if now_s - self.holdings.idle_since[target] < IDLE_RETENTION_S:
                    continue
                kept = min(retained, count)
                retained -= kept
                count -= kept
            for _ in range(count):
                self.return_slot(target)

    def request_slots(self, queued: int, now_s: float) -> Iterator[fx.SendToSibling]:
        """Ask for slots for queued tasks for which no request is under way."""
        uncovered = queued - sum(
            self._count_outstanding(each)
            for each in self.home_states.values()
            if not self._is_request_over(each, now_s)
        )
        if uncovered <= 0:
            return
        candidates = [
            each for each in self.home_states.values() if self._can_demand_more(each)
        ]
        if not candidates:
            return
        share = max(MIN_DEMAND_SLOTS, math.ceil(uncovered / len(candidates)))
        self._next_home_index = (self._next_home_index + 1) % len(candidates)
        for each in (
            candidates[self._next_home_index :] + candidates[: self._next_home_index]
        ):
            held = self.holdings.held_by_home[each.home]
            count = min(uncovered, share, each.capacity - held)
            uncovered -= count
            yield self._send_demand(each, held + count, now_s)
            if uncovered <= 0:
                return

    def _count_outstanding(self, state: HomeState) -> int:
        return max(0, state.wanted - self.holdings.held_by_home[state.home])

    def _is_request_over(self, state: HomeState, now_s: float) -> bool:
        """Whether a request has been answered in part, or not in time."""
        return state.is_answered or state.demanded_s + REPLY_TIMEOUT_S <= now_s

    def _can_demand_more(self, state: HomeState) -> bool:
        return (
            state.is_answered
            and not self._count_outstanding(state)
            and self.holdings.held_by_home[state.home] < state.capacity
        )

    def update_demands(
        self, queued: int, weight: float, now_s: float
    ) -> Iterator[fx.SendToSibling]:
        """Renew leases, and adapt the demands of homes that lent too little."""
        total = sum(each.capacity for each in self.home_states.values()) or 1
        for each in self.home_states.values():
            held = self.holdings.held_by_home[each.home]
            wanted = min(
                each.capacity, held + math.ceil(queued * each.capacity / total)
            )
            if self._is_sync_due(each, now_s):
                # Idle slots are not wanted, so that a home can ask for them back.
                wanted -= self._count_idle(each.home)
                yield from self._send_sync(each, wanted, weight, now_s)
            elif self._count_outstanding(each) and self._is_request_over(each, now_s):
                change = abs(wanted - each.wanted)
                is_due = each.demanded_s + DEMAND_UPDATE_PERIOD_S <= now_s
                if is_due and change > each.wanted // 4:
                    yield self._send_demand(each, wanted, now_s, weight)

    def _count_idle(self, home: Incarnation) -> int:
        return sum(
            self.holdings.count_idle(target)
            for target in self.holdings.idle
            if self.holdings.homes.get(target) == home
        )

    def _is_sync_due(self, state: HomeState, now_s: float) -> bool:
        if state.must_sync:
            return True
        if not (self.holdings.held_by_home[state.home] or state.wanted):
            return False
        if not state.is_answered:
            return state.demanded_s + REPLY_TIMEOUT_S <= now_s
        return state.synced_s + RENEWAL_PERIOD_S <= now_s

    def _send_sync(
        self, state: HomeState, wanted: int, weight: float, now_s: float
    ) -> Iterator[fx.SendToSibling]:
        counts = tuple(
            (target, count)
            for target, count in self.holdings.held.items()
            if count and self.holdings.homes.get(target) == state.home
        )
        report = ev.SlotsHeld(borrower=self.owner, counts=counts)
        yield from self.flush_returns()
        yield fx.SendToSibling(to=state.home, message=report)
        state.sent_at_s.clear()
        state.accepted_counts.clear()
        state.synced_s = now_s
        state.must_sync = False
        yield self._send_demand(state, wanted, now_s, weight)
        state.sync_number = state.number

    def _send_demand(
        self, state: HomeState, wanted: int, now_s: float, weight: float = 1.0
    ) -> fx.SendToSibling:
        self._number += 1
        state.number = self._number
        state.wanted = wanted
        state.demanded_s = now_s
        state.is_answered = False
        state.sent_at_s[self._number] = now_s
        demand = ev.SlotDemand(
            borrower=self.owner, number=self._number, wanted=wanted, weight=weight
        )
        return fx.SendToSibling(to=state.home, message=demand)

    def flush_returns(self) -> Iterator[fx.SendToSibling]:
        """Yield the messages that give slots back, one for each target."""
        for target, count in self._pending_returns.items():
            state = self.home_states.get(self.holdings.homes.get(target))
            if state is None:
                continue
            if not state.is_contended:
                state.wanted = max(0, state.wanted - count)
            message = ev.SlotReturn(borrower=self.owner, target=target, count=count)
            yield fx.SendToSibling(to=state.home, message=message)
        self._pending_returns.clear()
