"""Simulates a dispatcher with a manual clock, seeded jobs and simulated targets."""

import heapq
from collections.abc import Callable, Iterable, Iterator
from itertools import count

from attrs import define, field, frozen

from benchmarks.workload import (
    Arrival,
    FailsAllTasks,
    Healthy,
    LoadPlan,
    RefusesAllTasks,
    RefusesConnections,
    RefusesExcessTasks,
    RefusesTemporarily,
    SimulatedTarget,
    draw_arrivals,
)
from gentianhub.core import (
    Complete,
    Failed,
    Incarnation,
    JobComplete,
    NotRun,
    ProcessName,
    Refusal,
    Step,
    TaskId,
    TaskOutcome,
)
from gentianhub.core import effects as fx
from gentianhub.core import events as ev
from gentianhub.decisions import Dispatcher, JobAccepted

TICK_S = 0.05
ROUND_TRIP_S = 0.001
# Time for jobs that were accepted before the end of the load to end.
DRAIN_TIMEOUT_S = 130.0
OWNER = Incarnation(
    name=ProcessName(data_centre="olten", process="entry-1"), token="0" * 16
)


@frozen(kw_only=True)
class PolicySet:
    """A named set of policies, with a factory for a dispatcher that uses them.

    `build` takes the owner and a seed for the random choices of the policies.
    """

    name: str
    build: Callable[[Incarnation, int], Dispatcher]


@define(kw_only=True, eq=False)
class Attempt:
    """One start of a task on a target."""

    task_id: TaskId
    target: str
    start_s: float
    end_s: float
    speed: float


@define(kw_only=True, eq=False)
class JobTrace:
    """Trace of one submitted job; times in seconds of the manual clock."""

    arrival: Arrival
    attempts: list[Attempt] = field(factory=list)
    refusal: Refusal | None = None
    is_complete: bool = False
    response_s: float | None = None

    @property
    def is_within_deadline(self) -> bool:
        """Whether the complete answer arrived within the job's deadline."""
        limit_s = self.arrival.request.deadline_s
        return self.is_complete and self.response_s <= limit_s


