"""Output of the table commands: lines for people, or one JSON object."""

import enum
import json
from collections.abc import Iterable

import cattrs
import typer

from gentianhub.core import PlatformError
from gentianhub.decisions.versions import (
    Difference,
    RowAdded,
    RowEdited,
    RowRemoved,
    TableChange,
)
from gentianhub.operators.changes import describe_difference
from gentianhub.operators.rollout import (
    ProcessVersion,
    VersionNotAsked,
    VersionSeen,
    VersionUnknown,
    has_version,
)
from gentianhub.operators.table_files import TableFault
from gentianhub.storage.rows import encode_row


class ExitCode(enum.IntEnum):
    """Exit codes of the table commands."""

    DONE = 0
    #: Wrong arguments, or a settings file that cannot be used.
    BAD_USAGE = 2
    #: The CSV files have faults.
    FAULTY_FILES = 3
    #: `diff` and `apply --dry-run`: the content is not what is in force.
    DIFFERENT = 4
    #: Another change came first; nothing was written.
    STALE_VERSION = 5
    #: The platform is down; nothing was written.
    PLATFORM_DOWN = 6
    #: The platform did not reply; the change may have been written.
    WRITE_UNKNOWN = 7
    #: Written, but not known to be in force in every entry process.
    NOT_EVERYWHERE = 8
    #: There is no such version.
    NO_SUCH_VERSION = 9


def finish(
    code: ExitCode, content: dict, lines: Iterable[str], as_json: bool
) -> typer.Exit:
    """Print a result and return the exit to raise."""
    if as_json:
        content = {"exit": code.name.lower(), **content}
        typer.echo(json.dumps(content, indent=2))
    else:
        for line in lines:
            typer.echo(line)
    return typer.Exit(int(code))


def finish_outage(error: PlatformError, as_json: bool) -> typer.Exit:
    """Report that the platform cannot be used; nothing was written."""
    content = {"step": error.step.value, "peer": error.peer, "reason": error.reason}
    lines = [
        f"{error.peer}: {error.reason}",
        "The platform cannot be used. Nothing was written; the version in force "
        "stays in force. Try again when it is back.",
    ]
    return finish(ExitCode.PLATFORM_DOWN, {"error": content}, lines, as_json)


def encode_difference(difference: Difference) -> dict:
    """Return a difference as JSON content."""
    match difference:
        case RowAdded(row=row):
            return {"change": "added", "after": encode_row(row)}
        case RowRemoved(row=row):
            return {"change": "removed", "before": encode_row(row)}
        case RowEdited(before=before, after=after):
            return {
                "change": "edited",
                "before": encode_row(before),
                "after": encode_row(after),
            }


def encode_differences(differences: Iterable[Difference]) -> list[dict]:
    """Return differences as JSON content."""
    return [encode_difference(difference) for difference in differences]


def format_differences(differences: Iterable[Difference]) -> list[str]:
    """Return differences as indented lines, or a line that says there are none."""
    lines = [f"  {describe_difference(difference)}" for difference in differences]
    return lines or ["  no difference"]


def encode_faults(faults: Iterable[TableFault]) -> list[dict]:
    """Return faults as JSON content."""
    return [cattrs.unstructure(fault) for fault in faults]


def encode_state(state: ProcessVersion, version: int) -> dict:
    """Return what is known of an entry process as JSON content."""
    content = {**cattrs.unstructure(state), "in_force": has_version(state, version)}
    match state:
        case VersionSeen():
            return content
        case VersionUnknown() | VersionNotAsked():
            return {**content, "version": None, "in_force": None}


def describe_state(state: ProcessVersion, version: int) -> str:
    """Return what is known of an entry process as one line."""
    match state:
        case VersionSeen(process=process, version=seen) if seen >= version:
            return f"  {process}: version {seen}, in force"
        case VersionSeen(process=process, version=seen):
            return f"  {process}: version {seen}, behind"
        case VersionUnknown(process=process, reason=reason):
            return f"  {process}: cannot know; {reason}"
        case VersionNotAsked(process=process):
            return f"  {process}: cannot know; its operator port was not given"


def encode_history(change: TableChange) -> dict:
    """Return the description of a change as JSON content."""
    return {
        "version": change.version,
        "change_id": change.change_id,
        "author": change.author,
        "reason": change.reason,
        "rows": len(change.rows),
        "removals": len(change.removals),
    }


def describe_history(change: TableChange) -> str:
    """Return the description of a change as one line."""
    return (
        f"{change.version:>8}  {change.author}: {change.reason} "
        f"({len(change.rows)} rows written, {len(change.removals)} removed)"
    )
