"""Graceful shutdown of an entry process with running and queued jobs."""

import json
import signal
import unittest

import gevent

from gentianhub.stand_ins.processes import (
    EntryPlan,
    TargetPlan,
    start_deployment,
    wait_until_serving,
)

ROWS = [
    {"sheet": "teams", "name": "desk"},
    {"sheet": "services", "name": "orders", "team": "desk"},
]


def build_job(task_count: int, run_ms: float) -> dict:
    task = {"kind": "check", "body": json.dumps({"run_ms": run_ms})}
    return {"service": "orders", "deadline_ms": 20_000, "tasks": [task] * task_count}


class DrainTest(unittest.TestCase):
    """Guards against a shutdown that aborts accepted jobs or accepts new ones."""

    def test_accepted_jobs_complete_and_new_jobs_are_refused(self):
        with start_deployment(
            targets=[TargetPlan(name="t1", slots=2)],
            entries=[EntryPlan(name="e1"), EntryPlan(name="e2")],
            table_rows=ROWS,
        ) as deployment:
            wait_until_serving(deployment)
            entry, other = deployment.entries["e1"], deployment.entries["e2"]
            running = gevent.spawn(self.run_job, entry, build_job(2, 1500))
            gevent.sleep(0.3)
            queued = gevent.spawn(self.run_job, entry, build_job(3, 200))
            gevent.sleep(0.3)
            entry.send_signal(signal.SIGTERM)
            gevent.sleep(0.2)
            self.assertEqual(entry.send_request("callers", "GET", "/health")[0], 503)
            status, reply = entry.send_request(
                "callers", "POST", "/v1/jobs", build_job(1, 10)
            )
            self.assertEqual((status, reply["error"]["run"]), (503, "not_run"))
            for request in (running, queued):
                status, answer = request.get()
                self.assertEqual((status, answer["state"]), (200, "complete"))
            self.assertEqual(entry.process.wait(timeout=40), 0)
            status, answer = self.run_job(other, build_job(1, 10))
            self.assertEqual((status, answer["state"]), (200, "complete"))

    def run_job(self, entry, job):
        return entry.send_request("callers", "POST", "/v1/jobs?wait_ms=30000", job)
