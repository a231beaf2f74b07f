"""Stops that a target leaves unanswered while its lease is renewed for its other runs.

A caller that has left submits its job again after 1.3 s, at any host. By then no run of
its first submission may be alive.
"""

import unittest

from gentianhub.capacity import events as ev
from gentianhub.capacity.answer_times import MIN_TIMEOUT_S
from gentianhub.capacity.target_tracker import STOP_RETRY_S
from gentianhub.capacity.tests.builders import (
    CELL,
    SchedulerDriver,
    build_request,
    build_target,
    find_starts,
    find_stops,
)


class TestRetries(unittest.TestCase):
    """Guards against runs that go on because a single stop is lost."""

    def setUp(self):
        self.driver = SchedulerDriver([build_target("t1")])
        (self.start,) = find_starts(self.driver.feed(build_request("a")))
        self.driver.answer(self.start)
        cancel = ev.CancelTasks(cell=CELL, job="a")
        (self.stop,) = find_stops(self.driver.feed(cancel))

    def miss_answer(self) -> list:
        return find_stops(
            self.driver.feed(
                ev.StopAnswered(
                    target="t1",
                    key=self.stop.key,
                    run=self.stop.run,
                    is_confirmed=False,
                )
            )
        )

    def test_a_stop_whose_answer_is_overdue_is_sent_again_at_once(self):
        """It was sent again only 0.15 to 0.2 s after the first one."""
        self.driver.now_s += MIN_TIMEOUT_S
        self.assertEqual([self.stop], self.miss_answer())

    def test_a_stop_that_fails_immediately_is_sent_again_later(self):
        """Otherwise a target that refuses connections is called without a pause."""
        self.driver.now_s += MIN_TIMEOUT_S / 10
        self.assertEqual([], self.miss_answer())
        self.driver.now_s += STOP_RETRY_S
        self.assertEqual([self.stop], find_stops(self.driver.feed(ev.Tick())))

    def test_two_answers_that_are_overdue_together_send_one_stop(self):
        """Otherwise each stop that is sent beside another one doubles their number."""
        self.driver.now_s += MIN_TIMEOUT_S
        self.assertEqual([self.stop], self.miss_answer() + self.miss_answer())

    def test_a_stop_is_sent_again_while_its_target_is_silent(self):
        """A target is taken as silent after two lost answers, and renewed later."""
        self.driver.feed(ev.TargetSilent(target="t1", reason="time-out"))
        self.driver.now_s += STOP_RETRY_S + 0.01
        self.assertEqual([self.stop], find_stops(self.driver.feed(ev.Tick())))

    def test_a_run_that_has_ended_is_not_stopped_again(self):
        self.driver.end(self.start, 1, ev.RunEnd.STOPPED)
        self.driver.now_s += STOP_RETRY_S + 0.01
        self.assertEqual([], self.miss_answer())
        self.assertEqual([], find_stops(self.driver.feed(ev.Tick())))


if __name__ == "__main__":
    unittest.main()
