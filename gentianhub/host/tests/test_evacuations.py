"""Hosts that learn of an evacuation late, from each other, or after a freeze."""

import unittest
from unittest import mock

import gevent

from gentianhub.capacity.evacuations import Evacuations
from gentianhub.capacity.tests.builders import build_host
from gentianhub.core import Mailbox
from gentianhub.host import evacuations, followers
from gentianhub.host import messages as ms
from gentianhub.host.tests.simulated_hosts import SimulatedDeployment, SimulatedHost
from gentianhub.host.tests.test_followers import FakeStore
from gentianhub.host.tests.test_suspended_hosts import (
    READING_ORDERS,
    SuspendedOwnerTest,
)
from gentianhub.platform.settings import Address, normalize_name
from gentianhub.platform.store import HistoryExpired, RowsRead, StoredRow

# Time for hosts without the store to learn of a row from others. The page allows 5 s
# for starts to end and asks for 1 s.
LEARNING_S = 1.0
# Time until starts resume after an owner has learned of the end of an evacuation.
HEARTBEAT_S = 0.2
JOBS = [f"00000000000000c{number}" for number in range(8)]


def read_rows(host: SimulatedHost, version: int, *data_centres: str) -> None:
    """Let a host read the evacuations in the store."""
    state = Evacuations(version=version, data_centres=frozenset(data_centres))
    host.receive(ms.EvacuationsRead(evacuations=state))


class TestDeployment(unittest.TestCase):
    """One owner each in olten and bern, and two hosts without targets in aarau."""

    def start(self, *additional: SimulatedHost) -> None:
        self.deployment.hosts += additional
        self.enterContext(self.deployment)

    def setUp(self):
        self.deployment = SimulatedDeployment()
        self.olten, self.bern = self.deployment.owners
        self.front, self.other_front = self.deployment.fronts

    def test_a_host_without_the_store_evacuates_for_as_long_as_the_others(self):
        """Its targets got tasks until the store was back."""
        self.start()
        read_rows(self.front, 5, "olten")
        self.deployment.run(LEARNING_S)
        read_rows(self.olten, 4)
        for job in JOBS[:3]:
            self.olten.submit(job)
        self.deployment.run(1.0)
        self.assertEqual([], self.olten.targets.starts)
        self.assertEqual(1, len(self.bern.targets.starts))
        read_rows(self.front, 6)
        self.deployment.run(LEARNING_S + HEARTBEAT_S)
        self.olten.submit(JOBS[3])
        self.deployment.run(HEARTBEAT_S)
        self.assertEqual(1, len(self.deployment.list_starts(JOBS[3])))
        self.assertEqual(1, len(self.olten.targets.starts))

    def test_an_owner_tells_all_hosts_at_once(self):
        """Front hosts sent tasks that were handed back to the same data centre."""
        self.start()
        read_rows(self.olten, 5, "olten")
        self.deployment.run(0.05)
        for host in self.deployment.hosts:
            self.assertEqual(1, host.coordinator.metrics.evacuations)

    def test_waiting_jobs_end_elsewhere_and_running_ones_where_they_are(self):
        """Callers waited in the queue of a data centre in which nothing starts."""
        self.start()
        callers = {job: self.olten.submit(job) for job in JOBS[:4]}
        self.deployment.run(0.1)
        read_rows(self.olten, 5, "olten")
        self.deployment.run(HEARTBEAT_S)
        for _ in JOBS:
            self.deployment.end_job(self.olten.targets.starts[0][1])
            for job in JOBS[:4]:
                self.deployment.end_job(job)
            self.deployment.run(0.3)
        self.assertEqual(1, len(self.olten.targets.starts))
        self.assertEqual(3, len(self.bern.targets.starts))
        self.assertEqual([200] * 4, [callers[job].get().status for job in callers])

    def test_jobs_are_refused_at_once_if_all_data_centres_are_evacuated(self):
        self.start()
        occupants = [self.olten.submit(job) for job in JOBS[:2]]
        self.deployment.run(0.1)
        waiting = self.front.submit(JOBS[2])
        self.deployment.run(0.1)
        read_rows(self.bern, 5, "olten", "bern")
        self.deployment.run(HEARTBEAT_S)
        refused = self.front.submit(JOBS[3])
        self.deployment.run(0.1)
        for caller in (waiting, refused):
            response = caller.get(timeout_s=0.0)
            self.assertEqual(503, response.status)
            self.assertIn("Retry-After", dict(response.headers))
        self.assertEqual([0, 0], [len(caller) for caller in occupants])

    def test_a_new_owner_starts_nothing_during_an_evacuation(self):
        """The state has to outlive the owner, also if the store is away."""
        second = SimulatedHost(
            self.deployment, build_host("o3", "e", data_centre="olten")
        )
        self.start(second)
        read_rows(self.front, 5, "olten")
        self.deployment.run(LEARNING_S)
        owner, other = self.olten, second
        if second.coordinator.cells:
            owner, other = second, self.olten
        owner.suspend()
        self.deployment.run(1.5)
        self.assertTrue(other.coordinator.cells)
        other.submit(JOBS[0])
        self.deployment.run(1.0)
        self.assertEqual([], other.targets.starts)
        read_rows(self.front, 6)
        self.deployment.run(LEARNING_S + HEARTBEAT_S)
        other.submit(JOBS[1])
        self.deployment.run(1.0)
        self.assertEqual(1, len(other.targets.starts))


