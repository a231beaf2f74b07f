"""Compares ways to share target slots: `python -m benchmarks.sharing`.

Runs on a manual clock with a seed. Eight processes share 24 targets of 8 slots
with speeds from 0.6 to 1.4; a message takes 0.5 ms one way; the load is 70%.
Each way starts tasks in order of arrival; (a), (b) and (c) choose the least
outstanding target. Ideal = the longest task of the job at speed 1.
"""

import heapq
import itertools
import random
import sys
from collections import Counter, deque

from attrs import define, field

from gentianhub.core import Incarnation, ProcessName
from gentianhub.core import events as ev
from gentianhub.decisions.sharing import SlotSharing

DELAY_S = 0.0005
TICK_S = 0.05
SLOTS = 8
DURATION_S = 30.0
FAULT_AT_S = 15.0
FAULTY = 7
WARM_UP_S = 5.0
LOAD = 0.7
PROCESSES = tuple(
    Incarnation(name=ProcessName(data_centre="a", process=f"e{index}"), token="0" * 16)
    for index in range(8)
)
SPEEDS = {f"t{index:02}": 0.6 + 0.8 * index / 23 for index in range(24)}


@define(kw_only=True, eq=False)
class Job:
    """One job of the load."""

    process: int
    arrival_s: float
    runs_s: list[float]
    left: int
    ended_s: float | None = None


def build_jobs(seed: int, hot_share: float) -> list[Job]:
    """Return the arrivals; process 0 gets `hot_share` of them."""
    rng = random.Random(seed)
    mean_run_s, mean_tasks = 0.205, 6.5
    capacity = sum(SPEEDS.values()) * SLOTS / mean_run_s
    now_s, jobs = 0.0, []
    while now_s < DURATION_S:
        now_s += rng.expovariate(LOAD * capacity / mean_tasks)
        runs_s = [min(1.5, 0.05 + rng.expovariate(1 / 0.155)) for _ in range(24)]
        runs_s = runs_s[: rng.choice((1, 2, 4, 8, 8, 16))]
        is_hot = rng.random() < hot_share
        process = 0 if is_hot else rng.randrange(len(PROCESSES))
        job = Job(process=process, arrival_s=now_s, runs_s=runs_s, left=len(runs_s))
        jobs.append(job)
    return jobs


@define(kw_only=True, eq=False)
class Run:
    """Event loop, targets and counts shared by every way."""

    jobs: list[Job]
    now_s: float = 0.0
    messages: int = 0
    ended: int = 0
    starts: int = 0
    over_committed: int = 0
    queues: list[deque] = field(factory=lambda: [deque() for _ in PROCESSES])
    running: Counter = field(factory=Counter)
    waiting: dict = field(factory=lambda: {name: deque() for name in SPEEDS})
    _timeline: list = field(factory=list)
    _order: itertools.count = field(factory=itertools.count)

    def schedule(self, delay_s: float, call, *arguments) -> None:
        """Call later."""
        entry = (self.now_s + delay_s, next(self._order), call, arguments)
        heapq.heappush(self._timeline, entry)

    def send_task(self, target: str, task, on_end) -> None:
        """Run a task on a target, which queues what exceeds its slots."""
        if self.running[target] >= SLOTS:
            self.over_committed += 1
            self.waiting[target].append((task, on_end))
            return
        self.running[target] += 1
        self.starts += 1
        self.schedule(task[1] / SPEEDS[target], self._end_task, target, task, on_end)

    def _end_task(self, target: str, task, on_end) -> None:
        self.running[target] -= 1
        if self.waiting[target]:
            self.send_task(target, *self.waiting[target].popleft())
        on_end(target, task)

    def finish_task(self, task) -> None:
        """Count a task's reply at the job's owner."""
        job = task[0]
        job.left -= 1
        self.ended += 1
        if not job.left:
            job.ended_s = self.now_s

    def simulate(self, way) -> None:
        """Run the load through one way."""
        for job in self.jobs:
            self.schedule(job.arrival_s, self._arrive, way, job)
        if hasattr(way, "tick"):
            self.schedule(0.0, way.tick)
        while self._timeline and self._timeline[0][0] < DURATION_S + 10:
            self.now_s, _, call, arguments = heapq.heappop(self._timeline)
            call(*arguments)

    def _arrive(self, way, job: Job) -> None:
        self.queues[job.process].extend((job, run_s) for run_s in job.runs_s)
        way.start(job.process)


