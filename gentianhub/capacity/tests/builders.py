"""Builders of values and a driver of the scheduler for the tests."""

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity.jobs import Cell, JobStep, ListedTarget, TaskKey
from gentianhub.capacity.resources import Resources
from gentianhub.capacity.scheduler import CellScheduler
from gentianhub.core import Incarnation, ProcessName

CELL = Cell(data_centre="olten")
# Interval at which front hosts confirm their open jobs, s.
CONFIRMATION_INTERVAL_S = 0.2
TERM = 7


def build_host(name: str, token: str = "a", data_centre: str = "olten") -> Incarnation:
    process = ProcessName(data_centre=data_centre, process=name)
    return Incarnation(name=process, token=token * 16)


FRONT_HOST = build_host("e1")


def build_target(name: str, cores: int = 64, **options) -> ListedTarget:
    values = {
        "incarnation": 1,
        "host": "127.0.0.1",
        "port": 8000,
        "data_centre": "olten",
        "service": "order-desk",
        "capacity": Resources(cpu_millicores=cores * 1000, memory_mb=4096),
    }
    return ListedTarget(name=name, **values | options)


def build_step(count: int = 1, cores: int = 27, **options) -> JobStep:
    values = {
        "demand": Resources(cpu_millicores=cores * 1000, memory_mb=64),
        "estimate_s": 0.1,
    }
    return JobStep(count=count, **values | options)


def build_request(job: str, step: JobStep | None = None, **options) -> ev.RunTasks:
    step = step or build_step()
    values = {
        "cell": CELL,
        "step_number": 0,
        "indexes": tuple(range(step.count)),
        "payload": "text",
        "route": "swap",
        "service": "order-desk",
        "priority": 0,
        "max_attempts": 2,
        "age_s": 0.0,
        "objective_s": 0.06,
        "stretch": 1.6,
        "deadline_in_s": 2.0,
    }
    return ev.RunTasks(job=job, step=step, **values | options)


class SchedulerDriver:
    """Feeds events to a cell's scheduler and records the effects.

    Unless `confirms_jobs` is cleared, the front hosts confirm their open jobs before
    each event, as hosts do that answer the owner's heartbeats.
    """

    def __init__(self, targets=(), owner_since_s: float = 0.0, **options):
        self.confirms_jobs = True
        self.scheduler = CellScheduler(
            cell=CELL, term=TERM, owner_since_s=owner_since_s, **options
        )
        self.now_s = self._confirmed_s = owner_since_s
        self.effects: list = []
        if targets:
            self.list_targets(*targets)
            for target in targets:
                self.report(target.name)

    def feed(self, event, front_host: Incarnation | None = FRONT_HOST) -> list:
        effects = list(self._confirm_jobs()) if self.confirms_jobs else []
        effects += self.scheduler.handle(event, self.now_s, front_host)
        self.effects += effects
        return effects

    def _confirm_jobs(self):
        """Confirm the jobs as often as front hosts do since the last event."""
        while self._confirmed_s + CONFIRMATION_INTERVAL_S < self.now_s:
            self._confirmed_s += CONFIRMATION_INTERVAL_S
            yield from self._confirm_jobs_at(self._confirmed_s)
        self._confirmed_s = self.now_s
        yield from self._confirm_jobs_at(self.now_s)

    def _confirm_jobs_at(self, confirmed_s: float):
        jobs: dict[Incarnation, list[str]] = {}
        for (front_host, name), job in self.scheduler.jobs.items():
            if not job.is_withdrawn:
                jobs.setdefault(front_host, []).append(name)
        for front_host, names in jobs.items():
            message = ev.OpenJobs(cell=CELL, jobs=tuple(names))
            yield from self.scheduler.handle(message, confirmed_s, front_host)

    def list_targets(self, *targets, read_s: float | None = None) -> list:
        return self.feed(ev.TargetsListed(targets=targets, read_s=read_s))

    def report(self, target: str, running=(), ended=(), **options) -> list:
        values = {"incarnation": 1, "sent_s": self.now_s}
        return self.feed(
            ev.RunsReported(
                target=target,
                running=tuple(running),
                ended=tuple(ended),
                **values | options,
            )
        )

    def answer(self, start: fx.StartRun, verdict=ev.StartVerdict.STARTED) -> list:
        return self.feed(
            ev.StartAnswered(
                target=start.target.name,
                key=start.key,
                run=start.run,
                verdict=verdict,
                sent_s=self.now_s,
            )
        )

    def end(self, start: fx.StartRun, number: int, end=ev.RunEnd.DONE) -> list:
        report = ev.EndReport(number=number, key=start.key, run=start.run, end=end)
        return self.report(start.target.name, ended=(report,))


def find_starts(effects) -> list[fx.StartRun]:
    return [effect for effect in effects if isinstance(effect, fx.StartRun)]


def find_stops(effects) -> list[fx.StopRun]:
    return [effect for effect in effects if isinstance(effect, fx.StopRun)]


def find_list_requests(effects) -> list[fx.ListRuns]:
    return [effect for effect in effects if isinstance(effect, fx.ListRuns)]


def find_renewals(effects) -> list[fx.RenewLease]:
    return [effect for effect in effects if isinstance(effect, fx.RenewLease)]


def find_announcements(effects) -> list[ev.CellTargets]:
    return [e.message for e in effects if isinstance(e, fx.AnnounceTargets)]


def find_ends(effects) -> list[ev.TasksEnded]:
    return [e.message for e in effects if isinstance(e, fx.SendToFront)]


def build_key(job: str, index: int = 0) -> TaskKey:
    return TaskKey(job=job, step=0, index=index)
