"""Time at which the number of cells is written, and recipients of heartbeats."""

import random
import unittest

from gentianhub.capacity.events import CellClaim, HostHeartbeat
from gentianhub.capacity.jobs import TARGETS_PER_CELL, Cell
from gentianhub.capacity.ownership import UNREGISTERED_CLAIM_DELAY_S
from gentianhub.capacity.tests.builders import build_host, build_target
from gentianhub.core import Mailbox
from gentianhub.host.encoding import decode_message
from gentianhub.host.membership import (
    IDLE_HEARTBEAT_TICKS,
    LOST_HOST_TIMEOUT_S,
    MAX_REGISTRATION_WAIT_S,
    REGISTRATION_QUIET_S,
    WORKING_RETENTION_TICKS,
    Membership,
)
from gentianhub.host.process import TICK_S
from gentianhub.host.registry import HostEntry


class FakeLinks:
    """Stand-in for `HostLinks`; `linked` are the hosts with a link."""

    def __init__(self):
        self.hosts = {}
        self.linked = ()
        self.heartbeat_peers = frozenset()

    def find_linked(self):
        return self.linked

    def send_encoded(self, to, body):
        """Drop the message."""

    def set_hosts(self, hosts):
        self.hosts = {
            build_host(h.name, data_centre=h.data_centre).name: h for h in hosts
        }

    def maintain(self, now_s, heartbeat_peers, find_silence_timeout_s):
        self.heartbeat_peers = heartbeat_peers


def build_targets(count: int) -> tuple:
    return tuple(build_target(f"t{number}") for number in range(count))


class MembershipTest(unittest.TestCase):
    def setUp(self):
        self.registry_commands = Mailbox(limit=100)
        self.links = FakeLinks()
        self.membership = Membership(
            local_host=build_host("e1"),
            links=self.links,
            registry_commands=self.registry_commands,
            started_s=0.0,
        )
        self.membership.ownership.has_targets = True


class TestLayout(MembershipTest):
    def request_layout(self, count: int, now_s: float) -> int | None:
        self.membership.request_layout(build_targets(count), now_s)
        return self.registry_commands.get().cells

    def test_layout_is_written_when_no_new_targets_register(self):
        """A layout written too early gave all targets to one owner."""
        several = 2 * TARGETS_PER_CELL
        self.assertIsNone(self.request_layout(10, 1.0))
        self.assertIsNone(self.request_layout(several, 3.0))
        self.assertIsNone(self.request_layout(several, 3.0 + REGISTRATION_QUIET_S))
        self.assertEqual(2, self.request_layout(several, 3.1 + REGISTRATION_QUIET_S))

    def test_layout_is_written_while_targets_keep_registering(self):
        """Without the upper limit, new targets could delay the layout indefinitely."""
        at_s = MAX_REGISTRATION_WAIT_S + 0.1
        self.assertIsNone(self.request_layout(10, at_s - 1.0))
        self.assertEqual(1, self.request_layout(11, at_s))


class TestCandidates(MembershipTest):
    def test_a_small_host_without_the_registry_leaves_cells_to_live_hosts(self):
        """It took itself for the only candidate, and the cell of a draining owner from
        the large host that had claimed it."""
        local_host = self.membership.local_host
        self.membership.ownership.cores[local_host.name] = 0.4
        cell = Cell(data_centre=local_host.name.data_centre)
        draining = HostHeartbeat(
            number=1,
            claims=(CellClaim(cell=cell, term=5),),
            configuration_version=1,
            is_draining=True,
        )
        live = HostHeartbeat(number=1, claims=(), configuration_version=1)
        self.membership.handle_heartbeat(build_host("e2", "b"), draining, 10.0)
        self.membership.handle_heartbeat(build_host("e3", "c"), live, 10.0)
        self.assertEqual((cell,), self.membership.ownership.cells)
        self.assertEqual([], list(self.membership.ownership.update_claims(10.0)))

    def test_a_small_host_without_the_registry_claims_a_cell_that_is_left_free(self):
        """It does not know the sizes of the other hosts, which may leave the cell to
        it: the cell would have no owner until the store is back."""
        ownership = self.membership.ownership
        ownership.cores[self.membership.local_host.name] = 0.4
        self.membership.adopt_layout(1, "sibling")
        live = HostHeartbeat(number=1, claims=(), configuration_version=1)
        claimed_s = 10.0 + UNREGISTERED_CLAIM_DELAY_S
        for now_s, claims in ((10.0, 0), (claimed_s - 0.1, 0), (claimed_s, 1)):
            self.membership.handle_heartbeat(build_host("e2", "b"), live, now_s)
            with self.subTest(now_s):
                self.assertEqual(claims, len(list(ownership.update_claims(now_s))))

    def test_a_host_without_the_registry_claims_a_cell_if_no_other_is_able(self):
        """An outage of the store would leave the cell without an owner."""
        self.membership.adopt_layout(1, "sibling")
        self.assertEqual(1, len(list(self.membership.ownership.update_claims(10.0))))


