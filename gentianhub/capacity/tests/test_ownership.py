"""Claims on cells: unique terms, takeovers, and hosts that are cut off."""

import unittest

from gentianhub.capacity import ownership as ow
from gentianhub.capacity.events import CellClaim, HostBeat
from gentianhub.capacity.jobs import (
    TARGETS_PER_CELL,
    Cell,
    divide_data_centre,
)
from gentianhub.capacity.leases import HOST_SILENCE_TIMEOUT_S
from gentianhub.capacity.tests.builders import build_target
from gentianhub.core import Incarnation, ProcessName

CELL = Cell(data_centre="olten")


def build_host(name: str, token: str) -> Incarnation:
    process = ProcessName(data_centre="olten", process=name)
    return Incarnation(name=process, token=token * 16)


FIRST, SECOND = build_host("e1", "a"), build_host("e2", "b")


def build_beat(term: int = 0, is_draining: bool = False) -> HostBeat:
    claims = (CellClaim(cell=CELL, term=term),) if term else ()
    return HostBeat(
        number=1, claims=claims, configuration_version=1, is_draining=is_draining
    )


def build_ownership(own: Incarnation, **options) -> ow.Ownership:
    return ow.Ownership(own=own, cells=(CELL,), started_s=0.0, **options)


class TestTerms(unittest.TestCase):
    def test_two_hosts_that_claim_in_the_same_second_have_distinct_terms(self):
        """Equal terms let targets take starts of two owners: a task ran twice."""
        claims = [
            change.term
            for own in (FIRST, SECOND)
            for change in build_ownership(own).decide(10.0)
        ]
        self.assertEqual(2, len(set(claims)))
        self.assertLess(max(claims), 2**53)

    def test_a_claim_exceeds_every_term_that_was_heard(self):
        ownership = build_ownership(FIRST)
        heard = 2**52
        ownership.hear(SECOND, build_beat(heard), 1.0)
        (change,) = ownership.decide(
            1.0 + 2 * HOST_SILENCE_TIMEOUT_S + ow.ISOLATION_TIMEOUT_S
        )
        self.assertGreater(change.term, heard)


class TestHeartbeatChanges(unittest.TestCase):
    """Owners are worked out anew for news only: that was most of a host's work."""

    def setUp(self):
        self.ownership = build_ownership(FIRST)
        self.ownership.hear(SECOND, build_beat(5), 1.0)

    def test_a_heartbeat_like_the_last_is_no_news(self):
        self.assertFalse(self.ownership.hear(SECOND, build_beat(5), 1.1))

    def test_another_term_is_news(self):
        self.assertTrue(self.ownership.hear(SECOND, build_beat(6), 1.1))

    def test_a_drain_is_news(self):
        self.assertTrue(self.ownership.hear(SECOND, build_beat(5, True), 1.1))

    def test_a_host_that_was_silent_is_news(self):
        heard_s = 1.1 + HOST_SILENCE_TIMEOUT_S
        self.assertTrue(self.ownership.hear(SECOND, build_beat(5), heard_s))


class TestCandidates(unittest.TestCase):
    def test_a_host_that_cannot_own_is_not_waited_for(self):
        """A host that was cut off from the store since its start ranked first, and a
        cell without an owner stayed so."""
        ranked = sorted((FIRST, SECOND), key=lambda host: ow.rank_host(CELL, host))
        first, other = ranked
        for can_own, claims in ((True, 0), (False, 1)):
            ownership = build_ownership(other)
            beat = HostBeat(
                number=1, claims=(), configuration_version=1, can_own=can_own
            )
            ownership.hear(first, beat, 10.0)
            self.assertEqual(claims, len(list(ownership.decide(10.0))))

    def test_a_host_that_stands_back_claims_only_without_live_candidates(self):
        """Hosts that do not hear each other would all claim."""
        ownership = build_ownership(SECOND, candidates=frozenset({FIRST.name}))
        ownership.hear(FIRST, build_beat(), 10.0)
        self.assertEqual([], list(ownership.decide(10.0)))
        silent_s = 10.0 + HOST_SILENCE_TIMEOUT_S + ow.ISOLATION_TIMEOUT_S + 0.1
        self.assertEqual(1, len(list(ownership.decide(silent_s))))

    def test_that_a_host_can_own_from_now_on_is_news(self):
        ownership = build_ownership(FIRST)
        beat = HostBeat(number=1, claims=(), configuration_version=1, can_own=False)
        ownership.hear(SECOND, beat, 1.0)
        self.assertTrue(ownership.hear(SECOND, build_beat(), 1.1))


class TestLiveness(unittest.TestCase):
    def test_an_order_before_the_first_heartbeat_counts(self):
        """The tasks of a host that is lost right after it must be stopped."""
        ownership = build_ownership(FIRST)
        ownership.note_message(SECOND, 1.0)
        self.assertTrue(ownership.is_live(SECOND, 1.0 + HOST_SILENCE_TIMEOUT_S / 2))
        self.assertFalse(ownership.peers[SECOND].is_lost)

    def test_the_own_host_is_never_taken_as_silent(self):
        """Its tasks were stopped 0.6 s after its last order to itself."""
        ownership = build_ownership(FIRST)
        ownership.note_message(FIRST, 1.0)
        self.assertEqual({}, ownership.peers)

    def test_an_order_keeps_the_claims_that_were_heard(self):
        ownership = build_ownership(FIRST)
        ownership.hear(SECOND, build_beat(5), 1.0)
        ownership.note_message(SECOND, 1.4)
        (known,) = ownership.find_owners(1.5).values()
        self.assertEqual(5, known.claim.term)


