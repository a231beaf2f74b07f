"""Tracking of a cell's targets: their runs, their leases and whether they respond.

The tracker processes the answers of the targets. It yields effects, and events about
runs that the cell's scheduler applies to its tasks.
"""

from collections.abc import Iterator
from typing import Any

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity.answer_times import MIN_TIMEOUT_S
from gentianhub.capacity.confirmations import describe_age
from gentianhub.capacity.effects import StopReason
from gentianhub.capacity.jobs import (
    Cell,
    ListedTarget,
    TaskKey,
    format_task_key,
    format_task_keys,
)
from gentianhub.capacity.leases import (
    HANDOVER_NOTICE_S,
    RENEWAL_WAIT_S,
    bound_lease_expiry,
    choose_lease_s,
    choose_wait_s,
)
from gentianhub.capacity.succession import Handover, HandoverKind
from gentianhub.capacity.targets import Run, RunPhase, Stop, TargetPhase, TargetState
from gentianhub.capacity.tracker_events import (
    LossCause,
    OrphanFound,
    RunEnded,
    RunLost,
    RunsDiscovered,
    RunStalled,
    StartRefused,
    TargetAnswered,
    TargetLost,
    TargetRefuses,
    TargetUsable,
    TrackerEvent,
)
from gentianhub.core.records import define, evolve, field

# A new owner keeps runs of an earlier one that no front host has claimed for this long.
# Their targets are granted no lease meanwhile, so that a longer time would also end the
# claimed runs beside them. Front hosts claim runs within a few hundredths of a second.
ORPHAN_GRACE_S = 0.15
# A stop that has not taken effect is sent again after this time.
STOP_RETRY_S = 0.15
# A start is answered, refused or times out within this time, s.
START_ANSWER_TIMEOUT_S = 1.0
# A target that answers is used for this long after its entry is missing from the list.
# Entries that expired during an outage of the store return within about 2 s of its end.
MISSING_GRACE_S = 2.5
# A run is stalled if it makes no progress for this time or this fraction of its
# expected time, whichever is longer.
STALL_TIMEOUT_S = 0.4
STALL_FRACTION = 0.4


