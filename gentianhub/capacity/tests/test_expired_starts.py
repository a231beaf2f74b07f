"""Tests of what an owner's log tells about jobs that it ends before they start."""

import unittest

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity.tests.builders import (
    SchedulerDriver,
    build_request,
    build_step,
    build_target,
    find_ends,
    find_starts,
)


class TestExpiredStarts(unittest.TestCase):
    """Two targets, one of which is full."""

    def setUp(self):
        self.driver = SchedulerDriver([build_target("t1", 27), build_target("t2", 27)])
        (start,) = find_starts(self.driver.feed(build_request("running")))
        self.driver.answer(start)

    def test_the_log_tells_what_a_refusal_is_based_on(self):
        """Refusals of an owner with idle targets could not be told from those of a
        full one, nor which run time it had learned."""
        request = build_request("late", build_step(count=3), deadline_in_s=0.06)
        effects = self.driver.feed(request)
        (line,) = [e for e in effects if isinstance(e, fx.LogDecision)]
        self.assertEqual("start too late", line.decision)
        self.assertEqual("late/0/0", line.subject)
        self.assertEqual(
            {
                "cell": "olten/0of1",
                "left_s": 0.06,
                "expected_s": 0.1,
                "declared_s": 0.1,
                "usable_targets": 2,
                "idle_targets": 1,
            },
            line.inputs,
        )
        (message,) = find_ends(effects)
        self.assertIs(ev.TaskEnd.EXPIRED, message.end)


if __name__ == "__main__":
    unittest.main()
