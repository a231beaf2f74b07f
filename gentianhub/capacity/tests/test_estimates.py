"""Tests of run time estimates and of the distribution of queued tasks over cells."""

import math
import random
import unittest

from gentianhub.capacity.estimates import RunEstimates
from gentianhub.capacity.events import CellClaim
from gentianhub.capacity.jobs import Cell
from gentianhub.capacity.routing import LoadView
from gentianhub.capacity.tests.builders import (
    SchedulerDriver,
    build_request,
    build_target,
    find_starts,
)


class TestEstimates(unittest.TestCase):
    def test_predictions_are_better_than_estimates_that_are_off_by_two_fifths(self):
        """Slack computed from callers' estimates alone makes short jobs late."""
        rng, estimates = random.Random(1), RunEstimates()
        declared_error, predicted_error = 0.0, 0.0
        for number in range(4000):
            run_s = 0.05 * math.exp(rng.gauss(0, 0.4))
            declared_s = 0.8 * run_s * math.exp(rng.gauss(0, 0.4))
            if number >= 1000:
                predicted_s = estimates.predict("check", declared_s)
                declared_error += math.log(declared_s / run_s) ** 2
                predicted_error += math.log(predicted_s / run_s) ** 2
            estimates.observe("check", declared_s, run_s)
        self.assertLess(predicted_error, 0.7 * declared_error)

    def test_a_straggler_changes_the_prediction_little(self):
        estimates = RunEstimates()
        estimates.observe("check", 0.05, 5.0)
        self.assertLess(estimates.predict("check", 0.05), 0.06)


class TestTargetPaces(unittest.TestCase):
    def test_predictions_stay_at_the_mean_run_time_of_uneven_targets(self):
        """Paces and predictions drifted apart: paces rose to 4, and slack and cutoff
        times were computed from a quarter of the run time."""
        driver = SchedulerDriver([build_target("t1", 32), build_target("t2", 32)])
        relative_run_times = {"t1": 0.8, "t2": 1.6}
        ends = dict.fromkeys(relative_run_times, 0)
        rng = random.Random(2)
        for number in range(600):
            request = build_request(f"j{number}", deadline_in_s=60.0, objective_s=30.0)
            (start,) = find_starts(driver.feed(request))
            driver.answer(start)
            name = start.target.name
            driver.now_s += 0.1 * relative_run_times[name] * rng.uniform(0.6, 1.4)
            ends[name] += 1
            driver.end(start, ends[name])
            # Every other task has to use the slower target, so that both have runs.
            driver.scheduler.targets["t1"].entry = build_target(
                "t1", 32, is_leaving=number % 2 == 0
            )
        predicted_s = driver.scheduler.estimates.predict("swap", 0.1)
        self.assertTrue(0.08 < predicted_s < 0.16, predicted_s)


class TestQueueSpread(unittest.TestCase):
    def test_waiting_tasks_of_a_wide_job_are_spread_over_equal_queues(self):
        """Under overload, a single cell's queue would make the whole job late."""
        view = LoadView(data_centre="olten")
        cells = [Cell(data_centre=name) for name in ("olten", "aarau", "langenthal")]
        view.update(
            {
                cell: CellClaim(
                    cell=cell,
                    term=1,
                    queued_millicore_s=20_000,
                    total_millicores=500_000,
                )
                for cell in cells
            }
        )
        allocations = list(view.divide(24, 27_000, is_final=False))
        self.assertEqual(24, sum(allocation.count for allocation in allocations))
        self.assertEqual(3, len(allocations))
        self.assertTrue(all(allocation.count >= 5 for allocation in allocations))


if __name__ == "__main__":
    unittest.main()
