"""Submissions with an idempotency key, and answers in the journal."""

import json
import signal
import unittest

import gevent
from geventhttpclient import HTTPClient

from gentianhub.core import JobComplete, parse_job_id
from gentianhub.stand_ins.processes import (
    LOOPBACK,
    EntryPlan,
    TargetPlan,
    start_deployment,
)
from gentianhub.storage import open_platform
from gentianhub.storage.lookups import LookupWorker

ROWS = [
    {"sheet": "teams", "name": "desk"},
    {"sheet": "services", "name": "orders", "team": "desk"},
]


def build_job(run_ms: float = 5) -> dict:
    task = {"kind": "check", "body": json.dumps({"run_ms": run_ms})}
    return {"service": "orders", "deadline_ms": 20_000, "tasks": [task]}


class KeyedJobTest(unittest.TestCase):
    """Guards against running a job twice under one key and against lost answers."""

    def setUp(self):
        self.deployment = self.enterContext(
            start_deployment(
                targets=[TargetPlan(name="t1")],
                entries=[EntryPlan(name="e1"), EntryPlan(name="e2")],
                table_rows=ROWS,
            )
        )
        self.entry = self.deployment.entries["e1"]
        self.wait_for(lambda dump: dump["table_version"] and dump["slots_held"])

    def wait_for(self, is_reached) -> None:
        while not is_reached(self.entry.send_request("operators", "GET", "/dump")[1]):
            gevent.sleep(0.02)

    def submit(self, key: str, job: dict, entry: str = "e1"):
        port = self.deployment.entries[entry].ports["callers"]
        client = HTTPClient(LOOPBACK, port)
        headers = {"Idempotency-Key": key}
        response = client.post("/v1/jobs", body=json.dumps(job), headers=headers)
        try:
            return response.status_code, json.loads(response.read())
        finally:
            client.close()

    def set_faults(self, **faults) -> None:
        self.deployment.platform.send_request("platform", "POST", "/faults", faults)

    def count_starts(self) -> int:
        target = self.deployment.targets["t1"]
        return len(target.send_request("target", "GET", "/starts")[1]["starts"])

    def test_key_maps_to_one_job_despite_lost_replies_and_an_outage(self):
        self.set_faults(drop_replies=1)
        status, first = self.submit("swap-7/a", build_job())
        self.assertEqual((status, first["known"]), (202, False))
        status, again = self.submit("swap-7/a", build_job())
        self.assertEqual((status, again), (202, {"id": first["id"], "known": True}))
        status, elsewhere = self.submit("swap-7/a", build_job(), entry="e2")
        self.assertEqual((status, elsewhere), (202, again))
        status, other = self.submit("swap-7/a", build_job(run_ms=6))
        self.assertEqual((status, other["error"]["run"]), (409, "unknown"))
        self.assertEqual(self.submit("k" * 300, build_job())[0], 400)
        self.set_faults(down=True)
        status, refused = self.submit("swap-8", build_job())
        self.assertEqual((status, refused["error"]["run"]), (503, "not_run"))
        self.assertEqual(refused["error"]["step"], "claim_key")
        status, _ = self.entry.send_request("callers", "POST", "/v1/jobs", build_job())
        self.assertEqual(status, 202, "jobs without a key must still be accepted")
        self.set_faults(down=False)
        self.assertEqual(self.submit("swap-8", build_job())[0], 202)
        self.wait_for(lambda dump: not dump["open_jobs"])
        self.assertEqual(self.count_starts(), 3)

    def test_uncollected_answers_are_found_after_the_owner_has_stopped(self):
        _, accepted = self.entry.send_request(
            "callers", "POST", "/v1/jobs", build_job()
        )
        self.wait_for(lambda dump: not dump["open_jobs"])
        self.entry.send_signal(signal.SIGTERM)
        self.entry.process.wait(timeout=30)
        port = self.deployment.platform.ports["platform"]
        with open_platform(LOOPBACK, port) as store:
            job_id = parse_job_id(accepted["id"])
            answer = LookupWorker().look_up(store, job_id)
        self.assertIsInstance(answer, JobComplete)