@define(kw_only=True, eq=False)
class TargetTracker:
    """Keeps the state of a cell's targets for the owner of the cell.

    Parameters
    ----------
    term : int
        The fencing token of this owner, sent with each call to a target.
    owner_since_s : float
        Monotonic time at which this host became the owner, in seconds.
    handover : Handover
        What is known about the targets of earlier owners.
    """

    cell: Cell
    term: int
    owner_since_s: float
    handover: Handover = Handover(kind=HandoverKind.UNKNOWN)
    has_current_list: bool = field(init=False, default=False)
    _paused_s: float = field(init=False, default=0.0)
    _has_announced: bool = field(init=False, default=False)
    targets: dict[str, TargetState] = field(init=False, factory=dict)

    def handle(self, event, now_s: float) -> Iterator[fx.CellEffect | TrackerEvent]:
        """Yield the effects of one event and the tracker events that result from it."""
        match event:
            case ev.TargetsListed(targets=targets, read_s=read_s):
                if read_s is not None and read_s >= self.owner_since_s:
                    self.has_current_list = True
                yield from self._update_targets(targets, now_s)
            case ev.RunsReported():
                yield from self._handle_report(event, now_s)
            case ev.RenewalMissed():
                yield from self._retry_renewal(event, now_s)
            case ev.TargetSilent():
                yield from self._handle_silence(event, now_s)
            case ev.StartAnswered():
                yield from self._handle_start_answer(event, now_s)
            case ev.StopAnswered():
                yield from self._handle_stop_answer(event, now_s)
            case ev.Tick():
                yield from self._handle_tick(now_s)

    def has_discovered_runs(self, now_s: float) -> bool:
        """Whether every run of an earlier owner that may still exist is known.

        That is so once the leases that an earlier owner may have granted have expired,
        or once all targets have listed their runs, provided that these include all
        targets of the earlier owner.
        """
        if now_s > self._earlier_leases_end_s:
            return True
        match self.handover.kind:
            case HandoverKind.UNKNOWN:
                return False
            case HandoverKind.SILENT if not self.has_current_list:
                return False
        return bool(self.targets) and all(
            target.phase is TargetPhase.READY for target in self.targets.values()
        )

    @property
    def _earlier_leases_end_s(self) -> float:
        """Monotonic time at which all leases of an earlier owner have expired, s."""
        expiry_s = bound_lease_expiry(self.owner_since_s) + HANDOVER_NOTICE_S
        return expiry_s + self._paused_s

    def record_pause(self, start_s: float, end_s: float) -> None:
        """Record that this host has handled nothing between two monotonic times, s.

        Its claim may have waited in the process meanwhile, and an earlier owner that
        has not received it may have renewed its leases.
        """
        if start_s <= self._earlier_leases_end_s:
            self._paused_s += end_s - start_s

    def build_announcement(self) -> ev.CellTargets:
        """Return the announcement of all targets of the cell."""
        return ev.CellTargets(
            cell=self.cell,
            term=self.term,
            targets=tuple(state.entry for state in self.targets.values()),
            is_complete=True,
        )

    def stop_run(
        self, state: TargetState, run: Run, reason: StopReason, now_s: float
    ) -> fx.StopRun:
        """Stop a run; its capacity becomes free when the target lists its end."""
        run.phase = RunPhase.STOPPING
        return self._stop(state, run.key, run.number, reason, now_s)

    def _stop(
        self,
        state: TargetState,
        key: TaskKey,
        run: int,
        reason: StopReason,
        now_s: float,
    ) -> fx.StopRun:
        stop = state.stops.get(key)
        if stop is None or stop.run != run:
            stop = Stop(run=run, reason=reason, decided_s=now_s, sent_s=now_s)
            state.stops[key] = stop
        return self._send_stop(state, key, stop, now_s)

    def _send_stop(
        self, state: TargetState, key: TaskKey, stop: Stop, now_s: float
    ) -> fx.StopRun:
        stop.sent_s = now_s
        return fx.StopRun(
            target=state.entry,
            key=key,
            run=stop.run,
            term=self.term,
            reason=stop.reason,
        )

    # The list of targets

    def _update_targets(
        self, listed: tuple[ListedTarget, ...], now_s: float
    ) -> Iterator:
        names = {target.name for target in listed}
        for state in self.targets.values():
            if state.name in names:
                state.missing_since_s = None
            elif state.missing_since_s is None:
                state.missing_since_s = now_s
                yield self._log_decision(
                    "target not listed", state.name, runs=len(state.runs)
                )
        known = {name: state.entry for name, state in self.targets.items()}
        changed = tuple(t for t in listed if known.get(t.name) != t)
        if changed:
            yield self._announce(targets=changed, is_complete=not self._has_announced)
            self._has_announced = True
        for target in listed:
            yield from self._update_target(target, now_s)
        yield TargetUsable()

    def _announce(self, **changes) -> fx.AnnounceTargets:
        values = {"targets": (), **changes}
        message = ev.CellTargets(cell=self.cell, term=self.term, **values)
        return fx.AnnounceTargets(message=message)

    def _update_target(self, target: ListedTarget, now_s: float) -> Iterator:
        state = self.targets.get(target.name)
        if state is not None and state.entry.address != target.address:
            # A new address under the same name: the target has been restarted.
            yield fx.CloseTarget(target=target.name)
            state.update(target)
            # The pending renewal, or the delay before the next one, has ended with it.
            yield from self._renew(state, now_s)
            return
        if state is None:
            # An earlier owner may have granted a lease until now.
            state = TargetState(entry=target, lease_expiry_s=bound_lease_expiry(now_s))
            self.targets[target.name] = state
            yield self._log_decision(
                "target listed",
                target.name,
                address=f"{target.host}:{target.port}",
                leaving=target.is_leaving,
            )
            yield from self._renew(state, now_s)
            return
        if target.is_leaving and not state.entry.is_leaving:
            yield self._log_decision("target leaves", target.name, runs=len(state.runs))
        state.update(target)

    def _remove_target(self, state: TargetState, now_s: float) -> Iterator:
        """Remove a target that is no longer listed and on which no run can exist.

        A target that answers is used for a grace period, because entries that expired
        during an outage of the store come back after it.
        """
        if state.missing_since_s is None:
            return
        is_expired = state.phase is TargetPhase.SILENT and now_s > state.lease_expiry_s
        if now_s > state.missing_since_s + MISSING_GRACE_S and not is_expired:
            state.update(evolve(state.entry, is_leaving=True))
        if is_expired or (state.entry.is_leaving and not state.runs):
            del self.targets[state.name]
            yield fx.CloseTarget(target=state.name)
            yield self._announce(removed=(state.name,))
            yield self._log_decision("target gone", state.name, phase=state.phase.value)

    # Reports

    def _renew(
        self, state: TargetState, now_s: float, is_retry: bool = False
    ) -> Iterator[fx.RenewLease | fx.LogDecision]:
        """Renew the lease of a target whose runs may all go on; only poll any other."""
        is_ready = state.phase is TargetPhase.READY
        lease_s = self._grant_lease(state, now_s)
        if is_ready and not lease_s:
            yield self._log_decision(
                "lease withheld",
                state.name,
                overdue=format_task_keys(state.find_overdue_stops(now_s)),
                unclaimed=format_task_keys(state.find_unclaimed_runs()),
                confirmed_age_s=describe_age(state.find_confirmed_s(now_s), now_s),
                **_describe_runs(state),
            )
        yield fx.RenewLease(
            target=state.entry,
            term=self.term,
            decided_s=now_s,
            lease_s=lease_s,
            acknowledged_end=state.acknowledged_end,
            wait_s=choose_wait_s(lease_s) if is_ready and not is_retry else 0.0,
            is_retry=is_retry or state.phase is TargetPhase.SILENT,
        )

    def adopt_run(self, state: TargetState, run: Run, now_s: float) -> Iterator:
        """Take over a run of an earlier owner that a front host has claimed.

        The pending renewal grants no lease. Once all runs are claimed, another call
        does, since the lease of the earlier owner may end before the next renewal.
        """
        state.orphans.pop(run.key)
        state.add_run(run)
        lease_s = self._grant_lease(state, now_s)
        if lease_s:
            yield self._list_runs(state, now_s, lease_s)

    def _grant_lease(self, state: TargetState, now_s: float) -> float:
        """Return the lease that the target is granted now, s; 0 for none.

        A lease is one of all runs of the target. So none is granted before it has
        listed its runs, and none while a run there has to end.
        """
        is_ready = state.phase is TargetPhase.READY
        if not is_ready or state.find_overdue_stops(now_s):
            return 0.0
        lease_s = choose_lease_s(now_s - state.find_confirmed_s(now_s))
        if lease_s:
            state.extend_lease(now_s, lease_s)
        return lease_s

    def _list_runs(
        self, state: TargetState, now_s: float, lease_s: float = 0.0
    ) -> fx.ListRuns:
        return fx.ListRuns(
            target=state.entry,
            term=self.term,
            decided_s=now_s,
            lease_s=lease_s,
            acknowledged_end=state.acknowledged_end,
        )

    def _handle_report(self, report: ev.RunsReported, now_s: float) -> Iterator:
        state = self.targets.get(report.target)
        if state is None:
            return
        if state.phase is TargetPhase.SILENT:
            yield self._log_decision("target answers", state.name, runs=len(state.runs))
        # Other owners may tell of a loss after the target has answered this one.
        yield TargetAnswered(
            target=state, incarnation=report.incarnation or 0, sent_s=report.sent_s
        )
        is_new_life = state.incarnation not in (None, report.incarnation)
        if is_new_life:
            if report.sent_s < state.last_request_s:
                # It was overtaken by an answer of the present life.
                yield self._log_decision("report of an earlier life", state.name)
                if report.is_renewal:
                    yield from self._renew(state, now_s)
                return
            yield from self._begin_life(state, report, now_s)
        # It may have waited for this owner; a target answers within this time.
        answered_s = min(now_s, report.sent_s + RENEWAL_WAIT_S)
        state.record_report(answered_s, now_s)
        is_first = state.phase is TargetPhase.AWAITING_REPORT
        was_unusable = (
            state.phase is not TargetPhase.READY
            or state.is_restarting
            or is_new_life
            or bool(state.orphans)
        )
        state.incarnation = report.incarnation
        state.phase = TargetPhase.READY
        if is_new_life and not state.has_current_entry():
            yield fx.ReadTargets()
        state.has_listed_runs, state.is_lost = True, False
        state.is_restarting = False
        yield from self._process_ended_runs(state, report, is_first)
        if report.sent_s >= state.last_request_s:
            # Answers may arrive out of order; an older list would revive ended runs.
            state.last_request_s = report.sent_s
            yield from self._reconcile_runs(state, report, now_s)
        if report.is_renewal:
            yield from self._renew(state, now_s)
        if was_unusable:
            yield TargetUsable()
        if is_first:
            yield RunsDiscovered()

    def _begin_life(
        self, state: TargetState, report: ev.RunsReported, now_s: float
    ) -> Iterator:
        """Note that a target has restarted, and which runs have ended with it.

        Orders that were under way are carried out by the new life. A run that was
        confirmed before the list was requested, and is not on it, has ended. What has
        become of any other one, later lists and the answer to its start tell.
        """
        yield self._log_decision(
            "target restarted", state.name, **_describe_runs(state)
        )
        listed = {(row.key, row.run) for row in (*report.running, *report.ended)}
        missing = [
            run
            for run in state.runs.values()
            if (run.key, run.number) not in listed and run.sent_s < report.sent_s
        ]
        orphans = [
            key for key, run in state.orphans.items() if (key, run) not in listed
        ]
        keys = (*(run.key for run in missing), *orphans)
        yield from self._report_loss(state, keys, LossCause.TARGET_RESTARTED)
        for run in missing:
            if run.confirmed_s < report.sent_s:
                yield self._mark_run_lost(state, run, LossCause.TARGET_RESTARTED)
            else:
                run.may_have_run = True
        state.begin_life(now_s)

    def _process_ended_runs(
        self, state: TargetState, report: ev.RunsReported, is_first: bool
    ) -> Iterator:
        for ended in report.ended:
            if ended.number <= state.acknowledged_end:
                continue
            state.acknowledged_end = ended.number
            was_orphan = state.remove_orphan(ended.key) == ended.run
            run = state.runs.get(ended.key)
            if run is None or run.number != ended.run:
                if run is None and (is_first or was_orphan):
                    state.unclaimed_ends[ended.key] = ended
                continue
            state.remove_run(ended.key)
            yield RunEnded(target=state, run=run, end=ended.end)

    def _reconcile_runs(
        self, state: TargetState, report: ev.RunsReported, now_s: float
    ) -> Iterator:
        listed = {row.key: row for row in report.running}
        for key in [key for key in state.orphans if key not in listed]:
            state.remove_orphan(key)
        unknown = [row for key, row in listed.items() if key not in state.runs]
        # All are noted before any is claimed, since a claim may renew the lease.
        state.orphans.update((row.key, row.run) for row in unknown)
        for row in unknown:
            yield from self._handle_unknown_run(state, row, now_s)
        for key, run in state.runs.items():
            if key in listed and listed[key].run == run.number:
                _update_progress(run, listed[key], now_s)
        for run in list(state.runs.values()):
            if run.key in listed or run.sent_s >= report.sent_s:
                continue
            if run.phase is RunPhase.UNCERTAIN:
                # The target has not started it; a stop keeps a delayed start from
                # taking effect.
                yield self.stop_run(state, run, StopReason.START_UNANSWERED, now_s)
            elif run.stopped_s < report.sent_s:
                # A start that was executed would be listed as running or ended, unless
                # an earlier life of the target has executed it.
                may_have_run = run.may_have_run
                cause = LossCause.MISSING if may_have_run else LossCause.NOT_STARTED
                yield self._mark_run_lost(state, run, cause)
            elif run.confirmed_s < report.sent_s:
                yield self._log_decision(
                    "run missing", format_task_key(run.key), target=state.name
                )
                yield self._mark_run_lost(state, run, LossCause.MISSING)

    def _handle_unknown_run(
        self, state: TargetState, row: ev.RunReport, now_s: float
    ) -> Iterator:
        """Keep a run of an earlier owner for a grace period; stop any other.

        A run that is being stopped stays an orphan until it has ended: its task must
        not start elsewhere before, and it uses capacity of the target.
        """
        is_assigned = any(row.key in other.runs for other in self.targets.values())
        if now_s < self.owner_since_s + ORPHAN_GRACE_S and not is_assigned:
            yield OrphanFound(target=state, key=row.key)
        elif row.key not in state.stops:
            yield self._stop(state, row.key, row.run, StopReason.NOT_CLAIMED, now_s)

    def _retry_renewal(self, missed: ev.RenewalMissed, now_s: float) -> Iterator:
        """Retry a renewal immediately, since a single answer may be lost or late.

        Without the retry, a target got no tasks for 0.4 s after one lost answer, and
        most of its leases expired.
        """
        state = self.targets.get(missed.target)
        if state is not None:
            yield self._log_decision("renewal missed", state.name, reason=missed.reason)
            state.is_restarting = state.is_restarting or missed.is_broken
            yield from self._renew(state, now_s, is_retry=True)

    def _handle_silence(self, event: ev.TargetSilent, now_s: float) -> Iterator:
        state = self.targets.get(event.target)
        if state is None:
            return
        if state.phase is not TargetPhase.SILENT:
            yield self._log_decision(
                "target silent",
                state.name,
                reason=event.reason,
                refused=event.is_refused,
                **_describe_runs(state),
            )
        state.phase = TargetPhase.SILENT
        yield from self._renew(state, now_s)
        if event.is_refused:
            yield TargetRefuses(target=state)

    # Answers to starts and stops

    def _handle_start_answer(self, answer: ev.StartAnswered, now_s: float) -> Iterator:
        state = self.targets.get(answer.target)
        run = state.runs.get(answer.key) if state is not None else None
        if run is None or run.number != answer.run:
            return
        match answer.verdict:
            case ev.StartVerdict.STARTED:
                if run.phase is RunPhase.STARTING:
                    run.phase = RunPhase.RUNNING
                    run.confirmed_s = run.progress_s = now_s
            case ev.StartVerdict.UNANSWERED:
                if run.phase is RunPhase.STARTING:
                    run.phase = RunPhase.UNCERTAIN
                    yield self._log_decision(
                        "start unanswered", format_task_key(run.key), target=state.name
                    )
                    yield self._list_runs(state, now_s)
            case verdict:
                yield self._log_decision(
                    "start refused",
                    format_task_key(run.key),
                    target=state.name,
                    verdict=verdict.value,
                    waited_s=round(answer.sent_s - run.sent_s, 3),
                )
                state.remove_run(run.key)
                yield StartRefused(target=state, run=run, verdict=verdict)

    def _handle_stop_answer(self, answer: ev.StopAnswered, now_s: float) -> Iterator:
        """Request the target's runs; a run that was started has 50 ms to end."""
        state = self.targets.get(answer.target)
        if state is None:
            return
        if not answer.is_confirmed:
            yield from self._retry_stop(state, answer, now_s)
            return
        stop = state.stops.get(answer.key)
        if stop is not None and stop.run == answer.run:
            stop.is_confirmed = True
        run = state.runs.get(answer.key)
        if run is None or run.number != answer.run:
            return
        if run.confirmed_s == float("inf") and run.stopped_s == float("inf"):
            run.stopped_s = now_s
            yield self._list_runs(state, now_s)

    def _retry_stop(
        self, state: TargetState, answer: ev.StopAnswered, now_s: float
    ) -> Iterator:
        """Send a stop again whose answer is overdue.

        A stop that fails sooner, as the target refuses connections, is retried later.
        """
        stop = state.stops.get(answer.key)
        if (
            stop is not None
            and stop.run == answer.run
            and now_s >= stop.sent_s + MIN_TIMEOUT_S
        ):
            yield self._send_stop(state, answer.key, stop, now_s)

    def _mark_target_lost(self, state: TargetState, cause: LossCause) -> Iterator:
        """Mark all runs of a target as lost, those of earlier owners included."""
        keys = tuple(state.runs.keys() | state.orphans.keys())
        yield from self._report_loss(state, keys, cause)
        state.is_lost = True
        for key in list(state.orphans):
            state.remove_orphan(key)
        for run in list(state.runs.values()):
            yield self._mark_run_lost(state, run, cause)

    def _report_loss(
        self, state: TargetState, keys: tuple[TaskKey, ...], cause: LossCause
    ) -> Iterator[TargetLost]:
        if keys or not (state.has_listed_runs or state.is_lost):
            yield TargetLost(
                target=state,
                keys=keys,
                is_complete=state.has_listed_runs,
                cause=cause,
            )

    def _mark_run_lost(self, state: TargetState, run: Run, cause: LossCause) -> RunLost:
        state.remove_run(run.key)
        return RunLost(target=state, run=run, cause=cause)

    # Time-outs

    def _handle_tick(self, now_s: float) -> Iterator:
        for state in list(self.targets.values()):
            if state.phase is TargetPhase.SILENT and now_s > state.lease_expiry_s:
                if state.runs:
                    yield self._log_decision(
                        "leases lapsed", state.name, **_describe_runs(state)
                    )
                yield from self._mark_target_lost(state, LossCause.LEASE_EXPIRED)
            yield from self._check_stops(state, now_s)
            if state.phase is TargetPhase.READY:
                yield from self._check_runs(state, now_s)
                yield from self._end_expired_runs(state, now_s)
            yield from self._remove_target(state, now_s)

    def _check_stops(self, state: TargetState, now_s: float) -> Iterator:
        """Stop the runs that no front host has claimed; repeat stops without effect."""
        if now_s >= self.owner_since_s + ORPHAN_GRACE_S:
            for key, run in state.orphans.items():
                if key not in state.stops:
                    yield self._stop(state, key, run, StopReason.NOT_CLAIMED, now_s)
        for key, stop in list(state.stops.items()):
            if now_s > stop.sent_s + STOP_RETRY_S:
                yield self._send_stop(state, key, stop, now_s)

    def _end_expired_runs(self, state: TargetState, now_s: float) -> Iterator:
        """End the runs that have outlasted the last lease without a confirmed stop.

        The target may not list them, since it may never have started them.
        """
        if now_s <= state.lease_expiry_s:
            return
        for key in state.find_overdue_stops(now_s):
            state.remove_orphan(key)
            run = state.runs.get(key)
            if run is not None:
                yield self._mark_run_lost(state, run, LossCause.LEASE_EXPIRED)

    def _check_runs(self, state: TargetState, now_s: float) -> Iterator:
        for run in list(state.runs.values()):
            match run.phase:
                case RunPhase.STARTING if now_s > run.sent_s + START_ANSWER_TIMEOUT_S:
                    # The answer is lost with a connection or at a full mailbox.
                    run.phase = RunPhase.UNCERTAIN
                    yield self._list_runs(state, now_s)
                case RunPhase.RUNNING if _is_stalled(run, state.last_report_s):
                    yield self._log_decision(
                        "run stalled",
                        format_task_key(run.key),
                        target=state.name,
                        percent=run.percent,
                        silent_s=round(state.last_report_s - run.progress_s, 3),
                    )
                    state.health.record_stall(now_s)
                    yield RunStalled(target=state, run=run)
                    yield self.stop_run(state, run, StopReason.STALLED, now_s)

    def _log_decision(self, decision: str, subject: str, **inputs) -> fx.LogDecision:
        return fx.LogDecision(
            decision=decision,
            subject=subject,
            inputs={"cell": str(self.cell), "term": self.term, **inputs},
        )


def _describe_runs(state: TargetState) -> dict[str, Any]:
    """Return the runs of a target for a log line."""
    keys = [*state.runs, *(key for key in state.orphans if key not in state.runs)]
    return {
        "runs": len(keys),
        "tasks": format_task_keys(keys),
    }


def _update_progress(run: Run, row: ev.RunReport, now_s: float) -> None:
    if run.phase in (RunPhase.STARTING, RunPhase.UNCERTAIN):
        run.phase = RunPhase.RUNNING
        run.confirmed_s = now_s
    if row.percent > run.percent:
        run.percent, run.progress_s = row.percent, now_s


def _is_stalled(run: Run, last_report_s: float) -> bool:
    """Whether the run has made no progress for too long as of the last report."""
    allowed_s = max(STALL_TIMEOUT_S, STALL_FRACTION * run.expected_s)
    return last_report_s - run.progress_s > allowed_s
