"""Two-level fair queueing in virtual time: teams, services, jobs of a service."""

import math

from gentianhub.core import ServiceRow, Table, TaskId, TeamRow
from gentianhub.core.records import define, evolve, field, frozen
from gentianhub.decisions.heaps import LazyHeap
from gentianhub.decisions.nodes import AGEING_FACTOR, ServiceNode, TeamNode, WaitingJob
from gentianhub.decisions.order import QueuedTask
from gentianhub.decisions.runtimes import RunClass, RunTimeEstimates

# Fraction of the slots that long tasks may always hold. They may hold more while short
# tasks use fewer slots, but a running long task is never preempted.
LONG_TASK_FRACTION = 0.2
# Slots reserved for short tasks, as a multiple of their recent peak use.
SHORT_HEADROOM_FACTOR = 1.25
SHORT_PEAK_TIME_CONSTANT_S = 30.0

TaskKey = tuple[int, int]


@frozen(kw_only=True)
class Backlog:
    """Queued work ahead of a new job of a service.

    Work is in seconds of one slot; `fair_share_slots` are the slots that the
    service gets while all teams and services with queued work compete.
    """

    service_tasks: int
    service_work_s: float
    wait_s: float
    fair_share_slots: float


@frozen(kw_only=True)
class _Attempt:
    service: ServiceNode
    run_class: RunClass
    charged_s: float


