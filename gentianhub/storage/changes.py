"""The sequence of table changes on the platform: reading it and appending to it.

Change N is written in one transaction with the head row, on the condition that the
head is still at N-1. Every 1,000 changes the same transaction writes a snapshot.
"""

from collections.abc import Iterator
from typing import Protocol

from gentianhub.core import PlatformError, Step, Table
from gentianhub.core.records import frozen
from gentianhub.decisions.versions import (
    TableChange,
    apply_change,
    apply_changes,
    find_snapshot_version,
    has_snapshot,
)
from gentianhub.storage.client import Conflict, VersionedRow
from gentianhub.storage.rows import (
    CHANGE_PREFIX,
    HEAD_KEY,
    build_change_key,
    build_snapshot_key,
    decode_change,
    decode_table,
    encode_change,
    encode_table,
)

# Rows per request; a page of changes stays well below the limit of the reply body.
ROWS_PER_PAGE = 1000
WRITE_ATTEMPTS = 3


class TableStore(Protocol):
    """Table operations that are needed here; `PlatformClient` implements them."""

    peer: str

    def read_keys(self, keys: tuple[str, ...]) -> tuple[VersionedRow, ...]:
        """Return the rows that exist among the keys."""

    def read_rows(
        self, prefix: str, after: str = "", limit: int = 0
    ) -> tuple[VersionedRow, ...]:
        """Return rows in the order of their keys."""

    def write_rows(
        self, rows: dict[str, object], expected: dict[str, int]
    ) -> Conflict | None:
        """Write rows in one transaction if the rows have the expected versions."""


@frozen(kw_only=True)
class Head:
    """The newest table version, and the version of the row that holds it.

    A writer's transaction is conditional on the row version.
    """

    version: int
    row_version: int


@frozen(kw_only=True)
class TableRead:
    """A table, and the last changes that led to it.

    The changes start from the reader's earlier table or from a snapshot.
    """

    table: Table
    changes: tuple[TableChange, ...] = ()


@frozen(kw_only=True)
class ChangeApplied:
    """Result: the change was written; `table` is the table that includes it."""

    table: Table


@frozen(kw_only=True)
class StaleVersion:
    """Result: other changes were written first; this one was not.

    `base` is the table that the writer expected, `current` the newest one.
    """

    base: Table
    current: Table


@frozen(kw_only=True)
class ChangeOutcomeUnknown:
    """Result: no reply, and the change was not read back; it may be written."""

    change: TableChange
    reason: str


def read_head(store: TableStore) -> Head:
    """Return the newest version; version 0 if the table is empty."""
    for row in store.read_keys((HEAD_KEY,)):
        version = _decode(store, lambda value: int(value["version"]), row)
        return Head(version=version, row_version=row.version)
    return Head(version=0, row_version=0)


def read_latest(store: TableStore, table: Table) -> TableRead:
    """Return the newest table and its last changes, or `table` if none is newer.

    It takes one read if `table` is up to date, and at most three otherwise.
    """
    return _read_up_to(store, table, read_head(store).version)


def read_latest_table(store: TableStore, table: Table) -> Table:
    """Return the newest table, or `table` itself if none is newer."""
    return read_latest(store, table).table


def read_table_version(store: TableStore, version: int) -> Table | None:
    """Return the table of a version, or None if there is no such version."""
    if version > read_head(store).version:
        return None
    table = _read_up_to(store, Table(), version).table
    return table if table.version == version else None


def read_changes(store: TableStore, after: int, limit: int) -> Iterator[TableChange]:
    """Yield up to `limit` changes after a version, in order."""
    while limit > 0:
        page = min(limit, ROWS_PER_PAGE)
        rows = store.read_rows(CHANGE_PREFIX, build_change_key(after), page)
        for row in rows:
            change = _decode(store, decode_change, row)
            after = change.version
            yield change
        if len(rows) < page:
            return
        limit -= page


def _read_up_to(store: TableStore, table: Table, version: int) -> TableRead:
    if version <= table.version:
        return TableRead(table=table)
    snapshot_version = find_snapshot_version(version)
    if snapshot_version > table.version:
        for row in store.read_keys((build_snapshot_key(snapshot_version),)):
            table = _decode(store, decode_table, row)
    changes = tuple(read_changes(store, table.version, version - table.version))
    return TableRead(table=apply_changes(table, changes), changes=changes)


def write_change(
    store: TableStore, base: Table, change: TableChange
) -> ChangeApplied | StaleVersion | ChangeOutcomeUnknown:
    """Write a change that follows `base`, if `base` is still the newest table.

    If the reply to a write is lost, the change is read back and its id compared. A
    repeated write has the same condition, so that the change is written at most
    once.

    Raises
    ------
    PlatformError
        If the head or a newer table cannot be read; this change was not written.
    """
    head = read_head(store)
    if head.version != base.version:
        return _build_stale(store, base)
    rows, expected = _build_transaction(base, change, head)
    reason = ""
    for _ in range(WRITE_ATTEMPTS):
        try:
            if store.write_rows(rows, expected) is None:
                return ChangeApplied(table=apply_change(base, change))
            found = _find_change(store, change.version)
        except PlatformError as error:
            reason = error.reason
            found = _find_change_if_readable(store, change.version)
        if found is None:
            continue
        if found.change_id == change.change_id:
            return ChangeApplied(table=apply_change(base, change))
        return _build_stale(store, base)
    return ChangeOutcomeUnknown(change=change, reason=reason)


def _build_transaction(base: Table, change: TableChange, head: Head):
    change_key = build_change_key(change.version)
    rows = {HEAD_KEY: {"version": change.version}, change_key: encode_change(change)}
    if has_snapshot(change.version):
        table = apply_change(base, change)
        rows[build_snapshot_key(change.version)] = encode_table(table)
    return rows, {HEAD_KEY: head.row_version, change_key: 0}


def _find_change(store: TableStore, version: int) -> TableChange | None:
    for row in store.read_keys((build_change_key(version),)):
        return _decode(store, decode_change, row)
    return None


def _find_change_if_readable(store: TableStore, version: int) -> TableChange | None:
    try:
        return _find_change(store, version)
    except PlatformError:
        return None


def _build_stale(store: TableStore, base: Table) -> StaleVersion:
    return StaleVersion(base=base, current=read_latest_table(store, base))


def _decode(store: TableStore, decode, row: VersionedRow):
    """Decode a row; raise `PlatformError` if it cannot be decoded."""
    try:
        return decode(row.value)
    except Exception as error:
        raise PlatformError(
            step=Step.READ_PLATFORM,
            peer=store.peer,
            reason=f"row {row.key} cannot be decoded: {error!r}",
        ) from None
