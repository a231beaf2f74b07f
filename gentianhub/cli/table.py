"""The `gentianhub table` commands: check, diff, apply, show, history, revert.

The exit codes are those of `ExitCode`.
"""

from pathlib import Path
from typing import Annotated

import typer

from gentianhub.cli import table_options as options
from gentianhub.cli.table_edits import (
    EditCommand,
    report_missing_version,
    report_preview,
)
from gentianhub.cli.table_output import (
    ExitCode,
    describe_history,
    encode_faults,
    encode_history,
    report_result,
)
from gentianhub.core import Table
from gentianhub.decisions.versions import get_sheets
from gentianhub.operators.changes import Edit, NoSuchVersion
from gentianhub.operators.table_files import (
    FaultyTable,
    format_sheet,
    read_table_files,
    write_table_files,
)
from gentianhub.storage import PlatformClient
from gentianhub.storage.changes import (
    read_changes,
    read_head,
    read_latest_table,
    read_table_version,
)
from gentianhub.storage.rows import encode_table

DEFAULT_WAIT_S = 10.0
DEFAULT_HISTORY_LIMIT = 20

table = typer.Typer(
    help="The table of weights and limits, as CSV files under version control.",
    no_args_is_help=True,
)


@table.command("check")
def check_files(folder: options.Folder, as_json: options.AsJson = False) -> None:
    """Check the files without contacting the platform; print every fault."""
    content = _read_folder(folder, as_json)
    counts = {sheet: len(rows) for sheet, rows in get_sheets(content).items()}
    line = "no faults: " + ", ".join(f"{n} {sheet}" for sheet, n in counts.items())
    raise report_result(ExitCode.DONE, {"rows": counts}, [line], as_json)


@table.command("diff")
def diff_files(
    folder: options.Folder,
    platform: options.Platform = None,
    settings: options.Settings = None,
    as_json: options.AsJson = False,
) -> None:
    """Compare the files with the current version."""
    content = _read_folder(folder, as_json)
    deployment = options.load_deployment(platform, settings, None)
    with options.open_store(deployment, as_json) as store:
        current = read_latest_table(store, Table())
    raise report_preview(current, content, as_json)


@table.command("apply")
def apply_files(
    folder: options.Folder,
    expected_version: options.ExpectedVersion,
    author: options.Author,
    reason: options.Reason,
    platform: options.Platform = None,
    settings: options.Settings = None,
    operator: options.Operators = None,
    wait_s: options.WaitS = DEFAULT_WAIT_S,
    dry_run: options.DryRun = False,
    as_json: options.AsJson = False,
) -> None:
    """Write the files as the next version and wait for the entry processes."""
    content = _read_folder(folder, as_json)
    edit = Edit(expected_version=expected_version, author=author, reason=reason)
    command = EditCommand(
        deployment=options.load_deployment(platform, settings, operator),
        wait_s=wait_s,
        dry_run=dry_run,
        as_json=as_json,
    )
    with options.open_store(command.deployment, as_json) as store:
        command.run(store, content, edit)


@table.command("revert")
def revert_version(
    version: Annotated[int, typer.Argument(min=0, help="Version to restore.")],
    expected_version: options.ExpectedVersion,
    author: options.Author,
    reason: options.Reason,
    platform: options.Platform = None,
    settings: options.Settings = None,
    operator: options.Operators = None,
    wait_s: options.WaitS = DEFAULT_WAIT_S,
    dry_run: options.DryRun = False,
    as_json: options.AsJson = False,
) -> None:
    """Write the content of an earlier version as the next version."""
    edit = Edit(expected_version=expected_version, author=author, reason=reason)
    command = EditCommand(
        deployment=options.load_deployment(platform, settings, operator),
        wait_s=wait_s,
        dry_run=dry_run,
        as_json=as_json,
    )
    with options.open_store(command.deployment, as_json) as store:
        command.run(store, _read_version(store, version, as_json), edit)


@table.command("show")
def show_version(
    version: Annotated[
        int | None,
        typer.Option(min=0, help="Version to show; default: the current one."),
    ] = None,
    into: Annotated[Path | None, typer.Option(help="Folder for the CSV files.")] = None,
    platform: options.Platform = None,
    settings: options.Settings = None,
    as_json: options.AsJson = False,
) -> None:
    """Print a version of the table, or write it as CSV files."""
    deployment = options.load_deployment(platform, settings, None)
    with options.open_store(deployment, as_json) as store:
        content = _read_version(store, version, as_json)
    lines = [f"version {content.version}"]
    if into is not None:
        write_table_files(into, content)
        lines.append(f"written to {into}")
    else:
        for sheet, rows in get_sheets(content).items():
            lines += ["", f"{sheet}.csv", format_sheet(sheet, rows.values()).rstrip()]
    raise report_result(ExitCode.DONE, encode_table(content), lines, as_json)


@table.command("history")
def show_history(
    limit: Annotated[int, typer.Option(min=1)] = DEFAULT_HISTORY_LIMIT,
    platform: options.Platform = None,
    settings: options.Settings = None,
    as_json: options.AsJson = False,
) -> None:
    """List the latest changes, newest first."""
    deployment = options.load_deployment(platform, settings, None)
    with options.open_store(deployment, as_json) as store:
        newest = read_head(store).version
        changes = list(read_changes(store, max(0, newest - limit), limit))[::-1]
    content = {"changes": [encode_history(change) for change in changes]}
    lines = [describe_history(change) for change in changes] or ["no changes"]
    raise report_result(ExitCode.DONE, content, lines, as_json)


def _read_folder(folder: Path, as_json: bool) -> Table:
    match read_table_files(folder):
        case FaultyTable(faults=faults):
            content = {"faults": encode_faults(faults)}
            raise report_result(
                ExitCode.FAULTY_FILES, content, map(str, faults), as_json
            )
        case content:
            return content


def _read_version(store: PlatformClient, version: int | None, as_json: bool) -> Table:
    if version is None:
        return read_latest_table(store, Table())
    content = read_table_version(store, version)
    if content is None:
        missing = NoSuchVersion(version=version, newest=read_head(store).version)
        raise report_missing_version(missing, as_json)
    return content
