"""Runs whose front host is lost, beside further losses.

A caller whose connection broke submits its job again after 1.3 s, at any host. By then
no run of its first submission may be alive, however many owners were lost meanwhile,
and however many stops were left unanswered.
"""

import unittest

from attrs import evolve

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity.leases import (
    HOST_SILENCE_TIMEOUT_S,
    JOB_CONFIRMATION_TIMEOUT_S,
    LEASE_S,
    bound_lease_expiry,
)
from gentianhub.capacity.target_tracker import ORPHAN_GRACE_S
from gentianhub.capacity.tests.builders import (
    FRONT_HOST,
    SchedulerDriver,
    build_host,
    build_key,
    build_request,
    build_target,
    find_list_requests,
    find_renewals,
    find_starts,
    find_stops,
)
from gentianhub.capacity.tests.simulated_cell import (
    CALLER_RETURN_S,
    STOP_S,
    SUSPENSION_S,
    TICK_S,
    MachineFaults,
    SimulatedCell,
)

LATE_DEPARTURE_S = 0.1
CLAIMED, UNCLAIMED = build_key("a"), build_key("z")


class TestUnclaimedRuns(unittest.TestCase):
    """Guards against leases of a new owner for runs that no front host may want.

    The host of the earlier owner was the front host of the run, too. If the new owner
    is lost before it has stopped the run, its leases outlast the caller's return.
    """

    def setUp(self):
        self.driver = SchedulerDriver()
        self.first_renewal = find_renewals(
            self.driver.list_targets(build_target("t1"))
        )[-1]

    def report(self, *keys, **options) -> list:
        running = [ev.RunReport(key=key, run=1, percent=10) for key in keys]
        return self.driver.report("t1", running=running, **options)

    def claim(self, key) -> list:
        return self.driver.feed(
            build_request(key.job, is_repeat=True, deadline_in_s=9.0, stretch=50.0)
        )

    def test_a_target_that_has_not_listed_its_runs_is_granted_no_lease(self):
        self.assertEqual(0.0, self.first_renewal.lease_s)
        missed = ev.RenewalMissed(target="t1", reason="time-out")
        (retry,) = find_renewals(self.driver.feed(missed))
        self.assertEqual(0.0, retry.lease_s)

    def test_the_lease_of_an_unclaimed_run_is_not_renewed(self):
        """The new owner renewed it for up to 0.3 s before it stopped the run."""
        while self.driver.now_s < ORPHAN_GRACE_S:
            (renewal,) = find_renewals(self.report(UNCLAIMED))
            self.assertEqual(0.0, renewal.lease_s)
            self.driver.now_s += 0.05

    def test_the_lease_is_renewed_at_once_when_the_run_is_claimed(self):
        """The lease of the lost owner may end before the next renewal."""
        self.report(CLAIMED)
        (extension,) = find_list_requests(self.claim(CLAIMED))
        self.assertEqual(LEASE_S, extension.lease_s)
        (renewal,) = find_renewals(self.report(CLAIMED))
        self.assertEqual(LEASE_S, renewal.lease_s)

    def test_a_claimed_run_is_granted_no_lease_beside_an_unclaimed_one(self):
        """A lease is one of all runs of the target."""
        self.report(CLAIMED, UNCLAIMED)
        self.assertEqual([], find_list_requests(self.claim(CLAIMED)))
        (renewal,) = find_renewals(self.report(CLAIMED, UNCLAIMED))
        self.assertEqual(0.0, renewal.lease_s)

    def test_no_lease_is_granted_before_all_rows_of_a_list_are_known(self):
        """The claim of the first listed run renewed the lease of the others."""
        self.claim(CLAIMED)
        effects = self.report(CLAIMED, UNCLAIMED)
        self.assertEqual([], find_list_requests(effects))
        (renewal,) = find_renewals(effects)
        self.assertEqual(0.0, renewal.lease_s)

    def test_the_lease_is_renewed_once_the_stop_of_an_unclaimed_run_is_confirmed(self):
        """Until the run has ended, the claimed one beside it would lose its lease."""
        self.report(CLAIMED, UNCLAIMED)
        self.claim(CLAIMED)
        self.driver.now_s += ORPHAN_GRACE_S
        (stop,) = find_stops(self.driver.feed(ev.Tick()))
        self.driver.feed(
            ev.StopAnswered(target="t1", key=stop.key, run=stop.run, is_confirmed=True)
        )
        (renewal,) = find_renewals(self.report(CLAIMED, UNCLAIMED))
        self.assertEqual(LEASE_S, renewal.lease_s)


