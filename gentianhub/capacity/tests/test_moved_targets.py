"""Targets whose renewal or start is lost with a connection that is closed."""

import unittest

from gentianhub.capacity import events as ev
from gentianhub.capacity.tests.builders import (
    SchedulerDriver,
    build_request,
    build_target,
    find_renewals,
    find_starts,
    find_stops,
)


class TestLostAnswers(unittest.TestCase):
    def test_a_target_that_moves_gets_a_renewal_at_its_new_address(self):
        """The pending one ends with its connection, and no other one followed: the
        target was used, and nothing that ended on it was ever noticed."""
        driver = SchedulerDriver([build_target("t1")])
        driver.now_s = 1.0
        effects = driver.list_targets(build_target("t1", port=8001))
        self.assertEqual([8001], [x.target.port for x in find_renewals(effects)])

    def test_a_start_without_any_answer_is_cleared_up(self):
        """It held its task and its capacity until the caller's deadline. An answer is
        lost if the owner's mailbox is full, or if the connection is replaced."""
        driver = SchedulerDriver([build_target("t1")])
        (start,) = find_starts(driver.feed(build_request("a", deadline_in_s=30.0)))
        driver.effects.clear()
        while driver.now_s < 5.0:
            driver.now_s += 0.05
            driver.feed(ev.Tick())
            driver.report(start.target.name)
        self.assertTrue(find_stops(driver.effects) or find_starts(driver.effects))


if __name__ == "__main__":
    unittest.main()
