"""Serialisation of the table's changes and of the host list on the platform."""

import cattrs

from gentianhub.core import EntryProcessAddress, ProcessName, Table, TargetAddress
from gentianhub.decisions.versions import (
    ROW_CLASSES,
    Removal,
    Row,
    TableChange,
    get_sheet_name,
    get_sheets,
)

HEAD_KEY = "table/head"
CHANGE_PREFIX = "table/change/"
SNAPSHOT_PREFIX = "table/snapshot/"


def build_change_key(version: int) -> str:
    """Return the key of a change; the keys sort by version."""
    return f"{CHANGE_PREFIX}{version:012d}"


def build_snapshot_key(version: int) -> str:
    """Return the key of the snapshot of a version."""
    return f"{SNAPSHOT_PREFIX}{version:012d}"


def encode_table(table: Table) -> dict:
    """Convert a complete table to JSON content."""
    sheets = get_sheets(table).values()
    rows = [encode_row(row) for sheet in sheets for row in sheet.values()]
    return {"version": table.version, "rows": rows}


def decode_table(content: dict) -> Table:
    """Convert JSON content to a complete table."""
    sheets = {sheet: {} for sheet in ROW_CLASSES}
    for row in map(decode_row, content["rows"]):
        sheets[get_sheet_name(row)][row.name] = row
    return Table(version=content["version"], **sheets)


def encode_change(change: TableChange) -> dict:
    """Convert a change to JSON content."""
    return {
        "version": change.version,
        "change_id": change.change_id,
        "author": change.author,
        "reason": change.reason,
        "rows": [encode_row(row) for row in change.rows],
        "removals": cattrs.unstructure(change.removals),
    }


def decode_change(content: dict) -> TableChange:
    """Convert JSON content to a change."""
    return TableChange(
        version=content["version"],
        change_id=content["change_id"],
        author=content["author"],
        reason=content["reason"],
        rows=tuple(decode_row(row) for row in content["rows"]),
        removals=tuple(Removal(**removal) for removal in content["removals"]),
    )


def encode_row(row: Row) -> dict:
    """Convert a row of any sheet to JSON content."""
    return {"sheet": get_sheet_name(row), **cattrs.unstructure(row)}


def decode_row(content: dict) -> Row:
    """Convert JSON content to a row."""
    fields = dict(content)
    return cattrs.structure(fields, ROW_CLASSES[fields.pop("sheet")])


def decode_targets(hosts: dict, data_centre: str) -> tuple[TargetAddress, ...]:
    """Return the targets of one data centre in the platform's host list."""
    return tuple(
        TargetAddress(
            name=target["name"],
            data_centre=target["data_centre"],
            host=target["host"],
            port=target["port"],
            leaving=target["state"] == "leaving",
        )
        for target in hosts["targets"]
        if target["data_centre"] == data_centre
    )


def decode_processes(hosts: dict) -> tuple[EntryProcessAddress, ...]:
    """Return the entry processes of all data centres in the host list."""
    return tuple(
        EntryProcessAddress(
            name=ProcessName(data_centre=entry["data_centre"], process=entry["name"]),
            host=entry["host"],
            port=entry["port"],
            leaving=entry["state"] == "leaving",
        )
        for entry in hosts["entry_processes"]
    )
