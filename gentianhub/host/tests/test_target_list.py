"""The list of targets of an owner that cannot read the store, while others can."""

import json
import unittest

from gentianhub.capacity import events as ev
from gentianhub.capacity.ownership import CellOwner
from gentianhub.capacity.submissions import OwnersChanged
from gentianhub.capacity.succession import Handover, HandoverKind
from gentianhub.capacity.tests.builders import CELL, build_host
from gentianhub.core import Mailbox
from gentianhub.host import messages as ms
from gentianhub.host.coordinator import Coordinator
from gentianhub.host.followers import decode_targets
from gentianhub.host.target_list import REQUEST_INTERVAL_S, TargetList
from gentianhub.host.tests.test_cells import FakeConnections
from gentianhub.host.tests.test_membership import FakeLinks
from gentianhub.platform.store import TARGETS_TABLE

OTHER_OWNER = build_host("e2", "b", data_centre="aarau")
THIRD_OWNER = build_host("e3", "c", data_centre="aarau")


def build_row(name: str, data_centre: str = "olten", **options) -> tuple[str, bytes]:
    entry = {
        "service": "order-desk",
        "address": "127.0.0.1:8000",
        "zone": data_centre,
        "state": "ready",
        "capacity": {"cpu": 64_000, "mem_mb": 4096},
    }
    return name, json.dumps(entry | options).encode()


class RecordingLinks(FakeLinks):
    """Stand-in for `HostLinks` that records the messages."""

    def __init__(self):
        super().__init__()
        self.messages = []

    def send(self, to, message) -> bool:
        self.messages.append((to, message))
        return True


class TestOwnerWithoutStore(unittest.TestCase):
    """Guards against tasks started beyond a capacity that has shrunk meanwhile."""

    def setUp(self):
        self.coordinator = Coordinator(
            local_host=build_host("e1"),
            mailbox=Mailbox(limit=100),
            registry_commands=Mailbox(limit=10),
            target_polls=Mailbox(limit=1),
            links=RecordingLinks(),
        )
        self.cells = self.coordinator.cells
        self.cells.connections = FakeConnections()
        unknown = Handover(kind=HandoverKind.UNKNOWN)
        self.cells.acquire(CELL, 1, 0.0, unknown)
        claim = ev.CellClaim(cell=CELL, term=1)
        owners = {
            CELL: CellOwner(owner=build_host("e1"), claim=claim),
            "other": CellOwner(owner=OTHER_OWNER, claim=claim),
        }
        registry = self.coordinator.requests.job_registry
        list(registry.handle(OwnersChanged(owners=owners), 0.0))
        self.read_rows(build_row("t1"), build_row("t9", "aarau"))

    def read_rows(self, *rows) -> None:
        read = ms.TargetsRead(targets=tuple(decode_targets(rows)), rows=rows, sent_s=0)
        self.coordinator._handle_message(read, 0.0)

    def lose_store(self) -> None:
        lost = ms.StoreLost(table=TARGETS_TABLE, reason="time-out")
        self.coordinator._handle_message(lost, 1.0)

    def receive(self, message) -> list:
        self.coordinator.links.messages.clear()
        self.coordinator._handle_host_message(OTHER_OWNER, message, 2.0)
        return self.coordinator.links.messages

    def get_millicores(self) -> int:
        target = self.cells.find_scheduler("t1").targets["t1"]
        return target.available.cpu_millicores

    def test_it_requests_the_list_of_another_owner(self):
        self.coordinator._request_targets(1.0)
        self.assertEqual([], self.coordinator.links.messages)
        self.lose_store()
        self.coordinator._request_targets(1.0)
        self.coordinator._request_targets(1.1)
        request = ev.TargetsRequest(data_centre="olten")
        self.assertEqual([(OTHER_OWNER, request)], self.coordinator.links.messages)

    def test_it_respects_the_capacities_in_the_list_of_another_owner(self):
        self.lose_store()
        rows = (build_row("t1", capacity={"cpu": 16_000, "mem_mb": 4096}),)
        self.receive(ev.TargetsOffer(rows=rows, data_centre="olten"))
        self.assertEqual(16_000, self.get_millicores())
        others = [t.name for t in self.cells.targets if t.data_centre == "aarau"]
        self.assertEqual(["t9"], others)

    def test_an_owner_that_reads_the_store_does_not_use_an_offered_list(self):
        rows = (build_row("t1", capacity={"cpu": 16_000, "mem_mb": 4096}),)
        self.receive(ev.TargetsOffer(rows=rows, data_centre="olten"))
        self.assertEqual(64_000, self.get_millicores())

    def test_only_an_owner_that_reads_the_store_offers_its_list(self):
        request = ev.TargetsRequest(data_centre="aarau")
        ((to, offer),) = self.receive(request)
        self.assertEqual(OTHER_OWNER, to)
        self.assertEqual(["t9"], [name for name, _ in offer.rows])
        self.lose_store()
        self.assertEqual([], self.receive(request))

    def test_a_host_without_the_list_gets_it_with_each_heartbeat(self):
        """An offer that a link loses would leave it without targets for good."""
        heartbeat = ev.HostHeartbeat(
            number=1, claims=(), configuration_version=0, lacks_targets=True
        )
        for _ in range(2):
            (offer,) = [
                message
                for _, message in self.receive(heartbeat)
                if isinstance(message, ev.TargetsOffer)
            ]
            self.assertEqual(["t1", "t9"], [name for name, _ in offer.rows])


class TestPeers(unittest.TestCase):
    def test_the_owners_are_asked_in_turn(self):
        """The first one may be cut off from the store as well."""
        target_list = TargetList(is_store_lost=True)
        owners = (OTHER_OWNER, THIRD_OWNER)
        asked = {
            target_list.choose_peer(owners, number * REQUEST_INTERVAL_S)
            for number in range(2)
        }
        self.assertEqual(set(owners), asked)


if __name__ == "__main__":
    unittest.main()
