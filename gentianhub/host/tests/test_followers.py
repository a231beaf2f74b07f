"""Load of the store: how often hosts read the list of targets.

With 97 hosts that each read the list every 0.4 to 2 s, reading it was the largest cost
of an idle deployment. Only owners need the current list.
"""

import unittest
from contextlib import contextmanager
from unittest import mock

import gevent

from gentianhub.core import Mailbox, PlatformError, Step
from gentianhub.host import followers
from gentianhub.host import messages as ms
from gentianhub.host.registry import HostEntry, encode_host
from gentianhub.platform.settings import Address
from gentianhub.platform.store import RowsRead, StoredRow

# A leaving target must get no new work after this time, s.
LEAVING_LIMIT_S = 2.0
HOSTS, OWNERS = 97, 8


class FakeStore:
    """Counts the requests; the table does not change."""

    def __init__(self):
        self.requests = 0

    @contextmanager
    def open(self, host, port):
        yield self

    def read_rows(self, table):
        self.requests += 1
        row = StoredRow(key="t1", value=b"{}", version=1, is_removed=False)
        return RowsRead(rows=(row,), version=1)

    def follow_rows(self, table, version, wait_s):
        self.requests += 1
        return RowsRead(rows=(), version=version)


class TestPollInterval(unittest.TestCase):
    def choose(self, is_owner: bool, has_layout: bool) -> float:
        return followers.choose_poll_interval_s(is_owner, has_layout)

    def test_an_owner_sees_a_leaving_target_in_time(self):
        for has_layout in (True, False):
            self.assertLess(self.choose(True, has_layout), LEAVING_LIMIT_S / 2)

    def test_a_host_that_may_become_the_first_owner_knows_the_targets(self):
        """The number of cells is written when no new target has registered for 3 s."""
        self.assertLess(self.choose(False, False), 3.0)

    def test_hosts_without_a_cell_add_little_load(self):
        """Together they make fewer requests than the owners."""
        others = (HOSTS - OWNERS) / self.choose(False, True)
        self.assertLess(others, OWNERS / self.choose(True, True))


class TestTableFollower(unittest.TestCase):
    def test_a_message_ends_the_delay(self):
        """A new owner would use a list that is up to 20 s old."""
        store, polls = FakeStore(), Mailbox(limit=1)
        follower = followers.TableFollower(
            table="servers",
            address=Address(host="127.0.0.1", port=1),
            coordinator=Mailbox(limit=10),
            report=lambda rows: None,
            get_wait_s=lambda: 0.0,
            get_poll_interval_s=lambda: 60.0,
            polls=polls,
        )
        with mock.patch.object(followers, "open_store", store.open):
            greenlet = gevent.spawn(follower.run)
            gevent.sleep(0.01)
            self.assertEqual(1, store.requests)
            polls.try_put(ms.PollTargets())
            gevent.sleep(0.01)
            self.assertEqual(2, store.requests)
            greenlet.kill()


def build_entry(name: str) -> HostEntry:
    return HostEntry(
        data_centre="olten",
        name=name,
        address="127.0.0.1",
        port=1,
        started_ms=0,
        cores=1.0,
    )


class HostsStore(FakeStore):
    """The registry of hosts, which does not change, with the row of one host."""

    def read_rows(self, table):
        self.requests += 1
        entry = build_entry("e2")
        row = StoredRow(
            key=entry.name, value=encode_host(entry), version=1, is_removed=False
        )
        return RowsRead(rows=(row,), version=1)

    def follow_rows(self, table, version, wait_s):
        gevent.sleep(0.01)
        return super().follow_rows(table, version, wait_s)


class TestHostsFollower(unittest.TestCase):
    """Guards against a host that stays out of the registry after one lost command.

    The command to write the row again is dropped if the mailbox of the register is
    full, and was repeated only after another change of the registry.
    """

    def count_reports(self, name: str) -> int:
        coordinator = Mailbox(limit=100)
        address = Address(host="127.0.0.1", port=1)
        with mock.patch.object(followers, "open_store", HostsStore().open):
            greenlet = gevent.spawn(followers.follow_hosts, address, coordinator, name)
            gevent.sleep(0.1)
            greenlet.kill()
        return len(coordinator)

    def test_a_registry_without_this_host_is_reported_again(self):
        self.assertGreater(self.count_reports("e1"), 2)

    def test_a_registry_with_this_host_is_reported_once(self):
        self.assertEqual(1, self.count_reports("e2"))


class RefusingStore(FakeStore):
    """Refuses the first writes of a host's row; `written` are the stored ones."""

    def __init__(self, failures: int):
        super().__init__()
        self.failures = failures
        self.written = []

    def write_row(self, table, key, value):
        if self.failures:
            self.failures -= 1
            raise PlatformError(step=Step.WRITE_PLATFORM, peer="store", reason="down")
        self.written.append(key)


class TestRegister(unittest.TestCase):
    def test_the_row_of_a_host_is_written_until_it_is_stored(self):
        """The host would stay unknown to all hosts that it has not dialled."""
        store = RefusingStore(failures=2)
        address = Address(host="127.0.0.1", port=1)
        with (
            mock.patch.object(followers, "open_store", store.open),
            mock.patch.object(followers, "INITIAL_RETRY_DELAY_S", 0.01),
        ):
            greenlet = gevent.spawn(
                followers.keep_register,
                build_entry("e2"),
                address,
                Mailbox(limit=1),
                Mailbox(limit=1),
            )
            gevent.sleep(0.2)
            greenlet.kill()
        self.assertEqual(["e2"], store.written)


if __name__ == "__main__":
    unittest.main()
