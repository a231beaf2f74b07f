import signal
import tempfile
import unittest
from pathlib import Path

import gevent

from gentianhub.stand_ins.processes import (
    EntryPlan,
    TargetPlan,
    build_initial_change,
    find_free_ports,
    start_deployment,
    start_entry,
    wait_until_serving,
)

ROWS = [
    {"sheet": "teams", "name": "desk"},
    {"sheet": "services", "name": "orders", "team": "desk"},
]
POLL_S = 0.05


def build_job(task_count: int, run_ms: float) -> dict:
    task = {"kind": "check", "body": f'{{"run_ms": {run_ms}}}'}
    return {"service": "orders", "deadline_ms": 60_000, "tasks": [task] * task_count}


class SiblingProcessTest(unittest.TestCase):
    """Base of tests that run entry processes, targets and a platform."""

    def start(self, *entries: EntryPlan, has_relays: bool = False):
        centres = sorted({plan.data_centre for plan in entries})
        deployment = start_deployment(
            targets=[TargetPlan(name=f"t-{dc}", data_centre=dc) for dc in centres],
            entries=list(entries),
            table_rows=ROWS,
            has_relays=has_relays,
        )
        self.deployment = self.enterContext(deployment)
        wait_until_serving(self.deployment)
        for plan in entries:
            local_count = sum(
                other.data_centre == plan.data_centre for other in entries
            )
            self.wait_for_live(self.deployment.entries[plan.name], local_count)
        return [self.deployment.entries[plan.name] for plan in entries]

    def read_siblings(self, entry) -> dict:
        return entry.send_request("operators", "GET", "/dump")[1]["siblings"]

    def wait_for_live(self, entry, count: int):
        while len(self.read_siblings(entry)["live"]) != count:
            gevent.sleep(POLL_S)

    def count_starts(self) -> list[int]:
        return [
            count
            for target in self.deployment.targets.values()
            for count in target.send_request("target", "GET", "/starts")[1][
                "starts"
            ].values()
        ]

    def issue_path(self, entry) -> str:
        _, block = entry.send_request("callers", "POST", "/v1/ids", {"count": 1})
        return f"/v1/jobs/{block['prefix']}.{block['first']}"

    def submit(self, entry, job: dict) -> str:
        path = self.issue_path(entry)
        self.assertEqual(entry.send_request("callers", "PUT", path, job)[0], 202)
        return path

    def read_until(self, entry, path: str, wanted: int):
        """Retry while the status is 503; check that no reply claims nothing has run."""
        while True:
            status, reply = entry.send_request("callers", "GET", path)
            if status == 200:
                return status, reply
            self.assertEqual(reply["error"]["run"], "unknown")
            if status == wanted:
                return status, reply
            self.assertEqual(status, 503)
            gevent.sleep(POLL_S)


class ForwardingTest(SiblingProcessTest):
    """Guards against a second start, and against false replies about an owner."""

    def test_every_process_serves_any_job(self):
        entries = self.start(
            EntryPlan(name="e1"),
            EntryPlan(name="e2"),
            EntryPlan(name="e3", data_centre="aarau"),
        )
        for owner in entries:
            path = self.issue_path(owner)
            known = [
                entry.send_request("callers", "PUT", path, build_job(3, 20))
                for entry in entries
            ]
            self.assertEqual([status for status, _ in known], [202] * 3)
            self.assertEqual(
                [reply["known"] for _, reply in known], [False, True, True]
            )
            for entry in entries:
                status, _ = entry.send_request("callers", "PUT", path, build_job(2, 20))
                self.assertEqual(status, 409)
                _, answer = entry.send_request(
                    "callers", "GET", f"{path}?wait_ms=20000"
                )
                self.assertEqual(answer["state"], "complete")
                self.assertEqual(len(answer["results"]), 3)
                status, _ = entry.send_request("callers", "DELETE", path)
                self.assertEqual(status, 200)
        self.assertEqual(self.count_starts(), [1] * 9)

    def test_killed_owner_is_gone_with_an_unknown_outcome(self):
        owners, other = self.start_between()
        for owner in owners:
            path = self.submit(owner, build_job(1, 500))
            self.read_until(other, path, 200)
            owner.process.kill()
            owner.process.wait()
            status, _ = self.read_until(other, path, 410)
            self.assertEqual(status, 410)
            status, reply = other.send_request(
                "callers", "PUT", path, build_job(1, 500)
            )
            self.assertEqual((status, reply["error"]["run"]), (410, "unknown"))

    def start_between(self):
        """Return one owner that dials a process, one that it dials, and the process."""
        names = ("e1", "e2", "e3")
        first, other, last = self.start(*(EntryPlan(name=name) for name in names))
        return (first, last), other

    def test_replaced_owner_is_gone_with_an_unknown_outcome(self):
        owner, other = self.start(EntryPlan(name="e1"), EntryPlan(name="e2"))
        path = self.submit(owner, build_job(1, 500))
        owner.process.kill()
        owner.process.wait()
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        replacement = self.enterContext(
            start_entry(
                EntryPlan(name="e1"),
                list(owner.ports.values()),
                self.deployment.platform.ports["platform"],
                folder,
            )
        )
        self.wait_for_live(other, 2)
        for entry in (other, replacement):
            status, _ = self.read_until(entry, path, 410)
            self.assertEqual(status, 410)

    def test_request_to_a_paused_owner_can_be_retried(self):
        owners, other = self.start_between()
        for owner in owners:
            path = self.submit(owner, build_job(4, 300))
            owner.send_signal(signal.SIGSTOP)
            for wait in ("", "?wait_ms=20000"):
                status, reply = other.send_request("callers", "GET", path + wait)
                self.assertEqual((status, reply["error"]["run"]), (503, "unknown"))
            self.wait_for_live(other, 2)
            owner.send_signal(signal.SIGCONT)
            while self.read_until(other, path, 200)[1]["state"] != "complete":
                gevent.sleep(POLL_S)
            _, answer = self.read_until(other, path, 200)
            self.assertEqual(len(answer["results"]), 4)
            self.wait_for_live(other, 3)
        self.assertEqual(self.count_starts(), [1] * 8)


