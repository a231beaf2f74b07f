"""Evacuated data centres: no new run there, and tasks run elsewhere or are refused."""

import unittest

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity.evacuations import (
    MAX_UNKNOWN_S,
    Evacuations,
    KnownEvacuations,
)
from gentianhub.capacity.submissions import OwnersChanged
from gentianhub.capacity.tests.builders import (
    SchedulerDriver,
    build_request,
    build_step,
    build_target,
    find_ends,
    find_renewals,
    find_starts,
)
from gentianhub.capacity.tests.test_front import (
    LOCAL_CELL,
    REMOTE_CELL,
    FrontTest,
    build_owner,
    find_requests,
    find_verdicts,
)

OLTEN = frozenset({"olten"})
BOTH = frozenset({"olten", "aarau"})


class TestKnownEvacuations(unittest.TestCase):
    def test_the_newest_state_wins_in_any_order(self):
        """A state from before the removal of a row would forbid starts forever."""
        known = KnownEvacuations()
        for version, names, expected in (
            (5, OLTEN, OLTEN),
            (9, frozenset(), frozenset()),
            (5, OLTEN, frozenset()),
            (0, OLTEN, frozenset()),
            (10, BOTH, BOTH),
        ):
            known.adopt(Evacuations(version=version, data_centres=names))
            self.assertEqual(expected, known.current.data_centres)


class TestOwner(unittest.TestCase):
    """The owner of a cell with one target, on which two tasks fit."""

    def setUp(self):
        self.known = KnownEvacuations()
        self.driver = SchedulerDriver([build_target("t1")], evacuations=self.known)

    def evacuate(self, names=OLTEN) -> list:
        self.driver.now_s += 0.05
        version = self.known.current.version + 1
        self.known.adopt(Evacuations(version=version, data_centres=names))
        return self.driver.feed(ev.Tick())

    def run_tasks(self, job: str = "a", **options) -> list:
        self.driver.now_s += 0.01
        return self.driver.feed(build_request(job, **options))

    def test_waiting_tasks_are_handed_back_and_running_ones_go_on(self):
        """Callers waited for a data centre in which nothing starts any more."""
        starts = find_starts(self.run_tasks(step=build_step(count=3)))
        (ended,) = find_ends(self.evacuate())
        self.assertEqual((ev.TaskEnd.EVACUATED, (2,)), (ended.end, ended.indexes))
        self.assertTrue(find_renewals(self.driver.report("t1")))
        (done,) = find_ends(self.driver.end(starts[0], 1))
        self.assertEqual((ev.TaskEnd.DONE, (0,)), (done.end, done.indexes))
        self.assertEqual([], find_starts(self.driver.effects)[2:])

    def test_later_requests_are_declined_or_handed_back_at_once(self):
        """A front host that does not know yet would keep its callers waiting."""
        self.evacuate()
        for may_decline, end in (
            (True, ev.TaskEnd.DECLINED),
            (False, ev.TaskEnd.EVACUATED),
        ):
            effects = self.run_tasks(f"a{may_decline}", may_decline=may_decline)
            (ended,) = find_ends(effects)
            self.assertEqual((end, False), (ended.end, ended.has_started))
        self.assertEqual([], find_starts(self.driver.effects))

    def test_a_task_whose_run_ends_early_is_not_repeated_there(self):
        """A failed one is not handed back: its failures would be counted anew."""
        for run, (how, end) in enumerate(
            (
                (ev.RunEnd.FAILED, ev.TaskEnd.EXPIRED),
                (ev.RunEnd.LEASE_EXPIRED, ev.TaskEnd.EVACUATED),
            )
        ):
            self.evacuate(frozenset())
            (start,) = find_starts(self.run_tasks(f"a{run}"))
            self.evacuate()
            (ended,) = find_ends(self.driver.end(start, run + 1, how))
            self.assertEqual((end, True), (ended.end, ended.has_started))

    def test_a_task_that_was_handed_back_never_starts_for_a_repeated_request(self):
        """It would run twice: its front host has sent it to another cell meanwhile."""
        self.evacuate()
        self.run_tasks()
        self.evacuate(frozenset())
        effects = self.run_tasks(is_repeat=True)
        self.assertEqual([], find_starts(effects))
        self.assertEqual([ev.TaskEnd.EVACUATED], [e.end for e in find_ends(effects)])

    def test_the_claim_shows_no_capacity_until_the_evacuation_ends(self):
        """Front hosts that know nothing of it would go on to send tasks."""
        for names, millicores in ((OLTEN, 0), (frozenset(), 64_000)):
            self.evacuate(names)
            claim = self.driver.scheduler.build_claim(self.driver.now_s)
            self.assertEqual(millicores, claim.free_millicores)
            self.assertEqual(millicores, claim.total_millicores)
        self.assertEqual(1, len(find_starts(self.run_tasks())))

    def test_a_new_owner_without_any_state_waits_for_one_for_a_bounded_time(self):
        """It would start tasks before its first reading of the store."""
        known = KnownEvacuations(started_s=0.0)
        self.driver = SchedulerDriver([build_target("t1")], evacuations=known)
        self.assertEqual([], find_starts(self.run_tasks(deadline_in_s=9.0, stretch=90)))
        self.driver.now_s = MAX_UNKNOWN_S
        self.assertEqual(1, len(find_starts(self.driver.feed(ev.Tick()))))

    def test_without_a_bound_hosts_tell_the_state_from_the_first_evacuation_on(self):
        """Each heartbeat would carry a state that nobody uses; a removed row has to be
        told to hosts that have heard of it."""
        known = KnownEvacuations(is_bounded=False)
        states = [(5, frozenset()), (6, OLTEN), (7, frozenset())]
        told = []
        for version, names in states:
            known.adopt(Evacuations(version=version, data_centres=names))
            told.append(known.announced.version)
        self.assertEqual([0, 6, 7], told)

    def test_without_a_bound_on_evacuations_the_first_start_does_not_wait(self):
        """A store that is away would delay deployments that know no evacuations."""
        known = KnownEvacuations(started_s=0.0, is_bounded=False)
        self.driver = SchedulerDriver([build_target("t1")], evacuations=known)
        self.assertEqual(1, len(find_starts(self.run_tasks())))


