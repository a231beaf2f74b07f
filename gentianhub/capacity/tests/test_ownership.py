"""Tests of the claims on cells: unique terms, takeovers and partitioned hosts."""

import itertools
import unittest
from collections.abc import Sequence

from attrs import evolve

from gentianhub.capacity import ownership as ow
from gentianhub.capacity.events import CellClaim, HostHeartbeat
from gentianhub.capacity.jobs import (
    TARGETS_PER_CELL,
    Cell,
    list_cells,
)
from gentianhub.capacity.leases import (
    HOST_SILENCE_TIMEOUT_S,
    IDLE_HOST_SILENCE_TIMEOUT_S,
)
from gentianhub.capacity.tests.builders import build_target
from gentianhub.core import Incarnation, ProcessName

CELL = Cell(data_centre="olten")


def build_host(name: str, token: str) -> Incarnation:
    process = ProcessName(data_centre="olten", process=name)
    return Incarnation(name=process, token=token * 16)


FIRST, SECOND = build_host("e1", "a"), build_host("e2", "b")


def build_heartbeat(term: int = 0, is_draining: bool = False) -> HostHeartbeat:
    claims = (CellClaim(cell=CELL, term=term),) if term else ()
    return HostHeartbeat(
        number=1, claims=claims, configuration_version=1, is_draining=is_draining
    )


def build_ownership(local_host: Incarnation, **options) -> ow.Ownership:
    return ow.Ownership(local_host=local_host, cells=(CELL,), started_s=0.0, **options)


def simulate_start(
    order: Sequence[Incarnation], cores: dict[ProcessName, float]
) -> list[Incarnation]:
    """Return the hosts that claim the cell; they learn it in this order, 0.1 s apart.

    All of them are candidates and exchange heartbeats every 0.2 s.
    """
    hosts = {
        host: build_ownership(host, candidates=frozenset(cores), cores=cores)
        for host in order
    }
    for ownership in hosts.values():
        ownership.cells = ()
    claimants = []
    exchange_heartbeats(hosts, 9.9)
    for step in range(30):
        now_s = 10.0 + 0.1 * step
        for host in order[step : step + 1]:
            hosts[host].cells = (CELL,)
        for host, ownership in hosts.items():
            changes = list(ownership.update_claims(now_s))
            if any(isinstance(change, ow.CellClaimed) for change in changes):
                claimants.append(host)
        if step % 2 == 0:
            exchange_heartbeats(hosts, now_s)
    return claimants


def exchange_heartbeats(hosts: dict[Incarnation, ow.Ownership], now_s: float) -> None:
    for sender, ownership in list(hosts.items()):
        heartbeat = HostHeartbeat(
            number=1,
            claims=tuple(CellClaim(cell=c, term=t) for c, t in ownership.terms.items()),
            configuration_version=1,
            can_own=ownership.can_own,
        )
        for receiver, other in hosts.items():
            if receiver != sender:
                other.handle_heartbeat(sender, heartbeat, now_s)


class TestTerms(unittest.TestCase):
    def test_two_hosts_that_claim_in_the_same_second_have_distinct_terms(self):
        """With equal terms, targets accepted starts of two owners: a task ran twice."""
        claims = [
            change.term
            for local_host in (FIRST, SECOND)
            for change in build_ownership(local_host).update_claims(10.0)
        ]
        self.assertEqual(2, len(set(claims)))
        self.assertLess(max(claims), 2**53)

    def test_a_claim_has_a_higher_term_than_all_received_claims(self):
        ownership = build_ownership(FIRST)
        received_term = 2**52
        ownership.handle_heartbeat(SECOND, build_heartbeat(received_term), 1.0)
        (change,) = ownership.update_claims(
            1.0 + 2 * HOST_SILENCE_TIMEOUT_S + ow.ISOLATION_TIMEOUT_S
        )
        self.assertGreater(change.term, received_term)


