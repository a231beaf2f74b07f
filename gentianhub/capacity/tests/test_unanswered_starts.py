"""Load pattern: targets leave one in twenty commands unanswered and execute them late.

A job of eight short tasks is then more likely than not to have a command without an
answer. With a fixed time-out of 0.12 s, longer than the slack of such a job, nearly all
of these jobs missed their objective while most targets were idle.
"""

import itertools
import unittest

from gentianhub.capacity.answer_times import (
    MAX_TIMEOUT_S,
    MIN_TIMEOUT_S,
    AnswerTimes,
)
from gentianhub.capacity.tests.lossy_targets import ANSWER_S, LossyTargets


class TestUnansweredStarts(unittest.TestCase):
    """Guards against objectives missed while the owner waits for lost answers."""

    def test_most_jobs_with_an_unanswered_command_meet_their_objective(self):
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                targets = LossyTargets(seed, 24, unanswered_probability=0.055)
                targets.submit_jobs(0.0, 4.5, per_s=33, tasks=8)
                targets.run(until_s=7.0)
                self.assertEqual(set(), targets.expired)
                self.assertEqual(len(targets.submitted_s), len(targets.finished_s))
                self.assertGreaterEqual(targets.compute_fraction_in_time(), 0.9)


class TestAnswerTimes(unittest.TestCase):
    """Guards against searches for starts whose answers are only slow."""

    def test_the_time_out_is_the_longest_without_an_answer(self):
        self.assertEqual(MAX_TIMEOUT_S, AnswerTimes().timeout_s)

    def test_quick_answers_shorten_the_time_out_to_its_minimum(self):
        times = AnswerTimes()
        for _ in range(50):
            times.record_answer(ANSWER_S)
        self.assertEqual(MIN_TIMEOUT_S, times.timeout_s)

    def test_slow_answers_stay_below_the_time_out(self):
        times = AnswerTimes()
        for elapsed_s in itertools.islice(itertools.cycle((0.03, 0.05)), 100):
            self.assertLess(elapsed_s, times.timeout_s)
            times.record_answer(elapsed_s)

    def test_time_outs_in_a_row_back_off_to_the_limit(self):
        """Otherwise an owner that pauses would search for each of its starts."""
        times = AnswerTimes()
        for _ in range(50):
            times.record_answer(ANSWER_S)
        times.record_timeout()
        self.assertEqual(2 * MIN_TIMEOUT_S, times.timeout_s)
        times.record_timeout()
        times.record_timeout()
        self.assertEqual(MAX_TIMEOUT_S, times.timeout_s)
        times.record_answer(ANSWER_S)
        self.assertEqual(MIN_TIMEOUT_S, times.timeout_s)

    def test_a_suspension_within_an_answer_counts_as_the_longest_time_out(self):
        """After one of 2.8 s the time-out stayed at its limit for 25 answers."""
        suspended, slow = AnswerTimes(), AnswerTimes()
        for times, elapsed_s in ((suspended, 2.8), (slow, MAX_TIMEOUT_S)):
            for _ in range(50):
                times.record_answer(ANSWER_S)
            times.record_answer(elapsed_s)
            times.record_answer(ANSWER_S)
        self.assertEqual(slow.timeout_s, suspended.timeout_s)
        self.assertLess(suspended.timeout_s, MAX_TIMEOUT_S)
