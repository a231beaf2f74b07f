"""Runs nose2; passes over the tests that KNOWN-RED.txt lists, and prints them."""

import re
import sys
from pathlib import Path

import nose2
from nose2.events import Plugin

KNOWN_RED = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
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


def run() -> int:
    """Run the tests that are named, or all; return 0 if none failed anew."""
    nose2.discover(argv=["nose2", *sys.argv[1:]], exit=False, plugins=["tools.tests"])
    collector = sys.modules["tools.tests"].OutcomeCollector
    known = read_known_red()
    failed = collector.failed - known
    for name in sorted(known & collector.failed):
        print(f"known red, passed over: {name}")
    for name in sorted(known & collector.passed - collector.failed):
        print(f"listed in KNOWN-RED.txt but passes: {name}")
    passed = len(collector.passed - collector.failed)
    skipped = len(collector.skipped | (known & collector.failed))
    print(f"{passed} passed, {len(failed)} failed, {skipped} skipped")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(run())
