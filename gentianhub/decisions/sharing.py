"""Sharing of target slots between entry processes, as lender and as borrower.

This process is home of some targets and lends their slots (`SlotLender`); it borrows
from the other homes (`Borrower`). For its own targets it is a borrower that is granted
slots without messages.
"""

import math
from collections import Counter
from collections.abc import Iterator, Mapping

from gentianhub.core import Incarnation
from gentianhub.core import effects as fx
from gentianhub.core import events as ev
from gentianhub.core.records import define, field
from gentianhub.decisions.borrowing import Borrower
from gentianhub.decisions.homes import Homes
from gentianhub.decisions.lending import LEASE_S, SlotLender
from gentianhub.decisions.slots import SlotHoldings

# A queue that outlasts this time has already borrowed all the slots that it can.
BORROWING_LATENCY_S = 0.1
MAINTENANCE_PERIOD_S = 0.05
CONTENTION_PERIOD_S = 0.25


@define(kw_only=True, eq=False)
class SlotSharing:
    """Manages the slots of this process, as a home and as a borrower.

    Before the first `LiveProcessesChanged` the process counts as the only one and
    holds every slot.
    """

    owner: Incarnation
    holdings: SlotHoldings = field(factory=lambda: SlotHoldings())
    homes: Homes = field(init=False)
    lending: SlotLender = field(init=False)
    borrower: Borrower = field(init=False)
    _capacities: dict[str, int] = field(init=False, factory=dict)
    _next_maintenance_s: float = field(init=False, default=-math.inf)
    _next_contention_s: float = field(init=False, default=-math.inf)
    _queued_since_s: float | None = field(init=False, default=None)

    def __attrs_post_init__(self):
        self.homes = Homes(owner=self.owner)
        self.lending = SlotLender(owner=self.owner)
        self.borrower = Borrower(owner=self.owner, holdings=self.holdings)

    def handle_message(
        self, event: ev.SlotMessage | ev.LiveProcessesChanged, now_s: float
    ) -> None:
        """Handle a message of another process, or a change of the live processes."""
        match event:
            case ev.SlotDemand():
                self.lending.handle_demand(event, now_s)
            case ev.SlotReturn():
                self.lending.handle_return(event)
            case ev.SlotsHeld():
                self.lending.handle_report(event, now_s)
            case ev.SlotGrant():
                self.borrower.handle_grant(event, now_s)
            case ev.LiveProcessesChanged(processes=processes):
                self._update_homes(processes, now_s)

    def set_targets(self, capacities: Mapping[str, int], now_s: float) -> None:
        """Set the targets to share, with the slots of each."""
        for target in set(self._capacities) - set(capacities):
            self.drop_target(target)
        for target, slots in capacities.items():
            is_new = target not in self._capacities
            self._capacities[target] = slots
            if is_new:
                self._assign_home(target, now_s)
            elif target in self.lending.capacity:
                self.lending.set_capacity(target, slots)
                self._return_idle(target)
        self._update_borrower()

    def drop_target(self, target: str) -> None:
        """Stop using a target; tasks that run there may end."""
        self._capacities.pop(target, None)
        self.lending.remove_target(target)
        self.holdings.drop_target(target)
        self._update_borrower()

    def _update_homes(self, processes: tuple[Incarnation, ...], now_s: float) -> None:
        self.homes = Homes(owner=self.owner, processes=processes)
        for target in self._capacities:
            if self.holdings.homes[target] != self.homes.find_home(target):
                self._reassign_home(target, now_s)
        self._update_borrower()
        self.borrower.require_sync(self.borrower.home_states)

    def _reassign_home(self, target: str, now_s: float) -> None:
        """Take over a target from its former home, or hand it over to the next one."""
        if self.holdings.homes[target] == self.owner:
            self.lending.remove_target(target)
            self.holdings.remove_idle(target, self.holdings.count_idle(target))
            self.holdings.renew_lease(target, now_s + LEASE_S)
        self._assign_home(target, now_s)

    def _assign_home(self, target: str, now_s: float) -> None:
        home = self.homes.find_home(target)
        self.holdings.assign_home(target, home)
        if home != self.owner:
            return
        self.lending.add_target(
            target, self._capacities[target], self.homes.others, now_s
        )
        self.lending.lend_to_owner(target, self.holdings.held[target])
        self.holdings.renew_lease(target, math.inf)

    def _update_borrower(self) -> None:
        capacities = Counter(dict.fromkeys(sorted(self.homes.others), 0))
        for target, slots in self._capacities.items():
            capacities[self.holdings.homes[target]] += slots
        del capacities[self.owner]
        self.borrower.set_homes(capacities)

    def release_slot(self, target: str, now_s: float) -> None:
        """Free the slot of a task that ended; return it if its home is contended."""
        self.holdings.release(target, now_s)
        self.retain_or_return(target, now_s)

    def retain_or_return(self, target: str, now_s: float) -> None:
        """Keep a released slot, or return it if its home is contended."""
        if target in self.holdings.held:
            self.holdings.idle_since[target] = now_s
        self.borrower.return_contended(target)

    def update_holdings(self, queued: int, now_s: float) -> None:
        """Update `holdings` to the slots that may start tasks now."""
        ended = self.holdings.expire_leases(now_s)
        self.borrower.require_sync(ended)
        self.lending.reclaim_expired(now_s, self.homes.others)
        if not self.homes.others and not self.lending.has_borrowers():
            # No other process can request the slots that are held idle.
            self._claim_free(now_s)
            return
        self._return_all_idle()
        if self.lending.is_contended():
            self._update_own_demand(queued)
            self._lend()
        elif queued or not self.homes.others:
            self._claim_free(now_s)

    def collect_messages(
        self, queued: int, weight: float, now_s: float
    ) -> Iterator[fx.SendToSibling]:
        """Yield the messages that are due after an event was handled."""
        if not self.homes.others:
            return
        self._return_all_idle()
        self._update_own_demand(queued)
        self._lend()
        yield from self.borrower.request_slots(queued, now_s)
        with_contention = now_s >= self._next_contention_s
        if with_contention:
            self._next_contention_s = now_s + CONTENTION_PERIOD_S
        if now_s >= self._next_maintenance_s:
            self._next_maintenance_s = now_s + MAINTENANCE_PERIOD_S
            self.borrower.return_idle(now_s)
            yield from self.borrower.update_demands(queued, weight, now_s)
        yield from self.borrower.flush_returns()
        yield from self.lending.collect_grants(with_contention)

    def count_usable(self, queued: int, now_s: float) -> int:
        """Return the slots that this process can expect to use, borrowed ones included.

        Without a queue that has lasted for `BORROWING_LATENCY_S`, these are all slots
        of the data centre; with one, the slots that it holds, but at least an even
        share.
        """
        if not queued:
            self._queued_since_s = None
        elif self._queued_since_s is None:
            self._queued_since_s = now_s
        total = sum(self._capacities.values())
        since_s = self._queued_since_s
        is_lasting = since_s is not None and now_s - since_s >= BORROWING_LATENCY_S
        if not is_lasting or not self.homes.others:
            return total
        share = math.ceil(total / (len(self.homes.others) + 1))
        return max(share, sum(self.holdings.held.values()))

    def count_reserved(self, now_s: float) -> dict[str, int]:
        """Return the slots lent to processes that are lost, for the dump."""
        return self.lending.count_reserved(now_s, self.homes.others)

    def _claim_free(self, now_s: float) -> None:
        for target in self.lending.find_free():
            count = self.lending.count_free(target)
            self.lending.lend_to_owner(target, count)
            self.holdings.add_slots(target, count, now_s)

    def _return_all_idle(self) -> None:
        for target in tuple(self.holdings.idle):
            if target in self.lending.capacity:
                self._return_idle(target)

    def _return_idle(self, target: str) -> None:
        count = self.holdings.count_idle(target)
        if count:
            self.holdings.remove_idle(target, count)
            self.lending.lend_to_owner(target, -count)

    def _update_own_demand(self, queued: int) -> None:
        self.lending.own_state.wanted = self.lending.own_state.total + queued

    def _lend(self) -> None:
        self.lending.lend_slots()
        for target, count in self.lending.own_grants.items():
            self.holdings.add_slots(target, count, 0.0)
        self.lending.own_grants.clear()
