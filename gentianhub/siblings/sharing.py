"""What siblings pass on to each other: the table, and targets seen leaving."""

from collections.abc import Iterator

from attrs import define, field

from gentianhub.core.events import TableAdopted, TargetsLeaving
from gentianhub.decisions.propagation import TableHistory
from gentianhub.linking.links import Link
from gentianhub.siblings.messages import TableDeltas, TableRequest
from gentianhub.siblings.wire import encode_message

TABLE_REQUEST_TIMEOUT_S = 1.0
MAX_CHANGES_PER_MESSAGE = 500
# Heartbeats repeat a sighting this long, over which a broken link is made again.
LEAVING_REPEAT_S = 10.0


@define(kw_only=True, eq=False)
class TableSharing:
    """Asks siblings that are ahead for the table, and answers those behind."""

    history: TableHistory = field(init=False, factory=lambda: TableHistory())
    _asked_s: float = field(init=False, default=float("-inf"))

    def request_table(self, link: Link, version: int, now_s: float) -> None:
        """Ask a sibling that has a greater version, one sibling at a time."""
        own_version = self.history.table.version
        is_asked = now_s - self._asked_s < TABLE_REQUEST_TIMEOUT_S
        if version > own_version and not is_asked:
            self._asked_s = now_s
            link.send(encode_message(TableRequest(after=own_version)))

    def send_table(self, link: Link, after: int) -> None:
        """Send the changes after a version, or the whole table."""
        changes = self.history.find_changes(after)
        if changes is None:
            deltas = TableDeltas(snapshot=self.history.table)
        else:
            deltas = TableDeltas(changes=changes[:MAX_CHANGES_PER_MESSAGE])
        link.send(encode_message(deltas))

    def adopt_deltas(self, deltas: TableDeltas) -> Iterator[TableAdopted]:
        """Take what is newer; yield the event for the dispatcher if anything is."""
        self._asked_s = float("-inf")
        adopted = []
        if deltas.snapshot is not None:
            adopted += self.history.adopt_table(deltas.snapshot)
        adopted += self.history.adopt_changes(deltas.changes)
        for table in adopted[-1:]:
            yield TableAdopted(table=table)


@define(kw_only=True, eq=False)
class LeavingTargets:
    """Targets that said so to this process, and those that siblings saw.

    Sightings of siblings are not repeated, so that none goes round for ever.
    """

    _own: dict[str, float] = field(init=False, factory=dict)
    _told: dict[str, float] = field(init=False, factory=dict)

    def see_target(self, target: str, now_s: float) -> None:
        """Record that a target said it is leaving."""
        self._own[target] = now_s + LEAVING_REPEAT_S

    def list_own(self, now_s: float) -> tuple[str, ...]:
        """Return the targets for the next heartbeat."""
        self._own = _drop_old(self._own, now_s)
        return tuple(self._own)

    def take_news(
        self, targets: tuple[str, ...], now_s: float
    ) -> Iterator[TargetsLeaving]:
        """Yield an event for the targets that were not told of lately."""
        self._told = _drop_old(self._told, now_s)
        news = tuple(name for name in targets if name not in self._told)
        for name in targets:
            self._told[name] = now_s + LEAVING_REPEAT_S
        if news:
            yield TargetsLeaving(targets=news)


def _drop_old(until_s: dict[str, float], now_s: float) -> dict[str, float]:
    return {name: end_s for name, end_s in until_s.items() if now_s < end_s}
