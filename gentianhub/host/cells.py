"""The cells that a host owns: their schedulers and the connections to targets."""

from collections.abc import Callable, Iterator

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity.cancelled_jobs import CancelledJobs
from gentianhub.capacity.estimates import RunEstimates
from gentianhub.capacity.evacuations import KnownEvacuations
from gentianhub.capacity.jobs import (
    Cell,
    ListedTarget,
    format_task_key,
    format_task_keys,
)
from gentianhub.capacity.leases import HANDOVER_NOTICE_S
from gentianhub.capacity.losses import LossLedger
from gentianhub.capacity.scheduler import CellScheduler
from gentianhub.capacity.succession import Handover, HandoverKind
from gentianhub.core import Incarnation, Mailbox
from gentianhub.core.records import define, field
from gentianhub.host.decision_log import log_decision, record_shed_job
from gentianhub.host.metrics import HostMetrics
from gentianhub.host.outbox import Outbox
from gentianhub.host.target_ports import TargetConnectionMap

# Losses in one message; one of them takes some hundred bytes.
MAX_LOSSES_PER_MESSAGE = 100


@define(kw_only=True, eq=False)
class OwnedCells:
    """Runs the schedulers of the owned cells and executes their effects.

    Parameters
    ----------
    answers : Mailbox
        Receives the targets' answers; this is the coordinator's mailbox.
    find_successors : callable
        Returns the linked hosts that may succeed this one as owner.
    find_other_owners : callable
        Returns the hosts that own the other cells.
    read_targets : callable
        Has the list of targets read from the store now.
    evacuations : KnownEvacuations
        The evacuated data centres, in which no task starts.
    list_priorities : callable
        Returns the priorities of the operator's routes, sorted.
    cancelled_jobs : CancelledJobs
        Jobs of which no task is started any more.
    """

    answers: Mailbox
    outbox: Outbox
    metrics: HostMetrics
    find_successors: Callable[[], tuple[Incarnation, ...]]
    find_other_owners: Callable[[], tuple[Incarnation, ...]] = lambda: ()
    read_targets: Callable[[], None] = lambda: None
    evacuations: KnownEvacuations = field(factory=lambda: KnownEvacuations())
    list_priorities: Callable[[], tuple[int, ...]] = lambda: ()
    cancelled_jobs: CancelledJobs = field(factory=lambda: CancelledJobs())
    targets: tuple[ListedTarget, ...] = ()
    connections: TargetConnectionMap = field(init=False)
    _schedulers: dict[Cell, CellScheduler] = field(init=False, factory=dict)
    _estimates: RunEstimates = field(init=False, factory=lambda: RunEstimates())
    losses: LossLedger = field(init=False, factory=lambda: LossLedger())
    _new_losses: list[ev.TargetLoss] = field(init=False, factory=list)
    _requesters: set[Incarnation] = field(init=False, factory=set)
    _successors: frozenset[Incarnation] = field(init=False, default=frozenset())
    _loss_observers: frozenset[Incarnation] = field(init=False, default=frozenset())
    _awaited_hosts: set[Incarnation] = field(init=False, factory=set)
    _handled_s: float = field(init=False, default=float("inf"))

    def __attrs_post_init__(self):
        self.connections = TargetConnectionMap(answers=self.answers)

    def __bool__(self) -> bool:
        return bool(self._schedulers)

    def acquire(self, cell: Cell, term: int, now_s: float, handover: Handover) -> None:
        """Start to schedule a cell, or restart it under another term."""
        self._record_pause(now_s)
        earlier = self._schedulers.get(cell)
        if earlier is not None:
            # This host was fenced: another owner, unknown to it, may have used others.
            own_targets = tuple(state.entry for state in earlier.targets.values())
            handover = Handover(kind=HandoverKind.UNKNOWN, targets=own_targets)
        self.release(cell)
        scheduler = CellScheduler(
            cell=cell,
            term=term,
            owner_since_s=now_s,
            handover=handover,
            estimates=self._estimates,
            losses=self.losses,
            evacuations=self.evacuations,
            list_priorities=self.list_priorities,
        )
        self._schedulers[cell] = scheduler
        known = handover.merge_targets(self._find_cell_targets(cell))
        self._dispatch_event(scheduler, ev.TargetsListed(targets=known), now_s)

    def release(self, cell: Cell) -> None:
        """Stop to schedule a cell and close the connections to its targets."""
        scheduler = self._schedulers.pop(cell, None)
        if scheduler is not None:
            for name in scheduler.targets:
                self.connections.close_target(name)

    def update_targets(
        self,
        targets: tuple[ListedTarget, ...],
        now_s: float,
        read_s: float | None = None,
        may_add: bool = True,
    ) -> None:
        """Update the list of all targets, requested from the store at `read_s`.

        If `may_add` is false, the owned cells get no new targets.
        """
        self.targets = targets
        for loss in self.losses.resolve_by_list(targets, self._schedulers, now_s):
            self._execute_effect(fx.AnnounceLoss(loss=loss), now_s)
        for cell, scheduler in list(self._schedulers.items()):
            listed = tuple(
                target
                for target in self._find_cell_targets(cell)
                if may_add or target.name in scheduler.targets
            )
            event = ev.TargetsListed(targets=listed, read_s=read_s)
            self._dispatch_event(scheduler, event, now_s)

    def _find_cell_targets(self, cell: Cell) -> Iterator[ListedTarget]:
        return (target for target in self.targets if cell.contains(target))

    def announce_targets(self, peer: Incarnation) -> None:
        """Announce the targets of the owned cells to a newly linked host."""
        if peer in self.find_successors():
            for scheduler in self._schedulers.values():
                self.outbox.send(peer, scheduler.tracker.build_announcement())

    def announce_losses(self, peer: Incarnation, now_s: float) -> None:
        """Announce all known losses of targets to a newly linked host."""
        if self._schedulers and peer in self._find_loss_observers():
            losses = tuple(self.losses.list_losses(now_s))
            self._send_losses((peer,), losses, is_passed_on=False)

    def _announce_to_late_peers(self, now_s: float) -> None:
        """Announce to hosts that have become successors or owners with an open link.

        Changes of an announcement that they lack would be of no use to them.
        """
        successors = frozenset(self.find_successors())
        observers = frozenset(self._find_loss_observers())
        for peer in successors - self._successors:
            self.announce_targets(peer)
        for peer in observers - self._loss_observers:
            self.announce_losses(peer, now_s)
        self._successors, self._loss_observers = successors, observers

    def record_losses(self, message: ev.TargetLosses, now_s: float) -> None:
        """Record losses that another host has announced, and pass them on."""
        new = tuple(x for x in message.losses if self.losses.record(x, now_s))
        if new and self._schedulers and not message.is_passed_on:
            self._send_losses(self.find_successors(), new, is_passed_on=True)

    def _find_loss_observers(self) -> tuple[Incarnation, ...]:
        return tuple({*self.find_successors(), *self.find_other_owners()})

    def _send_losses(
        self,
        peers: tuple[Incarnation, ...],
        losses: tuple[ev.TargetLoss, ...],
        is_passed_on: bool,
    ) -> None:
        for start in range(0, len(losses), MAX_LOSSES_PER_MESSAGE):
            part = losses[start : start + MAX_LOSSES_PER_MESSAGE]
            message = ev.TargetLosses(losses=part, is_passed_on=is_passed_on)
            for peer in peers:
                self.outbox.send(peer, message)

    def handle_task_request(
        self,
        request: ev.RunTasks | ev.CancelTasks | ev.OpenJobs,
        sender: Incarnation,
        now_s: float,
        confirmed_s: float | None = None,
    ) -> None:
        """Handle a front host's request; ignore one for a cell that is not owned.

        The front host had the named jobs open at `confirmed_s`; None for `now_s`.
        """
        match request:
            case ev.RunTasks(job=job) if self.cancelled_jobs.holds(job, now_s):
                log_decision("order refused", job, front_host=str(sender))
                self._tell_cancelled(sender, job)
                return
            case ev.RunTasks() | ev.CancelTasks():
                self._requesters.add(sender)
        scheduler = self._schedulers.get(request.cell)
        if scheduler is not None:
            self._dispatch_event(scheduler, request, now_s, sender, confirmed_s)

    def cancel_job(self, job: str, now_s: float) -> bool:
        """End the tasks of a cancelled job; return whether any was waiting or running.

        Its front host may not learn of the cancel otherwise.
        """
        front_host = self.find_front_host(job)
        self._dispatch_to_all(ev.JobCancelled(job=job), now_s)
        if front_host is not None:
            self._tell_cancelled(front_host, job)
        return front_host is not None

    def _tell_cancelled(self, front_host: Incarnation, job: str) -> None:
        entry = ev.CancelledJob(job=job, age_s=0.0)
        self.outbox.send(front_host, ev.CancelledJobs(jobs=(entry,)))

    def list_cells(self) -> tuple[Cell, ...]:
        """Return the owned cells."""
        return tuple(self._schedulers)

    def find_unconfirmed_hosts(self, now_s: float) -> frozenset[Incarnation]:
        """Return the front hosts that should confirm their open jobs."""
        return frozenset(
            front_host
            for scheduler in self._schedulers.values()
            for front_host in scheduler.find_unconfirmed_hosts(now_s)
        )

    def pop_awaited_hosts(self) -> frozenset[Incarnation]:
        """Return the front hosts to ask for their open jobs since the last call."""
        awaited, self._awaited_hosts = self._awaited_hosts, set()
        return frozenset(awaited)

    def handle_answer(self, target: str, event, now_s: float) -> None:
        """Pass a target's answer to the scheduler of its cell."""
        match event:
            case ev.StartAnswered(verdict=verdict):
                self.metrics.start_answers[verdict.value] += 1
        scheduler = self.find_scheduler(target)
        if scheduler is not None:
            self._dispatch_event(scheduler, event, now_s)

    def find_scheduler(self, target: str) -> CellScheduler | None:
        """Return the scheduler of the cell that holds a target, if it is owned."""
        return next((s for s in self._schedulers.values() if target in s.targets), None)

    def find_front_host(self, job: str) -> Incarnation | None:
        """Return the host that has sent tasks of an open job, or None."""
        found = (s.find_front_host(job) for s in self._schedulers.values())
        return next((host for host in found if host is not None), None)

    def remove_front_host(self, front_host: Incarnation, now_s: float) -> None:
        """Stop the tasks that a lost front host has requested."""
        self._dispatch_to_all(ev.FrontLost(front_host=front_host), now_s)

    def handle_tick(self, now_s: float) -> None:
        """Pass a timer tick to every scheduler."""
        self.losses.remove_expired(now_s)
        if self._schedulers:
            self._announce_to_late_peers(now_s)
        self._dispatch_to_all(ev.Tick(), now_s)

    def _dispatch_to_all(self, event, now_s: float) -> None:
        for scheduler in list(self._schedulers.values()):
            self._dispatch_event(scheduler, event, now_s)

    def build_claims(self, now_s: float) -> Iterator[ev.CellClaim]:
        """Yield the claims on the owned cells with their current loads."""
        for scheduler in self._schedulers.values():
            yield scheduler.build_claim(now_s)

    def collect_front_hosts(self) -> frozenset[Incarnation]:
        """Return the front hosts that expect frequent heartbeats of this host.

        They have or recently had tasks in the cells, or have sent a request since the
        last call, which may name a job that is not known.
        """
        requesters, self._requesters = self._requesters, set()
        return frozenset(requesters).union(
            front_host
            for scheduler in self._schedulers.values()
            for front_host, _ in scheduler.jobs
        )

    def has_work(self) -> bool:
        """Whether a task waits or runs."""
        return any(scheduler.has_work() for scheduler in self._schedulers.values())

    def describe_targets(self, now_s: float) -> dict[str, dict]:
        """Return the state of each target for the `/dump` endpoint."""
        return {
            name: {
                "phase": state.phase.value,
                "runs": len(state.runs),
                "used_millicores": state.used.cpu_millicores,
                "pace": round(state.pace.value, 3),
                "ejected": state.health.is_ejected(now_s),
                "leaving": state.entry.is_leaving,
            }
            for scheduler in self._schedulers.values()
            for name, state in scheduler.targets.items()
        }

    def _dispatch_event(
        self,
        scheduler: CellScheduler,
        event,
        now_s: float,
        sender: Incarnation | None = None,
        confirmed_s: float | None = None,
    ) -> None:
        self._record_pause(now_s)
        for effect in scheduler.handle(event, now_s, sender, confirmed_s):
            self._execute_effect(effect, now_s)
        if self._new_losses:
            losses, self._new_losses = tuple(self._new_losses), []
            self._send_losses(self._find_loss_observers(), losses, is_passed_on=False)

    def _record_pause(self, now_s: float) -> None:
        """Tell the schedulers if this host, which ticks more often, has not run."""
        if now_s > self._handled_s + HANDOVER_NOTICE_S:
            for scheduler in self._schedulers.values():
                scheduler.tracker.record_pause(self._handled_s, now_s)
        self._handled_s = now_s

    def _execute_effect(self, effect: fx.CellEffect, now_s: float) -> None:
        match effect:
            case fx.RenewLease(target=target):
                self.connections.get_connections(target).renew(effect)
            case fx.StartRun(target=target):
                self.metrics.starts += 1
                log_decision(
                    "start",
                    format_task_key(effect.key),
                    run=effect.run,
                    target=target.name,
                    **effect.inputs,
                )
                if not self.connections.get_connections(target).enqueue(effect):
                    self._reject_start(effect, now_s)
            case fx.StopRun(target=target):
                self.metrics.stops[effect.reason.value] += 1
                log_decision(
                    "stop",
                    format_task_key(effect.key),
                    run=effect.run,
                    target=target.name,
                    reason=effect.reason.value,
                )
                self.connections.get_connections(target).enqueue(effect)
            case fx.ListRuns(target=target):
                self.connections.get_connections(target).enqueue(effect)
            case fx.CloseTarget(target=name):
                self.connections.close_target(name)
            case fx.ReadTargets():
                self.read_targets()
            case fx.AnnounceTargets(message=message):
                for successor in self.find_successors():
                    self.outbox.send(successor, message)
            case fx.AnnounceLoss(loss=loss):
                self._record_loss(loss)
            case fx.RequestOpenJobs(front_host=front_host):
                self._awaited_hosts.add(front_host)
            case fx.SendToFront(front_host=front_host, message=message):
                self._record_end(message)
                self.outbox.send(front_host, message)
            case fx.ShedJob():
                record_shed_job(effect, self.metrics)
            case fx.LogDecision():
                log_decision(effect.decision, effect.subject, **effect.inputs)

    def _record_loss(self, loss: ev.TargetLoss) -> None:
        self.metrics.losses[loss.outcome.value] += 1
        log_decision(
            "target lost",
            loss.target,
            loss=loss.loss_id,
            outcome=loss.outcome.value,
            tasks=format_task_keys(loss.tasks),
            alone=loss.is_alone,
            age_s=round(loss.age_s, 3),
        )
        self._new_losses.append(loss)

    def _reject_start(self, start: fx.StartRun, now_s: float) -> None:
        """Report a start as not sent because the target's command queue is full."""
        self.answers.try_put(
            ev.StartAnswered(
                target=start.target.name,
                key=start.key,
                run=start.run,
                verdict=ev.StartVerdict.NOT_SENT,
                sent_s=now_s,
            )
        )

    def _record_end(self, ended: ev.TasksEnded) -> None:
        self.metrics.count_end(ended.end)
        log_decision(
            "tasks ended",
            ended.job,
            step=ended.step_number,
            tasks=list(ended.indexes),
            end=ended.end.value,
            has_started=ended.has_started,
        )
