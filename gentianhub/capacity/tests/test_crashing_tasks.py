"""Tasks that crash each target that starts them, and the tasks that run beside them."""

import unittest

from gentianhub.capacity import events as ev
from gentianhub.capacity.tests.builders import (
    SchedulerDriver,
    build_host,
    build_key,
    build_request,
    build_step,
    build_target,
    find_ends,
    find_starts,
)
from gentianhub.capacity.tests.crashing_targets import CrashingTargets

# The first crash leaves the neighbours suspect as well; the second one decides.
MAX_CRASHES = 2
OTHER_FRONT_HOST = build_host("e2", "b")


class TestCrashingTask(unittest.TestCase):
    """Guards against one task that crashes target after target."""

    def setUp(self):
        self.cell = CrashingTargets(targets=8, deadly={build_key("deadly")})
        self.cell.submit("deadly", 1)

    def find_ends(self) -> list[ev.TaskEnd]:
        return self.cell.ends[build_key("deadly")]

    def test_a_task_that_crashes_its_targets_is_given_up(self):
        """It was started again after each lease, up to its deadline."""
        self.cell.run(until_s=30.0)
        self.assertLessEqual(len(self.cell.crashes), MAX_CRASHES)

    def test_the_job_is_ended_as_soon_as_its_task_is_not_started_again(self):
        self.cell.run(until_s=2.5)
        self.assertEqual([ev.TaskEnd.LOST], self.find_ends())

    def test_the_job_fails_once_both_targets_have_restarted(self):
        """A silent target may be cut off, which is not the fault of its tasks."""
        self.cell.run(until_s=3.0)
        self.cell.submit("deadly", 1, OTHER_FRONT_HOST)
        self.assertIs(ev.TaskEnd.LOST, self.find_ends()[-1])
        self.cell.run(until_s=5.0)
        self.cell.submit("deadly", 1, OTHER_FRONT_HOST)
        self.assertIs(ev.TaskEnd.CRASHED, self.find_ends()[-1])
        self.assertEqual(MAX_CRASHES, len(self.cell.crashes))

    def test_no_task_of_the_job_starts_when_it_is_submitted_again(self):
        self.cell.run(until_s=5.0)
        self.cell.executed.clear()
        self.cell.submit("deadly", 3, OTHER_FRONT_HOST)
        self.cell.run(until_s=6.0)
        self.assertEqual(set(), self.cell.executed)

    def test_a_job_whose_targets_were_only_cut_off_runs_when_it_is_submitted_again(
        self,
    ):
        """The refusal was kept as a cancelled job, which was refused as not run."""
        self.cell.run(until_s=2.5)
        self.cell.submit("deadly", 1, OTHER_FRONT_HOST)
        losses = self.cell.driver.scheduler.losses
        for loss in losses.find_losses(build_key("deadly")):
            list(losses.resolve_by_report(loss.target, loss.incarnation, 2.6, 2.6))
        self.cell.executed.clear()
        self.cell.submit("deadly", 1, OTHER_FRONT_HOST)
        self.cell.run(until_s=2.8)
        self.assertEqual({"deadly"}, self.cell.executed)


class TestNeighbours(unittest.TestCase):
    """Guards against innocent tasks that fail because of a task beside them."""

    def test_the_tasks_beside_deadly_ones_are_done_under_load(self):
        deadly = {build_key(f"deadly-{number}") for number in range(5)}
        cell = CrashingTargets(targets=12, deadly=deadly)
        for number, key in enumerate(sorted(deadly)):
            cell.schedule(0.5 + number / 2, cell.submit, key.job, 1)
        cell.submit_jobs(start_s=0.0, end_s=8.0, per_s=40.0, tasks=4)
        cell.run(until_s=20.0)
        self.assertLessEqual(len(cell.crashes), MAX_CRASHES * len(deadly))
        self.assertGreater(len(cell.losses), len(cell.crashes))
        innocent = {key: ends for key, ends in cell.ends.items() if key not in deadly}
        self.assertEqual(4 * 320, len(innocent))
        self.assertEqual({(ev.TaskEnd.DONE,)}, set(map(tuple, innocent.values())))


