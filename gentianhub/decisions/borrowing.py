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
MIN_ASKED_SLOTS = 4
# An idle slot is often used again by the next job; it is returned after this time.
IDLE_PERIOD_S = 0.1
SPARE_SLOTS = 2
# Demands that wait follow the queue at this period, as each change is a message.
ADJUST_PERIOD_S = 0.25


@define(kw_only=True, eq=False)
class Borrowing:
    """What was asked of one home; `capacity` is the slots of its targets."""

    home: Incarnation
    capacity: int = 0
    number: int = 0
    sync_number: int = 0
    sent_at_s: dict[int, float] = field(factory=dict)
    seen: Counter[tuple[int, str]] = field(factory=Counter)
    wanted: int = 0
    asked_s: float = -math.inf
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
    borrowings: dict[Incarnation, Borrowing] = field(init=False, factory=dict)
    _number: int = field(init=False, default=0)
    _next_asked: int = field(init=False, default=0)
    _returns: Counter[str] = field(init=False, factory=Counter)

    def set_homes(self, capacities: dict[Incarnation, int]) -> None:
        """Deal with these homes, given the slots of the targets of each."""
        for home in set(self.borrowings) - set(capacities):
            del self.borrowings[home]
        for home, capacity in capacities.items():
            borrowing = self.borrowings.get(home)
            if borrowing is None:
                borrowing = self.borrowings[home] = Borrowing(home=home)
            borrowing.capacity = capacity

    def require_sync(self, homes: Iterable[Incarnation]) -> None:
        """Report the slots held to these homes with the next messages."""
        for home in homes:
            if home in self.borrowings:
                self.borrowings[home].must_sync = True

    def take_grant(self, grant: ev.SlotGrant, now_s: float) -> None:
        """Hold what a home lends, unless the grant is void or its lease over."""
        borrowing = self.borrowings.get(grant.home)
        if borrowing is None or grant.demand_number not in borrowing.sent_at_s:
            return
        lease_end_s = borrowing.sent_at_s[grant.demand_number] + grant.lease_s
        if lease_end_s <= now_s:
            borrowing.must_sync = True
            return
        borrowing.is_contended = grant.contended
        borrowing.is_answered |= grant.demand_number == borrowing.number
        self._renew_leases(borrowing, grant.target, lease_end_s)
        if self.holdings.homes.get(grant.target) != grant.home:
            return
        key = (grant.demand_number, grant.target)
        count = grant.count - borrowing.seen[key]
        if count > 0:
            borrowing.seen[key] = grant.count
            self.holdings.add_slots(grant.target, count, now_s)

    def _renew_leases(self, borrowing: Borrowing, granted: str, end_s: float) -> None:
        """Renew the leases of a home, with all its targets once for each demand.

        The granted target may have been added since.
        """
        targets = (granted,)
        if borrowing.renewed_until_s < end_s:
            borrowing.renewed_until_s = end_s
            targets = self.holdings.homes
        for target in targets:
            is_later = self.holdings.lease_ends.get(target, 0.0) < end_s
            if is_later and self.holdings.homes.get(target) == borrowing.home:
                self.holdings.renew_lease(target, end_s)

    def return_slot(self, target: str) -> None:
        """Give back one idle slot with the next messages."""
        self.holdings.remove_idle(target, 1)
        self._returns[target] += 1

    def return_contended(self, target: str) -> None:
        """Give back a slot whose task ended if its home is contended."""
        borrowing = self.borrowings.get(self.holdings.homes.get(target))
        if borrowing and borrowing.is_contended and self.holdings.count_idle(target):
            self.return_slot(target)

    def return_idle(self, now_s: float) -> None:
        """Give back idle slots, but for a few where nobody else waits."""
        spare = SPARE_SLOTS
        for target in sorted(self.holdings.idle):
            borrowing = self.borrowings.get(self.holdings.homes.get(target))
            count = self.holdings.count_idle(target)
            if borrowing is None:
                continue
            if not borrowing.is_contended:
                if now_s - self.holdings.idle_since[target] < IDLE_PERIOD_S:
                    continue
                kept = min(spare, count)
                spare -= kept
                count -= kept
            for _ in range(count):
                self.return_slot(target)

    def ask_slots(self, queued: int, now_s: float) -> Iterator[fx.SendToSibling]:
        """Ask for slots for queued tasks for which no request is under way."""
        missing = queued - sum(
            self._count_missing(each)
            for each in self.borrowings.values()
            if not self._is_overdue(each, now_s)
        )
        if missing <= 0:
            return
        willing = [each for each in self.borrowings.values() if self._is_willing(each)]
        if not willing:
            return
        share = max(MIN_ASKED_SLOTS, math.ceil(missing / len(willing)))
        self._next_asked = (self._next_asked + 1) % len(willing)
        for each in willing[self._next_asked :] + willing[: self._next_asked]:
            held = self.holdings.held_at[each.home]
            count = min(missing, share, each.capacity - held)
            missing -= count
            yield self._demand(each, held + count, now_s)
            if missing <= 0:
                return

    def _count_missing(self, borrowing: Borrowing) -> int:
        return max(0, borrowing.wanted - self.holdings.held_at[borrowing.home])

    def _is_overdue(self, borrowing: Borrowing, now_s: float) -> bool:
        """Whether a request has been answered in part, or not in time."""
        return borrowing.is_answered or borrowing.asked_s + REPLY_TIMEOUT_S <= now_s

    def _is_willing(self, borrowing: Borrowing) -> bool:
        return (
            borrowing.is_answered
            and not self._count_missing(borrowing)
            and self.holdings.held_at[borrowing.home] < borrowing.capacity
        )

    def adjust_demands(
        self, queued: int, weight: float, now_s: float
    ) -> Iterator[fx.SendToSibling]:
        """Renew leases, and adapt the demands of homes that lent too little."""
        total = sum(each.capacity for each in self.borrowings.values()) or 1
        for each in self.borrowings.values():
            held = self.holdings.held_at[each.home]
            wanted = min(
                each.capacity, held + math.ceil(queued * each.capacity / total)
            )
            if self._is_sync_due(each, now_s):
                # Idle slots are not wanted, so that a home can ask for them back.
                wanted -= self._count_idle(each.home)
                yield from self._sync(each, wanted, weight, now_s)
            elif self._count_missing(each) and self._is_overdue(each, now_s):
                change = abs(wanted - each.wanted)
                is_due = each.asked_s + ADJUST_PERIOD_S <= now_s
                if is_due and change > each.wanted // 4:
                    yield self._demand(each, wanted, now_s, weight)

    def _count_idle(self, home: Incarnation) -> int:
        return sum(
            self.holdings.count_idle(target)
            for target in self.holdings.idle
            if self.holdings.homes.get(target) == home
        )

    def _is_sync_due(self, borrowing: Borrowing, now_s: float) -> bool:
        if borrowing.must_sync:
            return True
        if not (self.holdings.held_at[borrowing.home] or borrowing.wanted):
            return False
        if not borrowing.is_answered:
            return borrowing.asked_s + REPLY_TIMEOUT_S <= now_s
        return borrowing.synced_s + RENEWAL_PERIOD_S <= now_s

    def _sync(
        self, borrowing: Borrowing, wanted: int, weight: float, now_s: float
    ) -> Iterator[fx.SendToSibling]:
        counts = tuple(
            (target, count)
            for target, count in self.holdings.held.items()
            if count and self.holdings.homes.get(target) == borrowing.home
        )
        report = ev.SlotsHeld(borrower=self.owner, counts=counts)
        yield from self.flush_returns()
        yield fx.SendToSibling(to=borrowing.home, message=report)
        borrowing.sent_at_s.clear()
        borrowing.seen.clear()
        borrowing.synced_s = now_s
        borrowing.must_sync = False
        yield self._demand(borrowing, wanted, now_s, weight)
        borrowing.sync_number = borrowing.number

    def _demand(
        self, borrowing: Borrowing, wanted: int, now_s: float, weight: float = 1.0
    ) -> fx.SendToSibling:
        self._number += 1
        borrowing.number = self._number
        borrowing.wanted = wanted
        borrowing.asked_s = now_s
        borrowing.is_answered = False
        borrowing.sent_at_s[self._number] = now_s
        demand = ev.SlotDemand(
            borrower=self.owner, number=self._number, wanted=wanted, weight=weight
        )
        return fx.SendToSibling(to=borrowing.home, message=demand)

    def flush_returns(self) -> Iterator[fx.SendToSibling]:
        """Yield the messages that give slots back, one for each target."""
        for target, count in self._returns.items():
            borrowing = self.borrowings.get(self.holdings.homes.get(target))
            if borrowing is None:
                continue
            if not borrowing.is_contended:
                borrowing.wanted = max(0, borrowing.wanted - count)
            message = ev.SlotReturn(borrower=self.owner, target=target, count=count)
            yield fx.SendToSibling(to=borrowing.home, message=message)
        self._returns.clear()
