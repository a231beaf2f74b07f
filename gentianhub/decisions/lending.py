"""The home's ledger: slots of its targets that it has lent, and to whom.

A slot is lent to the waiting borrower that holds least for its weight, one slot
after the other, which is max-min fair. Nothing is taken back: a borrower that
holds more than its share while another waits is told that the home is contended
and returns its slots as their tasks end.
"""

import math
from collections import Counter
from collections.abc import Iterator

from attrs import define, field, frozen

from gentianhub.core import Incarnation
from gentianhub.core import effects as fx
from gentianhub.core import events as ev

LEASE_S = 2.0
# A borrower reports each second; one unheard for longer counts as lost.
LOST_AFTER_S = 1.25
NO_TARGET = ""


@define(kw_only=True, eq=False)
class Account:
    """What one borrower wants and has.

    `number` is that of its latest demand, or None while the next demand is
    awaited; `granted` counts the slots lent in answer to that demand.
    """

    borrower: Incarnation
    heard_s: float
    wanted: int = 0
    weight: float = 1.0
    number: int | None = None
    lent: Counter[str] = field(factory=Counter)
    total: int = 0
    granted: Counter[str] = field(factory=Counter)
    unsent: set[str] = field(factory=set)
    is_contended: bool = False
    is_reply_due: bool = False

    @property
    def is_waiting(self) -> bool:
        """Whether a slot that falls free may go to this borrower."""
        return self.number is not None and self.total < self.wanted

    def find_level(self, change: int = 0) -> float:
        """Return the slots per weight that it would have after a change."""
        return (self.total + change) / self.weight


@frozen(kw_only=True)
class Settling:
    """A target is not lent before `until_s` unless `unheard` have reported."""

    until_s: float
    unheard: frozenset[Incarnation]


