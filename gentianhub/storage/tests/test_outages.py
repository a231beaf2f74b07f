"""Platform client and poller under faults of the platform."""

import unittest

import gevent
from gevent.server import StreamServer

from gentianhub.core import Mailbox, PlatformError, Table, TeamRow
from gentianhub.core.events import TableAdopted
from gentianhub.decisions.versions import build_change
from gentianhub.stand_ins.platform import PlatformStandIn, serve_platform
from gentianhub.stand_ins.processes import LOOPBACK, find_free_ports
from gentianhub.storage import PlatformPoller, open_platform
from gentianhub.storage.changes import write_change


class OutageTest(unittest.TestCase):
    """Guards against an outage that ends a greenlet or reverts the table."""

    def test_every_broken_exchange_is_a_platform_error(self):
        replies = {
            "closed": b"",
            "no HTTP": b"\x00\x01\x02\r\n\r\n",
            "cut off": b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{",
            "no JSON": b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{",
            "silent": None,
        }
        for label, reply in replies.items():

            def answer(sock, _, reply=reply):
                sock.recv(65536)
                if reply is None:
                    gevent.sleep(1)
                    return
                sock.sendall(reply)

            server = StreamServer((LOOPBACK, 0), answer)
            server.start()
            port = server.server_port
            with self.subTest(label), open_platform(LOOPBACK, port, 0.2) as client:
                for call in (
                    lambda client=client: client.read_keys(("a",)),
                    lambda client=client: client.write_rows({"a": 1}, {"a": 0}),
                    lambda client=client: client.read_hosts(),
                ):
                    with self.assertRaises(PlatformError):
                        call()
            server.stop(timeout=0)

    def test_host_list_is_sent_again_only_when_it_changed(self):
        target = {"name": "t1", "data_centre": "olten"}
        other = {"name": "t2", "data_centre": "aarau"}
        platform = PlatformStandIn(hosts={"entry_processes": [], "targets": [target]})
        (port,) = find_free_ports(1)
        with (
            serve_platform(platform, (LOOPBACK, port)),
            open_platform(LOOPBACK, port) as client,
        ):
            first = client.read_hosts("olten")
            self.assertIs(client.read_hosts("olten"), first)
            platform.hosts = {"entry_processes": [], "targets": [target, other]}
            self.assertIs(client.read_hosts("olten"), first)
            platform.hosts = {"entry_processes": [], "targets": []}
            self.assertEqual(client.read_hosts("olten")["targets"], [])

    def test_watcher_keeps_its_table_and_catches_up_by_snapshot(self):
        platform = PlatformStandIn()
        (port,) = find_free_ports(1)
        dispatcher = Mailbox(limit=10)
        siblings = Mailbox(limit=100)
        poller = PlatformPoller(
            data_centre="olten", dispatcher=dispatcher, siblings=siblings
        )
        with (
            serve_platform(platform, (LOOPBACK, port)),
            open_platform(LOOPBACK, port) as client,
        ):
            table = self.write_version(client, Table())
            poller.poll(client)
            self.assertEqual(dispatcher.get().table, table)
            platform.is_down = True
            with self.assertRaises(PlatformError):
                poller.poll(client)
            self.assertEqual(poller.table, table)
            platform.is_down = False
            for _ in range(1004):
                table = self.write_version(client, table)
            reads = platform.reads
            poller.poll(client)
            self.assertEqual(dispatcher.get(), TableAdopted(table=table))
            # The siblings need the full table, since the changes start at a snapshot.
            *_, read = (siblings.get() for _ in range(len(siblings)))
            self.assertEqual(read.table, table)
            self.assertLess(len(read.changes), 10)
            # One read each for host list, head, snapshot and later changes.
            self.assertLessEqual(platform.reads - reads, 4)
            # The poller keeps its table if the platform loses its rows.
            platform.rows.clear()
            poller.poll(client)
            self.assertEqual(poller.table, table)
            self.assertEqual(len(dispatcher), 0)

    def write_version(self, client, table: Table) -> Table:
        team = TeamRow(name="desk", weight=table.version + 1.0)
        content = Table(teams={"desk": team})
        change = build_change(
            table, content, change_id=str(table.version), author="a", reason="r"
        )
        return write_change(client, table, change).table
