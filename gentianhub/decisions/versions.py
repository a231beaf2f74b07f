"""Versions of the table: a chain of changes, each applied to the one before it."""

from collections.abc import Iterable, Iterator, Mapping

from attrs import evolve, frozen

from gentianhub.core import ServiceRow, Table, TargetRow, TeamRow

# A new reader reads a snapshot and the changes after it: at most this many.
CHANGES_PER_SNAPSHOT = 1000
SHEET_CLASSES = {"teams": TeamRow, "services": ServiceRow, "targets": TargetRow}

Row = TeamRow | ServiceRow | TargetRow


@frozen(kw_only=True)
class Removal:
    """Removes the row of a team, service or target."""

    sheet: str
    name: str


@frozen(kw_only=True)
class TableChange:
    """One change set: version `version` is made from version `version - 1`.

    `change_id` is drawn by the operator's command, so that a change whose
    acknowledgement was lost can be recognised when it is read back.
    """

    version: int
    change_id: str
    author: str
    reason: str
    rows: tuple[Row, ...] = ()
    removals: tuple[Removal, ...] = ()


@frozen(kw_only=True)
class RowAdded:
    """A row that only the later table has."""

    row: Row


@frozen(kw_only=True)
class RowRemoved:
    """A row that only the earlier table has."""

    row: Row


@frozen(kw_only=True)
class RowEdited:
    """A row with other values in the later table."""

    before: Row
    after: Row


Difference = RowAdded | RowRemoved | RowEdited


def apply_change(table: Table, change: TableChange) -> Table:
    """Return the table with one change applied."""
    assert change.version == table.version + 1, (
        f"change {change.version} does not follow version {table.version}"
    )
    sheets = {sheet: dict(rows) for sheet, rows in list_sheets(table).items()}
    for removal in change.removals:
        sheets[removal.sheet].pop(removal.name, None)
    for row in change.rows:
        sheets[name_sheet(row)][row.name] = row
    return evolve(table, version=change.version, **sheets)


def list_sheets(table: Table) -> dict[str, Mapping[str, Row]]:
    """Return the rows of each sheet by name."""
    return {sheet: getattr(table, sheet) for sheet in SHEET_CLASSES}


def name_sheet(row: Row) -> str:
    """Return the name of the sheet that holds rows of this class."""
    match row:
        case TeamRow():
            return "teams"
        case ServiceRow():
            return "services"
        case TargetRow():
            return "targets"


def compare_tables(before: Table, after: Table) -> Iterator[Difference]:
    """Yield the differences of two tables, by sheet and name."""
    later = list_sheets(after)
    for sheet, rows in list_sheets(before).items():
        for name in sorted(rows.keys() | later[sheet].keys()):
            match rows.get(name), later[sheet].get(name):
                case (None, row):
                    yield RowAdded(row=row)
                case (row, None):
                    yield RowRemoved(row=row)
                case (old, new) if old != new:
                    yield RowEdited(before=old, after=new)


def build_change(
    base: Table, content: Table, *, change_id: str, author: str, reason: str
) -> TableChange:
    """Return the change that gives `base` the content of another table."""
    rows, removals = [], []
    for difference in compare_tables(base, content):
        match difference:
            case RowAdded(row=row) | RowEdited(after=row):
                rows.append(row)
            case RowRemoved(row=row):
                removals.append(Removal(sheet=name_sheet(row), name=row.name))
    return TableChange(
        version=base.version + 1,
        change_id=change_id,
        author=author,
        reason=reason,
        rows=tuple(rows),
        removals=tuple(removals),
    )


def apply_changes(table: Table, changes: Iterable[TableChange]) -> Table:
    """Return the table after the changes that follow it without a gap."""
    for change in select_following(table.version, changes):
        table = apply_change(table, change)
    return table


def select_following(
    version: int, changes: Iterable[TableChange]
) -> Iterator[TableChange]:
    """Yield the unbroken run of changes that starts after `version`."""
    for change in sorted(changes, key=lambda change: change.version):
        if change.version == version + 1:
            version = change.version
            yield change


def find_snapshot_version(version: int) -> int:
    """Return the version of the newest snapshot that is not after `version`."""
    return version - version % CHANGES_PER_SNAPSHOT


def has_snapshot(version: int) -> bool:
    """Tell whether a snapshot is written together with this version."""
    return version > 0 and version % CHANGES_PER_SNAPSHOT == 0
