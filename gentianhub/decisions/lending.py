"""Lending of slots by the home of a target, the process that manages its slots.

Each free slot is lent to the waiting borrower with the fewest slots per weight, which
is max-min fair. Slots under a valid lease are not revoked: a borrower that holds more
than its share while another waits is notified that the home is contended, and returns
its slots as their tasks end.
"""

import math
from collections import Counter
from collections.abc import Iterator

from gentianhub.core import Incarnation
from gentianhub.core import effects as fx
from gentianhub.core import events as ev
from gentianhub.core.records import define, field, frozen

LEASE_S = 2.0
# Borrowers report every second; one that is silent for longer counts as lost.
BORROWER_TIMEOUT_S = 1.25
NO_TARGET = ""


@define(kw_only=True, eq=False)
class BorrowerState:
    """Demand and loans of one borrower.

    `number` is the number of its latest demand, or None from a report until the demand
    that follows it. `granted` counts the slots lent in answer to that demand.
    """

    borrower: Incarnation
    last_received_s: float
    wanted: int = 0
    weight: float = 1.0
    number: int | None = None
    lent: Counter[str] = field(factory=Counter)
    total: int = 0
    granted: Counter[str] = field(factory=Counter)
    unsent_targets: set[str] = field(factory=set)
    is_contended: bool = False
    is_reply_due: bool = False

    @property
    def is_waiting(self) -> bool:
        """Whether free slots may be lent to this borrower."""
        return self.number is not None and self.total < self.wanted

    def compute_share(self, change: int = 0) -> float:
        """Return the slots per weight after the total has changed by `change`."""
        return (self.total + change) / self.weight


@frozen(kw_only=True)
class GracePeriod:
    """Period in which a new home lends no slots of a target.

    It ends at `until_s`, or once all `unreported` processes have reported the slots
    that they hold or are no longer live.
    """

    until_s: float
    unreported: frozenset[Incarnation]


