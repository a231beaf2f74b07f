"""Reports of ended tasks that do not arrive, between an owner and a front host.

A report is lost if the owner has no link to the front host, or if the link closes while
it is queued. The front host repeats its open tasks once it has a new link.
"""

import unittest

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity.front import (
    CONFIRMATION_TIMEOUT_S,
    OWNERLESS_TIMEOUT_S,
    FrontJobRegistry,
)
from gentianhub.capacity.front_requests import END_RETENTION_S
from gentianhub.capacity.jobs import CapacityJob
from gentianhub.capacity.leases import HOST_SILENCE_TIMEOUT_S
from gentianhub.capacity.ownership import CellOwner
from gentianhub.capacity.submissions import OwnersChanged, SubmitCapacityJob
from gentianhub.capacity.tests.builders import (
    CELL,
    FRONT_HOST,
    TERM,
    SchedulerDriver,
    build_host,
    build_step,
    build_target,
    find_ends,
    find_starts,
)
from gentianhub.capacity.tests.test_front import ROUTE, find_answers, find_requests

OWNERS = {
    CELL: CellOwner(
        owner=build_host("e2", "b"),
        claim=ev.CellClaim(
            cell=CELL, term=TERM, free_millicores=64_000, total_millicores=64_000
        ),
    )
}
TICK_S = 0.05


class TestLostEnds(unittest.TestCase):
    """A job of one task has been started; the report of its end is lost."""

    step = build_step()

    def setUp(self):
        self.owner = SchedulerDriver([build_target("t1")])
        self.front = FrontJobRegistry(data_centre="olten")
        self.now_s = 0.0
        self.feed_front(OwnersChanged(owners=OWNERS))
        job = CapacityJob(payload="text", steps=(self.step,))
        requests = find_requests(
            self.feed_front(
                SubmitCapacityJob(
                    job_id="a", job=job, route=ROUTE, wait_s=30.0, reply_to="a"
                )
            )
        )
        ((self.start,),) = [find_starts(self.feed_owner(x)) for x in requests]
        self.owner.answer(self.start)
        report = ev.RunReport(key=self.start.key, run=self.start.run, percent=50)
        self.running = (report,)

    def end_run(self, end: ev.RunEnd = ev.RunEnd.DONE) -> None:
        self.owner.end(self.start, 1, end)
        self.running = ()

    def feed_front(self, event) -> list:
        return list(self.front.handle(event, self.now_s))

    def feed_owner(self, event) -> list:
        self.owner.now_s = self.now_s
        return self.owner.feed(event)

    def tick_owner(self) -> None:
        self.now_s += TICK_S
        self.feed_owner(ev.Tick())
        self.owner.report("t1", running=self.running)

    def advance(self, seconds: float) -> list:
        """Advance both hosts; return what the front host answered meanwhile."""
        until_s = self.now_s + seconds
        effects = []
        while self.now_s < until_s:
            self.tick_owner()
            effects += self.feed_front(ev.Tick())
        return find_answers(effects)

    def open_link(self) -> list:
        """Repeat the open tasks; return what the front host answers."""
        effects = []
        for repeat in list(self.front.resend_requests(CELL, self.now_s)):
            for ended in find_ends(self.feed_owner(repeat.message)):
                effects += self.feed_front(ended)
        return find_answers(effects)

    def check_repeated_end(self, end: ev.RunEnd, verdict: fx.JobVerdict) -> None:
        self.end_run(end)
        self.assertEqual([], self.advance(0.5))
        (answer,) = self.open_link()
        self.assertIs(verdict, answer.verdict)

    def test_an_end_is_reported_again_over_a_new_link(self):
        """The caller would wait for it until its deadline."""
        self.check_repeated_end(ev.RunEnd.DONE, fx.JobVerdict.COMPLETED)

    def test_the_end_of_tasks_that_were_given_up_is_reported_again(self):
        """An owner that took the front host as lost has cancelled its job."""
        self.feed_owner(ev.FrontLost(front_host=FRONT_HOST))
        self.advance(0.5)
        (answer,) = self.open_link()
        self.assertIs(fx.JobVerdict.INTERRUPTED, answer.verdict)

    def test_a_job_ends_without_a_new_link(self):
        """Its owner is then silent, so that the cell has no owner."""
        self.end_run()
        self.assertEqual([], self.advance(HOST_SILENCE_TIMEOUT_S))
        self.feed_front(OwnersChanged(owners={}))
        bound_s = OWNERLESS_TIMEOUT_S + CONFIRMATION_TIMEOUT_S + 4 * TICK_S
        (answer,) = self.advance(bound_s)
        self.assertIs(fx.JobVerdict.INTERRUPTED, answer.verdict)

    def test_an_owner_keeps_ends_until_the_front_host_has_given_up(self):
        """A task whose end is forgotten would be run again by a repeated request."""
        given_up_s = (
            HOST_SILENCE_TIMEOUT_S + OWNERLESS_TIMEOUT_S + CONFIRMATION_TIMEOUT_S
        )
        self.assertGreater(END_RETENTION_S, given_up_s)


if __name__ == "__main__":
    unittest.main()