@define(kw_only=True, eq=False)
class OwnView:
    """(a) Each process knows its own tasks only; `limit` slots each for (b)."""

    run: Run
    limit: int = SLOTS
    counts: list[Counter] = field(factory=lambda: [Counter() for _ in PROCESSES])

    def start(self, process: int) -> None:
        """Send to the least outstanding target by this process's view."""
        counts, queue = self.counts[process], self.run.queues[process]
        while queue:
            target = min(SPEEDS, key=lambda name: (counts[name], -SPEEDS[name]))
            if counts[target] >= self.limit:
                return
            counts[target] += 1
            self.run.send_task(target, queue.popleft(), self._build_end(process))

    def _build_end(self, process: int):
        def end(target, task):
            self.counts[process][target] -= 1
            self.run.finish_task(task)
            self.start(process)

        return end


@define(kw_only=True, eq=False)
class HandOver:
    """(c) Tasks go to a target's owner, chosen by what was sent to it, and queue."""

    run: Run
    sent: list[Counter] = field(factory=lambda: [Counter() for _ in PROCESSES])
    queues: list[deque] = field(factory=lambda: [deque() for _ in PROCESSES])
    used: Counter = field(factory=Counter)

    def start(self, process: int) -> None:
        """Hand each task to the owner with least outstanding from here."""
        queue, sent = self.run.queues[process], self.sent[process]
        while queue:
            owner = min(range(8), key=lambda each: (sent[each], (each - process) % 8))
            sent[owner] += 1
            is_remote = owner != process
            self.run.messages += 2 * is_remote
            entry = (queue.popleft(), process)
            self.run.schedule(DELAY_S * is_remote, self._take, owner, entry)

    def _take(self, owner: int, entry) -> None:
        self.queues[owner].append(entry)
        self._serve(owner)

    def _serve(self, owner: int) -> None:
        names = list(SPEEDS)[owner::8]
        while self.queues[owner]:
            target = min(names, key=lambda name: (self.used[name], -SPEEDS[name]))
            if self.used[target] >= SLOTS:
                return
            self.used[target] += 1
            task, process = self.queues[owner].popleft()
            self.run.send_task(target, task, self._build_end(owner, process))

    def _build_end(self, owner: int, process: int):
        def end(target, task):
            self.used[target] -= 1
            delay_s = DELAY_S * (owner != process)
            self.run.schedule(delay_s, self._reply, owner, process, task)
            self._serve(owner)

        return end

    def _reply(self, owner: int, process: int, task) -> None:
        self.sent[process][owner] -= 1
        self.run.finish_task(task)


