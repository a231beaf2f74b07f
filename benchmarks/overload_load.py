"""Seeded load and simulated targets for the comparison of overload policies.

Each data centre has one cell and one front host. The state machines of the product run
on a manual clock; messages take a fixed time.
"""

import heapq
import itertools
import math
import random
from collections.abc import Iterator

from attrs import define, field, frozen

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity.front import FrontJobRegistry
from gentianhub.capacity.jobs import (
    CapacityJob,
    Cell,
    JobStep,
    ListedTarget,
    Route,
    TaskKey,
)
from gentianhub.capacity.ownership import CellOwner
from gentianhub.capacity.resources import Resources
from gentianhub.capacity.scheduler import CellScheduler
from gentianhub.capacity.submissions import (
    LoadsReported,
    OwnersChanged,
    SubmitCapacityJob,
)
from gentianhub.core import Incarnation, ProcessName

DATA_CENTRES = ("bern", "olten", "zug")
# Shares of the callers of each data centre; the capacities are equal.
CALLER_SHARES = (0.5, 0.3, 0.2)
TARGET_MILLICORES = 1000
TASK_MILLICORES = 500
MESSAGE_S = 0.001
ANSWER_S = 0.004
TICK_S = 0.05
HEARTBEAT_S = 0.1
DEADLINE_S = 1.6
OBJECTIVE_S = 0.06
STRETCH = 1.6
# Standard deviation of the logarithm of the estimates' errors.
ESTIMATE_SIGMA = 0.4
TAIL_PROBABILITY = 0.03
TAIL_FACTOR = 7.0
# Quantiles of the normal distribution above the largest tenth and the fifth below it.
LARGEST_QUANTILE = 1.2816
LARGE_QUANTILE = 0.5244
# Jobs that arrive in the first seconds are not counted.
WARM_UP_S = 3.0


@frozen(kw_only=True)
class RouteLoad:
    """Jobs of one route: `per_s` gives only the ratio between routes.

    `sigma` is the standard deviation of the logarithm of run times.
    """

    name: str
    priority: int
    tasks: int
    run_s: float
    per_s: float
    sigma: float = 0.4

    @property
    def work_core_s(self) -> float:
        """Mean work of a job in core-seconds, without the tail."""
        return self.tasks * self.run_s * TASK_MILLICORES / 1000

    def build_route(self) -> Route:
        """Return the operator's route."""
        return Route(
            name=self.name,
            host="",
            prefix=f"/{self.name}/",
            service="work",
            priority=self.priority,
            objective_s=OBJECTIVE_S,
            stretch=STRETCH,
        )


# Jobs of the long route that need more than the deadline can't be served by any policy,
# so that the run times of this route vary less.
ROUTES = (
    RouteLoad(name="wide", priority=0, tasks=8, run_s=0.06, per_s=103),
    RouteLoad(name="narrow", priority=1, tasks=2, run_s=0.2, per_s=300),
    RouteLoad(name="long", priority=2, tasks=4, run_s=0.9, per_s=18.8, sigma=0.2),
)


@frozen(kw_only=True)
class Arrival:
    """A job of the load; `run_times_s` includes the tail, `factor` does not."""

    job_id: str
    at_s: float
    load: RouteLoad
    data_centre: str
    factor: float
    estimate_s: float
    run_times_s: tuple[float, ...]

    @property
    def size(self) -> str:
        """Size class of the job in its route."""
        sigma = self.load.sigma
        quantile = (math.log(self.factor) + sigma**2 / 2) / sigma
        if quantile >= LARGEST_QUANTILE:
            return "largest tenth"
        return "fifth below" if quantile >= LARGE_QUANTILE else "others"

    @property
    def worth(self) -> float:
        """Worth of the job to its caller."""
        return 0.3 + 0.7 * self.factor

    @property
    def objective_s(self) -> float:
        """Time in which the caller wants the answer, s."""
        return OBJECTIVE_S + STRETCH * self.load.run_s * self.factor