class TestSuspects(unittest.TestCase):
    """Guards against suspects that share a target or take all of them."""

    def lose_tasks(self, targets: int) -> SchedulerDriver:
        """Fill all targets, then lose half of them and free the others."""
        listed = [build_target(f"t{n}", port=8000 + n) for n in range(targets)]
        driver = SchedulerDriver(listed)
        request = build_request(
            "a", build_step(count=2 * targets), objective_s=10.0, deadline_in_s=30.0
        )
        starts = find_starts(driver.feed(request))
        for start in starts:
            driver.answer(start)
        for target in listed[: targets // 2]:
            driver.feed(ev.TargetSilent(target=target.name, reason="refused"))
        for target in listed[targets // 2 :]:
            own = [start for start in starts if start.target.name == target.name]
            ended = [
                ev.EndReport(number=n, key=s.key, run=s.run, end=ev.RunEnd.DONE)
                for n, s in enumerate(own, start=1)
            ]
            driver.report(target.name, ended=ended)
        driver.now_s += 1.0
        driver.effects.clear()
        return driver

    def test_a_suspect_shares_its_target_with_no_other_task(self):
        driver = self.lose_tasks(targets=2)
        (start,) = find_starts(driver.feed(ev.Tick()))
        driver.answer(start)
        self.assertEqual([], find_starts(driver.feed(build_request("b"))))

    def test_a_target_is_kept_free_for_a_suspect(self):
        """Under load, no target would ever be idle."""
        driver = self.lose_tasks(targets=2)
        (running,) = find_starts(driver.feed(self.build_other_request("b")))
        driver.answer(running)
        driver.feed(ev.Tick())
        self.assertEqual([], find_starts(driver.feed(self.build_other_request("c"))))
        ended = ev.EndReport(
            number=9, key=running.key, run=running.run, end=ev.RunEnd.DONE
        )
        (start,) = find_starts(driver.report(running.target.name, ended=[ended]))
        self.assertEqual("a", start.key.job)

    def test_no_target_without_the_required_label_is_kept_free(self):
        """It would stay idle for as long as the suspect waits."""
        labelled = build_target("t0", cores=32, labels=("b",))
        driver = SchedulerDriver([labelled, build_target("t1", port=8001)])
        request = build_request(
            "a", build_step(required_label="b"), objective_s=10.0, deadline_in_s=30.0
        )
        (start,) = find_starts(driver.feed(request))
        (running,) = find_starts(driver.feed(build_request("b")))
        self.assertEqual(("t0", "t1"), (start.target.name, running.target.name))
        driver.feed(ev.TargetSilent(target="t0", reason="refused"))
        driver.now_s += 1.0
        driver.feed(ev.Tick())
        starts = find_starts(driver.feed(self.build_other_request("c")))
        self.assertEqual(["t1"], [start.target.name for start in starts])

    def build_other_request(self, job: str) -> ev.RunTasks:
        return build_request(job, objective_s=10.0, deadline_in_s=30.0)

    def test_suspects_leave_most_targets_to_other_tasks(self):
        driver = self.lose_tasks(targets=16)
        self.assertEqual(4, len(find_starts(driver.feed(ev.Tick()))))
        others = driver.feed(build_request("b", build_step(count=8)))
        self.assertEqual(8, len(find_starts(others)))

    def test_a_task_of_a_target_that_was_only_cut_off_is_no_suspect(self):
        driver = self.lose_tasks(targets=2)
        driver.feed(ev.Tick())
        driver.report("t0")
        key = build_key("a", 1)
        self.assertEqual([], driver.scheduler.losses.find_losses(key))


class TestCallers(unittest.TestCase):
    """Guards against callers that are held although their job is known to be lost."""

    def refuse(self, **options) -> list[ev.TasksEnded]:
        """Start a job of two tasks, let its target refuse connections."""
        driver = SchedulerDriver([build_target("t1")])
        for start in find_starts(driver.feed(build_request("a", **options))):
            driver.answer(start)
        refused = ev.TargetSilent(target="t1", reason="refused", is_refused=True)
        return find_ends(driver.feed(refused))

    def test_a_job_that_cannot_be_repeated_in_time_ends_at_once(self):
        """Its caller was held for a lease, 0.87 s, and told that there was no room."""
        (ended,) = self.refuse()
        self.assertEqual((ev.TaskEnd.LOST, True), (ended.end, ended.has_started))

    def test_a_job_that_can_be_repeated_in_time_goes_on(self):
        self.assertEqual([], self.refuse(objective_s=10.0, deadline_in_s=30.0))

    def test_a_job_on_a_target_that_only_does_not_answer_goes_on(self):
        driver = SchedulerDriver([build_target("t1")])
        driver.feed(build_request("a"))
        silent = ev.TargetSilent(target="t1", reason="time-out")
        self.assertEqual([], find_ends(driver.feed(silent)))


class TestTakeover(unittest.TestCase):
    """Guards against losses that the death of an owner hides."""

    def test_a_repeated_task_may_have_run_on_a_target_that_never_answered(self):
        driver = SchedulerDriver()
        driver.list_targets(build_target("t1"), build_target("t2", port=8001))
        driver.report("t2")
        request = build_request("a", is_repeat=True, objective_s=10.0)
        driver.feed(request)
        driver.feed(ev.TargetSilent(target="t1", reason="refused"))
        driver.now_s += 1.0
        (start,) = find_starts(driver.feed(ev.Tick()))
        self.assertTrue(start.inputs["exclusive"])
        (loss,) = driver.scheduler.losses.find_losses(start.key)
        self.assertEqual(("t1", False), (loss.target, loss.is_alone))
        self.assertEqual([], find_ends(driver.effects))


if __name__ == "__main__":
    unittest.main()
