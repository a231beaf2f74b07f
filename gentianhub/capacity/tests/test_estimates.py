"""Run times from rough estimates, and the spread of waiting work over cells."""

import math
import random
import unittest

from gentianhub.capacity.estimates import RunEstimates
from gentianhub.capacity.events import CellClaim
from gentianhub.capacity.jobs import Cell
from gentianhub.capacity.routing import LoadView


class TestEstimates(unittest.TestCase):
    def test_predictions_beat_estimates_that_are_off_by_two_fifths(self):
        """Slack that is worked out from bare estimates makes short jobs late."""
        rng, estimates = random.Random(1), RunEstimates()
        bare, learned = 0.0, 0.0
        for number in range(4000):
            run_s = 0.05 * math.exp(rng.gauss(0, 0.4))
            declared_s = 0.8 * run_s * math.exp(rng.gauss(0, 0.4))
            if number >= 1000:
                predicted_s = estimates.predict("check", declared_s)
                bare += math.log(declared_s / run_s) ** 2
                learned += math.log(predicted_s / run_s) ** 2
            estimates.observe("check", declared_s, run_s, 1.0)
        self.assertLess(learned, 0.7 * bare)

    def test_a_straggler_moves_the_prediction_little(self):
        estimates = RunEstimates()
        estimates.observe("check", 0.05, 5.0, 1.0)
        self.assertLess(estimates.predict("check", 0.05), 0.06)


class TestSpread(unittest.TestCase):
    def test_waiting_tasks_of_a_wide_job_are_spread_over_equal_queues(self):
        """At the crest one cell's queue would make the whole job late."""
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
        shares = list(view.divide(24, 27_000, is_final=False))
        self.assertEqual(24, sum(share.count for share in shares))
        self.assertEqual(3, len(shares))
        self.assertTrue(all(share.count >= 5 for share in shares))


if __name__ == "__main__":
    unittest.main()
