"""The metrics of a host, and what its start imports for them."""

import subprocess
import sys
import unittest
from collections import Counter

from gentianhub.capacity.effects import JobVerdict
from gentianhub.capacity.events import TaskEnd
from gentianhub.host.metrics import HostMetrics

EXPECTED = """\
# HELP gentianhub_host_starts_total Runs started
# TYPE gentianhub_host_starts_total counter
gentianhub_host_starts_total{kind="start"} 3.0
# HELP gentianhub_host_start_answers_total Answers to starts
# TYPE gentianhub_host_start_answers_total counter
gentianhub_host_start_answers_total{verdict="started"} 2.0
# HELP gentianhub_host_stops_total Runs stopped
# TYPE gentianhub_host_stops_total counter
gentianhub_host_stops_total{kind="stop"} 1.0
# HELP gentianhub_host_jobs_total Jobs submitted
# TYPE gentianhub_host_jobs_total counter
gentianhub_host_jobs_total{route="r0"} 2.0
"""


class MetricsTest(unittest.TestCase):
    """Guards against metrics that change their names or slow down each start."""

    def test_counters_are_rendered(self):
        metrics = HostMetrics(starts=3, stops=Counter({"not open": 1}))
        metrics.start_answers["started"] += 2
        metrics.record_mailbox_lag(0.25)
        metrics.count_submission("r0")
        metrics.count_submission("r0")
        metrics.count_answer(JobVerdict.COMPLETED, 0.12)
        metrics.count_end(next(iter(TaskEnd)))
        metrics.losses["crashed"] += 1
        metrics.cancels["no_such_job"] += 1
        metrics.unrecorded_cancels += 1
        metrics.departures["reset"] += 1
        metrics.record_pause(0.5)
        metrics.suspended_s += 1.9
        text = metrics.render_text().decode()
        self.assertTrue(text.startswith(EXPECTED), text)
        for part in (
            'gentianhub_host_answers_total{verdict="completed"} 1.0',
            "gentianhub_host_task_reports_total{end=",
            'gentianhub_host_target_losses_total{outcome="crashed"} 1.0',
            'gentianhub_host_cancels_total{outcome="no_such_job"} 1.0',
            "gentianhub_host_unrecorded_cancels_total 1.0",
            "gentianhub_host_longest_mailbox_lag_s 0.25",
            'gentianhub_host_stops_by_reason_total{reason="not open"} 1.0',
            'gentianhub_host_departures_total{end="reset"} 1.0',
            "gentianhub_host_longest_pause_s 0.5",
            "gentianhub_host_suspended_s 1.9",
            'gentianhub_host_response_ms{quantile="0.99",verdict="completed"} 120.0',
        ):
            self.assertIn(part, text)

    def test_a_start_does_not_import_the_library(self):
        code = "import sys, gentianhub.host.__main__; print(sorted(sys.modules))"
        done = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True
        )
        self.assertIn("'gentianhub.host.process'", done.stdout)
        self.assertNotIn("prometheus_client", done.stdout)
