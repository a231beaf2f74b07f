"""Choice of the waiting jobs to refuse, on cells of which the capacity is given.

Guards against refusals of work that fits, of jobs that have started, of the wrong jobs,
and against routes and size classes that lose all their jobs.
"""

import random
import unittest

from gentianhub.capacity.backlog import CapacityCurve, HeldCapacity
from gentianhub.capacity.refusals import Candidate, RefusalChoice, RefusalReason
from gentianhub.capacity.shares import MIN_CLASS_FRACTION, ServedShares
from gentianhub.capacity.tasks import CellJob
from gentianhub.capacity.tests.builders import FRONT_HOST
from gentianhub.capacity.worth import JobWorth, RouteWork, SizeClass

NOW_S = 100.0


def build_worth(rank=0, work=1.0, worth=1.0, route="swap", size=SizeClass.OTHER):
    return JobWorth(route=route, size=size, rank=rank, work_core_s=work, worth=worth)


def build_candidate(name, left_s, may_refuse=True, may_be_tried=False, **options):
    worth = build_worth(**options)
    job = CellJob(front_host=FRONT_HOST, name=name, worth=worth)
    work = 1000 * worth.work_core_s
    return Candidate(
        job=job,
        worth=worth,
        work=work,
        start_work=work,
        latest_start_s=NOW_S + left_s,
        may_refuse=may_refuse,
        may_be_tried=may_be_tried,
    )


def choose(*candidates, cores=1, held=(), shares=None):
    """Return the names of the refused jobs with the reasons."""
    curve = CapacityCurve(
        now_s=NOW_S, millicores=1000 * cores, mean_run_s=0.0, held=held
    )
    choice = RefusalChoice(curve=curve, shares=shares or ServedShares())
    refusals = choice.choose(candidates)
    return {r.candidate.job.name: r.reason for r in refusals}


class TestCurve(unittest.TestCase):
    def test_present_runs_hold_their_capacity_until_they_end(self):
        held = [HeldCapacity(millicores=600, end_s=NOW_S + 1)]
        curve = CapacityCurve(now_s=NOW_S, millicores=1000, mean_run_s=0.0, held=held)
        self.assertAlmostEqual(400, curve.find_startable(NOW_S + 1))
        self.assertAlmostEqual(1400, curve.find_startable(NOW_S + 2))
        self.assertEqual(0, curve.find_startable(NOW_S - 1))

    def test_idle_capacity_starts_as_many_tasks_as_it_holds(self):
        curve = CapacityCurve(now_s=NOW_S, millicores=1000, mean_run_s=0.5, held=())
        self.assertAlmostEqual(500, curve.find_startable(NOW_S))


class TestChoice(unittest.TestCase):
    def test_work_that_fits_is_kept(self):
        jobs = [build_candidate(f"j{n}", 1.0 + n, rank=n % 3) for n in range(20)]
        self.assertEqual({}, choose(*jobs))

    def test_the_job_with_the_least_worth_of_a_core_second_is_refused(self):
        cheap = build_candidate("cheap", 1.0, worth=0.5)
        dear = build_candidate("dear", 1.5, worth=2.0)
        self.assertEqual(
            {"cheap": RefusalReason.LESS_WORTH}, choose(dear, cheap, cores=1)
        )

    def test_a_lower_priority_never_displaces_a_higher_one(self):
        urgent = build_candidate("urgent", 1.0, rank=0, worth=0.1)
        other = build_candidate("other", 1.0, rank=1, worth=9.0)
        self.assertEqual(["other"], list(choose(other, urgent)))

    def test_a_job_that_may_have_started_is_never_refused(self):
        jobs = [build_candidate(f"s{n}", 0.1, may_refuse=False) for n in range(5)]
        waiting = build_candidate("waiting", 2.0)
        self.assertEqual({"waiting": RefusalReason.NO_CAPACITY}, choose(*jobs, waiting))

    def test_late_work_is_refused_before_work_in_time(self):
        """After a burst a queue of late work made all new work late."""
        late = [build_candidate(f"late{n}", -0.1, worth=9.0) for n in range(50)]
        fresh = build_candidate("fresh", 1.0, worth=0.1)
        refused = choose(*late, fresh)
        self.assertNotIn("fresh", refused)
        self.assertEqual({RefusalReason.TOO_LATE}, set(refused.values()))
        self.assertEqual(50, len(refused))

    def test_a_job_on_trial_is_not_refused_for_its_own_run_time(self):
        """A route with wrong estimates would never be corrected."""
        self.assertEqual({}, choose(build_candidate("j", 0.1, may_be_tried=True)))

    def test_a_job_on_trial_is_no_reason_to_refuse_others(self):
        trial = build_candidate("trial", 0.05, may_be_tried=True, work=0.1)
        later = build_candidate("later", 2.0, rank=0, work=1.5)
        other = build_candidate("other", 0.5, rank=1, work=0.3)
        self.assertEqual({}, choose(trial, later, other))

    def test_the_kept_jobs_fit_in_the_order_of_their_start(self):
        for seed in range(200):
            rng = random.Random(seed)
            jobs = [
                build_candidate(
                    f"j{number}",
                    rng.uniform(-0.2, 3.0),
                    rank=rng.randrange(3),
                    work=rng.uniform(0.05, 1.0),
                    worth=rng.uniform(0.3, 2.0),
                    route=rng.choice("ab"),
                )
                for number in range(40)
            ]
            refused = choose(*jobs, cores=2)
            work = 0.0
            for job in sorted(jobs, key=lambda j: (j.job.rank, j.latest_start_s)):
                if job.job.name not in refused:
                    work += job.work
                    with self.subTest(seed=seed):
                        self.assertLessEqual(
                            work, 2000 * (job.latest_start_s - NOW_S) + 1e-6
                        )