@define(kw_only=True, eq=False)
class LoadRun:
    """One simulation of a load plan with one set of policies."""

    plan: LoadPlan
    dispatcher: Dispatcher
    arrivals: tuple[Arrival, ...]
    now_s: float = 0.0
    traces: list[JobTrace] = field(factory=list)
    _targets: dict[str, SimulatedTarget] = field(init=False)
    _running_counts: dict[str, int] = field(init=False)
    _open_jobs: dict[int, JobTrace] = field(init=False, factory=dict)
    _event_queue: list = field(init=False, factory=list)
    _sequence_numbers: Iterator[int] = field(init=False, factory=count)

    def __attrs_post_init__(self):
        self._targets = {target.name: target for target in self.plan.targets}
        self._running_counts = dict.fromkeys(self._targets, 0)

    def run(self) -> None:
        """Simulate the plan until all jobs have ended or the drain time is over."""
        self._handle(ev.TableAdopted(table=self.plan.build_table()))
        self._handle(ev.TargetsListed(targets=self.plan.list_addresses()))
        for arrival in self.arrivals:
            self._schedule(arrival.at_s, arrival)
        self._schedule(TICK_S, ev.Tick())
        end_s = self.plan.length_s + DRAIN_TIMEOUT_S
        while self._event_queue and (
            self._open_jobs or self.now_s < self.plan.length_s
        ):
            self.now_s, _, item = heapq.heappop(self._event_queue)
            if self.now_s > end_s:
                return
            self._process_item(item)

    def _process_item(self, item) -> None:
        match item:
            case Arrival():
                self._submit_job(item)
            case ev.Tick():
                self._schedule(self.now_s + TICK_S, item)
                self._handle(item)
            case ev.AttemptEnded(target=target):
                self._running_counts[target] -= 1
                self._handle(item)

    def _schedule(self, at_s: float, item) -> None:
        heapq.heappush(self._event_queue, (at_s, next(self._sequence_numbers), item))

    def _submit_job(self, arrival: Arrival) -> None:
        trace = JobTrace(arrival=arrival)
        self.traces.append(trace)
        self._handle(ev.SubmitJob(request=arrival.request, reply_to=trace))

    def _handle(self, event: ev.Event) -> None:
        for effect in self.dispatcher.handle(event, self.now_s):
            self._apply_effect(effect)

    def _apply_effect(self, effect: fx.Effect) -> None:
        match effect:
            case fx.StartTask():
                self._start_task(effect)
            case fx.Reply(recipient=trace, message=JobAccepted(job_id=job_id)):
                self._open_jobs[job_id.sequence] = trace
            case fx.Reply(recipient=trace, message=Refusal() as refusal):
                trace.refusal = refusal
            case fx.JobEnded(job_id=job_id, answer=answer, response_s=response_s):
                trace = self._open_jobs.pop(job_id.sequence)
                trace.is_complete = isinstance(answer, JobComplete)
                trace.response_s = response_s

    def _start_task(self, start: fx.StartTask) -> None:
        target = self._targets[start.target]
        self._running_counts[start.target] += 1
        assert self._running_counts[start.target] <= target.slots, (
            f"{target.name} has more running tasks than its {target.slots} slots"
        )
        trace = self._open_jobs[start.task_id.job_id.sequence]
        run_s = trace.arrival.run_times_s[start.task_id.index] / target.speed
        outcome, elapsed_s = self._simulate_task(target, run_s)
        end_s = self.now_s + elapsed_s
        trace.attempts.append(
            Attempt(
                task_id=start.task_id,
                target=target.name,
                start_s=self.now_s,
                end_s=end_s,
                speed=target.speed,
            )
        )
        ended = ev.AttemptEnded(
            task_id=start.task_id, target=target.name, outcome=outcome
        )
        self._schedule(end_s + ROUND_TRIP_S, ended)

    def _simulate_task(
        self, target: SimulatedTarget, run_s: float
    ) -> tuple[TaskOutcome, float]:
        step, peer = Step.AWAIT_REPLY, target.name
        running = self._running_counts[target.name]
        match target.mode:
            case RefusesConnections(delay_s=delay_s):
                step = Step.CONNECT_TARGET
                return NotRun(step=step, peer=peer, reason="refused"), delay_s
            case RefusesExcessTasks(slots=slots, delay_s=delay_s) if running > slots:
                return NotRun(step=step, peer=peer, reason="503"), delay_s
            case RefusesTemporarily(start_s=start_s, end_s=end_s, delay_s=delay_s) if (
                start_s <= self.now_s < end_s
            ):
                return NotRun(step=step, peer=peer, reason="503"), delay_s
            case Healthy() | RefusesExcessTasks() | RefusesTemporarily():
                return Complete(result=b"", run_s=run_s), run_s
            case FailsAllTasks(delay_s=delay_s):
                return Failed(
                    step=step, peer=peer, reason="500", run_s=delay_s
                ), delay_s
            case RefusesAllTasks(delay_s=delay_s):
                return NotRun(step=step, peer=peer, reason="503"), delay_s


def run_load(plan: LoadPlan, policies: PolicySet) -> LoadRun:
    """Simulate a plan with a set of policies and return the finished run."""
    return run_arrivals(plan, policies, draw_arrivals(plan))


def run_arrivals(
    plan: LoadPlan, policies: PolicySet, arrivals: Iterable[Arrival]
) -> LoadRun:
    """Simulate given arrivals on the targets of a plan and return the finished run."""
    run = LoadRun(
        plan=plan,
        dispatcher=policies.build(OWNER, plan.seed),
        arrivals=tuple(arrivals),
    )
    run.run()
    return run
