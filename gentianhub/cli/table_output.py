"""Output of the table commands: lines of text or one JSON object."""

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
    VersionNotQueried,
    VersionReported,
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
    #: `diff` and `apply --dry-run`: the content differs from the current version.
    DIFFERENT = 4
    #: Another change was written since the expected version; nothing was written.
    STALE_VERSION = 5
    #: The platform is down; nothing was written.
    PLATFORM_DOWN = 6
    #: The platform did not reply; the change may have been written.
    WRITE_UNKNOWN = 7
    #: Written, but not every entry process is known to have the version.
    NOT_EVERYWHERE = 8
    #: The version does not exist.
    NO_SUCH_VERSION = 9


def report_result(
    code: ExitCode, content: dict, lines: Iterable[str], as_json: bool
) -> typer.Exit:
    """Print a result and return the `typer.Exit` for the caller to raise."""
    if as_json:
        content = {"exit": code.name.lower(), **content}
        typer.echo(json.dumps(content, indent=2))
    else:
        for line in lines:
            typer.echo(line)
    return typer.Exit(int(code))


def report_outage(error: PlatformError, as_json: bool) -> typer.Exit:
    """Report that the platform is unavailable and nothing was written."""
    content = {"step": error.step.value, "peer": error.peer, "reason": error.reason}
    lines = [
        f"{error.peer}: {error.reason}",
        "The platform is unavailable. Nothing was written; the current version "
        "stays in force. Try again when the platform is available.",
    ]
    return report_result(ExitCode.PLATFORM_DOWN, {"error": content}, lines, as_json)


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
    """Return differences as indented lines, or one line if there are none."""
    lines = [f"  {describe_difference(difference)}" for difference in differences]
    return lines or ["  no differences"]


def encode_faults(faults: Iterable[TableFault]) -> list[dict]:
    """Return faults as JSON content."""
    return [cattrs.unstructure(fault) for fault in faults]


def encode_state(state: ProcessVersion, version: int) -> dict:
    """Return the table version of an entry process as JSON content."""
    content = {**cattrs.unstructure(state), "in_force": has_version(state, version)}
    match state:
        case VersionReported():
            return content
        case VersionUnknown() | VersionNotQueried():
            return {**content, "version": None, "in_force": None}


def describe_state(state: ProcessVersion, version: int) -> str:
    """Return the table version of an entry process as one line of text."""
    match state:
        case VersionReported(process=process, version=reported) if reported >= version:
            return f"  {process}: version {reported}, in force"
        case VersionReported(process=process, version=reported):
            return f"  {process}: version {reported}, behind"
        case VersionUnknown(process=process, reason=reason):
            return f"  {process}: version unknown; {reason}"
        case VersionNotQueried(process=process):
            return f"  {process}: version unknown; its operator port was not given"


def encode_history(change: TableChange) -> dict:
    """Return a change without its rows as JSON content."""
    return {
        "version": change.version,
        "change_id": change.change_id,
        "author": change.author,
        "reason": change.reason,
        "rows": len(change.rows),
        "removals": len(change.removals),
    }


def describe_history(change: TableChange) -> str:
    """Return a summary of a change as one line of text."""
    return (
        f"{change.version:>8}  {change.author}: {change.reason} "
        f"({len(change.rows)} rows written, {len(change.removals)} removed)"
    )
