"""An owner and a front host whose routes have two priorities, and more work than fits.

Guards against tasks that run although their job was reported as not run, against late
work that stays after a burst, and against changes for routes of one priority.
"""

import unittest

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity.front import FrontJobRegistry
from gentianhub.capacity.jobs import CapacityJob, Cell, Configuration, Route
from gentianhub.capacity.overload import may_refuse
from gentianhub.capacity.ownership import CellOwner
from gentianhub.capacity.retries import choose_retry_after_s
from gentianhub.capacity.routing import LoadView
from gentianhub.capacity.submissions import OwnersChanged, SubmitCapacityJob
from gentianhub.capacity.succession import Handover, HandoverKind
from gentianhub.capacity.tests.builders import (
    CELL,
    FRONT_HOST,
    SchedulerDriver,
    build_request,
    build_step,
    build_target,
    find_ends,
    find_starts,
)

# The targets run two tasks of 0.1 s each; jobs may wait for 0.56 s.
TARGETS = 4
PRIORITIES = (0, 1)


class Burst:
    """Jobs of four tasks that arrive at once, of alternating priority."""

    def __init__(self, jobs: int, priorities=PRIORITIES, **options):
        targets = [build_target(f"t{n}") for n in range(TARGETS)]
        self.driver = SchedulerDriver(
            targets,
            handover=Handover(kind=HandoverKind.DRAINED),
            list_priorities=lambda: priorities,
        )
        self.driver.now_s += 0.05
        self.effects = self.driver.feed(ev.Tick())
        for number in range(jobs):
            self.submit(number, **options)

    def submit(self, number: int, **options) -> None:
        priority = number % 2
        request = build_request(
            f"j{number}",
            build_step(count=4),
            priority=priority,
            route=f"swap{priority}/0",
            **options,
        )
        self.effects += self.driver.feed(request)

    def tick(self, delay_s: float = 0.05) -> list:
        self.driver.now_s += delay_s
        effects = self.driver.feed(ev.Tick())
        self.effects += effects
        return effects

    @property
    def shed(self) -> list[fx.ShedJob]:
        return [e for e in self.effects if isinstance(e, fx.ShedJob)]

    @property
    def expired(self) -> dict[str, ev.TasksEnded]:
        ends = find_ends(self.effects)
        return {end.job: end for end in ends if end.end is ev.TaskEnd.EXPIRED}


class TestOwner(unittest.TestCase):
    def test_the_lower_priority_is_refused_at_once_and_not_run(self):
        burst = Burst(jobs=60)
        burst.tick()
        self.assertGreater(len(burst.shed), 10)
        self.assertEqual({job.job for job in burst.shed}, set(burst.expired))
        for shed in burst.shed:
            self.assertFalse(burst.expired[shed.job].has_started)
        by_priority = [0, 0]
        for shed in burst.shed:
            by_priority[shed.priority] += 1
        self.assertGreater(by_priority[1], by_priority[0])

    def test_a_refused_job_never_starts_a_task(self):
        burst = Burst(jobs=60)
        for number in range(20):
            burst.tick()
            for start in find_starts(burst.effects)[8 * number : 8 * number + 8]:
                burst.effects += burst.driver.answer(start)
                burst.effects += burst.driver.end(start, number + 1)
        started = {start.key.job for start in find_starts(burst.effects)}
        self.assertEqual(set(), started & {job.job for job in burst.shed})

    def test_nothing_is_refused_while_the_work_fits(self):
        burst = Burst(jobs=4)
        burst.tick()
        self.assertEqual([], burst.shed)
        self.assertEqual({}, burst.expired)

    def test_work_that_can_only_be_late_goes_at_the_next_tick(self):
        """A queue that holds only late work would make all new work late."""
        burst = Burst(jobs=12)
        burst.tick(delay_s=1.0)
        started = {start.key.job for start in find_starts(burst.effects)}
        self.assertEqual({f"j{n}" for n in range(12)} - started, set(burst.expired))

    def test_a_job_that_an_earlier_owner_may_have_started_is_not_refused(self):
        """Its front host could not answer that nothing has run."""
        burst = Burst(jobs=60, is_repeat=True)
        burst.tick()
        self.assertTrue(find_starts(burst.effects))
        self.assertEqual([], burst.shed)

    def test_a_job_whose_runs_were_lost_is_not_refused(self):
        """All its tasks wait again, but its front host can't answer "not run"."""
        jobs = Burst(jobs=12).driver.scheduler.jobs.values()
        job = next(job for job in jobs if not job.has_started)
        tasks = list(job.tasks.values())
        self.assertTrue(may_refuse(tasks))
        job.possible_runs = 1
        self.assertFalse(may_refuse(tasks))

    def test_a_part_of_a_job_is_not_refused(self):
        """Another cell may have started the other part."""
        burst = Burst(jobs=60, indexes=(0, 1))
        burst.tick()
        self.assertEqual([], burst.shed)

    def test_one_priority_changes_nothing(self):
        """A deployment whose routes have one priority must not notice load shedding."""
        bursts = [Burst(jobs=60, priorities=p) for p in ((), (0,))]
        for burst in bursts:
            for _ in range(20):
                burst.tick()
        old, new = (burst.effects for burst in bursts)
        self.assertEqual(old, new)
        self.assertEqual([], bursts[0].shed)

    def test_a_pass_over_all_jobs_takes_place_once_between_two_ticks(self):
        """An owner fell behind when each arrival was compared with all waiting work."""
        burst = Burst(jobs=60)
        burst.tick()
        burst.submit(100)
        count = len(burst.shed)
        for number in range(101, 160):
            burst.submit(number)
        self.assertEqual(count, len(burst.shed))
        burst.tick()
        self.assertGreater(len(burst.shed), count)