class TestPauses(unittest.TestCase):
    """Guards against claims of a host that has not run, and so has heard nobody.

    The heartbeats of the owner wait in its sockets beside those of other hosts.
    """

    def setUp(self):
        self.ownership = build_ownership(
            FIRST, candidates=frozenset({FIRST.name, SECOND.name})
        )
        self.ownership.handle_heartbeat(SECOND, build_heartbeat(2**52), 10.0)
        self.resumed_s = 12.5
        self.ownership.record_pause(self.resumed_s)
        other = build_host("e3", "c")
        self.ownership.handle_heartbeat(other, build_heartbeat(), self.resumed_s)

    def test_no_cell_is_claimed_before_its_owner_could_be_heard(self):
        self.assertEqual([], list(self.ownership.update_claims(self.resumed_s)))
        self.ownership.handle_heartbeat(
            SECOND, build_heartbeat(2**52), self.resumed_s + 0.1
        )
        claims = self.ownership.update_claims(
            self.resumed_s + HOST_SILENCE_TIMEOUT_S + 0.05
        )
        self.assertEqual([], list(claims))

    def test_the_cell_of_an_owner_that_stays_silent_is_claimed(self):
        (claim,) = self.ownership.update_claims(
            self.resumed_s + HOST_SILENCE_TIMEOUT_S + 0.05
        )
        self.assertEqual(CELL, claim.cell)


class TestHeartbeatChanges(unittest.TestCase):
    """Owners are recomputed only for heartbeats with changes.

    Recomputing them for each heartbeat was most of a host's work.
    """

    def setUp(self):
        self.ownership = build_ownership(FIRST)
        self.ownership.handle_heartbeat(SECOND, build_heartbeat(5), 1.0)

    def test_a_heartbeat_equal_to_the_last_is_no_change(self):
        self.assertFalse(
            self.ownership.handle_heartbeat(SECOND, build_heartbeat(5), 1.1)
        )

    def test_another_term_is_a_change(self):
        self.assertTrue(
            self.ownership.handle_heartbeat(SECOND, build_heartbeat(6), 1.1)
        )

    def test_the_start_of_draining_is_a_change(self):
        self.assertTrue(
            self.ownership.handle_heartbeat(SECOND, build_heartbeat(5, True), 1.1)
        )

    def test_a_heartbeat_of_a_host_that_was_silent_is_a_change(self):
        received_s = 1.1 + HOST_SILENCE_TIMEOUT_S
        self.assertTrue(
            self.ownership.handle_heartbeat(SECOND, build_heartbeat(5), received_s)
        )


