"""Handover of a cell's targets from one owner to the next.

A new owner has to find every run that an earlier owner may have started. Its own list
of targets is not enough: entries expire while the store is away, and the list of a host
that is no owner may be old. Owners therefore announce their targets to the hosts that
may succeed them.
"""

import enum
from collections.abc import Iterable

from gentianhub.capacity.events import CellTargets
from gentianhub.capacity.jobs import Cell, ListedTarget
from gentianhub.core.records import define, evolve, field, frozen


class HandoverKind(enum.Enum):
    """What a new owner knows about the targets of its predecessor.

    A draining predecessor takes no new targets, so that its announcement is complete. A
    silent one may have taken targets after its last announcement; the store has listed
    them, so a list that is read after the claim has them. Otherwise only the expiry of
    the leases tells that no earlier run exists.
    """

    DRAINED = "drained"
    SILENT = "silent"
    UNKNOWN = "unknown"


@frozen(kw_only=True)
class Handover:
    """The targets that earlier owners of a cell are known to have used."""

    kind: HandoverKind
    targets: tuple[ListedTarget, ...] = ()

    def merge_targets(self, listed: Iterable[ListedTarget]) -> tuple[ListedTarget, ...]:
        """Return the listed targets and those that only an earlier owner has used.

        Neither the list of a host that is no owner nor an announcement is certain to be
        the newer one. Until the list is read again, a target has the smaller of both
        capacities, and is leaving if either says so.
        """
        announced = {target.name: target for target in self.targets}
        merged = tuple(
            _merge_entries(target, announced.pop(target.name, target))
            for target in listed
        )
        return merged + tuple(announced.values())


def _merge_entries(listed: ListedTarget, announced: ListedTarget) -> ListedTarget:
    return evolve(
        listed,
        capacity=listed.capacity.compute_minimum(announced.capacity),
        is_leaving=listed.is_leaving or announced.is_leaving,
    )


@define(kw_only=True, eq=False)
class _Announcement:
    """Targets of a cell by name, as announced by the owner with this term."""

    term: int
    targets: dict[str, ListedTarget]


@define(kw_only=True, eq=False)
class TargetAnnouncements:
    """The last announcement of the targets of each cell."""

    _announcements: dict[Cell, _Announcement] = field(init=False, factory=dict)

    def record(self, message: CellTargets) -> None:
        """Record an owner's targets, or a change of them.

        A change without the announcement that it refers to is ignored.
        """
        known = self._announcements.get(message.cell)
        if message.is_complete:
            if known is not None and known.term > message.term:
                return
            known = _Announcement(term=message.term, targets={})
            self._announcements[message.cell] = known
        elif known is None or known.term != message.term:
            return
        for target in message.targets:
            known.targets[target.name] = target
        for name in message.removed:
            known.targets.pop(name, None)

    def build_handover(
        self, cell: Cell, predecessor_term: int, is_draining: bool
    ) -> Handover:
        """Return what is known about the owner of a cell that had this term."""
        known = self._announcements.get(cell)
        if known is None:
            return Handover(kind=HandoverKind.UNKNOWN)
        targets = tuple(known.targets.values())
        if known.term != predecessor_term:
            return Handover(kind=HandoverKind.UNKNOWN, targets=targets)
        kind = HandoverKind.DRAINED if is_draining else HandoverKind.SILENT
        return Handover(kind=kind, targets=targets)
