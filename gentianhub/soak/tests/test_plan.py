"""The schedule of faults is reproducible and contains every kind."""

import unittest
from typing import get_args

from gentianhub.soak.plan import (
    RESEND_DELAY_S,
    CutHost,
    DisconnectCallers,
    DisconnectHost,
    Fault,
    KillHost,
    LapseTargets,
    PauseHost,
    PlannedFault,
    RestartTarget,
    SilenceTarget,
    SuspendHost,
    ThrottleHost,
    find_data_centre,
    plan_faults,
)

HOSTS = ("e1", "e2")
TARGETS = ("t1", "t2", "t3")
DEPARTURES = {DisconnectHost, CutHost}
SUSPENSIONS = {SuspendHost, ThrottleHost, DisconnectCallers}
THREE_DATA_CENTRES = ("a-0", "a-1", "b-0", "b-1", "c-0", "c-1")
# Silence after which a host counts as lost.
LOSS_S = 0.6


def plan(seed: int, duration_s: float = 30.0, **options) -> list[PlannedFault]:
    return list(plan_faults(seed, duration_s, 0.5, HOSTS, TARGETS, **options))


class TestPlan(unittest.TestCase):
    """Guards against schedules that cannot be repeated or leave faults out."""

    def test_a_seed_reproduces_its_faults(self):
        """Without this, a failed seed could not serve as a regression test."""
        self.assertEqual(plan(3), plan(3))
        self.assertNotEqual(plan(3), plan(4))

    def test_every_fault_ends_within_the_run(self):
        self.assertTrue(all(p.start_s + p.fault_duration_s < 30.0 for p in plan(5)))

    def test_faults_overlap(self):
        planned = plan(1)
        pairs = zip(planned, planned[1:], strict=False)
        self.assertTrue(
            any(b.start_s < a.start_s + a.fault_duration_s for a, b in pairs)
        )

    def test_every_kind_of_fault_occurs(self):
        kinds = {type(p.fault) for seed in range(20) for p in plan(seed)}
        added = {LapseTargets, RestartTarget} | DEPARTURES | SUSPENSIONS
        self.assertEqual(set(get_args(Fault)) - added, kinds)

    def test_a_run_with_lapses_has_every_kind_of_fault(self):
        """Without this, lapses could replace the faults that they are to overlap."""
        kinds = {
            type(p.fault) for seed in range(20) for p in plan(seed, with_lapses=True)
        }
        added = {RestartTarget} | DEPARTURES | SUSPENSIONS
        self.assertEqual(set(get_args(Fault)) - added, kinds)

    def test_departures_are_added_to_the_faults_of_a_seed(self):
        """Without this, they could replace the faults that they are to overlap."""
        without, planned = plan(3), plan(3, with_departures=True)
        self.assertEqual(without, [p for p in planned if p in without])
        self.assertEqual(planned, sorted(planned, key=lambda p: p.start_s))
        self.assertLessEqual(DEPARTURES, {type(p.fault) for p in planned})
        self.assertTrue(all(p.start_s + p.fault_duration_s < 30.0 for p in planned))

    def test_connections_are_closed_about_when_another_host_is_paused(self):
        """Links that are cut for long count as lost, and then no withdrawal is lost."""
        planned = [p for p in plan(3, with_departures=True) if p not in plan(3)]
        pauses = [p for p in planned if isinstance(p.fault, PauseHost)]
        for cut in (p for p in planned if type(p.fault) in DEPARTURES):
            self.assertLessEqual(cut.fault_duration_s, LOSS_S)
            paused = [
                pause.fault.host
                for pause in pauses
                if pause.start_s <= cut.start_s <= pause.start_s + 1.0
            ]
            self.assertNotEqual([], [host for host in paused if host != cut.fault.host])

    def test_losses_follow_one_another_within_the_time_of_a_takeover(self):
        """Two losses that are far apart meet only what one of them leaves behind."""
        added = [
            p
            for seed in range(10)
            for p in plan(seed, with_losses=True)
            if p not in plan(seed)
        ]
        self.assertLessEqual(
            {KillHost, RestartTarget, SilenceTarget}, {type(p.fault) for p in added}
        )
        kills = [p for p in added if isinstance(p.fault, KillHost)]
        pairs = zip(kills, kills[1:], strict=False)
        self.assertTrue(any(0 < b.start_s - a.start_s < 1.2 for a, b in pairs))
        self.assertTrue(all(p.start_s + p.fault_duration_s < 30.0 for p in added))

    def plan_suspensions(self, seed: int, **options) -> list[PlannedFault]:
        """Return the planned faults that the options add to those of a seed."""
        arguments = (seed, 30.0, 0.5, THREE_DATA_CENTRES, TARGETS)
        without = list(plan_faults(*arguments))
        planned = list(plan_faults(*arguments, **options))
        self.assertEqual(without, [p for p in planned if p in without])
        self.assertEqual(planned, sorted(planned, key=lambda p: p.start_s))
        self.assertTrue(all(p.start_s + p.fault_duration_s < 30.0 for p in planned))
        return [p for p in planned if p not in without]

    def test_callers_of_another_data_centre_leave_during_a_suspension(self):
        """Withdrawals reach owners otherwise, and no old confirmation is used."""
        overlaps = 0
        for seed in range(5):
            added = self.plan_suspensions(seed, with_suspensions=True)
            suspensions = [p for p in added if isinstance(p.fault, SuspendHost)]
            pairs = [
                (first, second)
                for first, second in zip(suspensions, suspensions[1:], strict=False)
                if first.start_s == second.start_s
            ]
            for first, second in pairs:
                held = find_data_centre(first.fault.host)
                self.assertEqual(held, find_data_centre(second.fault.host))
                self.assertEqual(first.fault_duration_s, second.fault_duration_s)
                self.assertLessEqual(first.fault_duration_s, 2.5)
                end_s = first.start_s + first.fault_duration_s
                left = [
                    p
                    for p in added
                    if isinstance(p.fault, DisconnectCallers)
                    and first.start_s < p.start_s < end_s
                ]
                self.assertEqual(2, len(left))
                self.assertNotIn(held, {find_data_centre(p.fault.host) for p in left})
                overlaps += left[0].start_s + RESEND_DELAY_S < end_s
        self.assertGreater(overlaps, 10)

    def test_quotas_come_without_suspensions(self):
        """Their effect on its own could not be told otherwise."""
        added = [p for seed in range(5) for p in self.plan_suspensions(seed)]
        self.assertEqual([], added)
        added = [
            p
            for seed in range(5)
            for p in self.plan_suspensions(seed, with_quotas=True)
        ]
        kinds = {type(p.fault) for p in added}
        self.assertEqual({ThrottleHost, DisconnectCallers}, kinds)

    def test_suspensions_come_with_quotas(self):
        added = [
            p
            for seed in range(5)
            for p in self.plan_suspensions(
                seed, with_suspensions=True, with_quotas=True
            )
        ]
        self.assertEqual(SUSPENSIONS, {type(p.fault) for p in added})

    def test_a_lapse_leaves_some_targets_listed(self):
        lapses = [p.fault for p in plan(3, with_lapses=True)]
        lapses = [fault for fault in lapses if isinstance(fault, LapseTargets)]
        self.assertTrue(lapses)
        self.assertTrue(all(0 < len(f.targets) < len(TARGETS) for f in lapses))