def draw_arrivals(
    seed: int,
    *,
    factor: float,
    millicores: int,
    length_s: float,
    routes: tuple[RouteLoad, ...] = ROUTES,
) -> Iterator[Arrival]:
    """Yield the jobs of a load that needs `factor` times the capacity."""
    rng = random.Random(seed)
    tail = 1 + TAIL_PROBABILITY * (TAIL_FACTOR - 1)
    needed = sum(load.per_s * load.work_core_s for load in routes) * tail
    scale = factor * millicores / 1000 / needed
    total_per_s = sum(load.per_s for load in routes) * scale
    at_s = 0.0
    for number in itertools.count():
        at_s += rng.expovariate(total_per_s)
        if at_s > length_s:
            return
        load = rng.choices(routes, [load.per_s for load in routes])[0]
        job_factor = rng.lognormvariate(-(load.sigma**2) / 2, load.sigma)
        run_s = load.run_s * job_factor
        yield Arrival(
            job_id=f"{number:016x}",
            at_s=at_s,
            load=load,
            data_centre=rng.choices(DATA_CENTRES, CALLER_SHARES)[0],
            factor=job_factor,
            estimate_s=run_s * rng.lognormvariate(0, ESTIMATE_SIGMA),
            run_times_s=tuple(
                run_s * (TAIL_FACTOR if rng.random() < TAIL_PROBABILITY else 1)
                for _ in range(load.tasks)
            ),
        )


@define(kw_only=True, eq=False)
class Answer:
    """The answer to a job, and whether any task of it had run."""

    verdict: fx.JobVerdict
    after_s: float
    retry_after_s: float | None


@define(kw_only=True, eq=False)
class SimulatedTarget:
    """A target that runs tasks for given times."""

    entry: ListedTarget
    running: dict[TaskKey, int] = field(init=False, factory=dict)
    ended: list[ev.EndReport] = field(init=False, factory=list)


