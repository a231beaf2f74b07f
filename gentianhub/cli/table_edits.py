"""Carrying out an edit of the table, and reporting how it ended."""

import typer
from attrs import evolve, frozen

from gentianhub.cli.table_options import Deployment
from gentianhub.cli.table_output import (
    ExitCode,
    describe_state,
    encode_differences,
    encode_state,
    finish,
    format_differences,
)
from gentianhub.core import Table
from gentianhub.decisions.versions import compare_tables
from gentianhub.operators.changes import (
    Edit,
    EditResult,
    NoSuchVersion,
    Unchanged,
    apply_edit,
    check_edit,
    describe_consequences,
)
from gentianhub.operators.rollout import has_version, wait_for_version
from gentianhub.storage import PlatformClient
from gentianhub.storage.changes import ChangeApplied, ChangeUnknown, StaleVersion


@frozen(kw_only=True)
class EditCommand:
    """What `apply` and `revert` have in common."""

    deployment: Deployment
    wait_s: float
    dry_run: bool
    as_json: bool

    def run(self, store: PlatformClient, content: Table, edit: Edit) -> None:
        """Write the content, or show what that would change; end the command."""
        if not self.dry_run:
            raise self._finish_edit(store, apply_edit(store, content, edit))
        match check_edit(store, content, edit.expected_version):
            case Table() as current:
                raise finish_preview(current, content, self.as_json)
            case result:
                raise self._finish_edit(store, result)

    def _finish_edit(self, store: PlatformClient, result: EditResult) -> typer.Exit:
        match result:
            case ChangeApplied(table=applied):
                return self._finish_applied(store, applied)
            case Unchanged(table=current):
                line = f"version {current.version} has this content already"
                content = {"version": current.version, "changed": False}
                return finish(ExitCode.DONE, content, [line], self.as_json)
            case StaleVersion():
                return self._finish_stale(result)
            case NoSuchVersion():
                return finish_missing(result, self.as_json)
            case ChangeUnknown():
                return self._finish_unknown(result)

    def _finish_applied(self, store: PlatformClient, applied: Table) -> typer.Exit:
        version = applied.version
        states = wait_for_version(
            version, lambda: self.deployment.read_versions(store), self.wait_s
        )
        is_everywhere = bool(states) and all(
            has_version(state, version) for state in states
        )
        code = ExitCode.DONE if is_everywhere else ExitCode.NOT_EVERYWHERE
        content = {
            "version": version,
            "changed": True,
            "processes": [encode_state(state, version) for state in states],
        }
        lines = [f"version {version} is written and will not be undone by an outage"]
        lines += [describe_state(state, version) for state in states]
        if not states:
            lines.append("  no entry process is listed or given: cannot know")
        if not is_everywhere:
            lines.append(
                f"Not known to be in force everywhere (limit {self.wait_s:g} s). An "
                "entry process that is cut off keeps its version and catches up."
            )
        return finish(code, content, lines, self.as_json)

    def _finish_stale(self, stale: StaleVersion) -> typer.Exit:
        differences = list(compare_tables(stale.base, stale.current))
        content = {
            "expected_version": stale.base.version,
            "version": stale.current.version,
            "differences": encode_differences(differences),
        }
        lines = [
            f"Nothing was written: the table is at version {stale.current.version}, "
            f"the edit was made on version {stale.base.version}.",
            "Changed meanwhile:",
            *format_differences(differences),
            "Take these changes over into the files and apply them again with "
            f"--expected-version {stale.current.version}.",
        ]
        return finish(ExitCode.STALE_VERSION, content, lines, self.as_json)

    def _finish_unknown(self, unknown: ChangeUnknown) -> typer.Exit:
        change = unknown.change
        content = {
            "version": change.version,
            "change_id": change.change_id,
            "reason": unknown.reason,
        }
        lines = [
            f"The platform did not reply: {unknown.reason}.",
            f"Version {change.version} may have been written. Look for change id "
            f"{change.change_id} in `gentianhub table history --json` when it is back.",
        ]
        return finish(ExitCode.WRITE_UNKNOWN, content, lines, self.as_json)


def finish_preview(current: Table, content: Table, as_json: bool) -> typer.Exit:
    """Report what would change, for the table and for callers."""
    content = evolve(content, version=current.version)
    differences = list(compare_tables(current, content))
    consequences = list(describe_consequences(current, content))
    code = ExitCode.DIFFERENT if differences else ExitCode.DONE
    report = {
        "version": current.version,
        "differences": encode_differences(differences),
        "consequences": consequences,
    }
    lines = [f"against version {current.version}:", *format_differences(differences)]
    if consequences:
        lines += ["for callers:", *(f"  {line}" for line in consequences)]
    return finish(code, report, lines, as_json)


def finish_missing(missing: NoSuchVersion, as_json: bool) -> typer.Exit:
    """Report that there is no such version."""
    content = {"version": missing.version, "newest": missing.newest}
    line = f"no version {missing.version}; the newest is {missing.newest}"
    return finish(ExitCode.NO_SUCH_VERSION, content, [line], as_json)