class TestUnconfirmedRuns(unittest.TestCase):
    """Guards against leases that outlast the interest in any run of their target.

    Job a is not confirmed any more, and its target leaves the stops unanswered. Job b,
    which runs beside it, is confirmed by another front host.
    """

    OTHER_FRONT_HOST = build_host("e2", "b")

    def setUp(self):
        self.driver = SchedulerDriver([build_target("t1", cores=90)])
        (start,) = find_starts(self.driver.feed(build_request("a", deadline_in_s=9.0)))
        self.driver.answer(start)
        self.driver.confirms_jobs = False
        self.feed(build_request("b", deadline_in_s=9.0))
        self.driver.list_targets(build_target("t1", cores=90))

    def feed(self, event) -> list:
        return self.driver.feed(event, front_host=self.OTHER_FRONT_HOST)

    def build_row(self, job: str) -> ev.RunReport:
        """Return a row of a run that makes progress."""
        percent = int(50 * self.driver.now_s)
        return ev.RunReport(key=build_key(job), run=1, percent=percent)

    def advance(self) -> list:
        """Pass one tick, with all that the owner hears in it."""
        self.driver.now_s += TICK_S
        rows = [self.build_row("a"), self.build_row("b")]
        effects = self.feed(ev.OpenJobs(cell=self.driver.scheduler.cell, jobs=("b",)))
        effects += self.driver.report("t1", running=rows)
        for stop in find_stops(effects):
            effects += self.feed(
                ev.StopAnswered(
                    target="t1", key=stop.key, run=stop.run, is_confirmed=False
                )
            )
        return effects + self.feed(ev.Tick())

    def test_no_lease_outlasts_the_last_confirmation_by_the_time_of_a_resubmission(
        self,
    ):
        """Silence, unanswered stops and a last lease added up to more than 1.3 s."""
        self.assertLess(max(self.list_expiries()), CALLER_RETURN_S)

    def test_no_lease_lasts_that_long_if_the_departure_is_late(self):
        """A departure that the network delayed for 0.1 s was confirmed meanwhile."""
        self.driver.now_s += LATE_DEPARTURE_S
        self.driver.feed(ev.OpenJobs(cell=self.driver.scheduler.cell, jobs=("a",)))
        self.assertLessEqual(max(self.list_expiries()), CALLER_RETURN_S - STOP_S)

    def list_expiries(self) -> list[float]:
        """Return the ends of the leases granted until the caller of job a is back."""
        expiries_s = []
        while self.driver.now_s < CALLER_RETURN_S:
            effects = self.advance()
            if self.driver.now_s > HOST_SILENCE_TIMEOUT_S:
                lost = ev.FrontLost(front_host=build_host("e1"))
                effects += self.driver.feed(lost)
            expiries_s += [
                bound_lease_expiry(effect.decided_s, effect.lease_s)
                for effect in effects
                if isinstance(effect, fx.RenewLease | fx.StartRun | fx.ListRuns)
                and effect.lease_s
            ]
        self.assertTrue(expiries_s)
        return expiries_s

    def test_no_task_starts_beside_a_run_that_is_not_confirmed(self):
        """Its lease would be one of that run, or too short to be of use."""
        while self.driver.now_s < JOB_CONFIRMATION_TIMEOUT_S + TICK_S:
            self.advance()
        end = ev.EndReport(number=1, key=build_key("b"), run=1, end=ev.RunEnd.DONE)
        self.driver.report("t1", running=(self.build_row("a"),), ended=(end,))
        self.assertEqual([], find_starts(self.feed(build_request("c"))))


