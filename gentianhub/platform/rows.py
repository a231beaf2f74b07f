"""Form of the table's changes and of the host list on the platform."""

import cattrs

from gentianhub.core import (
    EntryAddress,
    ProcessName,
    ServiceRow,
    TargetAddress,
    TargetRow,
    TeamRow,
)
from gentianhub.decisions.versions import (
    Removal,
    Row,
    TableChange,
    name_sheet,
)

HEAD_KEY = "table/head"
CHANGE_PREFIX = "table/change/"

_SHEET_CLASSES = {"teams": TeamRow, "services": ServiceRow, "targets": TargetRow}


def build_change_key(version: int) -> str:
    """Return the key of a change; keys sort by version."""
    return f"{CHANGE_PREFIX}{version:012d}"


def encode_change(change: TableChange) -> dict:
    """Return a change as JSON content."""
    return {
        "version": change.version,
        "change_id": change.change_id,
        "author": change.author,
        "reason": change.reason,
        "rows": [encode_row(row) for row in change.rows],
        "removals": cattrs.unstructure(change.removals),
    }


def decode_change(content: dict) -> TableChange:
    """Return the change in JSON content."""
    return TableChange(
        version=content["version"],
        change_id=content["change_id"],
        author=content["author"],
        reason=content["reason"],
        rows=tuple(decode_row(row) for row in content["rows"]),
        removals=tuple(Removal(**removal) for removal in content["removals"]),
    )


def encode_row(row: Row) -> dict:
    """Return a row of any sheet as JSON content."""
    return {"sheet": name_sheet(row), **cattrs.unstructure(row)}


def decode_row(content: dict) -> Row:
    """Return the row in JSON content."""
    fields = dict(content)
    return cattrs.structure(fields, _SHEET_CLASSES[fields.pop("sheet")])


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


def decode_processes(hosts: dict) -> tuple[EntryAddress, ...]:
    """Return the entry processes of all data centres in the host list."""
    return tuple(
        EntryAddress(
            name=ProcessName(data_centre=entry["data_centre"], process=entry["name"]),
            host=entry["host"],
            port=entry["port"],
            leaving=entry["state"] == "leaving",
        )
        for entry in hosts["entry_processes"]
    )