class TestCandidates(unittest.TestCase):
    def test_a_host_that_cannot_own_a_cell_does_not_prevent_other_claims(self):
        """A host that had no access to the store since its start ranked first, and the
        cell stayed without an owner."""
        ranked = sorted((FIRST, SECOND), key=lambda host: ow.rank_host(CELL, host))
        first, other = ranked
        for can_own, claims in ((True, 0), (False, 1)):
            ownership = build_ownership(other)
            heartbeat = HostHeartbeat(
                number=1, claims=(), configuration_version=1, can_own=can_own
            )
            ownership.handle_heartbeat(first, heartbeat, 10.0)
            self.assertEqual(claims, len(list(ownership.update_claims(10.0))))

    def test_a_host_that_is_no_candidate_claims_only_without_live_candidates(self):
        """Hosts that exchange no heartbeats would all claim the cell."""
        ownership = build_ownership(SECOND, candidates=frozenset({FIRST.name}))
        ownership.handle_heartbeat(FIRST, build_heartbeat(), 10.0)
        self.assertEqual([], list(ownership.update_claims(10.0)))
        silent_s = 10.0 + HOST_SILENCE_TIMEOUT_S + ow.ISOLATION_TIMEOUT_S + 0.1
        self.assertEqual(1, len(list(ownership.update_claims(silent_s))))

    def test_a_host_that_is_no_candidate_waits_until_the_candidates_are_able_to_own(
        self,
    ):
        """The hosts learn the cells one after the other, and tell it once a second.

        Small hosts that learned them first claimed the cells of whole data centres, and
        one job in four was late at the load peaks of a quiet day.
        """
        ownership = build_ownership(SECOND, candidates=frozenset({FIRST.name}))
        ownership.cells = ()
        self.assertEqual([], list(ownership.update_claims(9.9)))
        ownership.cells = (CELL,)
        for now_s, claims in ((10.0, 0), (11.0, 0), (10.0 + ow.ABILITY_NOTICE_S, 1)):
            unable = HostHeartbeat(
                number=1, claims=(), configuration_version=1, can_own=False
            )
            ownership.handle_heartbeat(FIRST, unable, now_s)
            with self.subTest(now_s):
                self.assertEqual(claims, len(list(ownership.update_claims(now_s))))

    def test_a_small_candidate_waits_until_larger_hosts_are_able_to_own(self):
        """Small data centres have small candidates as well.

        Of simultaneous claims the highest term wins, so that a host of 0.4 cores took a
        cell from one of 2.2 at the start, and kept it.
        """
        unable = HostHeartbeat(
            number=1, claims=(), configuration_version=1, can_own=False
        )
        ownership = build_ownership(
            SECOND,
            candidates=frozenset({FIRST.name, SECOND.name}),
            cores={FIRST.name: 2.2, SECOND.name: 0.4},
        )
        for now_s, claims in ((10.0, 0), (11.0, 0), (10.0 + ow.ABILITY_NOTICE_S, 1)):
            ownership.handle_heartbeat(FIRST, unable, now_s)
            with self.subTest(now_s):
                self.assertEqual(claims, len(list(ownership.update_claims(now_s))))

    def test_a_large_candidate_does_not_wait_for_smaller_hosts(self):
        """After a loss of all hosts the slowest ones would delay the claims."""
        unable = HostHeartbeat(
            number=1, claims=(), configuration_version=1, can_own=False
        )
        ownership = build_ownership(
            FIRST,
            candidates=frozenset({FIRST.name, SECOND.name}),
            cores={FIRST.name: 2.2, SECOND.name: 0.4},
        )
        ownership.handle_heartbeat(SECOND, unable, 10.0)
        self.assertEqual(1, len(list(ownership.update_claims(10.0))))

    def test_a_small_candidate_does_not_wait_for_larger_hosts_that_drain(self):
        """The cell of a data centre whose large hosts are stopped would have no owner
        for 1.5 s."""
        draining = HostHeartbeat(
            number=1,
            claims=(),
            configuration_version=1,
            can_own=False,
            is_draining=True,
        )
        ownership = build_ownership(
            SECOND,
            candidates=frozenset({FIRST.name, SECOND.name}),
            cores={FIRST.name: 2.2, SECOND.name: 0.4},
        )
        ownership.handle_heartbeat(FIRST, draining, 10.0)
        self.assertEqual(1, len(list(ownership.update_claims(10.0))))

    def test_hosts_that_learn_the_cells_in_any_order_give_them_to_large_ones(self):
        """The hosts of a data centre read the layout within about 0.1 s of each other,
        and a heartbeat tells it to the others up to 0.2 s later."""
        hosts = [build_host(f"e{number}", "abcd"[number]) for number in range(4)]
        cores = dict(
            zip((host.name for host in hosts), (2.2, 2.2, 1.3, 0.4), strict=True)
        )
        for order in itertools.permutations(hosts):
            claimants = {
                host.name.process
                for host in simulate_start(order, cores)
                if cores[host.name] < 2.2
            }
            with self.subTest([host.name.process for host in order]):
                self.assertEqual(set(), claimants)

    def test_a_candidate_does_not_wait_for_others_that_are_not_able_to_own(self):
        candidates = frozenset({FIRST.name, SECOND.name})
        ownership = build_ownership(SECOND, candidates=candidates)
        unable = HostHeartbeat(
            number=1, claims=(), configuration_version=1, can_own=False
        )
        ownership.handle_heartbeat(FIRST, unable, 10.0)
        self.assertEqual(1, len(list(ownership.update_claims(10.0))))

    def test_a_host_that_becomes_able_to_own_a_cell_is_a_change(self):
        ownership = build_ownership(FIRST)
        heartbeat = HostHeartbeat(
            number=1, claims=(), configuration_version=1, can_own=False
        )
        ownership.handle_heartbeat(SECOND, heartbeat, 1.0)
        self.assertTrue(ownership.handle_heartbeat(SECOND, build_heartbeat(), 1.1))