class TestSeveralCells(unittest.TestCase):
    def test_cells_go_to_large_hosts_and_each_to_one(self):
        """One owner of a large data centre needs more than a small host has."""
        cells = divide_data_centre("olten", 3)
        hosts = [build_host(f"e{number}", "abcdef"[number]) for number in range(6)]
        cores = {host.name: 2.0 if host in hosts[:3] else 0.4 for host in hosts}
        taken = []
        for own in hosts:
            ownership = ow.Ownership(
                own=own, cells=cells, started_s=0.0, cores=cores, expected_near=5
            )
            for peer in hosts:
                if peer != own:
                    ownership.hear(peer, build_beat(), 10.0)
            taken += [(change.cell, own) for change in ownership.decide(10.0)]
        self.assertEqual(set(cells), {cell for cell, _ in taken})
        self.assertEqual(set(hosts[:3]), {host for _, host in taken})
        self.assertEqual(3, len(taken))

    def test_every_target_belongs_to_one_cell(self):
        cells = divide_data_centre("olten", 3)
        targets = [build_target(f"i-{number}") for number in range(44)]
        counts = [sum(cell.holds(t) for t in targets) for cell in cells]
        self.assertEqual(44, sum(counts))
        # An owner has room for half more than the usual number of targets.
        self.assertLessEqual(max(counts), 1.5 * TARGETS_PER_CELL)


class TestCellClaims(unittest.TestCase):
    def test_a_started_host_waits_for_the_registered_hosts_of_its_data_centre(self):
        """A restarted host claimed a cell whose owner it had not yet heard."""
        ownership = build_ownership(FIRST, expected_near=1)
        self.assertEqual([], list(ownership.decide(ow.SETTLING_S + 0.1)))
        self.assertEqual(1, len(list(ownership.decide(ow.MAX_SETTLING_S))))

    def test_a_live_claim_is_respected(self):
        ownership = build_ownership(FIRST)
        ownership.hear(SECOND, build_beat(5), 9.9)
        self.assertEqual([], list(ownership.decide(10.0)))

    def test_a_silent_owner_is_replaced(self):
        ownership = build_ownership(FIRST, expected_hosts=2)
        other = build_host("e3", "c")
        ownership.hear(SECOND, build_beat(5), 9.0)
        # A third host is heard, so that the own host is not the one cut off.
        late_s = 9.0 + HOST_SILENCE_TIMEOUT_S + 0.1
        ownership.hear(other, build_beat(is_draining=True), late_s)
        (change,) = ownership.decide(late_s)
        self.assertIsInstance(change, ow.CellTaken)

    def test_a_host_that_hears_nobody_does_not_claim_at_once(self):
        """A host cut off from its siblings would take targets from a live owner."""
        ownership = build_ownership(FIRST, expected_hosts=2)
        ownership.hear(SECOND, build_beat(5), 10.0)
        self.assertEqual(
            [], list(ownership.decide(10.0 + HOST_SILENCE_TIMEOUT_S + 0.1))
        )
        late_s = 10.0 + ow.ISOLATION_TIMEOUT_S + 0.1
        self.assertEqual(1, len(list(ownership.decide(late_s))))

    def test_a_draining_owner_is_relieved_and_gives_up_on_the_higher_claim(self):
        successor = build_ownership(FIRST)
        successor.hear(SECOND, build_beat(5, is_draining=True), 10.0)
        (taken,) = successor.decide(10.0)
        owner = build_ownership(SECOND)
        owner.terms[CELL] = 5
        owner.hear(FIRST, build_beat(taken.term), 10.1)
        (lost,) = owner.decide(10.1)
        self.assertIsInstance(lost, ow.CellLost)

    def test_a_fenced_owner_that_hears_nobody_gives_in_at_once(self):
        """It is cut off from its siblings, which have another owner."""
        ownership = build_ownership(FIRST, expected_hosts=2)
        ownership.hear(SECOND, build_beat(), 10.0)
        ownership.terms[CELL] = 5
        (lost,) = ownership.take_fencing(CELL, 10.0 + HOST_SILENCE_TIMEOUT_S + 0.1)
        self.assertIsInstance(lost, ow.CellLost)

    def test_a_host_without_the_list_of_targets_claims_nothing(self):
        """A host that starts while the store is away has no list; it could start
        nothing."""
        ownership = build_ownership(FIRST, has_targets=False)
        self.assertEqual([], list(ownership.decide(10.0)))

    def test_a_fenced_owner_raises_its_term_once_and_then_pauses(self):
        """Without a pause two owners that cannot hear each other alternate for ever."""
        ownership = build_ownership(FIRST)
        (taken,) = ownership.decide(10.0)
        (raised,) = ownership.take_fencing(CELL, 10.1)
        self.assertGreater(raised.term, taken.term)
        (lost,) = ownership.take_fencing(CELL, 10.2)
        self.assertIsInstance(lost, ow.CellLost)
        self.assertEqual([], list(ownership.decide(10.3)))
        self.assertEqual(1, len(list(ownership.decide(10.3 + ow.FENCED_PAUSE_S))))
