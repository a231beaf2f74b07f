"""Propagation of the table and of leaving targets between siblings."""

from collections.abc import Iterator

from gentianhub.core.events import TableAdopted, TargetsLeaving
from gentianhub.core.records import define, field
from gentianhub.decisions.propagation import TableHistory
from gentianhub.linking.links import Link
from gentianhub.siblings.messages import TableDeltas, TableRequest
from gentianhub.siblings.wire import encode_message

TABLE_REQUEST_TIMEOUT_S = 1.0
MAX_CHANGES_PER_MESSAGE = 500
# Heartbeats repeat a leaving target for this long, so that a sibling whose link was
# down receives it after the link is restored.
LEAVING_RETENTION_S = 10.0


@define(kw_only=True, eq=False)
class TableSync:
    """Requests newer tables from siblings, and serves its own table to others."""

    history: TableHistory = field(init=False, factory=lambda: TableHistory())
    _requested_s: float = field(init=False, default=float("-inf"))

    def request_table(self, link: Link, version: int, now_s: float) -> None:
        """Request the changes from a sibling with a newer version.

        One request is open at a time; it expires after `TABLE_REQUEST_TIMEOUT_S`.
        """
        own_version = self.history.table.version
        is_request_pending = now_s - self._requested_s < TABLE_REQUEST_TIMEOUT_S
        if version > own_version and not is_request_pending:
            self._requested_s = now_s
            link.send(encode_message(TableRequest(after=own_version)))

    def send_table(self, link: Link, after: int) -> None:
        """Send the changes after a version, or the full table if they are not kept."""
        changes = self.history.find_changes(after)
        if changes is None:
            deltas = TableDeltas(snapshot=self.history.table)
        else:
            deltas = TableDeltas(changes=changes[:MAX_CHANGES_PER_MESSAGE])
        link.send(encode_message(deltas))

    def adopt_deltas(self, deltas: TableDeltas) -> Iterator[TableAdopted]:
        """Adopt newer changes; yield an event for the dispatcher if there were any."""
        self._requested_s = float("-inf")
        adopted = []
        if deltas.snapshot is not None:
            adopted += self.history.adopt_table(deltas.snapshot)
        adopted += self.history.adopt_changes(deltas.changes)
        for table in adopted[-1:]:
            yield TableAdopted(table=table)


@define(kw_only=True, eq=False)
class LeavingTargets:
    """Leaving targets, observed by this process or reported by siblings.

    Reports of siblings are not sent on, so that none circulates indefinitely.
    """

    _observed: dict[str, float] = field(init=False, factory=dict)
    _reported: dict[str, float] = field(init=False, factory=dict)

    def record_target(self, target: str, now_s: float) -> None:
        """Record a target that reported to this process that it is leaving."""
        self._observed[target] = now_s + LEAVING_RETENTION_S

    def list_observed(self, now_s: float) -> tuple[str, ...]:
        """Return the observed targets, for the next heartbeat."""
        self._observed = _drop_expired(self._observed, now_s)
        return tuple(self._observed)

    def record_reports(
        self, targets: tuple[str, ...], now_s: float
    ) -> Iterator[TargetsLeaving]:
        """Yield an event for the targets that were not reported recently."""
        self._reported = _drop_expired(self._reported, now_s)
        new = tuple(name for name in targets if name not in self._reported)
        for name in targets:
            self._reported[name] = now_s + LEAVING_RETENTION_S
        if new:
            yield TargetsLeaving(targets=new)


def _drop_expired(until_s: dict[str, float], now_s: float) -> dict[str, float]:
    return {name: end_s for name, end_s in until_s.items() if now_s < end_s}