class TestLiveness(unittest.TestCase):
    def test_a_request_before_the_first_heartbeat_marks_the_host_as_live(self):
        """If the host fails right after it, its tasks have to be stopped."""
        ownership = build_ownership(FIRST)
        ownership.record_message(SECOND, 1.0)
        self.assertTrue(ownership.is_live(SECOND, 1.0 + HOST_SILENCE_TIMEOUT_S / 2))
        self.assertFalse(ownership.peers[SECOND].is_reported_silent)

    def test_a_host_that_announced_rare_heartbeats_is_given_more_time(self):
        ownership = build_ownership(FIRST)
        heartbeat = evolve(build_heartbeat(), is_idle=True)
        ownership.handle_heartbeat(SECOND, heartbeat, 1.0)
        self.assertTrue(ownership.is_live(SECOND, 1.0 + IDLE_HOST_SILENCE_TIMEOUT_S))
        late_s = 1.1 + IDLE_HOST_SILENCE_TIMEOUT_S
        self.assertFalse(ownership.is_live(SECOND, late_s))

    def test_a_host_that_sends_tasks_is_lost_after_the_shorter_time(self):
        """Its tasks would go on after its caller has submitted the job elsewhere."""
        ownership = build_ownership(FIRST)
        heartbeat = evolve(build_heartbeat(), is_idle=True)
        ownership.handle_heartbeat(SECOND, heartbeat, 1.0)
        ownership.record_message(SECOND, 2.0)
        self.assertFalse(ownership.is_live(SECOND, 2.1 + HOST_SILENCE_TIMEOUT_S))

    def test_an_idle_owner_that_gets_tasks_has_to_answer_within_the_shorter_time(self):
        ownership = build_ownership(FIRST)
        heartbeat = evolve(build_heartbeat(5), is_idle=True)
        ownership.handle_heartbeat(SECOND, heartbeat, 1.0)
        ownership.expect_message(SECOND, 2.0)
        ownership.expect_message(SECOND, 2.4)
        self.assertTrue(ownership.is_live(SECOND, 1.9 + HOST_SILENCE_TIMEOUT_S))
        self.assertFalse(ownership.is_live(SECOND, 2.1 + HOST_SILENCE_TIMEOUT_S))

    def test_the_local_host_is_never_considered_silent(self):
        """Its tasks were stopped 0.6 s after its last request to itself."""
        ownership = build_ownership(FIRST)
        ownership.record_message(FIRST, 1.0)
        self.assertEqual({}, ownership.peers)

    def test_a_request_keeps_the_claims_of_the_last_heartbeat(self):
        """Otherwise a cell would seem to have no owner after a request of its owner."""
        ownership = build_ownership(FIRST)
        ownership.handle_heartbeat(SECOND, build_heartbeat(5), 1.0)
        ownership.record_message(SECOND, 1.4)
        (known,) = ownership.find_owners(1.5).values()
        self.assertEqual(5, known.claim.term)


class TestSeveralCells(unittest.TestCase):
    def test_each_cell_is_claimed_by_exactly_one_large_host(self):
        """The owner of a large data centre needs more than a small host has."""
        cells = list_cells("olten", 3)
        hosts = [build_host(f"e{number}", "abcdef"[number]) for number in range(6)]
        cores = {host.name: 2.0 if host in hosts[:3] else 0.4 for host in hosts}
        claimed = []
        for local_host in hosts:
            ownership = ow.Ownership(
                local_host=local_host,
                cells=cells,
                started_s=0.0,
                cores=cores,
                expected_local_hosts=5,
            )
            for peer in hosts:
                if peer != local_host:
                    ownership.handle_heartbeat(peer, build_heartbeat(), 10.0)
            claimed += [
                (change.cell, local_host) for change in ownership.update_claims(10.0)
            ]
        self.assertEqual(set(cells), {cell for cell, _ in claimed})
        self.assertEqual(set(hosts[:3]), {host for _, host in claimed})
        self.assertEqual(3, len(claimed))

    def test_every_target_belongs_to_exactly_one_cell(self):
        cells = list_cells("olten", 3)
        targets = [build_target(f"i-{number}") for number in range(44)]
        counts = [sum(cell.contains(t) for t in targets) for cell in cells]
        self.assertEqual(44, sum(counts))
        # An owner can serve 50% more targets than the nominal number.
        self.assertLessEqual(max(counts), 1.5 * TARGETS_PER_CELL)


