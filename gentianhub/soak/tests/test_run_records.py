"""The runs that a soak writes beside the hosts' logs can be joined with these."""

import unittest
from datetime import datetime

from gentianhub.soak.run import describe_runs
from gentianhub.stand_ins.users_platform import RunRecord


class TestRunRecords(unittest.TestCase):
    def test_runs_are_in_the_order_of_their_starts_with_the_times_of_logs(self):
        """Whether a target had begun a start that was under way when it restarted could
        not be told from the hosts' logs."""
        day_s = datetime(2026, 1, 2, 3, 4, 5).timestamp()
        records = {
            "t1": [RunRecord(task="b.0.0.0", run=2, started_s=0.5)],
            "t2": [
                RunRecord(
                    task="a.0.0.0",
                    run=1,
                    started_s=0.25,
                    ended_s=1.0,
                    outcome="restarted",
                )
            ],
        }
        self.assertEqual(
            [
                {
                    "time": "2026-01-02 03:04:05,250",
                    "ended": "2026-01-02 03:04:06,000",
                    "target": "t2",
                    "id": "a.0.0.0",
                    "run": 1,
                    "outcome": "restarted",
                },
                {
                    "time": "2026-01-02 03:04:05,500",
                    "ended": "",
                    "target": "t1",
                    "id": "b.0.0.0",
                    "run": 2,
                    "outcome": "",
                },
            ],
            list(describe_runs(records, day_s)),
        )


if __name__ == "__main__":
    unittest.main()