@define(kw_only=True, eq=False)
class LendingLedger:
    """Lends the slots of the targets of which this process is home."""

    owner: Incarnation
    capacity: dict[str, int] = field(init=False, factory=dict)
    accounts: dict[Incarnation, Account] = field(init=False, factory=dict)
    local_grants: Counter[str] = field(init=False, factory=Counter)
    _lent: Counter[str] = field(init=False, factory=Counter)
    _settling: dict[str, Settling] = field(init=False, factory=dict)
    _free: set[str] = field(init=False, factory=set)
    local: Account = field(init=False)

    def __attrs_post_init__(self):
        self.local = Account(borrower=self.owner, heard_s=0.0, number=0)
        self.accounts[self.owner] = self.local

    def add_target(
        self, target: str, slots: int, others: frozenset[Incarnation], now_s: float
    ) -> None:
        """Become home of a target; `others` may hold slots that a former home lent."""
        self.capacity[target] = slots
        if others:
            settling = Settling(until_s=now_s + LEASE_S, unheard=others)
            self._settling[target] = settling
        self._note_free(target)

    def set_capacity(self, target: str, slots: int) -> None:
        """Change the number of slots of a target."""
        self.capacity[target] = slots
        self._note_free(target)

    def remove_target(self, target: str) -> None:
        """Stop being home of a target."""
        self.capacity.pop(target, None)
        self._free.discard(target)
        self._settling.pop(target, None)
        self._lent.pop(target, None)
        self.local_grants.pop(target, None)
        for account in self.accounts.values():
            account.total -= account.lent.pop(target, 0)
            account.unsent.discard(target)

    def count_free(self, target: str) -> int:
        """Return the slots of a target that can be lent now."""
        if target in self._settling:
            return 0
        return max(0, self.capacity[target] - self._lent[target])

    def find_free(self) -> list[str]:
        """Return the targets with slots that can be lent now, sorted by name."""
        return sorted(self._free)

    def has_borrowers(self) -> bool:
        """Return whether any other process has an account here."""
        return len(self.accounts) > 1

    def take_demand(self, event: ev.SlotDemand, now_s: float) -> None:
        """Replace what a borrower wants; this renews its leases."""
        account = self._open_account(event.borrower, now_s)
        if account.number is not None and event.number < account.number:
            return
        account.wanted = event.wanted
        account.weight = event.weight
        account.number = event.number
        account.granted.clear()
        account.is_reply_due = True

    def take_report(self, event: ev.SlotsHeld, now_s: float) -> None:
        """Replace a borrower's account by what it holds.

        Grants in answer to earlier demands that are still on their way are void:
        the borrower accepts only those for the demand that follows its report.
        """
        account = self._open_account(event.borrower, now_s)
        for target in tuple(account.lent):
            self._move(account, target, -account.lent[target])
        for target, count in event.counts:
            if target in self.capacity:
                self._move(account, target, count)
        account.number = None
        account.unsent.clear()
        self._hear_borrower(event.borrower)

    def take_return(self, event: ev.SlotReturn) -> None:
        """Take back slots; unless the home is contended, they are not wanted."""
        account = self.accounts.get(event.borrower)
        if account is None:
            return
        count = min(event.count, account.lent[event.target])
        self._move(account, event.target, -count)
        if not account.is_contended:
            account.wanted = max(0, account.wanted - count)

    def lend_to_owner(self, target: str, count: int) -> None:
        """Record slots that this process takes as a borrower of its own target."""
        self._move(self.local, target, count)

    def pass_time(self, now_s: float, live: frozenset[Incarnation]) -> None:
        """Reclaim the slots of borrowers whose leases have ended."""
        for borrower, account in tuple(self.accounts.items()):
            if account is not self.local and account.heard_s + LEASE_S <= now_s:
                for target in tuple(account.lent):
                    self._move(account, target, -account.lent[target])
                del self.accounts[borrower]
            elif account is not self.local and borrower not in live:
                account.wanted = 0
        for target, settling in tuple(self._settling.items()):
            if settling.until_s <= now_s or not settling.unheard & live:
                del self._settling[target]
                self._note_free(target)

    def lend_slots(self) -> None:
        """Lend free slots to those who wait, the worst served first."""
        waiting = [each for each in self.accounts.values() if each.is_waiting]
        free = {}
        if waiting:
            free = {target: self.count_free(target) for target in self.find_free()}
        while waiting and (target := max(free, key=free.get, default=None)):
            if not free[target]:
                break
            account = min(waiting, key=Account.find_level)
            free[target] -= 1
            self._lend(account, target)
            if not account.is_waiting:
                waiting.remove(account)

    def collect_grants(self, with_flags: bool) -> Iterator[fx.SendToSibling]:
        """Yield replies and new grants, and `with_flags` changes of contention.

        Contention often ends within milliseconds, so that a message for each
        change costs more than the tasks themselves.
        """
        level = self._find_waiting_level()
        for account in self.accounts.values():
            if account is self.local or account.number is None:
                continue
            is_contended = _is_over_share(account, level)
            targets = sorted(account.unsent)
            is_changed = is_contended != account.is_contended and account.total > 0
            if not targets and (account.is_reply_due or with_flags and is_changed):
                targets = [NO_TARGET]
            if targets:
                account.is_contended = is_contended
            for target in targets:
                yield self._build_grant(account, target)
            account.unsent.clear()
            account.is_reply_due = False

    def is_contended(self) -> bool:
        """Whether a borrower waits for a slot."""
        return any(each.is_waiting for each in self.accounts.values())

    def count_lent(self) -> dict[str, int]:
        """Return the slots of each target that other processes hold."""
        return {
            target: count - self.local.lent[target]
            for target, count in self._lent.items()
            if count > self.local.lent[target]
        }

    def count_reserved(
        self, now_s: float, live: frozenset[Incarnation]
    ) -> dict[str, int]:
        """Return the slots kept for lost borrowers until their leases end."""
        reserved = Counter()
        for account in self.accounts.values():
            is_lost = account.heard_s + LOST_AFTER_S < now_s
            if account is not self.local and (is_lost or account.borrower not in live):
                reserved.update(account.lent)
        return dict(+reserved)

    def _open_account(self, borrower: Incarnation, now_s: float) -> Account:
        account = self.accounts.get(borrower)
        if account is None:
            account = Account(borrower=borrower, heard_s=now_s)
            self.accounts[borrower] = account
        account.heard_s = now_s
        return account

    def _hear_borrower(self, borrower: Incarnation) -> None:
        for target, settling in tuple(self._settling.items()):
            unheard = settling.unheard - {borrower}
            self._settling[target] = Settling(until_s=settling.until_s, unheard=unheard)

    def _move(self, account: Account, target: str, change: int) -> None:
        account.lent[target] += change
        account.total += change
        self._lent[target] += change
        if not account.lent[target]:
            del account.lent[target]
        self._note_free(target)

    def _note_free(self, target: str) -> None:
        if target in self.capacity and self.count_free(target):
            self._free.add(target)
            return
        self._free.discard(target)
        if not self._free:
            # An emptied set keeps the size of its table, which a loop reads to its end.
            self._free.clear()

    def _lend(self, account: Account, target: str) -> None:
        self._move(account, target, 1)
        if account is self.local:
            self.local_grants[target] += 1
        else:
            account.granted[target] += 1
            account.unsent.add(target)

    def _find_waiting_level(self) -> float:
        waiting = (each for each in self.accounts.values() if each.is_waiting)
        return min((each.find_level(1) for each in waiting), default=math.inf)

    def _build_grant(self, account: Account, target: str) -> fx.SendToSibling:
        grant = ev.SlotGrant(
            home=self.owner,
            target=target,
            count=account.granted[target],
            demand_number=account.number,
            lease_s=LEASE_S,
            contended=account.is_contended,
        )
        return fx.SendToSibling(to=account.borrower, message=grant)


def _is_over_share(account: Account, level: float) -> bool:
    """Whether a borrower's slot should go to one that waits at `level`."""
    if level == math.inf:
        return False
    return account.find_level(-1) >= level or account.total > account.wanted
