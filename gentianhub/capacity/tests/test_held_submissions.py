"""Two submissions of a job in one cell, of which the earlier order arrives later."""

import unittest

from gentianhub.capacity import events as ev
from gentianhub.capacity.tests.builders import (
    CELL,
    SchedulerDriver,
    build_host,
    build_request,
    build_target,
    find_starts,
    find_stops,
)

EARLIER_HOST, LATER_HOST = build_host("f1", "c"), build_host("f2", "d")
JOB = "a"
AGE_S = 0.05


class TestHeldSubmission(unittest.TestCase):
    """Guards against an earlier submission that ends a later one.

    Its order waited in a socket of the owner, whose machine was suspended, and was
    held. Once its front host, which has not noticed that the caller is gone, confirms
    the job, its age counts from the confirmation, not from the heartbeat that the order
    names.
    """

    def test_an_order_that_was_under_way_for_long_does_not_become_the_later_one(self):
        for delay_s in (1.4, 1.6):
            with self.subTest(delay_s=delay_s):
                self.play(delay_s)

    def play(self, delay_s: float) -> None:
        driver = SchedulerDriver([build_target("t0"), build_target("t1")])
        driver.confirms_jobs = False
        sent_s = 10.0

        def feed(event, front_host, confirmed_s: float) -> list:
            events = driver.scheduler.handle(
                event, driver.now_s, front_host, confirmed_s
            )
            return list(events)

        def submit(front_host, confirmed_s: float) -> list:
            request = build_request(JOB, age_s=AGE_S, deadline_in_s=30.0)
            return feed(request, front_host, confirmed_s)

        driver.now_s = sent_s + 1.35
        (start,) = find_starts(submit(LATER_HOST, driver.now_s - 0.05))
        driver.answer(start)
        driver.now_s = sent_s + delay_s
        submit(EARLIER_HOST, sent_s - 0.05)
        driver.now_s += 0.02
        open_jobs = ev.OpenJobs(cell=CELL, jobs=(JOB,))
        effects = feed(open_jobs, EARLIER_HOST, driver.now_s - 0.01)
        self.assertEqual([], find_stops(effects))


if __name__ == "__main__":
    unittest.main()