class TestHeartbeatRecipients(MembershipTest):
    def setUp(self):
        super().setUp()
        self.local = build_host("e2", "b")
        self.remote = build_host("f1", "c", "aarau")
        entries = [
            HostEntry(
                data_centre=host.name.data_centre,
                name=host.name.process,
                address="127.0.0.1",
                port=1,
                started_ms=0,
                cores=1.0,
            )
            for host in (self.membership.local_host, self.local, self.remote)
        ]
        versions = {entry.name: 1 for entry in entries}
        self.membership.update_hosts(tuple(entries), versions)
        self.links.linked = (self.local, self.remote)

    def find_recipients(self, tick: int, is_owner: bool, working=()) -> tuple:
        """Return the hosts that are due for a heartbeat, at either interval."""
        recipients = self.membership.find_heartbeat_recipients(
            tick, is_owner, frozenset(working)
        )
        return recipients.active + recipients.idle

    def maintain_links(self, is_owner: bool, now_s: float = 10.0) -> None:
        heartbeat = HostHeartbeat(number=1, claims=(), configuration_version=1)
        self.membership.handle_heartbeat(self.local, heartbeat, now_s)
        self.membership.maintain_links((), is_owner, now_s)

    def test_heartbeats_omit_remote_hosts_that_own_no_cell(self):
        """Heartbeats between all hosts would grow with the square of their number."""
        self.maintain_links(is_owner=False)
        for tick in (4, IDLE_HEARTBEAT_TICKS):
            self.assertEqual((self.local,), self.find_recipients(tick, False))

    def test_host_without_the_registry_sends_heartbeats_to_hosts_that_dial_it(self):
        """A host without the store since its start received no configuration."""
        self.links.hosts = {}
        self.membership.ownership.candidates = None
        self.membership.maintain_links((), False, 10.0)
        both = self.local, self.remote
        self.assertEqual(both, self.find_recipients(IDLE_HEARTBEAT_TICKS, False))
        self.maintain_links(is_owner=False)
        for tick in (4, IDLE_HEARTBEAT_TICKS):
            self.assertEqual((self.local,), self.find_recipients(tick, False))

    def test_owner_sends_to_all_hosts_and_more_often_to_local_ones(self):
        """Local hosts follow the owner's load and need more frequent heartbeats."""
        self.maintain_links(is_owner=True)
        both = self.local, self.remote
        self.assertEqual(both, self.find_recipients(1, True, both))
        self.assertEqual((self.local,), self.find_recipients(2, True, both))
        self.assertEqual(both, self.find_recipients(4, True, both))

    def test_hosts_without_common_tasks_get_rare_heartbeats_that_say_so(self):
        """Frequent heartbeats to all hosts were most of the messages of 97 hosts."""
        self.maintain_links(is_owner=True)
        self.assertEqual((self.local,), self.find_recipients(4, True))
        recipients = self.membership.find_heartbeat_recipients(
            IDLE_HEARTBEAT_TICKS, True, frozenset()
        )
        self.assertEqual((self.local,), recipients.active)
        self.assertEqual((self.remote,), recipients.idle)

    def test_a_host_with_the_first_common_task_is_due_at_once(self):
        """It would take a lost owner for live for the longer silence time-out."""
        self.maintain_links(is_owner=True)
        self.assertEqual((), self.find_recipients(1, True))
        self.assertEqual((self.remote,), self.find_recipients(3, True, (self.remote,)))
        self.assertEqual((), self.find_recipients(5, True, (self.remote,)))

    def test_a_host_without_common_tasks_any_more_is_told_at_once(self):
        """It would take this host as lost before the next rare heartbeat."""
        self.maintain_links(is_owner=True)
        working, told = frozenset({self.remote}), []
        for tick in range(1, IDLE_HEARTBEAT_TICKS * 6):
            recipients = self.membership.find_heartbeat_recipients(tick, True, working)
            self.membership.send_heartbeats(recipients.active, (), 1, 0.0)
            self.membership.send_heartbeats(recipients.idle, (), 1, 0.0, is_idle=True)
            working = frozenset()
            if recipients.idle and tick % IDLE_HEARTBEAT_TICKS:
                told.append(tick)
        self.assertEqual([1 + WORKING_RETENTION_TICKS], told)

    def test_heartbeats_out_of_turn_say_when_the_next_one_follows(self):
        """Claims and new links made hosts expect heartbeats that were not due."""
        self.maintain_links(is_owner=True)
        recipients = self.membership.split_peers((self.local, self.remote), True)
        self.assertEqual((self.local,), recipients.active)
        self.assertEqual((self.remote,), recipients.idle)

    def test_owner_ignores_the_silence_of_hosts_before_it_became_owner(self):
        """A host that owns no cell gets no heartbeats from live remote hosts."""
        self.maintain_links(is_owner=False)
        self.membership.remove_lost_hosts(is_owner=False, now_s=10.0)
        self.maintain_links(is_owner=True, now_s=60.0)
        self.membership.remove_lost_hosts(is_owner=True, now_s=60.0)
        self.assertEqual(0, len(self.registry_commands))

    def test_the_removal_of_a_lost_host_is_repeated(self):
        """The command may be dropped at a full mailbox, or fail at the store."""
        self.maintain_links(is_owner=True)
        del self.links.hosts[self.membership.local_host.name]
        removed_s = []
        for second in range(10, 60):
            self.membership.ownership.record_message(self.local, float(second))
            self.membership.remove_lost_hosts(is_owner=True, now_s=float(second))
            while len(self.registry_commands):
                self.assertEqual("f1", self.registry_commands.get().name)
                removed_s.append(second - 10)
        between = [LOST_HOST_TIMEOUT_S + 1, 2 * (LOST_HOST_TIMEOUT_S + 1)]
        self.assertEqual(between, removed_s)