class CutLinkTest(SiblingProcessTest):
    """Guards against a stalled link that loses answers, and unreported departures."""

    def test_request_over_a_stalled_link_can_be_retried(self):
        plans = EntryPlan(name="e1"), EntryPlan(name="e2")
        owner, other = self.start(*plans, has_relays=True)
        path = self.submit(owner, build_job(4, 300))
        relays = self.deployment.relays.values()
        for relay in relays:
            relay.stall_link()
        status, reply = other.send_request("callers", "GET", f"{path}?wait_ms=20000")
        self.assertEqual((status, reply["error"]["run"]), (503, "unknown"))
        self.wait_for_live(other, 1)
        self.wait_for_live(owner, 1)
        for relay in relays:
            relay.restore_link()
        while self.read_until(other, path, 200)[1]["state"] != "complete":
            gevent.sleep(POLL_S)
        self.assertEqual(self.count_starts(), [1] * 4)

    def test_leaving_target_is_reported_to_siblings(self):
        first, second = self.start(EntryPlan(name="e1"), EntryPlan(name="e2"))
        target = self.deployment.targets["t-olten"]
        target.send_request("target", "POST", "/faults", {"is_leaving": True})
        first.send_request("callers", "POST", "/v1/jobs", build_job(1, 10))
        for entry in (first, second):
            while entry.send_request("operators", "GET", "/dump")[1]["slots_held"]:
                gevent.sleep(POLL_S)


class StartWithoutPlatformTest(SiblingProcessTest):
    """Guards against a new process that cannot serve while the platform is down."""

    def test_new_process_joins_through_a_seed(self):
        entries = self.start(EntryPlan(name="e2"), EntryPlan(name="e3"))
        platform = self.deployment.platform
        platform.send_request("platform", "POST", "/faults", {"down": True})
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        new_entry = self.enterContext(
            start_entry(
                EntryPlan(name="e1"),
                find_free_ports(3),
                platform.ports["platform"],
                folder,
                (entries[0].ports["siblings"],),
            )
        )
        for entry in (new_entry, *entries):
            self.wait_for_live(entry, 3)
        while True:
            status, accepted = new_entry.send_request(
                "callers", "POST", "/v1/jobs", build_job(3, 20)
            )
            if status == 202:
                break
            gevent.sleep(POLL_S)
        path = f"/v1/jobs/{accepted['id']}?wait_ms=20000"
        for entry in (new_entry, *entries):
            _, answer = entry.send_request("callers", "GET", path)
            self.assertEqual(answer["state"], "complete")
        self.check_table_reaches_all((new_entry, *entries))

    def check_table_reaches_all(self, entries):
        """Check that the process that is no poller gets the table from siblings."""
        pollers = [self.read_siblings(entry)["is_poller"] for entry in entries]
        self.assertEqual(sorted(pollers), [False, True, True])
        platform = self.deployment.platform
        platform.send_request("platform", "POST", "/faults", {"down": False})
        row = {"sheet": "services", "name": "renders", "team": "desk"}
        change = build_initial_change([row]) | {"version": 2}
        writes = [
            {"key": "table/head", "value": {"version": 2}},
            {"key": "table/change/000000000002", "value": change},
        ]
        content = {"checks": [], "writes": writes}
        platform.send_request("platform", "POST", "/table/transact", content)
        for entry in entries:
            while (
                entry.send_request("operators", "GET", "/dump")[1]["table_version"] != 2
            ):
                gevent.sleep(POLL_S)
