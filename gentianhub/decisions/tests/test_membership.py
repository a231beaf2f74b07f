import unittest

from gentianhub.core import EntryProcessAddress, Incarnation, ProcessName
from gentianhub.core.events import LiveProcessesChanged, Tick
from gentianhub.decisions import membership as mb


def build_incarnation(name: str, token: str = "a") -> Incarnation:
    process = ProcessName(data_centre="olten", process=name)
    return Incarnation(name=process, token=token * 16)


def build_address(incarnation: Incarnation) -> EntryProcessAddress:
    return EntryProcessAddress(name=incarnation.name, host="127.0.0.1", port=1)


def identify(incarnation: Incarnation, started_ms: int = 0) -> mb.PeerIdentified:
    address = build_address(incarnation)
    return mb.PeerIdentified(
        incarnation=incarnation, started_ms=started_ms, address=address
    )


def build_list(*incarnations: Incarnation) -> mb.HostList:
    return mb.HostList(processes=tuple(map(build_address, incarnations)), targets=())


OWN, SECOND, THIRD = map(build_incarnation, ("e1", "e2", "e3"))
TIMEOUT_S = mb.LIVE_TIMEOUT_S


class MembershipTest(unittest.TestCase):
    """Guards against homes taken from the list alone, or announced too early."""

    def setUp(self):
        self.membership = mb.Membership(own_incarnation=OWN, started_s=0.0)

    def handle(self, event, now_s: float) -> list[Incarnation] | None:
        changes = list(self.membership.handle(event, now_s))
        if not changes:
            return None
        (change,) = changes
        self.assertIsInstance(change, LiveProcessesChanged)
        return list(change.processes)

    def test_liveness_depends_on_messages_and_not_on_the_list(self):
        self.assertIsNone(self.handle(build_list(OWN, SECOND), 0.0))
        self.assertIsNone(self.handle(identify(THIRD), 0.1))
        self.assertEqual(self.handle(identify(SECOND), 0.2), [OWN, SECOND, THIRD])
        self.handle(mb.PeerMessageReceived(incarnation=THIRD), 0.9)
        lost = self.handle(Tick(), 0.2 + TIMEOUT_S)
        self.assertEqual(lost, [OWN, THIRD])
        self.assertIsNone(self.handle(build_list(OWN, SECOND, THIRD), 1.3))
        again = self.handle(mb.PeerMessageReceived(incarnation=SECOND), 1.4)
        self.assertEqual(again, [OWN, SECOND, THIRD])

    def test_starting_process_waits_before_it_announces_itself_as_only_home(self):
        self.assertIsNone(self.handle(Tick(), 0.5))
        self.assertEqual(self.handle(Tick(), TIMEOUT_S), [OWN])

    def test_only_listed_process_is_home_at_once(self):
        self.assertEqual(self.handle(build_list(OWN), 0.1), [OWN])

    def test_replaced_incarnation_is_ignored(self):
        new = build_incarnation("e2", "b")
        self.handle(build_list(OWN, SECOND), 0.0)
        self.handle(identify(SECOND, 1), 0.1)
        self.assertEqual(self.handle(identify(new, 2), 0.2), [OWN, new])
        self.assertIsNone(self.handle(identify(SECOND, 1), 0.3))
        self.assertIsNone(self.handle(mb.PeerMessageReceived(incarnation=SECOND), 0.4))
        replaced = self.membership.locate_owner(SECOND, {new})
        self.assertEqual(replaced, mb.OwnerReplaced(successor=new))

    def test_owner_that_is_not_known_yet_is_located_by_the_list(self):
        new = build_incarnation("e2", "b")
        self.handle(build_list(OWN, SECOND), 0.0)
        self.handle(identify(SECOND), 0.1)
        located = self.membership.locate_owner(new, set())
        self.assertEqual(located, mb.OwnerReachable(address=build_address(new)))

    def test_two_processes_poll_whatever_the_order_of_the_view(self):
        incarnations = [build_incarnation(f"e{number}") for number in range(9)]
        pollers = mb.select_pollers(incarnations)
        self.assertEqual(len(pollers), mb.POLLERS_PER_DATA_CENTRE)
        self.assertEqual(mb.select_pollers(reversed(incarnations)), pollers)
