"""Borrowing of slots from the homes in the data centre.

A demand states the total number of slots wanted, and is numbered. A report of the slots
held (`SlotsHeld`) is always followed at once by a demand, its *sync* demand. Grants in
answer to a demand before the latest sync are void, so the home's records equal the
report even if messages were lost or are still in transit.
"""

import math
from collections import Counter
from collections.abc import Iterable, Iterator

from gentianhub.core import Incarnation
from gentianhub.core import effects as fx
from gentianhub.core import events as ev
from gentianhub.core.records import define, field
from gentianhub.decisions.slots import SlotHoldings

RENEWAL_PERIOD_S = 1.0
# A reply takes about 1 ms; without one in this time, the demand or the reply is lost.
REPLY_TIMEOUT_S = 0.25
# Requesting several slots from one home takes fewer messages than one from each.
MIN_DEMAND_SLOTS = 4
# The next job often reuses an idle slot, so it is returned only after this time.
IDLE_RETENTION_S = 0.1
RETAINED_IDLE_SLOTS = 2
# Unmet demands follow the queue length at this period, since each update is a message.
DEMAND_UPDATE_PERIOD_S = 0.25


@define(kw_only=True, eq=False)
class HomeState:
    """State of the requests to one home.

    `capacity` is the number of slots of its targets; `accepted_counts` has the granted
    slots that were taken, by demand number and target.
    """

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
    """Requests slots from homes and holds those that they lend."""

    owner: Incarnation
    holdings: SlotHoldings
    home_states: dict[Incarnation, HomeState] = field(init=False, factory=dict)
    _number: int = field(init=False, default=0)
    _next_home_index: int = field(init=False, default=0)
    _pending_returns: Counter[str] = field(init=False, factory=Counter)

    def set_homes(self, capacities: dict[Incarnation, int]) -> None:
        """Set the homes to borrow from, with the total slots of their targets."""
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
        """Add the slots that a home lends, unless the grant is void or has expired."""
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
        """Renew the leases of a home, for all its targets once per demand.

        The granted target is always included, since it may have been added in between.
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
        """Return one idle slot with the next messages."""
        self.holdings.remove_idle(target, 1)
        self._pending_returns[target] += 1

    def return_contended(self, target: str) -> None:
        """Return the slot of a task that ended if its home is contended."""
        state = self.home_states.get(self.holdings.homes.get(target))
        if state and state.is_contended and self.holdings.count_idle(target):
            self.return_slot(target)

    def return_idle(self, now_s: float) -> None:
        """Return idle slots, except for a few from homes that are not contended."""
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
        """Request slots for the queued tasks that no pending request covers."""
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
        """Whether a request was answered, if only in part, or has timed out."""
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
        """Renew leases and update the demands that homes have not met."""
        total = sum(each.capacity for each in self.home_states.values()) or 1
        for each in self.home_states.values():
            held = self.holdings.held_by_home[each.home]
            wanted = min(
                each.capacity, held + math.ceil(queued * each.capacity / total)
            )
            if self._is_sync_due(each, now_s):
                # Idle slots are not demanded, so that a contended home can have them
                # returned.
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
        yield fx.SendToSibling(recipient=state.home, message=report)
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
        return fx.SendToSibling(recipient=state.home, message=demand)

    def flush_returns(self) -> Iterator[fx.SendToSibling]:
        """Yield the messages that return slots, one per target."""
        for target, count in self._pending_returns.items():
            state = self.home_states.get(self.holdings.homes.get(target))
            if state is None:
                continue
            if not state.is_contended:
                state.wanted = max(0, state.wanted - count)
            message = ev.SlotReturn(borrower=self.owner, target=target, count=count)
            yield fx.SendToSibling(recipient=state.home, message=message)
        self._pending_returns.clear()
