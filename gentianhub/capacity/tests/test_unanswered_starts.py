"""Load pattern: targets leave one in twenty commands unanswered and execute them late.

A job of eight short tasks is then more likely than not to have a command without an
answer. With a fixed time-out of 0.12 s, longer than the slack of such a job, nearly all
of these jobs missed their objective while most targets were idle.
"""

import heapq
import itertools
import random
import unittest

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity.answer_times import (
    MAX_TIMEOUT_S,
    MIN_TIMEOUT_S,
    AnswerTimes,
)
from gentianhub.capacity.tests.builders import (
    SchedulerDriver,
    build_request,
    build_step,
    build_target,
)

TARGETS = 24
JOBS = 150
JOB_INTERVAL_S = 0.03
TASKS = 8
RUN_S = 0.05
ANSWER_S = 0.004
UNANSWERED_PROBABILITY = 0.055
# Objective of the job: 60 ms and 1.6 times its longest task.
OBJECTIVE_S = 0.06 + 1.6 * RUN_S


class LossyTargets:
    """Targets on a manual clock that lose some commands; drives a cell's scheduler."""

    def __init__(self, seed: int):
        self.random = random.Random(seed)
        targets = [build_target(f"t{n}") for n in range(TARGETS)]
        self.driver = SchedulerDriver(targets)
        self.answer_times = {target.name: AnswerTimes() for target in targets}
        self.running = {target.name: {} for target in targets}
        self.ended = {target.name: [] for target in targets}
        self.stopped = set()
        self.queue = []
        self.sequence = itertools.count()
        self.submitted_s = {}
        self.done = {}
        self.finished_s = {}

    def schedule(self, delay_s: float, action, *arguments) -> None:
        at_s = self.driver.now_s + delay_s
        heapq.heappush(self.queue, (at_s, next(self.sequence), action, arguments))

    def run(self) -> None:
        for number in range(JOBS):
            self.schedule(number * JOB_INTERVAL_S, self.submit, f"job{number}")
        while self.queue:
            self.driver.now_s, _, action, arguments = heapq.heappop(self.queue)
            action(*arguments)

    def submit(self, job: str) -> None:
        self.submitted_s[job] = self.driver.now_s
        step = build_step(count=TASKS, cores=27, estimate_s=RUN_S)
        self.feed(build_request(job, step, deadline_in_s=9.0, stretch=1.6))

    def feed(self, event) -> None:
        for effect in self.driver.feed(event):
            match effect:
                case fx.StartRun() | fx.StopRun() | fx.ListRuns():
                    self.send(effect)
                case fx.SendToFront(message=message):
                    if message.end is ev.TaskEnd.DONE:
                        self.count_done(message)

    def count_done(self, message: ev.TasksEnded) -> None:
        self.done[message.job] = self.done.get(message.job, 0) + len(message.indexes)
        if self.done[message.job] == TASKS:
            self.finished_s[message.job] = self.driver.now_s

    def send(self, command) -> None:
        times = self.answer_times[command.target.name]
        if self.random.random() < UNANSWERED_PROBABILITY:
            self.schedule(times.timeout_s, self.time_out, command)
        else:
            self.schedule(ANSWER_S / 2, self.execute, command)

    def time_out(self, command) -> None:
        self.answer_times[command.target.name].record_timeout()
        match command:
            case fx.StartRun():
                self.feed(self.build_start_answer(command, ev.StartVerdict.UNANSWERED))
            case fx.StopRun() | fx.ListRuns():
                self.send(command)

    def execute(self, command) -> None:
        name = command.target.name
        match command:
            case fx.StartRun(key=key):
                self.running[name][key] = command.run
                duration_s = self.random.uniform(0.8, 1.2) * RUN_S
                self.schedule(duration_s, self.end, name, key)
                answer = self.build_start_answer(command, ev.StartVerdict.STARTED)
            case fx.StopRun(key=key):
                self.running[name].pop(key, None)
                answer = ev.StopAnswered(
                    target=name, key=key, run=command.run, is_confirmed=True
                )
            case fx.ListRuns():
                answer = self.build_report(name, self.driver.now_s)
        self.schedule(ANSWER_S / 2, self.deliver, name, answer)

    def deliver(self, name: str, answer) -> None:
        self.answer_times[name].record_answer(ANSWER_S)
        self.feed(answer)

    def end(self, name: str, key) -> None:
        if key in self.running[name]:
            run = self.running[name].pop(key)
            number = len(self.ended[name]) + 1
            self.ended[name].append(
                ev.EndReport(number=number, key=key, run=run, end=ev.RunEnd.DONE)
            )
            report = self.build_report(name, self.driver.now_s)
            self.schedule(ANSWER_S / 2, self.feed, report)

    def build_report(self, name: str, sent_s: float) -> ev.RunsReported:
        return ev.RunsReported(
            target=name,
            incarnation=1,
            sent_s=sent_s,
            running=tuple(
                ev.RunReport(key=key, run=run, percent=50)
                for key, run in self.running[name].items()
            ),
            ended=tuple(self.ended[name]),
        )

    def build_start_answer(self, start: fx.StartRun, verdict) -> ev.StartAnswered:
        return ev.StartAnswered(
            target=start.target.name,
            key=start.key,
            run=start.run,
            verdict=verdict,
            sent_s=self.driver.now_s,
        )


class TestUnansweredStarts(unittest.TestCase):
    """Guards against objectives missed while the owner waits for lost answers."""

    def test_most_jobs_with_an_unanswered_command_meet_their_objective(self):
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                targets = LossyTargets(seed)
                targets.run()
                self.assertEqual(JOBS, len(targets.finished_s))
                in_time = sum(
                    finished_s - targets.submitted_s[job] <= OBJECTIVE_S
                    for job, finished_s in targets.finished_s.items()
                )
                self.assertGreaterEqual(in_time / JOBS, 0.9)


class TestAnswerTimes(unittest.TestCase):
    """Guards against searches for starts whose answers are only slow."""

    def test_the_time_out_is_the_longest_without_an_answer(self):
        self.assertEqual(MAX_TIMEOUT_S, AnswerTimes().timeout_s)

    def test_quick_answers_shorten_the_time_out_to_its_minimum(self):
        times = AnswerTimes()
        for _ in range(50):
            times.record_answer(ANSWER_S)
        self.assertEqual(MIN_TIMEOUT_S, times.timeout_s)

    def test_slow_answers_stay_below_the_time_out(self):
        times = AnswerTimes()
        for elapsed_s in itertools.islice(itertools.cycle((0.03, 0.05)), 100):
            self.assertLess(elapsed_s, times.timeout_s)
            times.record_answer(elapsed_s)

    def test_time_outs_in_a_row_back_off_to_the_limit(self):
        """Otherwise an owner that pauses would search for each of its starts."""
        times = AnswerTimes()
        for _ in range(50):
            times.record_answer(ANSWER_S)
        times.record_timeout()
        self.assertEqual(2 * MIN_TIMEOUT_S, times.timeout_s)
        times.record_timeout()
        times.record_timeout()
        self.assertEqual(MAX_TIMEOUT_S, times.timeout_s)
        times.record_answer(ANSWER_S)
        self.assertEqual(MIN_TIMEOUT_S, times.timeout_s)
