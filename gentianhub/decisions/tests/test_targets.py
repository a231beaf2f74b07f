"""Guards against lost, duplicate and futile starts by the choice of targets."""

import math
import random
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from gentianhub.core import (
    Complete,
    Failed,
    JobFailed,
    JobRequest,
    NotRun,
    ProcessName,
    ServiceRow,
    Step,
    Table,
    TargetAddress,
    Task,
    create_incarnation,
)
from gentianhub.core import effects as fx
from gentianhub.core import events as ev
from gentianhub.decisions import Dispatcher
from gentianhub.decisions.placement import Placement
from gentianhub.decisions.retries import (
    MAX_DELAY_S,
    NoRetry,
    Retries,
    RetryAt,
    RetryPolicy,
)
from gentianhub.decisions.targets import LARGE_PROBE_WAIT_S, TargetSelector
from gentianhub.decisions.warm_up import WARM_UP_S

DONE = Complete(result=b"", run_s=0.1)
FULL = NotRun(step=Step.AWAIT_REPLY, peer="t", reason="503")
DEAD = NotRun(step=Step.CONNECT_TARGET, peer="t", reason="refused")
BROKEN = Failed(step=Step.AWAIT_REPLY, peer="t", reason="500")


def list_targets(*names: str, **options) -> ev.TargetsListed:
    return ev.TargetsListed(
        targets=tuple(
            TargetAddress(name=n, data_centre="olten", host="h", port=1, **options)
            for n in names
        )
    )


class Fixture:
    """A dispatcher with a manual clock, and the starts and answers it produced."""

    def __init__(self, *names: str):
        owner = create_incarnation(ProcessName(data_centre="olten", process="e1"))
        rng = random.Random(1)
        self.dispatcher = Dispatcher(
            owner=owner, targets=TargetSelector(rng=rng), retries=Retries(rng=rng)
        )
        self.now_s = 0.0
        self.starts: list[fx.StartTask] = []
        self.answers = []
        services = {"s": ServiceRow(name="s", team="t")}
        self.handle(ev.TableAdopted(table=Table(version=1, services=services)))
        self.handle(list_targets(*names))

    def handle(self, event) -> None:
        for effect in self.dispatcher.handle(event, self.now_s):
            match effect:
                case fx.StartTask():
                    self.starts.append(effect)
                case fx.JobEnded(answer=answer):
                    self.answers.append(answer)

    def submit(self, tasks: int = 1, deadline_s: float = 100.0) -> None:
        request = JobRequest(
            service="s",
            tasks=(Task(kind="k", body=b""),) * tasks,
            deadline_s=deadline_s,
            idempotent=False,
            digest=str(self.now_s),
        )
        self.handle(ev.SubmitJob(request=request, reply_to=None))

    def end(self, start: fx.StartTask, outcome, **options) -> None:
        self.handle(
            ev.AttemptEnded(
                task_id=start.task_id, target=start.target, outcome=outcome, **options
            )
        )

    def run_all(self, outcomes: dict, until_s: float = 1e9) -> list[str]:
        """End every started task; return the targets in order of the ends."""
        targets = []
        while self.starts:
            start = self.starts.pop(0)
            targets.append(start.target)
            self.end(start, outcomes.get(start.target, DONE))
        return targets

    def pass_time(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.05)):
            self.now_s += 0.05
            self.handle(ev.Tick())


class WarmUpTest(unittest.TestCase):
    """Guards against a first job that fills every slot of a failing target."""

    def test_one_task_at_a_time_until_the_first_complete_reply(self):
        fixture = Fixture("a", "b")
        fixture.submit(tasks=40)
        self.assertEqual(len(fixture.starts), 2)
        fixture.end(fixture.starts[0], DONE)
        warm = fixture.starts[0].target
        targets = [start.target for start in fixture.starts[1:]]
        self.assertEqual(targets.count(warm), 8)
        self.assertEqual(len(targets), 9)

    def test_the_warm_up_time_is_bounded(self):
        fixture = Fixture("a")
        fixture.submit(tasks=40)
        self.assertEqual(len(fixture.starts), 1)
        fixture.pass_time(WARM_UP_S + 0.1)
        self.assertEqual(len(fixture.starts), 8)