@define(kw_only=True, eq=False)
class SlotLender:
    """Lends the slots of the targets of which this process is home."""

    owner: Incarnation
    capacity: dict[str, int] = field(init=False, factory=dict)
    borrower_states: dict[Incarnation, BorrowerState] = field(init=False, factory=dict)
    own_grants: Counter[str] = field(init=False, factory=Counter)
    _lent: Counter[str] = field(init=False, factory=Counter)
    _grace_periods: dict[str, GracePeriod] = field(init=False, factory=dict)
    _free_targets: set[str] = field(init=False, factory=set)
    own_state: BorrowerState = field(init=False)

    def __attrs_post_init__(self):
        self.own_state = BorrowerState(
            borrower=self.owner, last_received_s=0.0, number=0
        )
        self.borrower_states[self.owner] = self.own_state

    def add_target(
        self, target: str, slots: int, others: frozenset[Incarnation], now_s: float
    ) -> None:
        """Become home of a target; `others` may hold slots that a former home lent."""
        self.capacity[target] = slots
        if others:
            grace = GracePeriod(until_s=now_s + LEASE_S, unreported=others)
            self._grace_periods[target] = grace
        self._update_free(target)

    def set_capacity(self, target: str, slots: int) -> None:
        """Change the number of slots of a target."""
        self.capacity[target] = slots
        self._update_free(target)

    def remove_target(self, target: str) -> None:
        """Stop being home of a target."""
        self.capacity.pop(target, None)
        self._free_targets.discard(target)
        self._grace_periods.pop(target, None)
        self._lent.pop(target, None)
        self.own_grants.pop(target, None)
        for state in self.borrower_states.values():
            state.total -= state.lent.pop(target, 0)
            state.unsent_targets.discard(target)

    def count_free(self, target: str) -> int:
        """Return the slots of a target that can be lent now."""
        if target in self._grace_periods:
            return 0
        return max(0, self.capacity[target] - self._lent[target])

    def find_free(self) -> list[str]:
        """Return the targets with slots that can be lent now, sorted by name."""
        return sorted(self._free_targets)

    def has_borrowers(self) -> bool:
        """Return whether any other process has requested or borrowed slots."""
        return len(self.borrower_states) > 1

    def handle_demand(self, event: ev.SlotDemand, now_s: float) -> None:
        """Set the demand of a borrower, which renews its leases."""
        state = self._get_or_add_state(event.borrower, now_s)
        if state.number is not None and event.number < state.number:
            return
        state.wanted = event.wanted
        state.weight = event.weight
        state.number = event.number
        state.granted.clear()
        state.is_reply_due = True

    def handle_report(self, event: ev.SlotsHeld, now_s: float) -> None:
        """Set the slots lent to a borrower to those that it reports.

        Grants in answer to earlier demands that are still in transit are void: the
        borrower accepts only those for the demand that follows its report.
        """
        state = self._get_or_add_state(event.borrower, now_s)
        for target in tuple(state.lent):
            self._change_lent(state, target, -state.lent[target])
        for target, count in event.counts:
            if target in self.capacity:
                self._change_lent(state, target, count)
        state.number = None
        state.unsent_targets.clear()
        self._record_report(event.borrower)

    def handle_return(self, event: ev.SlotReturn) -> None:
        """Take back slots; unless the home is contended, reduce the demand by them."""
        state = self.borrower_states.get(event.borrower)
        if state is None:
            return
        count = min(event.count, state.lent[event.target])
        self._change_lent(state, event.target, -count)
        if not state.is_contended:
            state.wanted = max(0, state.wanted - count)

    def lend_to_owner(self, target: str, count: int) -> None:
        """Record slots of its own target that this process uses (negative: frees)."""
        self._change_lent(self.own_state, target, count)

    def reclaim_expired(self, now_s: float, live: frozenset[Incarnation]) -> None:
        """Reclaim the slots of borrowers whose leases have expired."""
        for borrower, state in tuple(self.borrower_states.items()):
            if state is not self.own_state and state.last_received_s + LEASE_S <= now_s:
                for target in tuple(state.lent):
                    self._change_lent(state, target, -state.lent[target])
                del self.borrower_states[borrower]
            elif state is not self.own_state and borrower not in live:
                state.wanted = 0
        for target, grace in tuple(self._grace_periods.items()):
            if grace.until_s <= now_s or not grace.unreported & live:
                del self._grace_periods[target]
                self._update_free(target)

    def lend_slots(self) -> None:
        """Lend free slots to the waiting borrowers, the lowest share first."""
        waiting = [each for each in self.borrower_states.values() if each.is_waiting]
        free = {}
        if waiting:
            free = {target: self.count_free(target) for target in self.find_free()}
        while waiting and (target := max(free, key=free.get, default=None)):
            if not free[target]:
                break
            state = min(waiting, key=BorrowerState.compute_share)
            free[target] -= 1
            self._lend(state, target)
            if not state.is_waiting:
                waiting.remove(state)

    def collect_grants(self, with_contention: bool) -> Iterator[fx.SendToSibling]:
        """Yield replies and new grants, and contention changes if `with_contention`.

        Contention often ends within milliseconds, so that a message for each change
        would cost more than the tasks themselves.
        """
        lowest_share = self._find_lowest_waiting_share()
        for state in self.borrower_states.values():
            if state is self.own_state or state.number is None:
                continue
            is_contended = _is_over_share(state, lowest_share)
            targets = sorted(state.unsent_targets)
            is_changed = is_contended != state.is_contended and state.total > 0
            if not targets and (state.is_reply_due or with_contention and is_changed):
                targets = [NO_TARGET]
            if targets:
                state.is_contended = is_contended
            for target in targets:
                yield self._build_grant(state, target)
            state.unsent_targets.clear()
            state.is_reply_due = False

    def is_contended(self) -> bool:
        """Whether a borrower waits for a slot."""
        return any(each.is_waiting for each in self.borrower_states.values())

    def count_lent(self) -> dict[str, int]:
        """Return the slots of each target that other processes hold."""
        return {
            target: count - self.own_state.lent[target]
            for target, count in self._lent.items()
            if count > self.own_state.lent[target]
        }

    def count_reserved(
        self, now_s: float, live: frozenset[Incarnation]
    ) -> dict[str, int]:
        """Return the slots reserved for lost borrowers until their leases expire."""
        reserved = Counter()
        for state in self.borrower_states.values():
            is_lost = state.last_received_s + BORROWER_TIMEOUT_S < now_s
            if state is not self.own_state and (is_lost or state.borrower not in live):
                reserved.update(state.lent)
        return dict(+reserved)

    def _get_or_add_state(self, borrower: Incarnation, now_s: float) -> BorrowerState:
        state = self.borrower_states.get(borrower)
        if state is None:
            state = BorrowerState(borrower=borrower, last_received_s=now_s)
            self.borrower_states[borrower] = state
        state.last_received_s = now_s
        return state

    def _record_report(self, borrower: Incarnation) -> None:
        for target, grace in tuple(self._grace_periods.items()):
            unreported = grace.unreported - {borrower}
            self._grace_periods[target] = GracePeriod(
                until_s=grace.until_s, unreported=unreported
            )

    def _change_lent(self, state: BorrowerState, target: str, change: int) -> None:
        state.lent[target] += change
        state.total += change
        self._lent[target] += change
        if not state.lent[target]:
            del state.lent[target]
        self._update_free(target)

    def _update_free(self, target: str) -> None:
        if target in self.capacity and self.count_free(target):
            self._free_targets.add(target)
            return
        self._free_targets.discard(target)
        if not self._free_targets:
            # An emptied set keeps its hash table, which iteration would scan to its
            # end.
            self._free_targets.clear()

    def _lend(self, state: BorrowerState, target: str) -> None:
        self._change_lent(state, target, 1)
        if state is self.own_state:
            self.own_grants[target] += 1
        else:
            state.granted[target] += 1
            state.unsent_targets.add(target)

    def _find_lowest_waiting_share(self) -> float:
        waiting = (each for each in self.borrower_states.values() if each.is_waiting)
        return min((each.compute_share(1) for each in waiting), default=math.inf)

    def _build_grant(self, state: BorrowerState, target: str) -> fx.SendToSibling:
        grant = ev.SlotGrant(
            home=self.owner,
            target=target,
            count=state.granted[target],
            demand_number=state.number,
            lease_s=LEASE_S,
            contended=state.is_contended,
        )
        return fx.SendToSibling(recipient=state.borrower, message=grant)


def _is_over_share(state: BorrowerState, lowest_share: float) -> bool:
    """Whether a borrower should return slots to one that waits at `lowest_share`."""
    if lowest_share == math.inf:
        return False
    return state.compute_share(-1) >= lowest_share or state.total > state.wanted
