"""Simulated targets that enforce leases and carry out unanswered orders late."""

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity.tests.builders import (
    CELL,
    build_request,
    build_step,
    build_target,
    find_renewals,
)
from gentianhub.capacity.tests.lossy_targets import ANSWER_S, RUN_S, LossyTargets
from gentianhub.host.target_ports import LIST_ATTEMPTS, UNRESPONSIVE_DELAY_S
from gentianhub.platform.targets import RENEWAL_SLACK_S

# Delay after which a target carries out an order that it has not answered, s.
LATE_S = (2.0, 12.0)
# Time that a stop takes at a target.
STOP_S = 0.05
TARGET_COUNT = 8
LONG_RUN_S = 3.0


class LeasedTargets(LossyTargets):
    """A cell of lossy targets with leases, and callers that leave.

    `overtimes_s` has the time for which each run of a job whose caller has left went on
    after its stop was decided. `lapsed` are the runs of other jobs that ended with
    their lease. Without `answers_stops`, no stop is answered.
    """

    def __init__(
        self, seed: int, unanswered_probability: float, answers_stops: bool = True
    ):
        super().__init__(seed, TARGET_COUNT, unanswered_probability)
        self.answers_stops = answers_stops
        self.left: set[str] = set()
        self.stop_decided_s: dict = {}
        self.overtimes_s: list[float] = []
        self.lapsed: list = []
        self.last_runs: dict = {}
        self.started_s: dict = {}
        self.waiting_renewals: dict[str, fx.RenewLease] = {}
        self.lease_end_s = dict.fromkeys(self.entries, 0.0)
        renewals = {r.target.name: r for r in find_renewals(self.driver.effects)}
        for renewal in renewals.values():
            self.send_renewal(renewal)

    def add_target(self, entry) -> None:
        super().add_target(build_target(entry.name, port=entry.port, cores=128))

    def submit_jobs_that_are_left(
        self, start_s: float, end_s: float, per_s: float, tasks: int
    ) -> None:
        """Schedule jobs of long tasks whose callers leave after up to 1 s."""
        for number in range(round((end_s - start_s) * per_s)):
            after_s = self.random.uniform(0.05, 1.0)
            job = f"left-{number}"
            self.schedule(
                start_s + number / per_s,
                self.submit_job_that_is_left,
                job,
                tasks,
                after_s,
            )

    def submit_job_that_is_left(self, job: str, tasks: int, after_s: float) -> None:
        step = build_step(count=tasks, estimate_s=LONG_RUN_S)
        self.unfinished[job] = tasks
        self.feed(build_request(job, step, deadline_in_s=9.0))
        self.schedule(after_s, self.leave, job)

    def leave(self, job: str) -> None:
        self.left.add(job)
        self.feed(ev.CancelTasks(cell=CELL, job=job))

    def feed(self, event, front_host=None) -> None:
        count = len(self.driver.effects)
        super().feed(event, front_host)
        for renewal in find_renewals(self.driver.effects[count:]):
            self.send_renewal(renewal)

    # Starts, stops and lists

    def send(self, command, attempt: int = 1) -> None:
        times = self.answer_times[command.target.name]
        match command:
            case fx.StopRun(target=target, key=key):
                if key in self.running[target.name] and key.job in self.left:
                    self.stop_decided_s.setdefault(
                        (key, command.run), self.driver.now_s
                    )
        is_lost = self.random.random() < self.unanswered_probability
        if is_lost or (isinstance(command, fx.StopRun) and not self.answers_stops):
            self.schedule(times.timeout_s, self.time_out, command, attempt)
            self.schedule(self.random.uniform(*LATE_S), self.execute, command, False)
        else:
            self.schedule(ANSWER_S / 2, self.execute, command)

    def time_out(self, command, attempt: int) -> None:
        self.answer_times[command.target.name].record_timeout()
        match command:
            case fx.StartRun():
                self.feed(self.build_start_answer(command, ev.StartVerdict.UNANSWERED))
            case fx.StopRun():
                self.feed(self.build_stop_answer(command, is_confirmed=False))
            case fx.ListRuns() if attempt < LIST_ATTEMPTS:
                self.send(command, attempt + 1)

    def build_stop_answer(self, stop: fx.StopRun, is_confirmed: bool):
        return ev.StopAnswered(
            target=stop.target.name,
            key=stop.key,
            run=stop.run,
            is_confirmed=is_confirmed,
        )

    def execute(self, command, is_answered: bool = True) -> None:
        name = command.target.name
        match command:
            case fx.StartRun():
                answer = self.build_start_answer(command, self.start(name, command))
            case fx.StopRun(key=key, run=run):
                last_run = self.last_runs.get((name, key), 0)
                self.last_runs[(name, key)] = max(last_run, run)
                self.schedule(STOP_S, self.end, name, key, run, ev.RunEnd.STOPPED)
                answer = self.build_stop_answer(command, is_confirmed=True)
            case fx.ListRuns(decided_s=decided_s, lease_s=lease_s):
                if lease_s:
                    self.extend_lease(name, decided_s + lease_s)
                answer = self.build_report(
                    name, self.driver.now_s - ANSWER_S / 2, is_renewal=False
                )
        if is_answered:
            self.schedule(ANSWER_S / 2, self.deliver, name, answer)

    def start(self, name: str, start: fx.StartRun) -> ev.StartVerdict:
        end_s = start.decided_s + start.lease_s
        if end_s <= self.driver.now_s:
            return ev.StartVerdict.TOO_LATE
        self.extend_lease(name, end_s)
        if start.run <= self.last_runs.get((name, start.key), 0):
            return ev.StartVerdict.STALE_RUN
        self.running[name][start.key] = start.run
        self.executed.add(start.key.job)
        is_long = start.key.job not in self.submitted_s
        duration_s = LONG_RUN_S if is_long else self.random.uniform(0.8, 1.2) * RUN_S
        self.started_s[start.key] = (self.driver.now_s, duration_s)
        done = (name, start.key, start.run, ev.RunEnd.DONE)
        self.schedule(duration_s, self.end, *done)
        return ev.StartVerdict.STARTED

    def end(self, name: str, key, run: int, end: ev.RunEnd) -> None:
        if self.running[name].get(key) != run:
            return
        del self.running[name][key]
        last_run = self.last_runs.get((name, key), 0)
        self.last_runs[(name, key)] = max(last_run, run)
        number = len(self.ended[name]) + 1
        self.ended[name].append(ev.EndReport(number=number, key=key, run=run, end=end))
        if (key, run) in self.stop_decided_s:
            self.overtimes_s.append(self.driver.now_s - self.stop_decided_s[(key, run)])
        elif end is ev.RunEnd.LEASE_EXPIRED:
            self.lapsed.append(key)
        self.answer_renewal(name)

    def build_report(self, name: str, sent_s: float, is_renewal: bool = True):
        return ev.RunsReported(
            target=name,
            incarnation=self.entries[name].incarnation,
            sent_s=sent_s,
            running=tuple(
                ev.RunReport(key=key, run=run, percent=self.compute_percent(key))
                for key, run in self.running[name].items()
            ),
            ended=tuple(self.ended[name]),
            is_renewal=is_renewal,
        )

    def compute_percent(self, key) -> int:
        started_s, duration_s = self.started_s[key]
        return int(100 * (self.driver.now_s - started_s) / duration_s)

    # Leases

    def extend_lease(self, name: str, end_s: float) -> None:
        if end_s > self.lease_end_s[name]:
            self.lease_end_s[name] = end_s
            self.schedule(end_s - self.driver.now_s, self.check_lease, name)

    def check_lease(self, name: str) -> None:
        if self.driver.now_s >= self.lease_end_s[name]:
            for key, run in list(self.running[name].items()):
                self.end(name, key, run, ev.RunEnd.LEASE_EXPIRED)

    def send_renewal(self, renewal: fx.RenewLease) -> None:
        sent_s = self.driver.now_s
        if self.random.random() >= self.unanswered_probability:
            self.schedule(ANSWER_S / 2, self.execute_renewal, renewal, sent_s)
            return
        if renewal.wait_s or renewal.lease_s:
            timeout_s = renewal.wait_s + RENEWAL_SLACK_S
        else:
            timeout_s = self.answer_times[renewal.target.name].timeout_s
        self.schedule(timeout_s, self.miss_renewal, renewal)

    def miss_renewal(self, renewal: fx.RenewLease) -> None:
        name = renewal.target.name
        if not renewal.is_retry:
            self.feed(ev.RenewalMissed(target=name, reason="time-out"))
            return
        # The greenlet of the renewals pauses before it sends the next one.
        count = len(self.driver.effects)
        LossyTargets.feed(self, ev.TargetSilent(target=name, reason="time-out"))
        for poll in find_renewals(self.driver.effects[count:]):
            self.schedule(UNRESPONSIVE_DELAY_S, self.send_renewal, poll)

    def execute_renewal(self, renewal: fx.RenewLease, sent_s: float) -> None:
        name = renewal.target.name
        if renewal.lease_s:
            self.extend_lease(name, renewal.decided_s + renewal.lease_s)
        self.waiting_renewals[name] = (renewal, sent_s)
        if len(self.ended[name]) > renewal.acknowledged_end or not renewal.wait_s:
            self.answer_renewal(name)
        else:
            self.schedule(renewal.wait_s, self.answer_renewal, name, renewal)

    def answer_renewal(self, name: str, only=None) -> None:
        renewal, sent_s = self.waiting_renewals.get(name, (None, 0.0))
        if renewal is None or (only is not None and only is not renewal):
            return
        del self.waiting_renewals[name]
        report = self.build_report(name, sent_s)
        self.schedule(ANSWER_S / 2, self.feed, report)
