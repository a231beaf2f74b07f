"""The chain of table versions on the platform: reading it and adding to it.

Change N is written in one transaction with the head, on the condition that the
head is still at N-1. Every 1,000 changes the same transaction writes a snapshot.
"""

from collections.abc import Iterator
from typing import Protocol

from attrs import frozen

from gentianhub.core import PlatformError, Step, Table
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

# Rows asked for at once; a page of changes stays well under the body limit.
PAGE_ROWS = 1000
WRITE_ATTEMPTS = 3


class TableStore(Protocol):
    """What the chain asks of the platform; `PlatformClient` provides it."""

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
        """Write rows in one transaction if the expected versions are in force."""


@frozen(kw_only=True)
class Head:
    """The newest version, and the row version that a writer must find there."""

    version: int
    row_version: int


@frozen(kw_only=True)
class TableRead:
    """A table, and the last changes that led to it.

    The changes follow the table that the reader had, or a snapshot.
    """

    table: Table
    changes: tuple[TableChange, ...] = ()


@frozen(kw_only=True)
class ChangeApplied:
    """The change is on the chain; `table` is the table with it."""

    table: Table


@frozen(kw_only=True)
class StaleVersion:
    """Sentinel: other changes came first; nothing was written.

    `base` is the table that the writer expected, `current` the newest one.
    """

    base: Table
    current: Table


@frozen(kw_only=True)
class ChangeUnknown:
    """Sentinel: no reply and no reading back; the change may be on the chain."""

    change: TableChange
    reason: str


def read_head(store: TableStore) -> Head:
    """Return the head of the chain; version 0 if the table is empty."""
    for row in store.read_keys((HEAD_KEY,)):
        version = _decode(store, lambda value: int(value["version"]), row)
        return Head(version=version, row_version=row.version)
    return Head(version=0, row_version=0)


def read_newer_changes(store: TableStore, table: Table) -> TableRead:
    """Return the newest table, or `table` itself if none is newer.

    A reader that is up to date costs one read, any other at most three.
    """
    return _read_up_to(store, table, read_head(store).version)


def read_newer_table(store: TableStore, table: Table) -> Table:
    """Return the newest table, or `table` itself if none is newer."""
    return read_newer_changes(store, table).table


def read_table_at(store: TableStore, version: int) -> Table | None:
    """Return an earlier or the newest table, or None if there is no such version."""
    if version > read_head(store).version:
        return None
    table = _read_up_to(store, Table(), version).table
    return table if table.version == version else None


def read_changes(store: TableStore, after: int, limit: int) -> Iterator[TableChange]:
    """Yield up to `limit` changes after a version, in order."""
    while limit > 0:
        page = min(limit, PAGE_ROWS)
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
) -> ChangeApplied | StaleVersion | ChangeUnknown:
    """Write a change that follows `base`, if `base` is still the newest table.

    A write whose reply is lost is resolved by reading the change back and
    comparing its id. A repeated write carries the same condition, so that the
    change is on the chain once at most.

    Raises
    ------
    PlatformError
        If the chain cannot be read; nothing of this change was written.
    """
    head = read_head(store)
    if head.version != base.version:
        return _build_stale(store, base)
    rows, expected = _build_write(base, change, head)
    reason = ""
    for _ in range(WRITE_ATTEMPTS):
        try:
            if store.write_rows(rows, expected) is None:
                return ChangeApplied(table=apply_change(base, change))
            found = _find_change(store, change.version)
        except PlatformError as error:
            reason = error.reason
            found = _try_finding(store, change.version)
        if found is None:
            continue
        if found.change_id == change.change_id:
            return ChangeApplied(table=apply_change(base, change))
        return _build_stale(store, base)
    return ChangeUnknown(change=change, reason=reason)


def _build_write(base: Table, change: TableChange, head: Head):
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


def _try_finding(store: TableStore, version: int) -> TableChange | None:
    try:
        return _find_change(store, version)
    except PlatformError:
        return None


def _build_stale(store: TableStore, base: Table) -> StaleVersion:
    return StaleVersion(base=base, current=read_newer_table(store, base))


def _decode(store: TableStore, decode, row: VersionedRow):
    """Decode a row; one that cannot be decoded is a fault of the platform."""
    try:
        return decode(row.value)
    except Exception as error:
        raise PlatformError(
            step=Step.READ_PLATFORM,
            peer=store.peer,
            reason=f"row {row.key} cannot be decoded: {error!r}",
        ) from None
