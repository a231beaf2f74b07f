"""Guards against figures that change between runs of one seed."""

import unittest

from benchmarks.driver import run_load
from benchmarks.policies import BASELINES
from benchmarks.report import measure_responses, measure_wasted
from benchmarks.workload import Peak, RefusesAll, build_plan, draw_targets


class TestDriver(unittest.TestCase):
    def test_one_seed_gives_one_set_of_figures(self):
        targets = draw_targets(7, broken=1, mode=RefusesAll())
        plan = build_plan(
            7, targets=targets, length_s=3.0, peak=Peak(start_s=1.0, length_s=1.0)
        )
        figures = []
        for _ in range(2):
            run = run_load(plan, BASELINES[2])
            figures.append((measure_responses(run), measure_wasted(run)))
        self.assertEqual(figures[0], figures[1])
        self.assertGreater(figures[0][0]["all"].count, 300)