class PairedLinks(FakeLinks):
    """Links of one of two hosts; messages arrive at the other one at once."""

    def __init__(self, other):
        super().__init__()
        self.linked = (other,)
        self.receive = None

    def send_encoded(self, to, body):
        self.receive(decode_message(body))


class TestSilence(unittest.TestCase):
    """Load pattern: tasks come and go between an owner and a host elsewhere.

    Each end of the last common task made the owner take the host as lost until its next
    heartbeat: its tasks were cancelled, and the link was closed and dialled again.
    """

    def setUp(self):
        hosts = build_host("e1"), build_host("f1", "c", "aarau")
        self.memberships = [self.build(*hosts), self.build(*reversed(hosts))]
        self.now_s = 0.0
        for membership, other in zip(
            self.memberships, reversed(self.memberships), strict=True
        ):
            membership.links.receive = lambda message, to=other, sender=membership: (
                to.handle_heartbeat(sender.local_host, message, self.now_s)
            )

    def build(self, host, other) -> Membership:
        membership = Membership(
            local_host=host,
            links=PairedLinks(other),
            registry_commands=Mailbox(limit=100),
            started_s=0.0,
        )
        membership.heartbeat_peers = frozenset({other.name})
        return membership

    def send(self, membership: Membership, recipients) -> None:
        membership.send_heartbeats(recipients.active, (), 1, 0.0)
        membership.send_heartbeats(recipients.idle, (), 1, 0.0, is_idle=True)

    def find_silent_times(self, seed: int, seconds: float) -> list[float]:
        """Return when a host was taken as lost while tasks came and went at random."""
        rng = random.Random(seed)
        has_tasks, silent_s = False, []
        for membership in self.memberships:
            self.send(membership, membership.split_peers(membership.links.linked, True))
        for tick in range(1, round(seconds / TICK_S)):
            self.now_s = tick * TICK_S
            if rng.random() < 0.05:
                has_tasks = not has_tasks
            for membership in self.memberships:
                (peer,) = membership.links.linked
                working = frozenset({peer} if has_tasks else ())
                self.send(
                    membership,
                    membership.find_heartbeat_recipients(tick, True, working),
                )
                if rng.random() < 0.01:
                    claims = membership.split_peers((peer,), True)
                    self.send(membership, claims)
            for membership in self.memberships:
                (peer,) = membership.links.linked
                if not membership.ownership.is_live(peer, self.now_s):
                    silent_s.append(self.now_s)
        return silent_s

    def test_a_live_host_is_never_taken_as_lost(self):
        for seed in range(10):
            with self.subTest(seed=seed):
                self.setUp()
                self.assertEqual([], self.find_silent_times(seed, seconds=60.0))


if __name__ == "__main__":
    unittest.main()
