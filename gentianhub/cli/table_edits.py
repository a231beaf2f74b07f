"""Execution of table edits and reports of their results."""

import typer

from gentianhub.cli.table_options import DeploymentAddresses
from gentianhub.cli.table_output import (
    ExitCode,
    describe_state,
    encode_differences,
    encode_state,
    format_differences,
    report_result,
)
from gentianhub.core import Table
from gentianhub.core.records import evolve, frozen
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
from gentianhub.storage.changes import ChangeApplied, ChangeOutcomeUnknown, StaleVersion


@frozen(kw_only=True)
class EditCommand:
    """Shared implementation of the commands `apply` and `revert`."""

    deployment: DeploymentAddresses
    wait_s: float
    dry_run: bool
    as_json: bool

    def run(self, store: PlatformClient, content: Table, edit: Edit) -> None:
        """Write the content, or show its effect in a dry run, and exit.

        Raises
        ------
        typer.Exit
            Always, with the exit code of the result.
        """
        if not self.dry_run:
            raise self._report_edit(store, apply_edit(store, content, edit))
        match check_edit(store, content, edit.expected_version):
            case Table() as current:
                raise report_preview(current, content, self.as_json)
            case result:
                raise self._report_edit(store, result)

    def _report_edit(self, store: PlatformClient, result: EditResult) -> typer.Exit:
        match result:
            case ChangeApplied(table=applied):
                return self._report_applied(store, applied)
            case Unchanged(table=current):
                line = f"version {current.version} already has this content"
                content = {"version": current.version, "changed": False}
                return report_result(ExitCode.DONE, content, [line], self.as_json)
            case StaleVersion():
                return self._report_stale(result)
            case NoSuchVersion():
                return report_missing_version(result, self.as_json)
            case ChangeOutcomeUnknown():
                return self._report_unknown(result)

    def _report_applied(self, store: PlatformClient, applied: Table) -> typer.Exit:
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
        lines = [f"version {version} is written; an outage does not undo it"]
        lines += [describe_state(state, version) for state in states]
        if not states:
            lines.append("  unknown: no entry process is listed or given")
        if not is_everywhere:
            lines.append(
                f"Not known to be in force everywhere (limit {self.wait_s:g} s). An "
                "entry process without a connection keeps its version until it "
                "reconnects."
            )
        return report_result(code, content, lines, self.as_json)

    def _report_stale(self, stale: StaleVersion) -> typer.Exit:
        differences = list(compare_tables(stale.base, stale.current))
        content = {
            "expected_version": stale.base.version,
            "version": stale.current.version,
            "differences": encode_differences(differences),
        }
        lines = [
            f"Nothing was written: the table is at version {stale.current.version}, "
            f"the edit was made on version {stale.base.version}.",
            "Changes since then:",
            *format_differences(differences),
            "Merge these changes into the files and apply them again with "
            f"--expected-version {stale.current.version}.",
        ]
        return report_result(ExitCode.STALE_VERSION, content, lines, self.as_json)

    def _report_unknown(self, unknown: ChangeOutcomeUnknown) -> typer.Exit:
        change = unknown.change
        content = {
            "version": change.version,
            "change_id": change.change_id,
            "reason": unknown.reason,
        }
        lines = [
            f"The platform did not reply: {unknown.reason}.",
            f"Version {change.version} may have been written. Look for change id "
            f"{change.change_id} in `gentianhub table history --json` when the "
            "platform is available.",
        ]
        return report_result(ExitCode.WRITE_UNKNOWN, content, lines, self.as_json)


def report_preview(current: Table, content: Table, as_json: bool) -> typer.Exit:
    """Report the changes to the table and their effects on callers."""
    content = evolve(content, version=current.version)
    differences = list(compare_tables(current, content))
    consequences = list(describe_consequences(current, content))
    code = ExitCode.DIFFERENT if differences else ExitCode.DONE
    report = {
        "version": current.version,
        "differences": encode_differences(differences),
        "consequences": consequences,
    }
    lines = [
        f"compared with version {current.version}:",
        *format_differences(differences),
    ]
    if consequences:
        lines += ["effects on callers:", *(f"  {line}" for line in consequences)]
    return report_result(code, report, lines, as_json)


def report_missing_version(missing: NoSuchVersion, as_json: bool) -> typer.Exit:
    """Report that the version does not exist."""
    content = {"version": missing.version, "newest": missing.newest}
    line = f"no version {missing.version}; the newest is {missing.newest}"
    return report_result(ExitCode.NO_SUCH_VERSION, content, [line], as_json)
