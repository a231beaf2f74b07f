"""Tests of the choice of heartbeat peers: sufficient, but not all-to-all."""

import unittest

from gentianhub.capacity.heartbeat_peers import (
    MIN_CANDIDATES,
    OWNERS_PER_REMOTE_DATA_CENTRE,
    choose_candidates,
    choose_heartbeat_peers,
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
LOCAL_HOST = HOSTS[0]
OWNERS = [host for host in HOSTS if host.process.endswith("-9")]
LOCAL_HOSTS = frozenset(host for host in HOSTS if host.data_centre == "olten")


def choose(
    local_host=LOCAL_HOST,
    is_owner=False,
    has_live_local_peer=True,
    candidates=LOCAL_HOSTS,
):
    return choose_heartbeat_peers(
        local_host, HOSTS, OWNERS, candidates, is_owner, has_live_local_peer
    )


def count_pairs(hosts: list[ProcessName], owners: list[ProcessName]) -> int:
    """Return the number of heartbeats in one period, once owners have linked."""
    pairs = set()
    for local_host in hosts:
        local_hosts = [
            host for host in hosts if host.data_centre == local_host.data_centre
        ]
        candidates = choose_candidates(
            local_hosts, {}, len(owners) // len(DATA_CENTRES)
        )
        known = [host for host in owners if host in local_hosts]
        is_owner = local_host in owners
        chosen = choose_heartbeat_peers(
            local_host, hosts, known, candidates, is_owner, True
        )
        pairs |= {frozenset((local_host, other)) for other in chosen}
    return 2 * len(pairs)


class TestPeerChoice(unittest.TestCase):
    def test_the_peers_of_a_host_are_its_data_centre_and_the_owners(self):
        peers = choose()
        self.assertNotIn(LOCAL_HOST, peers)
        self.assertEqual((LOCAL_HOSTS - {LOCAL_HOST}) | set(OWNERS), peers)

    def test_the_peers_of_an_owner_are_all_hosts(self):
        """An owner stops the tasks of a front host that sends it no heartbeats."""
        owner = OWNERS[0]
        self.assertEqual(set(HOSTS) - {owner}, choose(owner, is_owner=True))

    def test_the_peers_of_a_host_alone_in_its_data_centre_are_all_hosts(self):
        """It would consider itself partitioned and claim nothing for two seconds."""
        self.assertEqual(set(HOSTS) - {LOCAL_HOST}, choose(has_live_local_peer=False))

    def test_an_owner_that_is_not_registered_is_no_peer(self):
        unregistered = ProcessName(data_centre="aarau", process="gone")
        peers = choose_heartbeat_peers(
            LOCAL_HOST, HOSTS, [unregistered], LOCAL_HOSTS, False, True
        )
        self.assertNotIn(unregistered, peers)

    def test_a_host_that_is_no_candidate_has_candidates_and_local_owners(self):
        candidates = frozenset(list(LOCAL_HOSTS - {LOCAL_HOST})[:3])
        peers = choose(candidates=candidates)
        local_hosts = {name for name in peers if name.data_centre == "olten"}
        self.assertEqual(candidates | (LOCAL_HOSTS & set(OWNERS)), local_hosts)

    def test_each_host_has_a_few_owners_as_peers_in_every_other_data_centre(self):
        """Tasks that exceed the capacity of its own data centre are sent to them."""
        owners = [host for host in HOSTS if host.process[-1] in "6789"]
        for data_centre in DATA_CENTRES[1:]:
            remote_owners = [host for host in owners if host.data_centre == data_centre]
            choosing = [
                owner
                for owner in remote_owners
                if LOCAL_HOST
                in choose_heartbeat_peers(
                    owner, HOSTS, remote_owners, frozenset(), True, True
                )
            ]
            self.assertEqual(OWNERS_PER_REMOTE_DATA_CENTRE, len(choosing))


class TestCandidates(unittest.TestCase):
    def test_large_hosts_are_preferred(self):
        large = HOSTS[:MIN_CANDIDATES]
        cores = dict.fromkeys(HOSTS, 0.387) | dict.fromkeys(large, 2.15)
        self.assertEqual(frozenset(large), choose_candidates(HOSTS, cores, 1))

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

    def test_candidates_of_a_data_centre_of_16_hosts(self):
        """Candidates exchange frequent heartbeats with each other: with eight of them
        these were most of the messages of 97 idle hosts."""
        candidates = choose_candidates(build_hosts(16)[:16], {}, 1)
        self.assertLessEqual(len(candidates) * (len(candidates) - 1), 16)

    def test_300_hosts(self):
        """With links between all hosts there would be 299 heartbeats per host."""
        hosts = build_hosts(75)
        owners = [host for host in hosts if int(host.process.split("-")[1]) < 7]
        self.assertLess(count_pairs(hosts, owners) / len(hosts), 50)