@define(kw_only=True, eq=False)
class LentSlots:
    """(d) The product's `SlotSharing`.

    From 15 s on, process 7 handles nothing for `silence_s`. The others learn it
    1 s later, and 1 s after its return.
    """

    run: Run
    silence_s: float = 0.0
    silent: set[int] = field(factory=set)
    held_back: list = field(factory=list)
    nodes: list[SlotSharing] = field(init=False)

    def __attrs_post_init__(self):
        self.nodes = [SlotSharing(owner=each) for each in PROCESSES]
        for node in self.nodes:
            node.take_message(ev.HomesChanged(processes=PROCESSES), 0.0)
            node.set_targets(dict.fromkeys(SPEEDS, SLOTS), 0.0)
        if self.silence_s:
            end_s = FAULT_AT_S + self.silence_s
            self.run.schedule(FAULT_AT_S, self.silent.add, FAULTY)
            self.run.schedule(FAULT_AT_S + 1, self._change_homes, PROCESSES[:FAULTY])
            self.run.schedule(end_s, self._resume)
            self.run.schedule(end_s + 1, self._change_homes, PROCESSES)

    def _resume(self) -> None:
        self.silent.clear()
        calls, self.held_back = self.held_back, []
        for call, *arguments in calls:
            call(*arguments)

    def _change_homes(self, processes) -> None:
        for process in range(len(processes)):
            event = ev.HomesChanged(processes=processes)
            self.nodes[process].take_message(event, self.run.now_s)
            self.start(process)

    def tick(self) -> None:
        """Let time pass at every process."""
        for process in range(len(PROCESSES)):
            self.start(process)
        self.run.schedule(TICK_S, self.tick)

    def start(self, process: int) -> None:
        """Handle one event at a process."""
        if process in self.silent:
            return
        node, queue = self.nodes[process], self.run.queues[process]
        now_s = self.run.now_s
        node.open_slots(len(queue), now_s)
        while queue:
            idle = [name for name in SPEEDS if node.holdings.count_idle(name)]
            if not idle:
                break
            target = max(idle, key=SPEEDS.get)
            node.holdings.occupy(target)
            self.run.send_task(target, queue.popleft(), self._build_end(process))
        for effect in node.settle_slots(len(queue), 1.0, now_s):
            self.run.messages += 1
            self.run.schedule(DELAY_S, self._deliver, effect)

    def _deliver(self, effect) -> None:
        process = PROCESSES.index(effect.to)
        if process in self.silent:
            self.held_back.append((self._deliver, effect))
            return
        self.nodes[process].take_message(effect.message, self.run.now_s)
        self.start(process)

    def _build_end(self, process: int):
        def end(target, task):
            if process in self.silent:
                self.held_back.append((end, target, task))
                return
            self.nodes[process].release_slot(target, self.run.now_s)
            self.run.finish_task(task)
            self.start(process)

        return end


WAYS = {
    "a own view": lambda run: OwnView(run=run),
    "b static parts": lambda run: OwnView(run=run, limit=SLOTS // len(PROCESSES)),
    "c hand over": lambda run: HandOver(run=run),
    "d lent slots": lambda run: LentSlots(run=run),
    "d paused 5 s": lambda run: LentSlots(run=run, silence_s=5.0),
    "d lost": lambda run: LentSlots(run=run, silence_s=100.0),
}


def measure(name: str, hot_share: float, seed: int) -> str:
    """Return one line of the report; jobs of the faulty process are left out."""
    run = Run(jobs=build_jobs(seed, hot_share))
    run.simulate(WAYS[name](run))
    is_faulty = name not in list(WAYS)[:4]
    counted = [
        job
        for job in run.jobs
        if job.arrival_s > WARM_UP_S and not (is_faulty and job.process == FAULTY)
    ]
    ratios = sorted(
        (job.ended_s - job.arrival_s) / max(job.runs_s)
        for job in counted
        if not job.left
    )
    p50, p99 = (ratios[int(len(ratios) * share)] for share in (0.5, 0.99))
    per_task = run.messages / run.ended
    open_jobs = sum(job.left > 0 for job in counted)
    return (
        f"{name:15} hot {hot_share:.1f}  p50 {p50:6.2f}  p99 {p99:6.2f}"
        f"  messages/task {per_task:.2f}"
        f"  over capacity {run.over_committed / run.starts:.1%}  open {open_jobs}"
    )


def run_benchmark(seed: int = 1) -> None:
    """Print the comparison for an even and a skewed load."""
    for hot_share in (0.0, 0.7):
        for name in WAYS:
            print(measure(name, hot_share, seed), flush=True)


if __name__ == "__main__":
    run_benchmark(*map(int, sys.argv[1:]))