class TestFrozenOwner(SuspendedOwnerTest):
    def test_an_owner_that_was_frozen_starts_nothing_before_it_knows_the_row(self):
        """It read the row 0.3 s after jobs of callers that had come meanwhile."""
        for order, first in READING_ORDERS.items():
            with self.subTest(order):
                self.start_deployment()
                _, owner = self.submit_waiting()
                owner.suspend()
                self.end_occupants()
                self.deployment.run(0.8)
                self.close_links(owner)
                self.deployment.run(5.2)
                starts = len(owner.targets.starts)
                owner.resume(first)
                self.deployment.run(0.02)
                for job in JOBS:
                    owner.submit(job)
                self.deployment.run(0.3)
                read_rows(owner, 5, owner.incarnation.name.data_centre)
                self.deployment.run(2.0)
                self.assertEqual(starts, len(owner.targets.starts))


class TestUnknownDataCentre(unittest.TestCase):
    def test_a_name_without_hosts_and_targets_is_logged_once(self):
        """An operator who mistypes a name would take the data centre for evacuated."""
        deployment = SimulatedDeployment()
        self.enterContext(deployment)
        with self.assertLogs("gentianhub.host") as logs:
            read_rows(deployment.owners[0], 5, "bern", "oltn")
            deployment.run(3.0)
        name = "evacuation of an unknown data centre"
        records = [r for r in logs.records if r.getMessage() == name]
        hosts = len(deployment.hosts)
        self.assertEqual(["oltn"] * hosts, [record.id for record in records])


class ScriptedStore(FakeStore):
    """Returns one table of keys after another, as the history is lost meanwhile."""

    def __init__(self, tables):
        super().__init__()
        self.tables = list(tables)

    def read_rows(self, table):
        self.requests += 1
        keys = self.tables.pop(0)
        rows = tuple(StoredRow(key=key, version=1, value=b"{}") for key in keys)
        return RowsRead(rows=rows, version=10 + self.requests)

    def follow_rows(self, table, version, wait_s):
        gevent.sleep(0.01 if self.tables else 60.0)
        return HistoryExpired()


class TestFollower(unittest.TestCase):
    def read(self, *tables) -> list[Evacuations]:
        coordinator = Mailbox(limit=100)
        store = ScriptedStore(tables)
        with (
            mock.patch.object(followers, "open_store", store.open),
            mock.patch.object(evacuations, "log_decision") as log,
        ):
            address = Address(host="127.0.0.1", port=1)
            greenlet = gevent.spawn(
                followers.follow_configuration, address, coordinator, lambda: True
            )
            gevent.sleep(0.2)
            greenlet.kill()
        self.logged = [call.args[:2] for call in log.call_args_list]
        messages = [coordinator.get() for _ in range(len(coordinator))]
        self.configurations = [m for m in messages if type(m) is ms.ConfigurationRead]
        return [m.evacuations for m in messages if type(m) is ms.EvacuationsRead]

    def test_a_row_removed_with_the_lost_history_ends_its_evacuation(self):
        """Only rows that the feed names as removed would be noticed."""
        first, second = self.read(["evacuate/olten", "config"], ["config"])
        self.assertEqual({"olten"}, first.data_centres)
        self.assertEqual(frozenset(), second.data_centres)
        self.assertGreater(second.version, first.version)

    def test_malformed_keys_are_logged_once_and_names_are_normalised(self):
        """One such key would hide the configuration and all other evacuations."""
        table = ["config", "evacuate/", "evacuate/Olten West", "evacuations", "other"]
        for state in self.read(table, table):
            self.assertEqual({normalize_name("Olten West")}, state.data_centres)
        self.assertEqual([("evacuation not usable", "evacuate/")], self.logged)
        self.assertEqual(2, len(self.configurations))


if __name__ == "__main__":
    unittest.main()