class TestLeasesOfTargets(unittest.TestCase):
    """Guards against a start on a target whose lease outlasts the job's confirmation.

    The lease of the start itself is short enough, but a lease is never shortened.
    """

    AGE_S = 0.5

    def setUp(self):
        self.driver = SchedulerDriver([build_target("t1")])
        self.driver.confirms_jobs = False

    def submit(self) -> list:
        request = build_request("a", deadline_in_s=9.0)
        confirmed_s = self.driver.now_s - self.AGE_S
        scheduler = self.driver.scheduler
        return list(
            scheduler.handle(request, self.driver.now_s, FRONT_HOST, confirmed_s)
        )

    def test_a_task_waits_for_a_confirmation_if_the_lease_has_just_been_renewed(self):
        """Its run lived for 1.322 s after the loss of its front host."""
        effects = self.submit()
        self.assertEqual([], find_starts(effects))
        requests = [e for e in effects if isinstance(e, fx.RequestOpenJobs)]
        self.assertEqual([FRONT_HOST], [request.front_host for request in requests])
        message = ev.OpenJobs(cell=self.driver.scheduler.cell, jobs=("a",))
        self.assertEqual(1, len(find_starts(self.driver.feed(message))))

    def test_a_task_starts_with_a_short_lease_where_the_last_renewal_is_older(self):
        """A front host that is somewhat behind would get nothing started otherwise."""
        self.driver.now_s += 0.2
        (start,) = find_starts(self.submit())
        self.assertGreater(LEASE_S, start.lease_s)


class TestSuccessiveLosses(unittest.TestCase):
    """Guards against a life of runs that grows with each further loss."""

    def play(self, seed: int, unanswered_probability: float) -> SimulatedCell:
        """Lose three front hosts, and owners shortly before or after them."""
        cell = SimulatedCell(seed=seed)
        cell.submit_jobs(end_s=12.0, per_s=5)
        cell.unanswered_probability = unanswered_probability
        for front_host in cell.front_hosts[:3]:
            lost_s = cell.random.uniform(2.0, 9.0)
            cell.schedule(lost_s, cell.lose_front_host, front_host)
            for _ in range(cell.random.randint(0, 3)):
                delay_s = cell.random.uniform(-0.2, 2.0)
                cell.schedule(lost_s + delay_s, cell.lose_owner)
        cell.run(until_s=20.0)
        return cell

    def test_each_run_ends_before_its_caller_comes_again(self):
        for unanswered_probability in (0.0, 0.5):
            for seed in range(1, 21):
                with self.subTest(seed=seed, unanswered=unanswered_probability):
                    cell = self.play(seed, unanswered_probability)
                    self.assertTrue(cell.overtimes_s)
                    self.assertLessEqual(max(cell.overtimes_s), CALLER_RETURN_S)


class TestDepartedCallers(unittest.TestCase):
    """Guards against work for a caller that has left and come again elsewhere.

    More tasks wait than the targets can run, half of the withdrawals are lost, and so
    are some owners and front hosts. A second submission in another cell was at work
    beside the first one.
    """

    def play(self, seed: int) -> SimulatedCell:
        cell = SimulatedCell(seed=seed, unanswered_probability=0.1)
        cell.submit_jobs(end_s=10.0, per_s=16)
        for number in range(160):
            left_s = number / 16 + cell.random.uniform(0.05, 3.0)
            is_lost = cell.random.random() < 0.5
            cell.schedule(left_s, cell.leave_job, f"job-{number}", is_lost)
        for front_host in cell.front_hosts[:2]:
            lost_s = cell.random.uniform(3.0, 8.0)
            cell.schedule(lost_s, cell.lose_front_host, front_host)
            cell.schedule(cell.random.uniform(2.0, 9.0), cell.lose_owner)
        cell.run(until_s=18.0)
        return cell

    def test_no_run_begins_or_lasts_until_the_caller_comes_again(self):
        for seed in range(1, 13):
            with self.subTest(seed=seed):
                cell = self.play(seed)
                self.assertTrue(cell.overtimes_s)
                latest_s = max(cell.overtimes_s + cell.late_starts_s)
                self.assertLessEqual(latest_s, CALLER_RETURN_S)
                self.assertEqual([], cell.overlaps)