class TestFrontHost(FrontTest):
    def setUp(self):
        super().setUp()
        self.owners = {
            LOCAL_CELL: build_owner(LOCAL_CELL, 500),
            REMOTE_CELL: build_owner(REMOTE_CELL, 300),
        }
        self.feed(OwnersChanged(owners=self.owners))

    def evacuate(self, names=OLTEN) -> None:
        known = self.job_registry.evacuations
        version = known.current.version + 1
        known.adopt(Evacuations(version=version, data_centres=names))

    def hand_back(self, **options) -> list:
        return self.end((0,), ev.TaskEnd.EVACUATED, **{"has_started": False} | options)

    def test_no_task_goes_to_an_evacuated_data_centre(self):
        self.evacuate()
        (request,) = find_requests(self.submit())
        self.assertEqual(REMOTE_CELL, request.cell)

    def test_a_binding_task_that_is_handed_back_goes_elsewhere(self):
        """Its job was answered as not run although another data centre has room."""
        self.job_registry.loads.mark_full(LOCAL_CELL)
        self.job_registry.loads.mark_full(REMOTE_CELL)
        (request,) = find_requests(self.submit())
        self.assertEqual((LOCAL_CELL, False), (request.cell, request.may_decline))
        (request,) = find_requests(self.hand_back())
        self.assertEqual(REMOTE_CELL, request.cell)
        self.assertEqual([], self.hand_back())

    def test_no_task_of_the_job_goes_back_to_the_cell_that_handed_it_back(self):
        """A late report about the first request would concern the second one."""
        self.submit()
        self.hand_back()
        declined = self.end((0,), ev.TaskEnd.DECLINED, cell=REMOTE_CELL)
        cells = {request.cell for request in find_requests(declined)}
        self.assertEqual({REMOTE_CELL}, cells)

    def test_jobs_are_refused_at_once_if_all_data_centres_are_evacuated(self):
        self.submit()
        self.evacuate(BOTH)
        self.assertEqual([fx.JobVerdict.NOT_RUN], find_verdicts(self.hand_back()))
        refused = self.submit(job_id="b")
        self.assertEqual([fx.JobVerdict.NOT_RUN], find_verdicts(refused))
        self.assertEqual([], find_requests(refused))


if __name__ == "__main__":
    unittest.main()
