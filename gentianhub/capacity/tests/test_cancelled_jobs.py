"""The record of cancelled jobs, and what an owner and a front host do with it."""

import unittest

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity.cancelled_jobs import (
    CANCEL_RETENTION_S,
    CancelledJobs,
    Recording,
)
from gentianhub.capacity.kept_answers import ANSWER_RETENTION_S, KeptAnswers
from gentianhub.capacity.scheduler import CellScheduler
from gentianhub.capacity.tests.builders import (
    CELL,
    FRONT_HOST,
    TERM,
    build_request,
    build_target,
)


class TestRecord(unittest.TestCase):
    """Guards against cancels that are forgotten too early, and unbounded growth."""

    def setUp(self):
        self.record = CancelledJobs(limit=2)

    def test_a_cancel_holds_for_the_retention_time(self):
        self.record.record("a", 1.0)
        self.assertTrue(self.record.holds("a", 1.0 + CANCEL_RETENTION_S - 0.01))
        self.assertFalse(self.record.holds("a", 1.0 + CANCEL_RETENTION_S))

    def test_a_repeated_cancel_counts_from_its_own_time(self):
        self.record.record("a", 1.0)
        self.assertIs(Recording.KNOWN, self.record.record("a", 9.0))
        self.assertTrue(self.record.holds("a", 18.0))

    def test_the_age_of_an_entry_of_another_host_counts(self):
        self.record.record("a", 9.0, age_s=8.0)
        self.assertFalse(self.record.holds("a", 11.0))
        self.assertIs(Recording.KNOWN, self.record.record("a", 9.5, age_s=9.0))
        self.assertFalse(self.record.holds("a", 11.0))

    def test_a_full_record_refuses_further_jobs_until_the_oldest_has_expired(self):
        for job in "ab":
            self.assertIs(Recording.NEW, self.record.record(job, 1.0))
        self.assertIs(Recording.FULL, self.record.record("c", 2.0))
        self.assertIs(Recording.KNOWN, self.record.record("b", 2.0))
        self.assertTrue(self.record.holds("a", 2.0))
        later_s = 1.0 + CANCEL_RETENTION_S
        self.assertIs(Recording.NEW, self.record.record("c", later_s))
        self.assertEqual(2, len(self.record))

    def test_entries_are_listed_with_their_age(self):
        self.record.record("a", 1.0)
        self.record.record("b", 3.0)
        listed = [(entry.job, entry.age_s) for entry in self.record.list_entries(4.0)]
        self.assertEqual([("a", 3.0), ("b", 1.0)], listed)

    def test_old_and_known_entries_of_other_hosts_are_of_no_use(self):
        self.record.record("a", 1.0)
        old = ev.CancelledJob(job="b", age_s=CANCEL_RETENTION_S)
        self.assertTrue(self.record.covers(old, 1.0))
        self.assertTrue(self.record.covers(ev.CancelledJob(job="a", age_s=0.0), 1.0))
        self.assertFalse(self.record.covers(ev.CancelledJob(job="b", age_s=9.0), 1.0))


class TestAnswers(unittest.TestCase):
    """Guards against another answer than the first one, or another run."""

    def test_a_cancelled_job_is_answered_as_cancelled(self):
        answers = KeptAnswers()
        answers.cancelled_jobs.record("a", 1.0)
        self.assertIs(fx.JobVerdict.CANCELLED, answers.find("a", 2.0))
        self.assertIsNone(answers.find("b", 2.0))

    def test_a_job_that_was_completed_before_its_cancel_stays_completed(self):
        answers = KeptAnswers()
        answers.store("a", fx.JobVerdict.COMPLETED, 1.0)
        answers.cancelled_jobs.record("a", 2.0)
        self.assertIs(fx.JobVerdict.COMPLETED, answers.find("a", 3.0))
        later_s = 1.0 + ANSWER_RETENTION_S
        self.assertIs(fx.JobVerdict.CANCELLED, answers.find("a", later_s))


class TestOwner(unittest.TestCase):
    """Guards against tasks that go on because their front host does not cancel them."""

    def setUp(self):
        self.scheduler = CellScheduler(cell=CELL, term=TERM, owner_since_s=0.0)
        targets = (build_target("t1"),)
        self.handle(ev.TargetsListed(targets=targets), 0.0)
        report = ev.RunsReported(
            target="t1", incarnation=1, sent_s=0.0, running=(), ended=()
        )
        self.handle(report, 0.0)

    def handle(self, event, now_s: float, confirmed_s: float | None = None) -> list:
        effects = self.scheduler.handle(event, now_s, FRONT_HOST, confirmed_s)
        return list(effects)

    def select(self, effects: list, kind: type) -> list:
        return [effect for effect in effects if isinstance(effect, kind)]

    def test_a_running_task_is_stopped(self):
        effects = self.handle(build_request("a"), 1.0)
        [start] = self.select(effects, fx.StartRun)
        effects = self.handle(ev.JobCancelled(job="a"), 1.1)
        [stop] = self.select(effects, fx.StopRun)
        self.assertEqual(start.key, stop.key)

    def test_a_waiting_task_is_not_started(self):
        for job in "abc":
            self.handle(build_request(job), 1.0)
        waiting = len(list(self.scheduler.starts.waiting.iterate()))
        self.assertEqual(1, waiting)
        self.handle(ev.JobCancelled(job="c"), 1.1)
        effects = self.handle(ev.JobCancelled(job="a"), 1.1)
        self.assertEqual([], self.select(effects, fx.StartRun))
        self.assertIsNone(self.scheduler.find_front_host("c"))

    def test_an_order_that_is_held_for_its_confirmation_is_dropped(self):
        self.handle(build_request("a"), 1.0, confirmed_s=float("-inf"))
        self.handle(ev.JobCancelled(job="a"), 1.1)
        effects = self.handle(ev.OpenJobs(cell=CELL, jobs=("a",)), 1.2)
        self.assertEqual([], self.select(effects, fx.StartRun))


if __name__ == "__main__":
    unittest.main()
