"""Tests of the choice of heartbeat partners: sufficient, but not all-to-all."""

import unittest

from gentianhub.capacity.heartbeat_peers import (
    FAR_OWNERS,
    MIN_CANDIDATES,
    choose_candidates,
    choose_partners,
)
from gentianhub.core import ProcessName

DATA_CENTRES = ("olten", "aarau", "langenthal", "solothurn")


def build_hosts(each: int) -> list[ProcessName]:
    return [
        ProcessName(data_centre=data_centre, process=f"{data_centre}-{number}")
        for data_centre in DATA_CENTRES
        for number in range(each)
    ]


HOSTS = build_hosts(10)
OWN = HOSTS[0]
OWNERS = [host for host in HOSTS if host.process.endswith("-9")]
NEAR = frozenset(host for host in HOSTS if host.data_centre == "olten")


def choose(own=OWN, is_owner=False, hears_near=True, candidates=NEAR):
    return choose_partners(own, HOSTS, OWNERS, candidates, is_owner, hears_near)


def count_pairs(hosts: list[ProcessName], owners: list[ProcessName]) -> int:
    """Return the number of heartbeats in one period, once owners have linked."""
    pairs = set()
    for own in hosts:
        near = [host for host in hosts if host.data_centre == own.data_centre]
        candidates = choose_candidates(near, {}, len(owners) // len(DATA_CENTRES))
        known = [host for host in owners if host in near]
        is_owner = own in owners
        chosen = choose_partners(own, hosts, known, candidates, is_owner, True)
        pairs |= {frozenset((own, other)) for other in chosen}
    return 2 * len(pairs)


class TestPartnerChoice(unittest.TestCase):
    def test_the_partners_of_a_host_are_its_data_centre_and_the_owners(self):
        partners = choose()
        self.assertNotIn(OWN, partners)
        self.assertEqual((NEAR - {OWN}) | set(OWNERS), partners)

    def test_the_partners_of_an_owner_are_all_hosts(self):
        """An owner stops the tasks of a front host that sends it no heartbeats."""
        owner = OWNERS[0]
        self.assertEqual(set(HOSTS) - {owner}, choose(owner, is_owner=True))

    def test_the_partners_of_a_host_alone_in_its_data_centre_are_all_hosts(self):
        """It would consider itself partitioned and claim nothing for two seconds."""
        self.assertEqual(set(HOSTS) - {OWN}, choose(hears_near=False))

    def test_an_owner_that_is_not_registered_is_no_partner(self):
        unregistered = ProcessName(data_centre="aarau", process="gone")
        partners = choose_partners(OWN, HOSTS, [unregistered], NEAR, False, True)
        self.assertNotIn(unregistered, partners)

    def test_a_host_that_is_no_candidate_has_candidates_and_local_owners(self):
        candidates = frozenset(list(NEAR - {OWN})[:3])
        partners = choose(candidates=candidates)
        near = {name for name in partners if name.data_centre == "olten"}
        self.assertEqual(candidates | (NEAR & set(OWNERS)), near)

    def test_each_host_has_a_few_partner_owners_in_every_other_data_centre(self):
        """Tasks that exceed the capacity of its own data centre are sent to them."""
        owners = [host for host in HOSTS if host.process[-1] in "6789"]
        for data_centre in DATA_CENTRES[1:]:
            far = [host for host in owners if host.data_centre == data_centre]
            choosing = [
                owner
                for owner in far
                if OWN in choose_partners(owner, HOSTS, far, frozenset(), True, True)
            ]
            self.assertEqual(FAR_OWNERS, len(choosing))


class TestCandidates(unittest.TestCase):
    def test_large_hosts_are_preferred(self):
        cores = dict.fromkeys(HOSTS, 0.387) | dict.fromkeys(HOSTS[:8], 2.15)
        self.assertEqual(frozenset(HOSTS[:8]), choose_candidates(HOSTS, cores, 1))

    def test_the_number_of_candidates_grows_with_the_number_of_cells(self):
        self.assertEqual(MIN_CANDIDATES, len(choose_candidates(HOSTS, {}, 1)))
        self.assertEqual(20, len(choose_candidates(HOSTS, {}, 10)))


class TestHeartbeatCounts(unittest.TestCase):
    """Number of heartbeats in one period.

    With links between all hosts, heartbeats were most of the messages of the grown
    deployments.
    """

    def test_40_hosts(self):
        self.assertLess(count_pairs(HOSTS, OWNERS), 0.5 * 40 * 39)

    def test_300_hosts(self):
        """With links between all hosts there would be 299 heartbeats per host."""
        hosts = build_hosts(75)
        owners = [host for host in hosts if int(host.process.split("-")[1]) < 7]
        self.assertLess(count_pairs(hosts, owners) / len(hosts), 50)
