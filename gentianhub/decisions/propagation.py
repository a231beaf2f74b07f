"""Propagation of table versions between processes."""

from collections import deque
from collections.abc import Iterable, Iterator

from gentianhub.core import Table
from gentianhub.core.records import define, field, frozen
from gentianhub.decisions.versions import TableChange, apply_change, select_following

# A process that is further behind gets the complete table instead.
MAX_KEPT_CHANGES = 1000


@frozen(kw_only=True)
class ChangesRead:
    """The newest table on the platform, and the last changes that led to it.

    The changes may follow a snapshot, not the version that the reader had.
    """

    changes: tuple[TableChange, ...]
    table: Table


@frozen(kw_only=True)
class PollerRole:
    """Whether this process reads the platform, and the newest table it has."""

    is_poller: bool
    table: Table


@define(kw_only=True, eq=False)
class TableHistory:
    """The newest table of one process and the last changes that led to it."""

    table: Table = field(factory=lambda: Table())
    _changes: deque[TableChange] = field(
        init=False, factory=lambda: deque(maxlen=MAX_KEPT_CHANGES)
    )

    def adopt_changes(self, changes: Iterable[TableChange]) -> Iterator[Table]:
        """Apply changes that follow without a gap; yield the table if any did."""
        version = self.table.version
        for change in select_following(version, changes):
            self.table = apply_change(self.table, change)
            self._changes.append(change)
        if self.table.version > version:
            yield self.table

    def adopt_table(self, table: Table) -> Iterator[Table]:
        """Adopt a complete table if it is newer, and yield it."""
        if table.version > self.table.version:
            self._changes.clear()
            self.table = table
            yield table

    def find_changes(self, after: int) -> tuple[TableChange, ...] | None:
        """Return the changes after a version, or None if some have been discarded."""
        if after >= self.table.version:
            return ()
        changes = tuple(change for change in self._changes if change.version > after)
        is_gapless = bool(changes) and changes[0].version == after + 1
        return changes if is_gapless else None
