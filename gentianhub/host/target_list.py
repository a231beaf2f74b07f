"""The list of targets that a host has read, or been sent while it cannot read it."""

from collections.abc import Iterable, Iterator

from gentianhub.capacity import events as ev
from gentianhub.capacity.jobs import ListedTarget
from gentianhub.core import Incarnation
from gentianhub.core.records import define, field
from gentianhub.host.followers import decode_targets
from gentianhub.platform.store import TARGETS_TABLE

# Interval of the requests of an owner that cannot read the list, s. The users allow
# several seconds until a smaller capacity of a target is respected.
REQUEST_INTERVAL_S = 1.0

Rows = tuple[tuple[str, bytes], ...]


@define(kw_only=True, eq=False)
class TargetList:
    """All targets, as decoded `targets` and as stored `rows`.

    `is_store_lost` is set while the list cannot be read. An owner then requests the
    part of its data centre from other owners, which read it often: it would start tasks
    beyond capacities that have shrunk, and on targets that leave.
    """

    targets: tuple[ListedTarget, ...] = ()
    rows: Rows = ()
    is_store_lost: bool = False
    _request_count: int = field(init=False, default=0)
    _requested_s: float = field(init=False, default=float("-inf"))

    def choose_peer(
        self, owners: Iterable[Incarnation], now_s: float
    ) -> Incarnation | None:
        """Return the owner to request the list from now, a different one each time."""
        is_due = now_s >= self._requested_s + REQUEST_INTERVAL_S
        candidates = sorted(owners)
        if not (self.is_store_lost and is_due and candidates):
            return None
        self._requested_s = now_s
        self._request_count += 1
        return candidates[self._request_count % len(candidates)]

    def record_store(self, table: str, is_lost: bool) -> None:
        """Record that a table of the store can be read, or not any more."""
        if table == TARGETS_TABLE:
            self.is_store_lost = is_lost

    def build_offers(self, data_centre: str) -> Iterator[ev.TargetsOffer]:
        """Yield the part of a data centre, if it is newer than another host's."""
        if not self.is_store_lost:
            rows = self.select_rows(data_centre)
            yield ev.TargetsOffer(rows=rows, data_centre=data_centre)

    def adopt_offer(self, offer: ev.TargetsOffer, has_targets: bool) -> bool:
        """Adopt a list that this host can't read; return whether it was adopted.

        `has_targets` is whether this host has any list yet.
        """
        if offer.data_centre and self.is_store_lost and offer.rows:
            self.replace_part(offer.data_centre, offer.rows)
        elif not has_targets:
            self.targets, self.rows = tuple(decode_targets(offer.rows)), offer.rows
        else:
            return False
        return True

    def select_rows(self, data_centre: str) -> Rows:
        """Return the rows of the targets of one data centre."""
        names = {t.name for t in self.targets if t.data_centre == data_centre}
        return tuple(row for row in self.rows if row[0] in names)

    def replace_part(self, data_centre: str, rows: Rows) -> None:
        """Replace the targets of one data centre."""
        others = tuple(t for t in self.targets if t.data_centre != data_centre)
        names = {target.name for target in others}
        self.targets = others + tuple(decode_targets(rows))
        self.rows = tuple(row for row in self.rows if row[0] in names) + rows
