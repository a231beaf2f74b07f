"""A front host that repeats its tasks after their owner has forgotten their ends.

The front host was frozen meanwhile, so that it has not given up the job.
"""

import unittest

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity.front import CONFIRMATION_TIMEOUT_S
from gentianhub.capacity.front_requests import END_RETENTION_S
from gentianhub.capacity.tests import test_lost_ends
from gentianhub.capacity.tests.builders import (
    CELL,
    TERM,
    build_step,
    find_ends,
    find_starts,
)
from gentianhub.capacity.tests.test_front import find_answers, find_requests


class TestForgottenEnds(unittest.TestCase):
    setUp = test_lost_ends.TestLostEnds.setUp
    feed_front = test_lost_ends.TestLostEnds.feed_front
    feed_owner = test_lost_ends.TestLostEnds.feed_owner
    tick_owner = test_lost_ends.TestLostEnds.tick_owner
    end_run = test_lost_ends.TestLostEnds.end_run
    step = test_lost_ends.TestLostEnds.step

    def forget(self) -> None:
        self.end_run()
        until_s = self.now_s + END_RETENTION_S + 1.0
        while self.now_s < until_s:
            self.tick_owner()

    def test_a_job_that_has_run_is_not_answered_as_not_run(self):
        """Its owner reported that it had started nothing."""
        self.forget()
        effects = list(self.front.resend_requests(CELL, self.now_s))
        verdicts = []
        while effects:
            verdicts += [answer.verdict for answer in find_answers(effects)]
            effects = [
                effect
                for request in find_requests(effects)
                for ended in find_ends(self.feed_owner(request))
                for effect in self.feed_front(ended)
            ]
        self.assertNotIn(fx.JobVerdict.NOT_RUN, verdicts)


class TestForgottenEndsOfLongTasks(TestForgottenEnds):
    step = build_step(estimate_s=2.0)

    def test_a_task_that_is_done_is_not_run_again(self):
        """It is not too late yet for another run."""
        self.forget()
        starts = []
        for repeat in list(self.front.resend_requests(CELL, self.now_s)):
            starts += find_starts(self.feed_owner(repeat.message))
        self.assertEqual([], starts)

    def test_its_caller_is_told_that_the_outcome_is_unknown(self):
        """It would wait until its deadline for tasks that nobody runs any more."""
        self.forget()
        list(self.front.resend_requests(CELL, self.now_s))
        self.now_s += CONFIRMATION_TIMEOUT_S + 0.05
        (answer,) = find_answers(self.feed_front(ev.Tick()))
        self.assertIs(fx.JobVerdict.INTERRUPTED, answer.verdict)

    def test_an_end_that_had_arrived_meanwhile_still_counts(self):
        self.forget()
        done = ev.TasksEnded(
            cell=CELL,
            term=TERM,
            job="a",
            step_number=0,
            indexes=(0,),
            end=ev.TaskEnd.DONE,
            has_started=True,
        )
        (answer,) = find_answers(self.feed_front(done))
        self.assertIs(fx.JobVerdict.COMPLETED, answer.verdict)


if __name__ == "__main__":
    unittest.main()
