"""Guards against wrong shares, exceeded limits and wrong counts in the fair order."""

import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from gentianhub.core import (
    Incarnation,
    JobId,
    ProcessName,
    ServiceRow,
    Table,
    TaskId,
    TeamRow,
)
from gentianhub.decisions.fairness import FairOrder
from gentianhub.decisions.order import QueuedTask
from gentianhub.decisions.runtimes import RunClass, RunTimeEstimates

OWNER = Incarnation(name=ProcessName(data_centre="d", process="p"), token="0" * 16)
RUN_S = 0.1


def build_entry(service, sequence, index=0, kind="k", accepted_s=0.0):
    return QueuedTask(
        task_id=TaskId(job_id=JobId(owner=OWNER, sequence=sequence), index=index),
        service=service,
        kind=kind,
        job_tasks=1,
        accepted_s=accepted_s,
        deadline_at_s=1e9,
    )


def build_order(teams, services, slots=100):
    order = FairOrder(runtimes=RunTimeEstimates())
    table = Table(
        version=1,
        teams={row.name: row for row in teams},
        services={row.name: row for row in services},
    )
    order.adopt_table(table)
    order.set_slots(slots, 0.0)
    return order


def start_next(order, now_s=0.0):
    entry = order.pop(now_s)
    if entry is not None:
        order.start(entry, now_s)
    return entry


def serve(order, count):
    """Start and end tasks one at a time; return how many each service had."""
    served = Counter()
    for _ in range(count):
        entry = start_next(order)
        served[entry.service] += 1
        order.end(entry.task_id, RUN_S)
    return served


class TestFairOrder(unittest.TestCase):
    def setUp(self):
        teams = [TeamRow(name="a", weight=3.0), TeamRow(name="b")]
        services = [
            ServiceRow(name="a1", team="a", weight=2.0),
            ServiceRow(name="a2", team="a"),
            ServiceRow(name="b1", team="b"),
        ]
        self.order = build_order(teams, services)

    def push_many(self, service, count, first):
        for sequence in range(first, first + count):
            self.order.push(build_entry(service, sequence), 0.0)

    def test_weights_of_both_levels_decide_the_shares(self):
        for number, service in enumerate(("a1", "a2", "b1")):
            self.push_many(service, 500, 1 + 1000 * number)
        served = serve(self.order, 400)
        for service, share in (("a1", 200), ("a2", 100), ("b1", 100)):
            self.assertAlmostEqual(served[service], share, delta=8)

    def test_an_idle_team_gets_its_share_back_at_once_and_no_credit(self):
        self.push_many("b1", 1000, 1)
        self.assertEqual(serve(self.order, 300)["b1"], 300)
        self.push_many("a1", 500, 2000)
        served = serve(self.order, 40)
        self.assertAlmostEqual(served["a1"], 30, delta=2)

    def test_a_large_job_is_not_starved_by_newer_small_ones(self):
        for index in range(170):
            self.order.push(build_entry("b1", 1, index), 0.0)
        started = Counter()
        for step in range(2000):
            now_s = step * 0.01
            self.order.push(build_entry("b1", 10 + step, accepted_s=now_s), now_s)
            entry = start_next(self.order, now_s)
            started[entry.task_id.job_id.sequence] += 1
            self.order.end(entry.task_id, RUN_S)
        self.assertEqual(started[1], 170)

    def test_long_tasks_leave_slots_to_short_ones(self):
        for _ in range(8):
            self.order.runtimes.observe("a1", "long", 9.0, 0.0)
        for sequence in range(1, 101):
            self.order.push(build_entry("a1", sequence, kind="long"), 0.0)
        self.order.set_slots(10, 0.0)
        started = [e for _ in range(10) if (e := start_next(self.order)) is not None]
        self.assertEqual(len(started), 2)
        self.push_many("b1", 1, 500)
        self.assertEqual(start_next(self.order).service, "b1")

    def test_a_kind_becomes_long_by_a_task_that_does_not_end(self):
        runtimes = RunTimeEstimates()
        runtimes.watch_start((1, 0), "s", "new", 0.0)
        self.assertEqual(list(runtimes.pop_overdue(1.9)), [])
        self.assertIsNot(runtimes.classify("s", "new"), RunClass.LONG)
        self.assertEqual(list(runtimes.pop_overdue(2.1)), [(1, 0)])
        self.assertIs(runtimes.classify("s", "new"), RunClass.LONG)


class TestRandomUse(unittest.TestCase):
    """Guards against lost or duplicate tasks, exceeded limits and drifting counts."""

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["push", "pop", "end", "drop", "table"]),
                st.integers(0, 5),
            ),
            max_size=150,
        )
    )
    def test_each_task_comes_out_once_or_is_dropped(self, steps):
        teams = [TeamRow(name="a", quota_slots=3), TeamRow(name="b", weight=2.0)]
        services = [
            ServiceRow(name=f"s{i}", team="ab"[i % 2], max_running=2 if i < 2 else None)
            for i in range(6)
        ]
        order = build_order(teams, services)
        queued, running, moved = {}, [], False
        for sequence, (action, number) in enumerate(steps, start=1):
            match action:
                case "push":
                    kind = f"k{sequence % 3}"
                    for index in range(3):
                        order.push(build_entry(f"s{number}", sequence, index, kind), 0)
                    queued[sequence] = 3
                case "pop" if (entry := start_next(order)) is not None:
                    running.append(entry)
                    queued[entry.task_id.job_id.sequence] -= 1
                case "end" if running:
                    entry = running.pop(number % len(running))
                    run_s = 5.0 if entry.kind == "k0" else 0.1
                    order.runtimes.observe(entry.service, entry.kind, run_s, 0)
                    order.end(entry.task_id, run_s)
                case "drop" if queued:
                    dropped = list(queued)[number % len(queued)]
                    order.drop_job(dropped)
                    queued.pop(dropped)
                case "table":
                    moved = True
                    rows = [*services[:5], ServiceRow(name="s5", team="ab"[number % 2])]
                    order.adopt_table(
                        Table(
                            version=2,
                            teams={t.name: t for t in teams},
                            services={row.name: row for row in rows},
                        )
                    )
            self.assertEqual(len(order), sum(queued.values()))
            per_service = Counter(entry.service for entry in running)
            self.assertLessEqual(max(per_service["s0"], per_service["s1"]), 2)
            if not moved:
                in_team_a = sum(per_service[f"s{i}"] for i in (0, 2, 4))
                self.assertLessEqual(in_team_a, 3)
        while running or len(order):
            while (entry := start_next(order)) is not None:
                running.append(entry)
            self.assertTrue(running, "queued tasks but none may start")
            while running:
                order.end(running.pop().task_id, 0.1)
        self.assertAlmostEqual(order.queued_work_s, 0.0)
