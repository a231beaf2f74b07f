"""Simulated targets on a manual clock that leave some commands unanswered."""

import heapq
import itertools
import random

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity.answer_times import AnswerTimes
from gentianhub.capacity.tests.builders import (
    FRONT_HOST,
    SchedulerDriver,
    build_request,
    build_step,
    build_target,
)

TICK_S = 0.05
RUN_S = 0.05
ANSWER_S = 0.004
# Objective of a job: 60 ms and 1.6 times its longest task.
OBJECTIVE_S = 0.06 + 1.6 * RUN_S


class LossyTargets:
    """The targets of a cell and the jobs of its callers; drives the cell's scheduler.

    Each target runs two tasks at a time. `finished_s` has the jobs of which all tasks
    are done, `expired` those that the cell has given up, `reported_unstarted` those of
    them that it reported as not run, and `executed` those that have run.
    """

    def __init__(self, seed: int, targets: int, unanswered_probability: float):
        self.random = random.Random(seed)
        self.unanswered_probability = unanswered_probability
        self.entries = {}
        self.answer_times = {}
        self.running = {}
        self.ended = {}
        for number in range(targets):
            self.add_target(build_target(f"t{number}", port=8000 + number))
        self.driver = SchedulerDriver(list(self.entries.values()))
        self.queue = []
        self.sequence = itertools.count()
        self.submitted_s = {}
        self.unfinished = {}
        self.finished_s = {}
        self.expired = set()
        self.reported_unstarted = set()
        self.executed = set()

    def add_target(self, entry) -> None:
        self.entries[entry.name] = entry
        self.answer_times[entry.name] = AnswerTimes()
        self.running[entry.name] = {}
        self.ended[entry.name] = []

    def list_targets(self) -> None:
        self.feed(ev.TargetsListed(targets=tuple(self.entries.values())))

    def schedule(self, delay_s: float, action, *arguments) -> None:
        at_s = self.driver.now_s + delay_s
        heapq.heappush(self.queue, (at_s, next(self.sequence), action, arguments))

    def run(self, until_s: float) -> None:
        self.schedule(TICK_S, self.tick)
        while self.queue and self.queue[0][0] <= until_s:
            self.driver.now_s, _, action, arguments = heapq.heappop(self.queue)
            action(*arguments)

    def tick(self) -> None:
        self.feed(ev.Tick())
        self.schedule(TICK_S, self.tick)

    def submit_jobs(self, start_s: float, end_s: float, per_s: float, tasks: int):
        """Schedule jobs of equal width at equal intervals."""
        for number in range(round((end_s - start_s) * per_s)):
            at_s = start_s + number / per_s
            self.schedule(at_s, self.submit, f"job-{at_s:.4f}", tasks)

    def submit(self, job: str, tasks: int) -> None:
        self.submitted_s[job] = self.driver.now_s
        self.unfinished[job] = tasks
        step = build_step(count=tasks, cores=27, estimate_s=RUN_S)
        self.feed(build_request(job, step, deadline_in_s=1.5, stretch=1.6))

    def compute_fraction_in_time(self, from_s: float = 0.0) -> float:
        """Return the fraction of the jobs since a time that met their objective."""
        jobs = {job: at_s for job, at_s in self.submitted_s.items() if at_s >= from_s}
        in_time = sum(
            self.finished_s.get(job, float("inf")) - at_s <= OBJECTIVE_S
            for job, at_s in jobs.items()
        )
        return in_time / len(jobs)

    def feed(self, event, front_host=None) -> None:
        for effect in self.driver.feed(event, front_host or FRONT_HOST):
            match effect:
                case fx.StartRun() | fx.StopRun() | fx.ListRuns():
                    self.send(effect)
                case fx.SendToFront(message=message):
                    self.handle_end(message)

    def handle_end(self, message: ev.TasksEnded) -> None:
        match message.end:
            case ev.TaskEnd.DONE:
                self.unfinished[message.job] -= len(message.indexes)
                if not self.unfinished[message.job]:
                    self.finished_s[message.job] = self.driver.now_s
            case ev.TaskEnd.EXPIRED:
                self.expired.add(message.job)
                if not message.has_started:
                    self.reported_unstarted.add(message.job)

    def send(self, command) -> None:
        times = self.answer_times[command.target.name]
        if self.random.random() < self.unanswered_probability:
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
                self.executed.add(key.job)
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
            incarnation=self.entries[name].incarnation,
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
