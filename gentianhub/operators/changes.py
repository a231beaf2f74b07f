"""Edits of the table by operators: checks, writing and descriptions."""

import secrets
from collections.abc import Iterator

from attrs import evolve, fields

from gentianhub.core import ServiceRow, Table, TargetRow, TeamRow
from gentianhub.core.records import frozen
from gentianhub.decisions.versions import (
    Difference,
    RowAdded,
    RowEdited,
    RowRemoved,
    build_change,
    compare_tables,
    get_sheet_name,
)
from gentianhub.operators.table_files import format_cell
from gentianhub.storage.changes import (
    ChangeApplied,
    ChangeOutcomeUnknown,
    StaleVersion,
    TableStore,
    read_latest_table,
    read_table_version,
    write_change,
)

CHANGE_ID_BYTES = 16


@frozen(kw_only=True)
class Edit:
    """Author, reason and base version of an edit.

    The edit is refused unless `expected_version` is the current version.
    """

    expected_version: int
    author: str
    reason: str


@frozen(kw_only=True)
class Unchanged:
    """Result: the current table already has this content."""

    table: Table


@frozen(kw_only=True)
class NoSuchVersion:
    """Result: the table has no such version; `newest` is the current one."""

    version: int
    newest: int


EditResult = (
    ChangeApplied | ChangeOutcomeUnknown | StaleVersion | Unchanged | NoSuchVersion
)


def apply_edit(store: TableStore, content: Table, edit: Edit) -> EditResult:
    """Write the content as the version that follows the expected one."""
    match check_edit(store, content, edit.expected_version):
        case Table() as base:
            change = build_change(
                base,
                content,
                change_id=secrets.token_hex(CHANGE_ID_BYTES),
                author=edit.author,
                reason=edit.reason,
            )
            return write_change(store, base, change)
        case result:
            return result


def check_edit(
    store: TableStore, content: Table, expected_version: int
) -> Table | StaleVersion | Unchanged | NoSuchVersion:
    """Return the current table if the content may be written as the next version."""
    base = read_table_version(store, expected_version)
    if base is None:
        newest = read_latest_table(store, Table()).version
        return NoSuchVersion(version=expected_version, newest=newest)
    current = read_latest_table(store, base)
    if current.version != expected_version:
        return StaleVersion(base=base, current=current)
    if evolve(content, version=current.version) == current:
        return Unchanged(table=current)
    return current


def describe_difference(difference: Difference) -> str:
    """Return a difference as one line of text."""
    match difference:
        case RowAdded(row=row):
            values = ", ".join(_describe_values(row))
            return f"+ {get_sheet_name(row)} {row.name}: {values}"
        case RowRemoved(row=row):
            return f"- {get_sheet_name(row)} {row.name}"
        case RowEdited(before=before, after=after):
            values = ", ".join(_describe_edits(before, after))
            return f"~ {get_sheet_name(after)} {after.name}: {values}"


def _describe_values(row) -> Iterator[str]:
    for column in fields(type(row)):
        if column.name != "name":
            yield f"{column.name} {_format_value(getattr(row, column.name))}"


def _describe_edits(before, after) -> Iterator[str]:
    for column in fields(type(after)):
        old, new = getattr(before, column.name), getattr(after, column.name)
        if old != new:
            yield f"{column.name} {_format_value(old)} -> {_format_value(new)}"


def _format_value(value) -> str:
    return "no limit" if value is None else format_cell(value)


def describe_consequences(before: Table, after: Table) -> Iterator[str]:
    """Yield descriptions of the effects of a change that callers can observe."""
    for difference in compare_tables(before, after):
        match difference:
            case RowAdded(row=ServiceRow(name=name, team=team)):
                yield f"service {name}: submissions are accepted, under team {team}"
            case RowRemoved(row=ServiceRow(name=name)):
                yield (
                    f"service {name}: new submissions are refused with 400; "
                    "accepted jobs still run"
                )
            case RowEdited(before=ServiceRow() as old, after=ServiceRow() as new):
                yield from _describe_service(old, new)
            case RowEdited(before=TeamRow() as old, after=TeamRow() as new):
                if old.quota_slots != new.quota_slots:
                    yield (
                        f"team {new.name}: quota of slots in each data centre "
                        f"{_format_value(old.quota_slots)} -> "
                        f"{_format_value(new.quota_slots)}"
                    )
            case RowAdded(row=TargetRow() as new):
                yield from _describe_target(before.get_target_row(new.name), new)
            case RowRemoved(row=TargetRow() as old):
                yield from _describe_target(old, after.get_target_row(old.name))
            case RowEdited(before=TargetRow() as old, after=TargetRow() as new):
                yield from _describe_target(old, new)
    yield from _describe_shares(before, after)


def _describe_service(old: ServiceRow, new: ServiceRow) -> Iterator[str]:
    if old.team != new.team:
        yield f"service {new.name}: runs under team {new.team} instead of {old.team}"
    if old.max_running != new.max_running:
        yield (
            f"service {new.name}: tasks at once in each data centre "
            f"{_format_value(old.max_running)} -> {_format_value(new.max_running)}"
        )
    if old.max_queued_s != new.max_queued_s:
        direction = "earlier" if new.max_queued_s < old.max_queued_s else "later"
        yield (
            f"service {new.name}: refused {direction}, from "
            f"{format_cell(new.max_queued_s)} s of queued work in an entry process "
            f"instead of {format_cell(old.max_queued_s)} s"
        )


def _describe_target(old: TargetRow, new: TargetRow) -> Iterator[str]:
    if old.slots and not new.slots:
        yield f"target {new.name}: gets no new task; running ones finish"
    elif old.slots != new.slots:
        yield f"target {new.name}: {old.slots} -> {new.slots} tasks at once"
    if old.connections != new.connections:
        yield f"target {new.name}: {old.connections} -> {new.connections} connections"


def _describe_shares(before: Table, after: Table) -> Iterator[str]:
    """Yield changes of the services' shares while all services have queued work."""
    old, new = _compute_shares(before), _compute_shares(after)
    for name in sorted(old.keys() & new.keys()):
        if f"{old[name]:.1%}" != f"{new[name]:.1%}":
            yield (
                f"service {name}: share of the slots while all services have work "
                f"waiting {old[name]:.1%} -> {new[name]:.1%}"
            )


def _compute_shares(table: Table) -> dict[str, float]:
    """Return each service's share of the slots.

    Teams share the slots by their weights, and the services of a team share its part by
    theirs.
    """
    weights: dict[str, float] = {}
    for service in table.services.values():
        weights[service.team] = weights.get(service.team, 0.0) + service.weight
    teams = {name: _get_team_weight(table, name) for name in weights}
    total = sum(teams.values())
    return {
        service.name: teams[service.team]
        / total
        * (service.weight / weights[service.team])
        for service in table.services.values()
    }


def _get_team_weight(table: Table, name: str) -> float:
    return table.teams.get(name, TeamRow(name=name)).weight
