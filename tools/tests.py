"""Runs nose2; passes over the tests that KNOWN-RED.txt lists, and prints them.

Modules run in processes of their own, a few at a time. Within a process the tests run
one after another, so that a module's processes and ports are its own.
"""

import json
import os
import re
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import nose2
from nose2.events import Plugin

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
# Half of a common machine's cores: many tests start processes of their own.
MODULES_AT_ONCE = 4
# Set for a process that runs one module: where it writes the outcomes.
OUTCOME_VARIABLE = "GENTIANHUB_TEST_OUTCOMES"
_ENTRY_PATTERN = re.compile(r"^test: (\S+)$", re.MULTILINE)


class OutcomeCollector(Plugin):
    """nose2 plugin that keeps the outcome of each test."""

    alwaysOn = True
    passed: set[str] = set()
    failed: set[str] = set()
    skipped: set[str] = set()

    def testOutcome(self, event):  # noqa: N802
        """Keep the worst outcome of a test; subtests report one each."""
        name = event.test.id().split(" ")[0]
        if event.outcome == "subtest" and event.exc_info is None:
            return
        if event.outcome == "skipped":
            self.skipped.add(name)
        elif event.outcome == "passed" and event.expected:
            self.passed.add(name)
        else:
            self.failed.add(name)


def read_known_red() -> set[str]:
    """Return the ids of the tests that are known to fail."""
    return set(_ENTRY_PATTERN.findall(KNOWN_RED.read_text()))


def find_modules() -> list[str]:
    """Return the names of all test modules, slow packages first."""
    files = [
        path
        for package in ("benchmarks", "gentianhub")
        for path in sorted((ROOT / package).rglob("test_*.py"))
    ]
    return [".".join(path.relative_to(ROOT).with_suffix("").parts) for path in files]


def run_module(module: str) -> tuple[str, dict[str, list[str]]]:
    """Run one module in a process; return its output and its outcomes."""
    with tempfile.NamedTemporaryFile(suffix=".json") as outcomes:
        environment = {**os.environ, OUTCOME_VARIABLE: outcomes.name}
        process = subprocess.run(
            [sys.executable, "-m", "tools.tests", module],
            cwd=ROOT,
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        content = Path(outcomes.name).read_text()
    if not content:
        # The process ended before it could tell its outcomes.
        content = json.dumps({"failed": [module], "passed": [], "skipped": []})
    return f"{process.stdout}({module}: exit code {process.returncode})\n", json.loads(
        content
    )


def run_all(modules: list[str]) -> Iterator[dict[str, list[str]]]:
    """Run modules a few at a time; print the output of each when it has ended."""
    with ThreadPoolExecutor(MODULES_AT_ONCE) as pool:
        for output, outcomes in pool.map(run_module, modules):
            print(output, end="", flush=True)
            yield outcomes


def run_here(names: list[str]) -> dict[str, list[str]]:
    """Run the tests that are named in this process."""
    nose2.discover(argv=["nose2", *names], exit=False, plugins=["tools.tests"])
    collector = sys.modules["tools.tests"].OutcomeCollector
    return {
        "passed": sorted(collector.passed - collector.failed),
        "failed": sorted(collector.failed),
        "skipped": sorted(collector.skipped),
    }


def summarise(outcomes: list[dict[str, list[str]]]) -> int:
    """Print the verdict; return 0 if no test failed that is not known to."""
    known = read_known_red()
    passed = {name for part in outcomes for name in part["passed"]}
    failed = {name for part in outcomes for name in part["failed"]}
    skipped = {name for part in outcomes for name in part["skipped"]}
    for name in sorted(failed - known):
        print(f"failed: {name}")
    for name in sorted(known & failed):
        print(f"known red, passed over: {name}")
    for name in sorted(known & passed):
        print(f"listed in KNOWN-RED.txt but passes: {name}")
    passed_over = skipped | (known & failed)
    unexpected = failed - known
    print(f"{len(passed)} passed, {len(unexpected)} failed, {len(passed_over)} skipped")
    return 1 if unexpected or not passed else 0


def run() -> int:
    """Run the tests that are named, or all; return 0 if none failed anew."""
    outcome_file = os.environ.get(OUTCOME_VARIABLE)
    if outcome_file:
        Path(outcome_file).write_text(json.dumps(run_here(sys.argv[1:])))
        return 0
    if sys.argv[1:]:
        return summarise([run_here(sys.argv[1:])])
    return summarise(list(run_all(find_modules())))


if __name__ == "__main__":
    sys.exit(run())