class RetryTest(unittest.TestCase):
    """Guards against lost tasks, repeated runs and retries that cannot succeed."""

    def test_task_refused_by_a_dead_target_is_retried_elsewhere(self):
        fixture = Fixture("dead", "a", "b")
        for _ in range(30):
            fixture.submit()
            fixture.run_all({"dead": DEAD})
            fixture.pass_time(0.1)
            fixture.run_all({"dead": DEAD})
        self.assertEqual(len(fixture.answers), 30)
        self.assertNotIn(JobFailed, map(type, fixture.answers))

    def test_only_a_definite_not_run_is_retried(self):
        fixture = Fixture("a", "b")
        fixture.submit()
        fixture.run_all({"a": BROKEN, "b": BROKEN})
        fixture.pass_time(2)
        self.assertEqual((fixture.starts, len(fixture.answers)), ([], 1))

    @given(attempts=st.integers(1, 7), left_s=st.floats(0.0, 2.0))
    def test_no_retry_past_the_deadline(self, attempts, left_s):
        match Retries(rng=random.Random(1)).decide(attempts, 10 + left_s, 10.0):
            case RetryAt(due_s=due_s):
                self.assertLess(due_s, 10 + left_s)
                self.assertLessEqual(due_s - 10, MAX_DELAY_S)
            case NoRetry():
                self.assertLess(left_s, MAX_DELAY_S)

    def test_budget_bounds_retries_to_a_tenth_of_first_tries(self):
        retries = Retries(policy=RetryPolicy(has_budget=True), rng=random.Random(1))
        for _ in range(1000):
            retries.count_first_try("s", 0.0)
        released = [retries.release("s", 0.0) for _ in range(500)]
        self.assertEqual(released.count(None), 110)
        self.assertIsNone(retries.release("other", 0.0))


class EjectionTest(unittest.TestCase):
    """Guards against work for failing targets, and ejection of too many targets."""

    def test_failing_target_is_probed_one_task_at_a_time_and_reinstated(self):
        fixture = Fixture("bad", "good")
        for _ in range(40):
            fixture.submit()
            fixture.run_all({"bad": BROKEN})
        failed = sum(isinstance(a, JobFailed) for a in fixture.answers)
        self.assertLessEqual(failed, 8)
        state = fixture.dispatcher.describe_state(fixture.now_s)
        self.assertIn("500", state.unused_targets["bad"])
        fixture.pass_time(1)
        fixture.submit(tasks=4)
        at_bad = [start for start in fixture.starts if start.target == "bad"]
        self.assertEqual(len(at_bad), 1)
        fixture.run_all({})
        for _ in range(4):
            fixture.submit()
            fixture.run_all({})
        state = fixture.dispatcher.describe_state(fixture.now_s)
        self.assertEqual(state.unused_targets, {})

    def test_large_job_is_a_probe_only_if_no_small_one_arrives(self):
        # A failed probe that is one of a job's 170 tasks fails the whole job.
        fixture = Fixture("bad", "good")
        for _ in range(40):
            fixture.submit()
            fixture.run_all({"bad": BROKEN})
        fixture.pass_time(LARGE_PROBE_WAIT_S / 2)
        for wait_s, probes in ((LARGE_PROBE_WAIT_S / 2, 0), (LARGE_PROBE_WAIT_S, 1)):
            fixture.pass_time(wait_s)
            fixture.submit(tasks=40)
            at_bad = [start for start in fixture.starts if start.target == "bad"]
            self.assertEqual(len(at_bad), probes)

    def test_failure_of_all_targets_ejects_at_most_half(self):
        names = [f"t{number}" for number in range(10)]
        for outcome in (DEAD, BROKEN, FULL):
            fixture = Fixture(*names)
            outcomes = dict.fromkeys(names, outcome)
            for _ in range(50):
                fixture.submit(tasks=4)
                fixture.run_all(outcomes)
                fixture.pass_time(0.05)
            unused = fixture.dispatcher.describe_state(fixture.now_s).unused_targets
            self.assertLessEqual(len(unused), 5)

    def test_service_that_fails_everywhere_ejects_few(self):
        fixture = Fixture(*(f"t{number}" for number in range(10)))
        names = list(fixture.dispatcher.holdings.held)
        rng = random.Random(1)
        for _ in range(400):
            fixture.submit()
            start = fixture.starts.pop()
            fixture.end(start, rng.choice((DONE, BROKEN)))
            name = rng.choice(names)
            fixture.dispatcher.targets.ejections._add_reply(name, failed=True)
            fixture.dispatcher.targets.ejections._add_reply(name, failed=False)
        unused = fixture.dispatcher.describe_state(fixture.now_s).unused_targets
        self.assertLessEqual(len(unused), 1)