@define(kw_only=True, eq=False)
class Simulation:
    """Hosts and targets of all data centres on a manual clock.

    `priorities` are those that the hosts know from the configuration. `started_s` has
    when each task was last executed.
    """

    targets_per_cell: int
    priorities: tuple[int, ...]
    now_s: float = field(init=False, default=0.0)
    answers: dict[str, Answer] = field(init=False, factory=dict)
    arrivals: dict[str, Arrival] = field(init=False, factory=dict)
    shed: list[fx.ShedJob] = field(init=False, factory=list)
    busy_core_s: float = field(init=False, default=0.0)
    started_s: dict[TaskKey, float] = field(init=False, factory=dict)
    _queue: list = field(init=False, factory=list)
    _sequence: Iterator[int] = field(init=False, factory=itertools.count)
    hosts: dict[str, Incarnation] = field(init=False)
    cells: dict[str, CellScheduler] = field(init=False)
    fronts: dict[str, FrontJobRegistry] = field(init=False)
    targets: dict[str, SimulatedTarget] = field(init=False, factory=dict)

    def __attrs_post_init__(self):
        self.hosts = {
            name: Incarnation(
                name=ProcessName(data_centre=name, process="h1"), token="a" * 16
            )
            for name in DATA_CENTRES
        }
        self.cells = {
            name: CellScheduler(
                cell=Cell(data_centre=name),
                term=1,
                owner_since_s=0.0,
                list_priorities=lambda: self.priorities,
            )
            for name in DATA_CENTRES
        }
        self.fronts = {
            name: FrontJobRegistry(data_centre=name, started_s=0.0)
            for name in DATA_CENTRES
        }

    @property
    def millicores(self) -> int:
        """Capacity of all targets."""
        return len(DATA_CENTRES) * self.targets_per_cell * TARGET_MILLICORES

    def begin(self) -> None:
        """List the targets, have them report, and announce the owners."""
        for name in DATA_CENTRES:
            entries = tuple(
                ListedTarget(
                    name=f"{name}-{number}",
                    incarnation=1,
                    host="127.0.0.1",
                    port=8000,
                    data_centre=name,
                    service="work",
                    capacity=Resources(cpu_millicores=TARGET_MILLICORES),
                )
                for number in range(self.targets_per_cell)
            )
            self.targets |= {e.name: SimulatedTarget(entry=e) for e in entries}
            self._feed_cell(name, ev.TargetsListed(targets=entries))
            for entry in entries:
                self._feed_cell(name, self._build_report(entry.name))
        owners = {
            Cell(data_centre=name): CellOwner(
                owner=self.hosts[name], claim=self.cells[name].build_claim(0.0)
            )
            for name in DATA_CENTRES
        }
        for name in DATA_CENTRES:
            self._feed_front(name, OwnersChanged(owners=owners))
        self.schedule(TICK_S, self._tick, 1)

    def schedule(self, delay_s: float, action, *arguments) -> None:
        """Call `action` after a delay on the manual clock."""
        entry = (self.now_s + delay_s, next(self._sequence), action, arguments)
        heapq.heappush(self._queue, entry)

    def submit(self, arrivals) -> None:
        """Schedule the submission of jobs."""
        for arrival in arrivals:
            self.arrivals[arrival.job_id] = arrival
            self.schedule(arrival.at_s - self.now_s, self._submit, arrival)

    def run(self, until_s: float) -> None:
        """Run the scheduled actions up to a time."""
        while self._queue and self._queue[0][0] <= until_s:
            self.now_s, _, action, arguments = heapq.heappop(self._queue)
            action(*arguments)

    def _tick(self, count: int) -> None:
        for name in DATA_CENTRES:
            self._feed_cell(name, ev.Tick())
            self._feed_front(name, ev.Tick())
        if count % round(HEARTBEAT_S / TICK_S) == 0:
            self._exchange_heartbeats()
        self.schedule(TICK_S, self._tick, count + 1)

    def _exchange_heartbeats(self) -> None:
        for name in DATA_CENTRES:
            claims = (self.cells[name].build_claim(self.now_s),)
            loads = LoadsReported(owner=self.hosts[name], claims=claims)
            for other in DATA_CENTRES:
                self.schedule(MESSAGE_S, self._feed_front, other, loads)
                open_jobs = self.fronts[other].list_open_jobs(Cell(data_centre=name))
                message = ev.OpenJobs(cell=Cell(data_centre=name), jobs=open_jobs)
                self.schedule(MESSAGE_S, self._feed_cell, name, message, other)
            for target in self.targets.values():
                if target.entry.data_centre == name:
                    report = self._build_report(target.entry.name)
                    self._feed_cell(name, report)

    def _submit(self, arrival: Arrival) -> None:
        name = arrival.data_centre
        claims = (self.cells[name].build_claim(self.now_s),)
        self._feed_front(name, LoadsReported(owner=self.hosts[name], claims=claims))
        step = JobStep(
            count=arrival.load.tasks,
            demand=Resources(cpu_millicores=TASK_MILLICORES),
            estimate_s=arrival.estimate_s,
        )
        submit = SubmitCapacityJob(
            job_id=arrival.job_id,
            job=CapacityJob(payload="", steps=(step,)),
            route=arrival.load.build_route(),
            wait_s=DEADLINE_S,
            reply_to=arrival.job_id,
            rank=(
                self.priorities.index(arrival.load.priority)
                if len(self.priorities) > 1
                else None
            ),
        )
        self._feed_front(name, submit)

    def _feed_front(self, name: str, event) -> None:
        for effect in self.fronts[name].handle(event, self.now_s):
            match effect:
                case fx.SendToOwner(cell=cell, message=message):
                    delay_s = 0.0 if cell.data_centre == name else MESSAGE_S
                    arguments = (cell.data_centre, message, name)
                    self.schedule(delay_s, self._feed_cell, *arguments)
                case fx.AnswerCaller(job=job):
                    self.answers[job] = Answer(
                        verdict=effect.verdict,
                        after_s=self.now_s - self.arrivals[job].at_s,
                        retry_after_s=effect.retry_after_s,
                    )
                case fx.ShedJob():
                    self.shed.append(effect)

    def _feed_cell(self, name: str, event, front: str | None = None) -> None:
        host = self.hosts[front] if front else None
        for effect in self.cells[name].handle(event, self.now_s, host):
            match effect:
                case fx.StartRun():
                    self.schedule(ANSWER_S / 2, self._start, name, effect)
                case fx.StopRun():
                    self.schedule(ANSWER_S / 2, self._stop, name, effect)
                case fx.SendToFront(front_host=front_host, message=message):
                    other = front_host.name.data_centre
                    delay_s = 0.0 if other == name else MESSAGE_S
                    self.schedule(delay_s, self._feed_front, other, message)
                case fx.ShedJob():
                    self.shed.append(effect)

    def _start(self, name: str, start: fx.StartRun) -> None:
        target = self.targets[start.target.name]
        target.running[start.key] = start.run
        self.started_s[start.key] = self.now_s
        run_s = self.arrivals[start.key.job].run_times_s[start.key.index]
        self.schedule(run_s, self._end, name, start, self.now_s)
        answer = ev.StartAnswered(
            target=start.target.name,
            key=start.key,
            run=start.run,
            verdict=ev.StartVerdict.STARTED,
            sent_s=self.now_s,
        )
        self.schedule(ANSWER_S / 2, self._feed_cell, name, answer)

    def _stop(self, name: str, stop: fx.StopRun) -> None:
        target = self.targets[stop.target.name]
        if target.running.pop(stop.key, None) is not None:
            self._record_busy(self.started_s[stop.key])
            self._record_end(target, stop.key, stop.run, ev.RunEnd.STOPPED)
        answer = ev.StopAnswered(
            target=stop.target.name, key=stop.key, run=stop.run, is_confirmed=True
        )
        self.schedule(ANSWER_S / 2, self._feed_cell, name, answer)
        report = self._build_report(stop.target.name)
        self.schedule(ANSWER_S / 2, self._feed_cell, name, report)

    def _end(self, name: str, start: fx.StartRun, started_s: float) -> None:
        target = self.targets[start.target.name]
        if target.running.get(start.key) != start.run:
            return
        del target.running[start.key]
        self._record_busy(started_s)
        self._record_end(target, start.key, start.run, ev.RunEnd.DONE)
        report = self._build_report(start.target.name)
        self.schedule(ANSWER_S / 2, self._feed_cell, name, report)

    def _record_busy(self, started_s: float) -> None:
        self.busy_core_s += (self.now_s - started_s) * TASK_MILLICORES / 1000

    def _record_end(
        self, target: SimulatedTarget, key: TaskKey, run: int, end: ev.RunEnd
    ) -> None:
        number = target.ended[-1].number + 1 if target.ended else 1
        target.ended.append(ev.EndReport(number=number, key=key, run=run, end=end))
        # Acknowledged ends are not listed again; those of the last second suffice.
        del target.ended[:-20]

    def _find_percent(self, key: TaskKey) -> int:
        run_s = self.arrivals[key.job].run_times_s[key.index]
        return round(100 * (self.now_s - self.started_s[key]) / run_s)

    def _build_report(self, name: str) -> ev.RunsReported:
        target = self.targets[name]
        return ev.RunsReported(
            target=name,
            incarnation=1,
            sent_s=self.now_s,
            running=tuple(
                ev.RunReport(key=key, run=run, percent=self._find_percent(key))
                for key, run in target.running.items()
            ),
            ended=tuple(target.ended),
        )
