"""Slot sharing between processes over a simulated unreliable network."""

import random
import unittest
from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gentianhub.core import Incarnation, ProcessName
from gentianhub.core import events as ev
from gentianhub.decisions.lending import LEASE_S
from gentianhub.decisions.sharing import SlotSharing

SLOTS = 4
TARGETS = {f"t{index}": SLOTS for index in range(5)}
PROCESSES = [
    Incarnation(name=ProcessName(data_centre="a", process=f"e{index}"), token="0" * 16)
    for index in range(3)
]
number_of_process = st.integers(0, len(PROCESSES) - 1)


class Network:
    """Processes, their queued tasks and the messages between them."""

    def __init__(self):
        self.now_s = 0.0
        self.messages = []
        self.paused = set()
        self.is_lossy = False
        self.random = random.Random(1)
        self.queued = Counter()
        self.running = []
        self.nodes = {each: SlotSharing(owner=each) for each in PROCESSES}
        for node in self.nodes.values():
            node.set_targets(TARGETS, 0.0)
        self.change_homes(PROCESSES)

    def change_homes(self, processes):
        for process in processes:
            self.handle(process, ev.LiveProcessesChanged(processes=tuple(processes)))

    def handle(self, process, event=None):
        node = self.nodes[process]
        if event is not None:
            node.handle_message(event, self.now_s)
        node.update_holdings(self.queued[process], self.now_s)
        for target in node.holdings.held:
            while self.queued[process] and node.holdings.count_idle(target):
                assert node.holdings.lease_ends[target] > self.now_s, (
                    "task started after its lease ended"
                )
                node.holdings.occupy(target)
                self.queued[process] -= 1
                self.running.append((process, target))
        for effect in node.collect_messages(self.queued[process], 1.0, self.now_s):
            self.check_grant(node, effect.message)
            if not self.is_lossy or self.random.random() < 0.7:
                self.messages.append((process, effect))

    def check_grant(self, node, message):
        if isinstance(message, ev.SlotGrant) and message.count:
            lent = sum(
                borrower_state.lent[message.target]
                for borrower_state in node.lending.borrower_states.values()
            )
            assert lent <= node.lending.capacity[message.target], (
                "more slots lent than the target has"
            )

    def deliver(self):
        waiting, self.messages = self.messages, []
        for sender, effect in waiting:
            if effect.recipient in self.paused:
                self.messages.append((sender, effect))
            else:
                self.handle(effect.recipient, effect.message)

    def pass_time(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.now_s += 0.05
            for process in PROCESSES:
                if process not in self.paused:
                    self.handle(process)
            self.deliver()

    def end_task(self, index=0):
        process, target = self.running.pop(index)
        self.nodes[process].release_slot(target, self.now_s)
        if process not in self.paused:
            self.handle(process)

    def settle(self):
        self.is_lossy = False
        self.paused.clear()
        self.change_homes(PROCESSES)
        self.queued.clear()
        while self.running:
            self.end_task()
        self.pass_time(2 * LEASE_S)


class SharingMachine(RuleBasedStateMachine):
    """Guards against leaked slots, late starts and over-lending under faults."""

    def __init__(self):
        super().__init__()
        self.network = Network()

    @rule(process=number_of_process, count=st.integers(1, 30))
    def queue_tasks(self, process, count):
        self.network.queued[PROCESSES[process]] += count
        if PROCESSES[process] not in self.network.paused:
            self.network.handle(PROCESSES[process])

    @rule(process=number_of_process)
    def toggle_pause(self, process):
        self.network.paused ^= {PROCESSES[process]}

    @rule(is_lossy=st.booleans())
    def change_loss(self, is_lossy):
        self.network.is_lossy = is_lossy

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 2.5]))
    def pass_time(self, seconds):
        self.network.pass_time(seconds)

    @rule(count=st.integers(1, 20))
    def end_tasks(self, count):
        for _ in range(min(count, len(self.network.running))):
            self.network.end_task()

    @rule()
    def repeat_messages(self):
        for sender, effect in tuple(self.network.messages):
            if isinstance(effect.message, ev.SlotGrant):
                self.network.messages.append((sender, effect))

    @rule(process=number_of_process)
    def split_views(self, process):
        alone = PROCESSES[process]
        if alone not in self.network.paused:
            self.network.handle(alone, ev.LiveProcessesChanged(processes=(alone,)))

    @invariant()
    def no_slot_is_counted_below_zero(self):
        for node in self.network.nodes.values():
            assert min(node.holdings.held.values()) >= 0
            assert min(node.lending._lent.values(), default=0) >= 0

    def teardown(self):
        self.network.settle()
        self.network.queued[PROCESSES[0]] = SLOTS * len(TARGETS)
        self.network.pass_time(3.0)
        assert len(self.network.running) == SLOTS * len(TARGETS), "a slot is leaked"


SharingMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None, derandomize=True
)
SharingTest = SharingMachine.TestCase


class FairnessTest(unittest.TestCase):
    """Guards against a process that keeps all slots while another one waits."""

    def test_waiting_borrower_gets_its_share_from_one_that_holds_all(self):
        network = Network()
        network.pass_time(0.2)
        network.queued[PROCESSES[0]] = 100
        network.pass_time(0.5)
        self.assertEqual(len(network.running), 20)
        network.queued[PROCESSES[1]] = 100
        for _ in range(60):
            network.end_task()
            network.pass_time(0.05)
        shares = Counter(process for process, _ in network.running)
        self.assertEqual(sorted(shares), PROCESSES[:2])
        self.assertLessEqual(abs(shares[PROCESSES[0]] - 10), 2)


class GrantTest(unittest.TestCase):
    """Guards against slots from void grants, and slots that are never reclaimed."""

    def setUp(self):
        self.network = Network()
        self.network.pass_time(0.2)
        self.borrower = PROCESSES[0]
        self.node = self.network.nodes[self.borrower]
        self.network.queued[self.borrower] = 100
        self.network.handle(self.borrower)
        self.network.deliver()
        self.grants = [
            effect.message
            for _, effect in self.network.messages
            if isinstance(effect.message, ev.SlotGrant) and effect.message.count
        ]
        self.assertTrue(self.grants)
        self.held = dict(self.node.holdings.held)

    def deliver_grants(self, delay_s):
        for grant in self.grants:
            self.node.handle_message(grant, self.network.now_s + delay_s)

    def test_repeated_grant_adds_nothing(self):
        self.deliver_grants(0.0)
        held = dict(self.node.holdings.held)
        self.assertNotEqual(held, self.held)
        self.deliver_grants(0.0)
        self.assertEqual(held, self.node.holdings.held)

    def test_grant_after_its_lease_is_ignored(self):
        self.deliver_grants(LEASE_S)
        self.assertEqual(self.held, self.node.holdings.held)

    def test_grant_for_a_demand_before_the_report_is_ignored(self):
        self.node.borrower.require_sync(PROCESSES)
        self.network.now_s += 0.05
        self.network.handle(self.borrower)
        self.deliver_grants(0.0)
        self.assertEqual(self.held, self.node.holdings.held)

    def test_lost_borrower_is_reserved_for_the_lease_and_then_reclaimed(self):
        lenders = [self.network.nodes[each].lending for each in PROCESSES[1:]]
        lent = sum(sum(each.count_lent().values()) for each in lenders)
        self.assertGreater(lent, 0)
        self.network.paused.add(self.borrower)
        self.network.pass_time(1.5)
        reserved = [self.network.nodes[each].count_reserved(1.7) for each in PROCESSES]
        self.assertEqual(sum(sum(each.values()) for each in reserved), lent)
        self.network.pass_time(1.0)
        self.assertEqual(sum(sum(each.count_lent().values()) for each in lenders), 0)