class DepartureTest(unittest.TestCase):
    """Guards against starts on a leaving target, and against one that stays unused."""

    def test_leaving_target_gets_work_only_once_listed_as_returned(self):
        fixture = Fixture("a")
        fixture.submit(tasks=9)
        fixture.end(fixture.starts.pop(), DONE, leaving=True)
        fixture.starts.clear()
        # The list lags: it still shows the target as live.
        fixture.handle(list_targets("a", "b"))
        self.assertEqual({s.target for s in fixture.starts}, {"b"})
        for listed in (list_targets("a", leaving=True), list_targets("b")):
            fixture.starts.clear()
            fixture.handle(listed)
            fixture.submit(tasks=9)
            self.assertNotIn("a", {s.target for s in fixture.starts})
        fixture.handle(list_targets("a", "b"))
        # Another process repeats the earlier notice.
        fixture.handle(ev.TargetsLeaving(targets=("a",)))
        fixture.submit(tasks=9)
        self.assertIn("a", {s.target for s in fixture.starts})


class LimitTest(unittest.TestCase):
    """Guards against a limit that stays too low, and against too many refused tasks."""

    def test_limit_follows_the_capacity_of_the_target(self):
        fixture = Fixture("a")
        running, refused = [], 0
        capacity = 3
        for round_number in range(1200):
            if round_number % 10 == 0:
                fixture.submit(tasks=10)
            fixture.now_s += 0.001
            for start in fixture.starts:
                if len(running) < capacity:
                    running.append(start)
                else:
                    refused += 1
                    fixture.end(start, FULL)
            fixture.starts.clear()
            if round_number == 600:
                limit = fixture.dispatcher.targets.limits.get_limit("a", 8)
                self.assertIn(limit, (2, 3, 4))
                # Two bursts of all 8 slots until the capacity is known; after it, each
                # refused step doubles the replies before the next one.
                self.assertLess(refused, 2 * 8 + math.log2(600))
                capacity = 8
            if running:
                fixture.end(running.pop(0), DONE)
            fixture.pass_time(0.05)
        self.assertEqual(fixture.dispatcher.targets.limits.describe(), {})


class PlacementTest(unittest.TestCase):
    """Guards against slow choices and against choices of slow or refusing targets."""

    def test_fastest_idle_target_is_chosen_and_refusing_ones_are_avoided(self):
        speeds = {"slow": 0.5, "fast": 2.0, "mean": 1.0}
        view = mock.Mock(count_idle=lambda target: 1)
        placement = Placement(get_speed=speeds.get, rng=random.Random(1))
        for name in speeds:
            placement.add_idle(name)
        self.assertEqual(placement.choose(view, ()), "fast")
        self.assertEqual(placement.choose(view, ("fast",)), "mean")
        speeds["slow"] = 3.0
        speeds["fast"] = 0.1
        self.assertEqual(placement.choose(view, tuple(speeds)), "mean")

    def test_cost_of_a_choice_does_not_grow_with_the_targets(self):
        lookups = {}
        for count in (24, 1400):
            rng = random.Random(count)
            speeds = {f"t{i}": rng.uniform(0.5, 2) for i in range(count)}
            idle = dict.fromkeys(speeds, 8)
            view = mock.Mock()
            view.count_idle = mock.Mock(side_effect=idle.get)
            placement = Placement(get_speed=speeds.get, rng=rng)
            for name in speeds:
                placement.add_idle(name)
            running = []
            for _ in range(4000):
                running.append(placement.choose(view, ()))
                idle[running[-1]] -= 1
                if len(running) > 6 * count:
                    ended = running.pop(rng.randrange(len(running)))
                    idle[ended] += 1
                    placement.add_idle(ended)
            lookups[count] = view.count_idle.call_count / 4000
        self.assertLess(lookups[1400], 2 * lookups[24])

    def test_speed_estimate_does_not_depend_on_the_kinds_a_target_gets(self):
        targets = TargetSelector()
        rng = random.Random(3)
        for step in range(4000):
            name, speed = rng.choice((("slow", 0.5), ("fast", 2.0)))
            is_long = rng.random() < (0.9 if name == "fast" else 0.1)
            run_s = rng.lognormvariate(0, 0.5) * (10 if is_long else 1) / speed
            kind = "long" if is_long else "short"
            targets.speeds.observe_run(name, "s", kind, run_s, step / 100)
        # The mean over all kinds would rate the fast target as the slower one.
        ratio = targets.speeds.get_speed("fast") / targets.speeds.get_speed("slow")
        self.assertGreater(ratio, 2.0)