class TestCellClaims(unittest.TestCase):
    def test_a_host_that_starts_waits_for_the_registered_hosts_of_its_data_centre(self):
        """A restarted host claimed a cell before it had a heartbeat of the owner."""
        ownership = build_ownership(FIRST, expected_local_hosts=1)
        self.assertEqual([], list(ownership.update_claims(ow.SETTLING_S + 0.1)))
        self.assertEqual(1, len(list(ownership.update_claims(ow.MAX_SETTLING_S))))

    def test_a_candidate_that_starts_waits_for_the_other_candidates_only(self):
        """After a loss of all hosts, the slowest one of a data centre delayed the claim
        by up to a second."""
        names = frozenset({FIRST.name, SECOND.name})
        ownership = build_ownership(FIRST, expected_local_hosts=9, candidates=names)
        self.assertEqual([], list(ownership.update_claims(0.2)))
        ownership.handle_heartbeat(SECOND, build_heartbeat(), 0.3)
        changes = list(ownership.update_claims(0.3))
        # The two candidates rank themselves for the cell alike.
        other = build_ownership(SECOND, expected_local_hosts=9, candidates=names)
        other.handle_heartbeat(FIRST, build_heartbeat(), 0.3)
        changes += other.update_claims(0.3)
        self.assertEqual(1, len(changes))

    def test_a_candidate_that_starts_respects_the_claim_of_another_one(self):
        names = frozenset({FIRST.name, SECOND.name})
        ownership = build_ownership(FIRST, expected_local_hosts=9, candidates=names)
        ownership.handle_heartbeat(SECOND, build_heartbeat(5), 0.3)
        self.assertEqual([], list(ownership.update_claims(0.3)))

    def test_a_live_claim_is_respected(self):
        ownership = build_ownership(FIRST)
        ownership.handle_heartbeat(SECOND, build_heartbeat(5), 9.9)
        self.assertEqual([], list(ownership.update_claims(10.0)))

    def test_a_silent_owner_is_replaced(self):
        ownership = build_ownership(FIRST, expected_hosts=2)
        other = build_host("e3", "c")
        ownership.handle_heartbeat(SECOND, build_heartbeat(5), 9.0)
        # A third host is live, so the local host is not the one that is partitioned.
        late_s = 9.0 + HOST_SILENCE_TIMEOUT_S + 0.1
        ownership.handle_heartbeat(other, build_heartbeat(is_draining=True), late_s)
        (change,) = ownership.update_claims(late_s)
        self.assertIsInstance(change, ow.CellClaimed)

    def test_a_host_without_live_peers_does_not_claim_at_once(self):
        """A partitioned host would take targets away from a live owner."""
        ownership = build_ownership(FIRST, expected_hosts=2)
        ownership.handle_heartbeat(SECOND, build_heartbeat(5), 10.0)
        self.assertEqual(
            [], list(ownership.update_claims(10.0 + HOST_SILENCE_TIMEOUT_S + 0.1))
        )
        late_s = 10.0 + ow.ISOLATION_TIMEOUT_S + 0.1
        self.assertEqual(1, len(list(ownership.update_claims(late_s))))

    def test_a_draining_owner_is_replaced_and_yields_to_the_higher_term(self):
        successor = build_ownership(FIRST)
        successor.handle_heartbeat(SECOND, build_heartbeat(5, is_draining=True), 10.0)
        (claimed,) = successor.update_claims(10.0)
        owner = build_ownership(SECOND)
        owner.terms[CELL] = 5
        owner.handle_heartbeat(FIRST, build_heartbeat(claimed.term), 10.1)
        (lost,) = owner.update_claims(10.1)
        self.assertIsInstance(lost, ow.CellLost)

    def test_a_fenced_owner_without_live_peers_gives_up_the_cell_at_once(self):
        """It is partitioned from the other hosts, which have another owner."""
        ownership = build_ownership(FIRST, expected_hosts=2)
        ownership.handle_heartbeat(SECOND, build_heartbeat(), 10.0)
        ownership.terms[CELL] = 5
        (lost,) = ownership.handle_fencing(CELL, 10.0 + HOST_SILENCE_TIMEOUT_S + 0.1)
        self.assertIsInstance(lost, ow.CellLost)

    def test_a_host_without_the_list_of_targets_claims_nothing(self):
        """A host that starts during an outage of the store has no list and could start
        no task."""
        ownership = build_ownership(FIRST, has_targets=False)
        self.assertEqual([], list(ownership.update_claims(10.0)))

    def test_a_fenced_owner_raises_its_term_once_and_then_pauses(self):
        """Without a pause, two owners that are partitioned from each other alternate
        indefinitely."""
        ownership = build_ownership(FIRST)
        (claimed,) = ownership.update_claims(10.0)
        (raised,) = ownership.handle_fencing(CELL, 10.1)
        self.assertGreater(raised.term, claimed.term)
        (lost,) = ownership.handle_fencing(CELL, 10.2)
        self.assertIsInstance(lost, ow.CellLost)
        self.assertEqual([], list(ownership.update_claims(10.3)))
        self.assertEqual(
            1, len(list(ownership.update_claims(10.3 + ow.FENCED_PAUSE_S)))
        )
