"""Seeded overload of three data centres, at 1.5 times their capacity.

Guards against answers that are not true, against load shedding that serves less worth
than the order of slack alone, and against routes and classes that starve.
"""

import unittest
from collections import Counter

from benchmarks.overload import POLICIES, is_served, run_policy
from gentianhub.capacity.effects import JobVerdict

LENGTH_S = 6.0


class TestOverload(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        today, *_, shedding = POLICIES
        cls.today, _ = run_policy(today, 1.5, 1, LENGTH_S)
        cls.shedding, _ = run_policy(shedding, 1.5, 1, LENGTH_S)

    def find_served(self, simulation):
        return [
            arrival
            for arrival in simulation.arrivals.values()
            if is_served(simulation.answers.get(arrival.job_id))
        ]

    def test_each_job_gets_one_answer(self):
        self.assertEqual(set(self.shedding.arrivals), set(self.shedding.answers))

    def test_a_job_answered_as_not_run_has_not_run(self):
        not_run = {
            job
            for job, answer in self.shedding.answers.items()
            if answer.verdict is JobVerdict.NOT_RUN
        }
        self.assertGreater(len(not_run), 20)
        executed = {key.job for key in self.shedding.started_s}
        self.assertEqual(set(), not_run & executed)

    def test_more_worth_is_served_than_by_the_order_of_slack(self):
        worth = [
            sum(arrival.worth for arrival in self.find_served(simulation))
            for simulation in (self.today, self.shedding)
        ]
        self.assertGreater(worth[1], worth[0])

    def test_the_first_priority_is_served_most(self):
        shares = self.compute_shares(lambda arrival: arrival.load.name)
        self.assertGreater(shares["wide"], shares["narrow"])
        self.assertGreater(shares["narrow"], shares["long"])
        self.assertGreater(shares["long"], 0)

    def test_the_largest_jobs_are_served_half_as_often_as_their_route(self):
        """The long route is left out: the load has fewer than ten of its largest."""
        routes = self.compute_shares(lambda arrival: arrival.load.name)
        sizes = self.compute_shares(lambda arrival: (arrival.load.name, arrival.size))
        for route in ("wide", "narrow"):
            for size in ("largest tenth", "fifth below"):
                with self.subTest(route=route, size=size):
                    self.assertGreaterEqual(sizes[route, size], 0.5 * routes[route])

    def test_one_priority_sheds_nothing(self):
        self.assertEqual([], self.today.shed)

    def compute_shares(self, find_group) -> dict:
        offered = Counter(map(find_group, self.shedding.arrivals.values()))
        served = Counter(map(find_group, self.find_served(self.shedding)))
        return {group: served[group] / offered[group] for group in offered}


if __name__ == "__main__":
    unittest.main()
