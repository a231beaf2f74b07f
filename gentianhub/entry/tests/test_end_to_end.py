"""Jobs from submission to answer, with entry process and targets as processes."""

import unittest

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
    task = {"kind": "check", "body": f'{{"run_ms": {run_ms}}}'}
    return {"service": "orders", "deadline_ms": 20_000, "tasks": [task] * task_count}


class EndToEndTest(unittest.TestCase):
    """Guards against lost, duplicated or truncated answers."""

    def setUp(self):
        deployment = start_deployment(
            targets=[TargetPlan(name="t1"), TargetPlan(name="t2", speed=2.0)],
            entries=[EntryPlan(name="e1")],
            table_rows=ROWS,
        )
        self.deployment = self.enterContext(deployment)
        self.entry = self.deployment.entries["e1"]
        wait_until_serving(self.deployment)

    def count_starts(self) -> dict[str, int]:
        starts: dict[str, int] = {}
        for target in self.deployment.targets.values():
            _, content = target.send_request("target", "GET", "/starts")
            for task, count in content["starts"].items():
                starts[task] = starts.get(task, 0) + count
        return starts

    def test_answer_is_complete_and_each_task_starts_once(self):
        status, accepted = self.entry.send_request(
            "callers", "POST", "/v1/jobs", build_job(40, 20)
        )
        self.assertEqual(status, 202)
        path = f"/v1/jobs/{accepted['id']}?wait_ms=20000"
        status, answer = self.entry.send_request("callers", "GET", path)
        self.assertEqual((status, answer["state"]), (200, "complete"))
        self.assertEqual(len(answer["results"]), 40)
        starts = self.count_starts()
        self.assertEqual(len(starts), 40)
        self.assertEqual(set(starts.values()), {1})

    def test_resubmission_with_the_same_id_runs_once(self):
        _, block = self.entry.send_request("callers", "POST", "/v1/ids", {"count": 1})
        path = f"/v1/jobs/{block['prefix']}.{block['first']}"
        for known in (False, True):
            status, reply = self.entry.send_request(
                "callers", "PUT", path, build_job(3, 5)
            )
            self.assertEqual((status, reply["known"]), (202, known))
        status, _ = self.entry.send_request("callers", "PUT", path, build_job(4, 5))
        self.assertEqual(status, 409)
        _, answer = self.entry.send_request("callers", "GET", f"{path}?wait_ms=20000")
        self.assertEqual(answer["state"], "complete")
        self.assertEqual(len(self.count_starts()), 3)

    def test_job_fails_without_results_if_a_target_is_killed(self):
        _, accepted = self.entry.send_request(
            "callers", "POST", "/v1/jobs", build_job(16, 500)
        )
        target = self.deployment.targets["t1"]
        while not target.send_request("target", "GET", "/starts")[1]["running"]:
            pass
        target.process.kill()
        path = f"/v1/jobs/{accepted['id']}?wait_ms=20000"
        _, answer = self.entry.send_request("callers", "GET", path)
        self.assertEqual(answer["state"], "failed")
        self.assertNotIn("results", answer)
        self.assertEqual(len(answer["tasks"]), 16)
        outcomes = {task["outcome"] for task in answer["tasks"]}
        self.assertLessEqual(outcomes, {"ran", "unknown", "not_run"})
        self.assertIn("unknown", outcomes)
