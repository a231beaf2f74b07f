"""Compares strategies for sharing target slots between entry processes.

Run with `python -m benchmarks.sharing [SEED]`; the simulation uses a manual clock.
Eight processes share 24 targets of 8 slots with speeds from 0.6 to 1.4; a message
takes 0.5 ms one way; the load is 70%. Each strategy starts tasks in order of arrival;
(a), (b) and (c) choose the target with the fewest outstanding tasks. The p50 and p99
are of the response time over the run time of the job's longest task at speed 1.
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
SLOTS_PER_TARGET = 8
DURATION_S = 30.0
FAULT_START_S = 15.0
FAULTY_PROCESS = 7
WARM_UP_S = 5.0
LOAD = 0.7
PROCESSES = tuple(
    Incarnation(name=ProcessName(data_centre="a", process=f"e{index}"), token="0" * 16)
    for index in range(8)
)
TARGET_SPEEDS = {f"t{index:02}": 0.6 + 0.8 * index / 23 for index in range(24)}


@define(kw_only=True, eq=False)
class Job:
    """One job of the load; times in seconds of the manual clock."""

    process: int
    arrival_s: float
    run_times_s: list[float]
    remaining: int
    ended_s: float | None = None


def build_jobs(seed: int, hot_share: float) -> list[Job]:
    """Return the jobs; `hot_share` go to process 0, the others to random processes."""
    rng = random.Random(seed)
    mean_run_s, mean_tasks = 0.205, 6.5
    capacity = sum(TARGET_SPEEDS.values()) * SLOTS_PER_TARGET / mean_run_s
    now_s, jobs = 0.0, []
    while now_s < DURATION_S:
        now_s += rng.expovariate(LOAD * capacity / mean_tasks)
        run_times_s = [min(1.5, 0.05 + rng.expovariate(1 / 0.155)) for _ in range(24)]
        run_times_s = run_times_s[: rng.choice((1, 2, 4, 8, 8, 16))]
        is_hot = rng.random() < hot_share
        process = 0 if is_hot else rng.randrange(len(PROCESSES))
        job = Job(
            process=process,
            arrival_s=now_s,
            run_times_s=run_times_s,
            remaining=len(run_times_s),
        )
        jobs.append(job)
    return jobs


@define(kw_only=True, eq=False)
class Simulation:
    """Event loop, simulated targets and counters, shared by all strategies."""

    jobs: list[Job]
    now_s: float = 0.0
    messages: int = 0
    ended: int = 0
    starts: int = 0
    over_committed: int = 0
    queues: list[deque] = field(factory=lambda: [deque() for _ in PROCESSES])
    running: Counter = field(factory=Counter)
    waiting: dict = field(factory=lambda: {name: deque() for name in TARGET_SPEEDS})
    _event_queue: list = field(factory=list)
    _sequence_numbers: itertools.count = field(factory=itertools.count)

    def schedule(self, delay_s: float, callback, *arguments) -> None:
        """Call a function after a delay on the manual clock."""
        entry = (
            self.now_s + delay_s,
            next(self._sequence_numbers),
            callback,
            arguments,
        )
        heapq.heappush(self._event_queue, entry)

    def send_task(self, target: str, task, on_end) -> None:
        """Run a task on a target, which queues tasks beyond its slots."""
        if self.running[target] >= SLOTS_PER_TARGET:
            self.over_committed += 1
            self.waiting[target].append((task, on_end))
            return
        self.running[target] += 1
        self.starts += 1
        self.schedule(
            task[1] / TARGET_SPEEDS[target], self._end_task, target, task, on_end
        )

    def _end_task(self, target: str, task, on_end) -> None:
        self.running[target] -= 1
        if self.waiting[target]:
            self.send_task(target, *self.waiting[target].popleft())
        on_end(target, task)

    def finish_task(self, task) -> None:
        """Record the end of a task at the process of its job."""
        job = task[0]
        job.remaining -= 1
        self.ended += 1
        if not job.remaining:
            job.ended_s = self.now_s

    def simulate(self, strategy) -> None:
        """Run the load with one strategy."""
        for job in self.jobs:
            self.schedule(job.arrival_s, self._arrive, strategy, job)
        if hasattr(strategy, "tick"):
            self.schedule(0.0, strategy.tick)
        while self._event_queue and self._event_queue[0][0] < DURATION_S + 10:
            self.now_s, _, callback, arguments = heapq.heappop(self._event_queue)
            callback(*arguments)

    def _arrive(self, strategy, job: Job) -> None:
        self.queues[job.process].extend((job, run_s) for run_s in job.run_times_s)
        strategy.start(job.process)


@define(kw_only=True, eq=False)
class LocalCounts:
    """(a) Each process counts its own tasks only; (b) has a static `limit` of slots."""

    run: Simulation
    limit: int = SLOTS_PER_TARGET
    counts: list[Counter] = field(factory=lambda: [Counter() for _ in PROCESSES])

    def start(self, process: int) -> None:
        """Send each task to the target with the fewest tasks from this process."""
        counts, queue = self.counts[process], self.run.queues[process]
        while queue:
            target = min(
                TARGET_SPEEDS, key=lambda name: (counts[name], -TARGET_SPEEDS[name])
            )
            if counts[target] >= self.limit:
                return
            counts[target] += 1
            self.run.send_task(
                target, queue.popleft(), self._build_end_callback(process)
            )

    def _build_end_callback(self, process: int):
        def end(target, task):
            self.counts[process][target] -= 1
            self.run.finish_task(task)
            self.start(process)

        return end


@define(kw_only=True, eq=False)
class OwnerForwarding:
    """(c) Tasks are forwarded to the owner of a target and queued there."""

    run: Simulation
    sent: list[Counter] = field(factory=lambda: [Counter() for _ in PROCESSES])
    queues: list[deque] = field(factory=lambda: [deque() for _ in PROCESSES])
    used_slots: Counter = field(factory=Counter)

    def start(self, process: int) -> None:
        """Forward each task to the owner with the fewest tasks from this process."""
        queue, sent = self.run.queues[process], self.sent[process]
        while queue:
            owner = min(range(8), key=lambda each: (sent[each], (each - process) % 8))
            sent[owner] += 1
            is_remote = owner != process
            self.run.messages += 2 * is_remote
            entry = (queue.popleft(), process)
            self.run.schedule(DELAY_S * is_remote, self._enqueue, owner, entry)

    def _enqueue(self, owner: int, entry) -> None:
        self.queues[owner].append(entry)
        self._start_queued(owner)

    def _start_queued(self, owner: int) -> None:
        names = list(TARGET_SPEEDS)[owner::8]
        while self.queues[owner]:
            target = min(
                names, key=lambda name: (self.used_slots[name], -TARGET_SPEEDS[name])
            )
            if self.used_slots[target] >= SLOTS_PER_TARGET:
                return
            self.used_slots[target] += 1
            task, process = self.queues[owner].popleft()
            self.run.send_task(target, task, self._build_end_callback(owner, process))

    def _build_end_callback(self, owner: int, process: int):
        def end(target, task):
            self.used_slots[target] -= 1
            delay_s = DELAY_S * (owner != process)
            self.run.schedule(delay_s, self._reply, owner, process, task)
            self._start_queued(owner)

        return end

    def _reply(self, owner: int, process: int, task) -> None:
        self.sent[process][owner] -= 1
        self.run.finish_task(task)


@define(kw_only=True, eq=False)
class SlotLending:
    """(d) Processes lend each other slots with the product's `SlotSharing`.

    From 15 s on, process 7 handles no event for `silence_s`. The others detect this
    after 1 s, and its return 1 s after it resumes.
    """

    run: Simulation
    silence_s: float = 0.0
    silent: set[int] = field(factory=set)
    deferred_calls: list = field(factory=list)
    nodes: list[SlotSharing] = field(init=False)

    def __attrs_post_init__(self):
        self.nodes = [SlotSharing(owner=each) for each in PROCESSES]
        for node in self.nodes:
            node.handle_message(ev.LiveProcessesChanged(processes=PROCESSES), 0.0)
            node.set_targets(dict.fromkeys(TARGET_SPEEDS, SLOTS_PER_TARGET), 0.0)
        if self.silence_s:
            end_s = FAULT_START_S + self.silence_s
            self.run.schedule(FAULT_START_S, self.silent.add, FAULTY_PROCESS)
            self.run.schedule(
                FAULT_START_S + 1, self._change_homes, PROCESSES[:FAULTY_PROCESS]
            )
            self.run.schedule(end_s, self._resume)
            self.run.schedule(end_s + 1, self._change_homes, PROCESSES)

    def _resume(self) -> None:
        self.silent.clear()
        calls, self.deferred_calls = self.deferred_calls, []
        for callback, *arguments in calls:
            callback(*arguments)

    def _change_homes(self, processes) -> None:
        for process in range(len(processes)):
            event = ev.LiveProcessesChanged(processes=processes)
            self.nodes[process].handle_message(event, self.run.now_s)
            self.start(process)

    def tick(self) -> None:
        """Start queued tasks and send due messages at every process, once per tick."""
        for process in range(len(PROCESSES)):
            self.start(process)
        self.run.schedule(TICK_S, self.tick)

    def start(self, process: int) -> None:
        """Start queued tasks at a process and send the slot messages that are due."""
        if process in self.silent:
            return
        node, queue = self.nodes[process], self.run.queues[process]
        now_s = self.run.now_s
        node.update_holdings(len(queue), now_s)
        while queue:
            idle = [name for name in TARGET_SPEEDS if node.holdings.count_idle(name)]
            if not idle:
                break
            target = max(idle, key=TARGET_SPEEDS.get)
            node.holdings.occupy(target)
            self.run.send_task(
                target, queue.popleft(), self._build_end_callback(process)
            )
        for effect in node.collect_messages(len(queue), 1.0, now_s):
            self.run.messages += 1
            self.run.schedule(DELAY_S, self._deliver, effect)

    def _deliver(self, effect) -> None:
        process = PROCESSES.index(effect.recipient)
        if process in self.silent:
            self.deferred_calls.append((self._deliver, effect))
            return
        self.nodes[process].handle_message(effect.message, self.run.now_s)
        self.start(process)

    def _build_end_callback(self, process: int):
        def end(target, task):
            if process in self.silent:
                self.deferred_calls.append((end, target, task))
                return
            self.nodes[process].release_slot(target, self.run.now_s)
            self.run.finish_task(task)
            self.start(process)

        return end


STRATEGIES = {
    "a local counts": lambda run: LocalCounts(run=run),
    "b static split": lambda run: LocalCounts(
        run=run, limit=SLOTS_PER_TARGET // len(PROCESSES)
    ),
    "c forwarding": lambda run: OwnerForwarding(run=run),
    "d slot lending": lambda run: SlotLending(run=run),
    "d paused 5 s": lambda run: SlotLending(run=run, silence_s=5.0),
    "d lost": lambda run: SlotLending(run=run, silence_s=100.0),
}


def measure(name: str, hot_share: float, seed: int) -> str:
    """Return one line of the report.

    Jobs of the faulty process are left out if the scenario has one.
    """
    run = Simulation(jobs=build_jobs(seed, hot_share))
    run.simulate(STRATEGIES[name](run))
    is_faulty = name not in list(STRATEGIES)[:4]
    measured = [
        job
        for job in run.jobs
        if job.arrival_s > WARM_UP_S
        and not (is_faulty and job.process == FAULTY_PROCESS)
    ]
    ratios = sorted(
        (job.ended_s - job.arrival_s) / max(job.run_times_s)
        for job in measured
        if not job.remaining
    )
    p50, p99 = (ratios[int(len(ratios) * share)] for share in (0.5, 0.99))
    per_task = run.messages / run.ended
    open_jobs = sum(job.remaining > 0 for job in measured)
    return (
        f"{name:15} hot {hot_share:.1f}  p50 {p50:6.2f}  p99 {p99:6.2f}"
        f"  messages/task {per_task:.2f}"
        f"  over capacity {run.over_committed / run.starts:.1%}  open {open_jobs}"
    )


def run_benchmark(seed: int = 1) -> None:
    """Print the comparison for a uniform and a skewed load."""
    for hot_share in (0.0, 0.7):
        for name in STRATEGIES:
            print(measure(name, hot_share, seed), flush=True)


if __name__ == "__main__":
    run_benchmark(*map(int, sys.argv[1:]))
