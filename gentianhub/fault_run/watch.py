"""Monitors table versions and availability of the entry processes in a run."""

import json

import gevent
from hdrh.histogram import HdrHistogram

from gentianhub.core import read_monotonic_s
from gentianhub.core.records import define, field
from gentianhub.fault_run.audit import Violation
from gentianhub.fault_run.faults import FaultInjector
from gentianhub.fault_run.testbed import Testbed
from gentianhub.stand_ins.processes import call_http
from gentianhub.web import HTTP_ERRORS

POLL_INTERVAL_S = 0.25
DUMP_TIMEOUT_S = 2.0
CHANGE_INTERVAL_S = 3.0
IN_FORCE_LIMIT_S = 3.0
MAX_VALUE_MS = 600_000


def _build_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_VALUE_MS, 2)


@define(kw_only=True, eq=False)
class VersionWatch:
    """Reads the dump of each entry process in a greenlet and checks its table version.

    The version of one incarnation must never decrease. The time from a table write
    until a process reports it is recorded, unless a fault may have delayed it.
    """

    testbed: Testbed
    injector: FaultInjector
    violations: list[Violation] = field(factory=list)
    in_force_ms: HdrHistogram = field(factory=_build_histogram)
    unresponsive_ms: HdrHistogram = field(factory=_build_histogram)
    _written_s: dict[int, float] = field(factory=dict)

    def run_writer(self, should_stop) -> None:
        """Change a weight at each interval, directly in the rows of the platform."""
        while not should_stop():
            gevent.sleep(CHANGE_INTERVAL_S)
            self._write_change()

    def _write_change(self) -> None:
        rows = self.testbed.platform.rows
        version = rows["table/head"][1]["version"] + 1
        change = {
            "version": version,
            "change_id": f"change-{version}",
            "author": "fault run",
            "reason": "weight",
            "rows": [{"sheet": "teams", "name": "desk", "weight": 1.0 + version % 7}],
            "removals": [],
        }
        rows[f"table/change/{version:012d}"] = (1, change)
        rows["table/head"] = (rows["table/head"][0] + 1, {"version": version})
        self._written_s[version] = read_monotonic_s()

    def run_reader(self, name: str, should_stop) -> None:
        """Read the dump of one entry process until `should_stop` returns true."""
        seen_versions: dict[str, int] = {}
        last_read_s = read_monotonic_s()
        while not should_stop():
            gevent.sleep(POLL_INTERVAL_S)
            dump = self._read_dump(name)
            now_s = read_monotonic_s()
            if dump is None:
                continue
            if now_s - last_read_s > 2 * POLL_INTERVAL_S + DUMP_TIMEOUT_S:
                self.unresponsive_ms.record_value(round((now_s - last_read_s) * 1000))
            self._check_version(name, dump, seen_versions, now_s)
            last_read_s = now_s

    def _read_dump(self, name: str) -> dict | None:
        child = self.testbed.children.get(name)
        try:
            port = child.ports["operators"]
            status, dump = call_http(port, "GET", "/dump", timeout_s=DUMP_TIMEOUT_S)
        except HTTP_ERRORS:
            # The process is down or paused; the dump is read again after the interval.
            return None
        return dump if status == 200 else None

    def _check_version(
        self, name: str, dump: dict, seen_versions: dict[str, int], now_s: float
    ) -> None:
        owner, version = dump["owner"], dump["table_version"]
        before = seen_versions.get(owner, 0)
        if version < before:
            subject = json.dumps({"owner": owner, "from": before, "to": version})
            self.violations.append(
                Violation(guarantee="the table never reverts", subject=subject)
            )
        if before:
            self._record_propagation(name, before, version, now_s)
        seen_versions[owner] = version

    def _record_propagation(self, name: str, before: int, version: int, now_s: float):
        for number in range(before + 1, version + 1):
            written_s = self._written_s.get(number, now_s)
            if not self.injector.was_affected(name, written_s):
                elapsed_s = now_s - written_s
                self.in_force_ms.record_value(round(elapsed_s * 1000))
                if elapsed_s > IN_FORCE_LIMIT_S:
                    subject = f"version {number} at {name} after {elapsed_s:.1f} s"
                    self.violations.append(
                        Violation(guarantee="in force within 3 s", subject=subject)
                    )
