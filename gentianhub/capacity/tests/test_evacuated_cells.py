"""A cell whose data centre is evacuated at random times while owners and links fail.

A task that is handed back runs in another data centre, so it may have no run here, now
or later. Evacuations outlive the owners.
"""

import unittest

from attrs import define, field

from gentianhub.capacity import events as ev
from gentianhub.capacity.evacuations import Evacuations, KnownEvacuations
from gentianhub.capacity.jobs import TaskKey
from gentianhub.capacity.leases import START_WAIT_LIMIT_S
from gentianhub.capacity.tests.builders import (
    CELL,
    build_key,
    build_request,
    build_step,
)
from gentianhub.capacity.tests.simulated_cell import (
    LATENCY_S,
    RESTART_S,
    SimulatedCell,
)

SEEDS = range(12)
END_S = 30.0
# A start that was decided before may wait for its turn and for a target that restarts.
LAST_START_S = START_WAIT_LIMIT_S + LATENCY_S[1] + 2 * RESTART_S


@define(kw_only=True, eq=False)
class EvacuatedCell(SimulatedCell):
    """Front hosts ask the cell only for tasks that it has not handed back.

    `violations` describes runs of tasks that were handed back, and starts later than
    `LAST_START_S` after the state was adopted. `resumed` counts the starts after the
    end of an evacuation.
    """

    known: KnownEvacuations = field(factory=lambda: KnownEvacuations())
    handed_back: set[TaskKey] = field(factory=set)
    violations: list[str] = field(factory=list)
    resumed: int = 0
    _begun_s: float = field(init=False, default=float("inf"))

    def play(self) -> None:
        self.submit_jobs(END_S, per_s=12.0)
        at_s = 0.0
        while at_s < END_S:
            at_s += self.random.uniform(0.5, 3.0)
            fault = self.random.choice(
                [self.lose_owner, self.suspend, self.restart, self.cut]
            )
            self.schedule(at_s, fault)
            self.schedule(at_s + self.random.uniform(-0.3, 0.5), self.evacuate)
        self.run(END_S + 5.0)

    def evacuate(self) -> None:
        """Begin an evacuation, or end the one that is in force."""
        is_begun = self._begun_s < self.now_s
        self._begun_s = float("inf") if is_begun else self.now_s
        names = frozenset() if is_begun else frozenset({CELL.data_centre})
        version = self.known.current.version + 1
        self.known.adopt(Evacuations(version=version, data_centres=names))

    def suspend(self) -> None:
        self.suspend_owner(self.random.uniform(0.3, 2.0))

    def restart(self) -> None:
        self.crash_target(self.random.choice(list(self.targets)))

    def cut(self) -> None:
        host = self.random.choice(self.front_hosts)
        self.cut_front_host(host, self.random.uniform(0.1, 1.0))

    def replace_owner(self) -> None:
        super().replace_owner()
        self.owner.evacuations = self.known

    def request(self, job: str, is_repeat: bool = False) -> None:
        front_host, count = self.jobs[job]
        keys = (build_key(job, index) for index in range(count))
        open_keys = [key for key in keys if key not in self.handed_back]
        request = build_request(
            job,
            build_step(count=count, cores=20, estimate_s=1.0),
            indexes=tuple(key.index for key in open_keys),
            deadline_in_s=20.0,
            stretch=20.0,
            is_repeat=is_repeat,
        )
        self.feed(request, front_host)

    def handle_end(self, message: ev.TasksEnded) -> None:
        if message.end is not ev.TaskEnd.EVACUATED or message.job not in self.jobs:
            super().handle_end(message)
            return
        keys = {build_key(message.job, index) for index in message.indexes}
        for key in keys:
            if any(key in target.runs for target in self.targets.values()):
                self.violations.append(f"{self.now_s:.3f} s: {key} runs")
        self.missing[message.job] -= len(keys - self.handed_back)
        self.handed_back |= keys
        if not self.missing[message.job]:
            del self.jobs[message.job]

    def begin(self, target, run) -> None:
        super().begin(target, run)
        if run.key in self.handed_back:
            self.violations.append(f"{self.now_s:.3f} s: {run.key} starts again")
        if self.now_s > self._begun_s + LAST_START_S:
            self.violations.append(f"{self.now_s:.3f} s: {run.key} starts late")
        self.resumed += bool(self.known.current.version and self._begun_s > self.now_s)


class TestEvacuatedCell(unittest.TestCase):
    def test_no_task_that_was_handed_back_has_a_run(self):
        """It would run twice, here and in the data centre that it was sent to."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cell = EvacuatedCell(seed=seed, unanswered_probability=0.02)
                cell.play()
                self.assertEqual([], cell.violations + cell.overlaps)
                self.assertTrue(cell.handed_back)
                self.assertGreater(cell.resumed, 20)


if __name__ == "__main__":
    unittest.main()