class TestShares(unittest.TestCase):
    """Jobs of the largest tenth have the least worth per core-second."""

    def serve(self, arrivals: int) -> dict[SizeClass, float]:
        """Return the share of each class that is kept, at twice the capacity."""
        shares, counts, lost = ServedShares(), {}, {}
        for number in range(arrivals):
            size = SizeClass.LARGEST if number % 10 == 0 else SizeClass.OTHER
            work, worth = (2.0, 1.7) if size is SizeClass.LARGEST else (0.8, 0.9)
            jobs = [
                build_candidate(f"{n}", 1.0, work=work, worth=worth, size=size)
                for n in range(2)
            ]
            for job in jobs:
                counts[size] = counts.get(size, 0) + 1
                shares.record_arrival(job.worth, NOW_S)
        pool = [SizeClass.LARGEST] + 9 * [SizeClass.OTHER]
        for number in range(arrivals):
            candidates = [
                build_candidate(
                    f"{number}-{n}",
                    4.7,
                    work=2.0 if size is SizeClass.LARGEST else 0.8,
                    worth=1.7 if size is SizeClass.LARGEST else 0.9,
                    size=size,
                )
                for n, size in enumerate(pool)
            ]
            for candidate in candidates:
                shares.record_arrival(candidate.worth, NOW_S)
            refused = choose(*candidates, shares=shares)
            for candidate in candidates:
                size = candidate.worth.size
                counts[size] = counts.get(size, 0) + 1
                lost[size] = lost.get(size, 0) + (candidate.job.name in refused)
        return {size: 1 - lost.get(size, 0) / counts[size] for size in counts}

    def test_the_largest_jobs_are_served_half_as_often_as_their_route(self):
        served = self.serve(200)
        route = 0.1 * served[SizeClass.LARGEST] + 0.9 * served[SizeClass.OTHER]
        self.assertGreaterEqual(served[SizeClass.LARGEST], 0.5 * route)
        self.assertGreater(MIN_CLASS_FRACTION, 0.5)

    def test_a_route_that_lost_nothing_is_not_protected(self):
        """Priorities would have no effect with many routes of few jobs each."""
        shares = ServedShares()
        for number in range(100):
            worth = build_worth(rank=2, route=f"rare{number}")
            self.assertFalse(shares.is_protected(worth))
            shares.record_arrival(worth, NOW_S + number)
            self.assertFalse(shares.is_protected(worth))

    def test_a_rare_route_that_lost_its_job_is_protected(self):
        shares, rare, other = ServedShares(), build_worth(route="rare"), build_worth()
        shares.record_arrival(rare, NOW_S)
        shares.record_loss(rare, NOW_S)
        for number in range(20):
            shares.record_arrival(other, NOW_S + number)
        self.assertTrue(shares.is_protected(rare))

    def test_counts_survive_a_long_time(self):
        """Weights grow exponentially and would overflow without rescaling."""
        shares, lost, served = ServedShares(), build_worth(), build_worth(route="b")
        for day in range(200):
            for second in range(20):
                now_s = 86_400.0 * day + second
                shares.record_arrival(lost, now_s)
                shares.record_loss(lost, now_s)
                shares.record_arrival(served, now_s)
        self.assertTrue(shares.is_protected(lost))
        self.assertFalse(shares.is_protected(served))


class TestSizeClasses(unittest.TestCase):
    def test_a_tenth_is_largest_and_a_fifth_is_large(self):
        route = RouteWork(mean_core_s=50.0)
        for work in range(100):
            route.observe(float(work))
        sizes = [route.classify(float(work)) for work in range(100)]
        self.assertEqual(10, sizes.count(SizeClass.LARGEST))
        self.assertEqual(20, sizes.count(SizeClass.LARGE))


if __name__ == "__main__":
    unittest.main()
