"""Runs the tests with nose2; reports and tolerates failures listed in KNOWN-RED.txt.

Each test module runs in its own process, a few at a time, and those that load the whole
machine alone after all others. Within a process the tests run sequentially, so that the
tests of a module do not compete for processes and ports.
"""

import json
import os
import re
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from itertools import chain
from pathlib import Path

import nose2
from nose2.events import Plugin

ROOT = Path(__file__).resolve().parent.parent
KNOWN_FAILURES_FILE = ROOT / "KNOWN-RED.txt"
# Half the cores of a common machine, as many tests start processes of their own.
MAX_PARALLEL_MODULES = 4
# Modules that run one at a time after all others, because they load the machine.
LONE_MODULES = (
    "gentianhub.host.tests.test_client_crowds",
    "gentianhub.host.tests.test_counted_memory",
    "gentianhub.host.tests.test_hostile_clients",
)
# Names the file to which the process of one module writes its outcomes.
OUTCOME_VARIABLE = "GENTIANHUB_TEST_OUTCOMES"
_ENTRY_PATTERN = re.compile(r"^test: (\S+)$", re.MULTILINE)


class OutcomeCollector(Plugin):
    """nose2 plugin that records the outcome of each test."""

    alwaysOn = True
    passed: set[str] = set()
    failed: set[str] = set()
    skipped: set[str] = set()

    def testOutcome(self, event):  # noqa: N802
        """Record the outcome of a test; one failed subtest makes its test fail."""
        name = event.test.id().split(" ")[0]
        if event.outcome == "subtest" and event.exc_info is None:
            return
        if event.outcome == "skipped":
            self.skipped.add(name)
        elif event.outcome == "passed" and event.expected:
            self.passed.add(name)
        else:
            self.failed.add(name)


def read_known_failures() -> set[str]:
    """Return the ids of the tests that KNOWN-RED.txt lists."""
    return set(_ENTRY_PATTERN.findall(KNOWN_FAILURES_FILE.read_text()))


def find_modules() -> list[str]:
    """Return the names of all test modules, slow packages first."""
    files = [
        path
        for package in ("benchmarks", "gentianhub")
        for path in sorted((ROOT / package).rglob("test_*.py"))
    ]
    return [".".join(path.relative_to(ROOT).with_suffix("").parts) for path in files]


def run_module(module: str) -> tuple[str, dict[str, list[str]]]:
    """Run one module in its own process; return its output and its outcomes."""
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
        # The process ended before it wrote its outcomes.
        content = json.dumps({"failed": [module], "passed": [], "skipped": []})
    return f"{process.stdout}({module}: exit code {process.returncode})\n", json.loads(
        content
    )


def run_modules(modules: list[str]) -> Iterator[dict[str, list[str]]]:
    """Run modules, lone ones last; print the output of each and yield its outcomes."""
    parallel = [module for module in modules if module not in LONE_MODULES]
    lone = [module for module in modules if module in LONE_MODULES]
    with ThreadPoolExecutor(MAX_PARALLEL_MODULES) as pool:
        for output, outcomes in chain(
            pool.map(run_module, parallel), run_alone(pool, lone)
        ):
            print(output, end="", flush=True)
            yield outcomes


def run_alone(
    pool: ThreadPoolExecutor, modules: list[str]
) -> Iterator[tuple[str, dict[str, list[str]]]]:
    """Run modules one after the other, and yield what `run_module` returns."""
    for module in modules:
        yield pool.submit(run_module, module).result()


def run_in_process(names: list[str]) -> dict[str, list[str]]:
    """Run the named tests in this process and return their outcomes."""
    nose2.discover(argv=["nose2", *names], exit=False, plugins=["tools.tests"])
    collector = sys.modules["tools.tests"].OutcomeCollector
    return {
        "passed": sorted(collector.passed - collector.failed),
        "failed": sorted(collector.failed),
        "skipped": sorted(collector.skipped),
    }


def summarise(outcomes: list[dict[str, list[str]]]) -> int:
    """Print the verdict and return the exit code.

    It is 0 if at least one test passed and every failure is listed in KNOWN-RED.txt.
    """
    known = read_known_failures()
    passed = {name for result in outcomes for name in result["passed"]}
    failed = {name for result in outcomes for name in result["failed"]}
    skipped = {name for result in outcomes for name in result["skipped"]}
    for name in sorted(failed - known):
        print(f"failed: {name}")
    for name in sorted(known & failed):
        print(f"known red, passed over: {name}")
    for name in sorted(known & passed):
        print(f"listed in KNOWN-RED.txt but passes: {name}")
    tolerated = skipped | (known & failed)
    unexpected = failed - known
    print(f"{len(passed)} passed, {len(unexpected)} failed, {len(tolerated)} skipped")
    return 1 if unexpected or not passed else 0


def run() -> int:
    """Run the named tests, or all, and return the exit code."""
    outcome_file = os.environ.get(OUTCOME_VARIABLE)
    if outcome_file:
        Path(outcome_file).write_text(json.dumps(run_in_process(sys.argv[1:])))
        return 0
    if sys.argv[1:]:
        return summarise([run_in_process(sys.argv[1:])])
    return summarise(list(run_modules(find_modules())))


if __name__ == "__main__":
    sys.exit(run())