@define(kw_only=True, eq=False)
class FairOrder:
    """Weighted fair order of tasks, the default.

    Slots are divided among teams by weight, and among the services of a team likewise.
    A node without queued tasks becomes active at the current virtual time: it gets its
    share of the slots that become idle from then on, and no credit for the time before.
    """

    runtimes: RunTimeEstimates
    long_task_fraction: float = LONG_TASK_FRACTION
    ageing_factor: float = AGEING_FACTOR
    slots: int = field(init=False, default=0)
    processes: int = field(init=False, default=1)
    queued: int = field(init=False, default=0)
    queued_work_s: float = field(init=False, default=0.0)
    _table: Table = field(init=False, factory=Table)
    _teams: dict[str, TeamNode] = field(init=False, factory=dict)
    _services: dict[str, ServiceNode] = field(init=False, factory=dict)
    _jobs: dict[tuple[int, RunClass], WaitingJob] = field(init=False, factory=dict)
    _attempts: dict[TaskKey, _Attempt] = field(init=False, factory=dict)
    _ready: dict[RunClass, LazyHeap] = field(init=False)
    _system_virtual_time_s: float = field(init=False, default=0.0)
    _active_weight: float = field(init=False, default=0.0)
    _running: dict[RunClass, int] = field(init=False)
    _short_peak: float = field(init=False, default=0.0)
    _peak_updated_s: float | None = field(init=False, default=None)

    def __attrs_post_init__(self):
        self._ready = {run_class: LazyHeap() for run_class in RunClass}
        self._running = dict.fromkeys(RunClass, 0)

    def __len__(self) -> int:
        return self.queued

    def push(self, entry: QueuedTask, now_s: float) -> None:
        """Add a task."""
        service = self._get_service(entry.service)
        self._activate(service)
        expected_s = self.runtimes.expect_s(entry.service, entry.kind)
        run_class = self.runtimes.classify(entry.service, entry.kind)
        self._add_to_job(service, entry, expected_s, run_class)
        service.add_queued(expected_s)
        service.team.add_queued(expected_s)
        self.queued += 1
        self.queued_work_s += expected_s
        self._update_ready(service)

    def _activate(self, service: ServiceNode) -> None:
        team = service.team
        if not team.queued:
            team.virtual_time_s = max(team.virtual_time_s, self._system_virtual_time_s)
            self._active_weight += team.weight
        if not service.queued:
            service.virtual_time_s = max(
                service.virtual_time_s, team.system_virtual_time_s
            )
            team.active_weight += service.weight

    def _add_to_job(
        self,
        service: ServiceNode,
        entry: QueuedTask,
        expected_s: float,
        run_class: RunClass,
    ) -> None:
        sequence = entry.task_id.job_id.sequence
        job = self._jobs.get((sequence, run_class))
        if job is None:
            job = self._jobs[(sequence, run_class)] = WaitingJob(
                sequence=sequence,
                accepted_s=entry.accepted_s,
                run_class=run_class,
                ageing_factor=self.ageing_factor,
            )
        job.push(entry, expected_s)
        service.jobs[run_class].put(job.key, job)

    def _update_ready(self, service: ServiceNode) -> None:
        service.update_ready()
        team = service.team
        for run_class, services in team.services.items():
            if len(services) and team.may_start:
                self._ready[run_class].put(team.virtual_time_s, team)
            else:
                self._ready[run_class].remove(team)

    def pop(self, now_s: float) -> QueuedTask | None:
        """Remove and return the next task, or None if none may start."""
        while (found := self._select_service()) is not None:
            service, run_class = found
            _, job = service.jobs[run_class].peek()
            entry, expected_s = self._pop_from_job(service, job)
            current = self.runtimes.classify(entry.service, entry.kind)
            if current is not run_class:
                # The kind was reclassified while the task was queued.
                self._add_to_job(service, entry, expected_s, current)
                self._update_ready(service)
                continue
            self._subtract_queued(service, 1, expected_s)
            self._update_ready(service)
            return entry
        return None

    def _select_service(self) -> tuple[ServiceNode, RunClass] | None:
        best = None
        for run_class, teams in self._ready.items():
            first = teams.peek() if self._has_class_capacity(run_class) else None
            if first is not None and (best is None or first[0] < best[0]):
                best = (*first, run_class)
        if best is None:
            return None
        _, team, run_class = best
        _, service = team.services[run_class].peek()
        return service, run_class

    def _has_class_capacity(self, run_class: RunClass) -> bool:
        match run_class:
            case RunClass.LONG:
                return self._running[RunClass.LONG] < self.count_long_limit()
            case RunClass.SHORT | RunClass.UNSEEN:
                return True

    def count_long_limit(self) -> int:
        """Return the number of slots that long tasks may hold now."""
        unused = self.slots - SHORT_HEADROOM_FACTOR * self._short_peak
        return int(max(1, self.slots * self.long_task_fraction, unused))

    def _pop_from_job(
        self, service: ServiceNode, job: WaitingJob
    ) -> tuple[QueuedTask, float]:
        entry, expected_s = job.pop()
        if job.tasks:
            service.jobs[job.run_class].put(job.key, job)
        else:
            service.jobs[job.run_class].remove(job)
            del self._jobs[(job.sequence, job.run_class)]
        return entry, expected_s

    def _subtract_queued(self, service: ServiceNode, count: int, work_s: float) -> None:
        """Subtract tasks of a service that are no longer queued from the counts."""
        team = service.team
        service.remove_queued(count, work_s)
        team.remove_queued(count, work_s)
        self.queued -= count
        self.queued_work_s = self.queued_work_s - work_s if self.queued else 0.0
        if not service.queued:
            team.active_weight -= service.weight
        if not team.queued:
            self._active_weight -= team.weight

    def start(self, entry: QueuedTask, now_s: float) -> None:
        """Record that a popped task was sent to a target."""
        service = self._services[entry.service]
        team = service.team
        run_class = self.runtimes.classify(entry.service, entry.kind)
        expected_s = self.runtimes.expect_s(entry.service, entry.kind)
        key = (entry.task_id.job_id.sequence, entry.task_id.index)
        self._attempts[key] = _Attempt(
            service=service, run_class=run_class, charged_s=expected_s
        )
        self._system_virtual_time_s = max(
            self._system_virtual_time_s, team.virtual_time_s
        )
        team.system_virtual_time_s = max(
            team.system_virtual_time_s, service.virtual_time_s
        )
        for node, system_virtual_time_s in (
            (team, self._system_virtual_time_s),
            (service, team.system_virtual_time_s),
        ):
            node.limit_lag(system_virtual_time_s)
            node.charge(expected_s)
            node.running += 1
        self._running[run_class] += 1
        self._update_ready(service)

    def end(self, task_id: TaskId, run_s: float) -> None:
        """Record the end of an attempt that held a slot for `run_s` seconds."""
        attempt = self._attempts.pop((task_id.job_id.sequence, task_id.index))
        service = attempt.service
        for node in (service.team, service):
            node.charge(run_s - attempt.charged_s)
            node.running -= 1
        self._running[attempt.run_class] -= 1
        self._update_ready(service)

    def mark_long(self, key: TaskKey) -> None:
        """Reclassify a running task that exceeded the short limit as long."""
        attempt = self._attempts[key]
        self._running[attempt.run_class] -= 1
        self._running[RunClass.LONG] += 1
        self._attempts[key] = evolve(attempt, run_class=RunClass.LONG)

    def drop_job(self, sequence: int) -> None:
        """Remove the queued tasks of a job, in constant time per class."""
        for run_class in RunClass:
            job = self._jobs.pop((sequence, run_class), None)
            if job is not None:
                service = self._services[job.tasks[0][2].service]
                service.jobs[run_class].remove(job)
                self._subtract_queued(service, len(job.tasks), job.work_s)
                self._update_ready(service)

    def describe_backlog(self, service_name: str) -> Backlog:
        """Return the queued work ahead of a new job of a service."""
        service = self._get_service(service_name)
        team = service.team
        team_weights = self._active_weight + (0 if team.queued else team.weight)
        weights = team.active_weight + (0 if service.queued else service.weight)
        share = team.weight / team_weights * service.weight / weights
        limits = [n.limit for n in (team, service) if n.limit is not None]
        slots = max(1, self.slots)
        fair_share_slots = min([share * slots, *limits])
        wait_s = min(
            self.queued_work_s / slots, service.queued_work_s / (share * slots)
        )
        for node in (team, service):
            if node.limit:
                wait_s = max(wait_s, node.queued_work_s / node.limit)
        return Backlog(
            service_tasks=service.queued,
            service_work_s=service.queued_work_s,
            wait_s=wait_s,
            fair_share_slots=fair_share_slots,
        )

    def count_active_services(self) -> int:
        """Return the number of services with queued tasks."""
        return sum(1 for node in self._services.values() if node.queued)

    def set_slots(self, slots: int, now_s: float) -> None:
        """Set the number of slots to share and update the peak use by short tasks."""
        if self._peak_updated_s is None:
            # Until short tasks are observed, assume that they use every slot.
            self._peak_updated_s, self._short_peak = now_s, float(slots)
        self.slots = slots
        running = self._running[RunClass.SHORT] + self._running[RunClass.UNSEEN]
        waiting = sum(len(self._ready[c]) for c in (RunClass.SHORT, RunClass.UNSEEN))
        decay = math.exp((self._peak_updated_s - now_s) / SHORT_PEAK_TIME_CONSTANT_S)
        self._short_peak = max(self._short_peak * decay, running + waiting)
        self._peak_updated_s = now_s

    def set_processes(self, processes: int) -> None:
        """Set the number of entry processes that divide the data centre's limits."""
        if processes != self.processes:
            self.processes = max(1, processes)
            self._apply_rows()

    def adopt_table(self, table: Table) -> None:
        """Apply the weights and limits of a table version."""
        self._table = table
        self._apply_rows()

    def _apply_rows(self) -> None:
        for name, team in self._teams.items():
            team.set_row(self._get_team_row(name), self.processes)
        for name, service in list(self._services.items()):
            row = self._table.services.get(name)
            if row is not None:
                service.set_row(row, self.processes)
                self._move_service(service, row.team)
            elif not service.queued and not service.running:
                del self._services[name]
        self._recompute_weights()

    def _move_service(self, service: ServiceNode, team_name: str) -> None:
        old = service.team
        if old.name != team_name:
            for services in old.services.values():
                services.remove(service)
            new = service.team = self._get_team(team_name)
            for node, sign in ((old, -1), (new, 1)):
                node.queued += sign * service.queued
                node.queued_work_s += sign * service.queued_work_s
                node.running += sign * service.running
            service.virtual_time_s = max(
                service.virtual_time_s, new.system_virtual_time_s
            )
            new.virtual_time_s = max(new.virtual_time_s, self._system_virtual_time_s)
            for team in (old, new):
                self._remove_unready_team(team)
        self._update_ready(service)

    def _remove_unready_team(self, team: TeamNode) -> None:
        for run_class, services in team.services.items():
            if not len(services):
                self._ready[run_class].remove(team)

    def _recompute_weights(self) -> None:
        teams = self._teams.values()
        self._active_weight = sum(team.weight for team in teams if team.queued)
        for team in teams:
            team.active_weight = 0.0
        for service in self._services.values():
            if service.queued:
                service.team.active_weight += service.weight

    def _get_service(self, name: str) -> ServiceNode:
        service = self._services.get(name)
        if service is None:
            row = self._table.services.get(name) or ServiceRow(name=name, team=name)
            service = ServiceNode(name=name, team=self._get_team(row.team))
            service.set_row(row, self.processes)
            self._services[name] = service
        return service

    def _get_team(self, name: str) -> TeamNode:
        team = self._teams.get(name)
        if team is None:
            team = self._teams[name] = TeamNode(name=name)
            team.set_row(self._get_team_row(name), self.processes)
        return team

    def _get_team_row(self, name: str) -> TeamRow:
        return self._table.teams.get(name) or TeamRow(name=name)
