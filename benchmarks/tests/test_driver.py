"""Guards against metrics that differ between runs of the same seed."""

import unittest

from benchmarks.driver import run_load
from benchmarks.policies import BASELINES
from benchmarks.report import compute_response_quantiles, compute_wasted_ratio
from benchmarks.workload import Peak, RefusesAllTasks, build_plan, draw_targets


class TestDriver(unittest.TestCase):
    def test_one_seed_gives_one_set_of_figures(self):
        targets = draw_targets(7, broken=1, mode=RefusesAllTasks())
        plan = build_plan(
            7, targets=targets, length_s=3.0, peak=Peak(start_s=1.0, length_s=1.0)
        )
        metrics = []
        for _ in range(2):
            run = run_load(plan, BASELINES[2])
            metrics.append((compute_response_quantiles(run), compute_wasted_ratio(run)))
        self.assertEqual(metrics[0], metrics[1])
        self.assertGreater(metrics[0][0]["all"].count, 300)
