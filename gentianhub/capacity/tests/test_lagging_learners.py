"""What an owner learns while it handles the answers of its targets late.

An owner that is a few tenths of a second behind is in touch with its targets all the
same: it learns run times a little too long, which is better than none.
"""

import unittest

from gentianhub.capacity import events as ev
from gentianhub.capacity.leases import RENEWAL_WAIT_S
from gentianhub.capacity.tests.builders import (
    SchedulerDriver,
    build_request,
    build_step,
    build_target,
    find_starts,
)

TARGET = "t0"
ROUTE = "swap"
DECLARED_S = 0.06
RUN_S = 1.0


class TestLaggingOwner(unittest.TestCase):
    """Guards against an owner that learns no run time while it is a little behind.

    It would start tasks that can't end in time, or refuse tasks that can, for as long
    as it is behind; a trial teaches it nothing either.
    """

    def play(self, lag_s: float, jobs: int) -> float:
        """Run jobs of one task each; return the expected run time, s.

        Each answer of the target is handled `lag_s` after it has arrived.
        """
        driver = SchedulerDriver([build_target(TARGET, 64)])
        target = driver.scheduler.targets[TARGET]
        ended = 0
        for number in range(jobs):
            step = build_step(cores=3, estimate_s=DECLARED_S)
            request = build_request(
                f"j{number}", step, objective_s=20.0, deadline_in_s=30.0
            )
            (start,) = find_starts(driver.feed(request))
            driver.now_s += lag_s
            driver.answer(start)
            end_s = driver.now_s - lag_s + RUN_S
            while target.runs:
                sent_s = driver.now_s
                has_ended = sent_s + RENEWAL_WAIT_S >= end_s
                answered_s = min(sent_s + RENEWAL_WAIT_S, max(sent_s, end_s))
                driver.now_s = answered_s + lag_s
                if has_ended:
                    ended += 1
                    done = ev.EndReport(
                        number=ended, key=start.key, run=start.run, end=ev.RunEnd.DONE
                    )
                    driver.report(TARGET, (), (done,), sent_s=sent_s)
                else:
                    row = ev.RunReport(
                        key=start.key,
                        run=start.run,
                        percent=int(100 * (answered_s - end_s + RUN_S) / RUN_S),
                    )
                    driver.report(TARGET, (row,), sent_s=sent_s)
        return driver.scheduler.estimates.predict(ROUTE, DECLARED_S)

    def test_run_times_are_learned_by_an_owner_that_is_behind(self):
        for lag_s in (0.0, 0.1, 0.15, 0.2, 0.3):
            with self.subTest(lag_s=lag_s):
                expected_s = self.play(lag_s, jobs=60)
                self.assertGreater(expected_s, RUN_S / 2)
                self.assertLess(expected_s, RUN_S + 2 * lag_s + 0.1)


if __name__ == "__main__":
    unittest.main()