class TestFrontHost(unittest.TestCase):
    def submit(self, rank: int | None, claim: ev.CellClaim | None, job="job") -> list:
        front = FrontJobRegistry(data_centre="olten", started_s=1.0)
        if claim is not None:
            owners = {CELL: CellOwner(owner=FRONT_HOST, claim=claim)}
            list(front.handle(OwnersChanged(owners=owners), 1.0))
        route = Route(
            name="swap",
            host="",
            prefix="/",
            service="order-desk",
            priority=rank or 0,
            objective_s=0.06,
            stretch=1.6,
        )
        submit = SubmitCapacityJob(
            job_id=job,
            job=CapacityJob(payload="", steps=(build_step(count=2),)),
            route=route,
            wait_s=1.5,
            reply_to="caller",
            rank=rank,
        )
        return list(front.handle(submit, 1.0))

    def build_claim(self, queued_s: float, free: int = 0, total: int = 64_000):
        return ev.CellClaim(
            cell=CELL,
            term=1,
            free_millicores=free,
            queued_millicore_s=round(queued_s * total),
            total_millicores=total,
        )

    def assert_refused(self, effects: list) -> None:
        self.assertEqual([fx.ShedJob, fx.AnswerCaller], [type(e) for e in effects])
        self.assertIs(fx.JobVerdict.NOT_RUN, effects[1].verdict)
        self.assertGreaterEqual(effects[1].retry_after_s, 1)

    def test_a_job_is_refused_if_the_backlog_is_much_longer_than_it_can_wait(self):
        self.assert_refused(self.submit(1, self.build_claim(queued_s=3.0)))

    def test_a_job_is_sent_in_all_other_cases(self):
        """An idle deployment, and one whose load is unknown, must never refuse."""
        cases = {
            "first priority": (0, self.build_claim(3.0)),
            "one priority only": (None, self.build_claim(3.0)),
            "short backlog": (1, self.build_claim(0.5)),
            "idle": (1, self.build_claim(0.0)),
            "some idle capacity": (1, self.build_claim(3.0, free=8000)),
            "no usable target yet": (1, self.build_claim(0.0, total=0)),
        }
        for name, (rank, claim) in cases.items():
            with self.subTest(name):
                effects = self.submit(rank, claim)
                self.assertFalse(any(isinstance(e, fx.AnswerCaller) for e in effects))
        self.assertEqual([], self.submit(1, None))

    def test_a_job_that_has_to_wait_goes_to_one_cell(self):
        """Owners refuse only jobs that they have as a whole."""
        loads = LoadView(data_centre="olten")
        cells = [Cell(data_centre=name) for name in ("olten", "bern")]
        for cell in cells:
            claim = ev.CellClaim(cell=cell, term=1, total_millicores=64_000)
            loads.update_claim(claim)
        whole = list(loads.divide(4, 500, False, is_whole=True))
        self.assertEqual([4], [allocation.count for allocation in whole])
        divided = list(loads.divide(400, 500, False, is_whole=True))
        self.assertEqual(2, len(divided))


class TestRetryAfter(unittest.TestCase):
    def choose_all(self, rank: int | None, drain_s: float) -> set[int]:
        return {choose_retry_after_s(f"{n:016x}", rank, drain_s) for n in range(500)}

    def test_with_one_priority_it_is_as_before(self):
        self.assertEqual({1, 2, 3}, self.choose_all(None, 0.0))
        self.assertEqual({1, 2, 3}, self.choose_all(None, 9.0))

    def test_higher_priorities_return_first_and_spread(self):
        for drain_s in (0.0, 0.7, 1.4):
            urgent, other = self.choose_all(0, drain_s), self.choose_all(1, drain_s)
            self.assertLess(max(urgent), min(other))
            self.assertGreater(len(urgent), 1)
            self.assertGreaterEqual(min(urgent), max(1, drain_s))

    def test_it_is_bounded(self):
        self.assertEqual({10}, self.choose_all(2, 1e9))


class TestSwitch(unittest.TestCase):
    def test_the_rank_is_the_position_of_the_priority(self):
        routes = [
            Route(name=f"r{p}", host="", prefix="/", service="s", priority=p)
            for p in (7, -2, 7)
        ]
        several = Configuration(version=1, routes=tuple(routes))
        self.assertEqual([1, 0, 1], [several.find_rank(route) for route in routes])
        single = Configuration(version=1, routes=(routes[0], routes[2]))
        self.assertIsNone(single.find_rank(routes[0]))


if __name__ == "__main__":
    unittest.main()
