"""Versions of the table: a chain of changes, each applied to the one before it."""

from collections.abc import Iterable, Iterator

from attrs import evolve, frozen

from gentianhub.core import ServiceRow, Table, TargetRow, TeamRow

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


def apply_change(table: Table, change: TableChange) -> Table:
    """Return the table with one change applied."""
    assert change.version == table.version + 1, (
        f"change {change.version} does not follow version {table.version}"
    )
    sheets = {
        "teams": dict(table.teams),
        "services": dict(table.services),
        "targets": dict(table.targets),
    }
    for removal in change.removals:
        sheets[removal.sheet].pop(removal.name, None)
    for row in change.rows:
        sheets[name_sheet(row)][row.name] = row
    return evolve(table, version=change.version, **sheets)


def name_sheet(row: Row) -> str:
    """Return the name of the sheet that holds rows of this class."""
    match row:
        case TeamRow():
            return "teams"
        case ServiceRow():
            return "services"
        case TargetRow():
            return "targets"


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