class TestSlowMachines(unittest.TestCase):
    """Guards against a bound that leaves no room for the delays of real machines.

    Whatever breaks a caller's connection also cuts its front host off from the owner,
    often, and the target from both. The front host learns of the departure late. The
    bounds of leases and stops added up to the time of a resubmission without these.
    """

    CUT_PROBABILITY = 0.4
    LATE = MachineFaults(departure_s=(0.01, 0.1), dating_s=0.05)
    # With leases of 1.25 s after a confirmation, runs of the last three end too late.
    LATE_SEEDS = (*range(1, 10), 1032, 1105, 1137)

    def play(self, seed: int, faults: MachineFaults, suspensions: int) -> SimulatedCell:
        cell = SimulatedCell(
            seed=seed, unanswered_probability=0.1, run_s=(0.5, 3.0), faults=faults
        )
        cell.submit_jobs(end_s=10.0, per_s=8)
        random = cell.fault_random
        for number in range(80):
            self.schedule_departure(
                cell, number, number / 8 + random.uniform(0.05, 1.5)
            )
        for front_host in cell.front_hosts[:2]:
            cell.schedule(random.uniform(3.0, 8.0), cell.lose_front_host, front_host)
            cell.schedule(random.uniform(2.0, 9.0), cell.lose_owner)
        for _ in range(suspensions):
            duration_s = random.uniform(*SUSPENSION_S)
            cell.schedule(random.uniform(1.0, 9.0), cell.suspend_owner, duration_s)
        cell.run(until_s=16.0)
        return cell

    def schedule_departure(self, cell: SimulatedCell, number: int, left_s: float):
        """Schedule the departure of a caller, with what is cut off beside it."""
        random, job = cell.fault_random, f"job-{number}"
        cell.schedule(left_s, cell.leave_job, job, random.random() < 0.8)
        if random.random() < self.CUT_PROBABILITY:
            front_host = cell.front_hosts[number % len(cell.front_hosts)]
            cut_s = left_s + random.uniform(0.0, 0.15)
            duration_s = random.uniform(0.3, 2.0)
            cell.schedule(cut_s, cell.cut_front_host, front_host, duration_s)
            cut_s = left_s + random.uniform(0.3, 0.9)
            cell.schedule(cut_s, cell.cut_job, job, random.uniform(0.5, 1.5))

    def assert_ended_in_time(self, seeds, faults: MachineFaults, suspensions: int):
        for seed in seeds:
            with self.subTest(seed=seed):
                cell = self.play(seed, faults, suspensions)
                self.assertTrue(cell.overtimes_s)
                latest_s = max(cell.overtimes_s + cell.late_starts_s)
                self.assertLessEqual(latest_s, CALLER_RETURN_S)
                self.assertEqual([], cell.overlaps)

    def test_each_run_ends_in_time_although_its_owner_is_suspended(self):
        self.assert_ended_in_time(range(1, 9), MachineFaults(), suspensions=3)

    def test_each_run_ends_in_time_although_departures_are_learnt_late(self):
        self.assert_ended_in_time(self.LATE_SEEDS, self.LATE, suspensions=0)

    def test_each_run_ends_in_time_with_all_of_these(self):
        faults = evolve(self.LATE, pause_s=0.1)
        self.assert_ended_in_time(range(21, 27), faults, suspensions=2)


if __name__ == "__main__":
    unittest.main()
