"""Records the losses of a cell's targets, and rules on the tasks that ran there."""

from collections.abc import Iterable, Iterator

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity import tracker_events as te
from gentianhub.capacity.jobs import Cell, TaskKey, format_task_key
from gentianhub.capacity.losses import LossLedger, Suspicion
from gentianhub.core.records import define, field


@define(kw_only=True, eq=False)
class Suspects:
    """The part of a cell's scheduler that deals with tasks that crash targets."""

    cell: Cell
    term: int
    losses: LossLedger
    _loss_count: int = field(init=False, default=0)

    def has_to_run_alone(self, key: TaskKey) -> bool:
        """Whether a task has lost a target, so that it may not share the next one."""
        return self.losses.assess(key) is Suspicion.SUSPECT

    def find_end(self, keys: Iterable[TaskKey]) -> ev.TaskEnd | None:
        """Return how tasks end one of which may not be started, or None."""
        for key in keys:
            match self.losses.assess(key):
                case Suspicion.PROVEN:
                    return ev.TaskEnd.CRASHED
                case Suspicion.UNDECIDED:
                    return ev.TaskEnd.LOST
        return None

    def log_given_up(self, keys: Iterable[TaskKey], end: ev.TaskEnd) -> fx.LogDecision:
        """Return the log line about the first of the tasks that has lost targets."""
        key = next(key for key in keys if self.find_end([key]) is end)
        losses = self.losses.find_losses(key)
        return fx.LogDecision(
            decision="task given up",
            subject=format_task_key(key),
            inputs={
                "cell": str(self.cell),
                "term": self.term,
                "end": end.value,
                "losses": [[x.loss_id, x.target, x.outcome.value] for x in losses],
            },
        )

    def record_loss(
        self, lost: te.TargetLost, repeated: Iterable[TaskKey], now_s: float
    ) -> Iterator[fx.AnnounceLoss]:
        """Record and announce a loss.

        `repeated` are tasks that an earlier owner may have started and that were found
        nowhere: they may have run on a target that has never answered this owner. The
        end of a target that leaves is no crash.
        """
        state = lost.target
        keys = lost.keys if lost.is_complete else (*lost.keys, *repeated)
        has_restarted = lost.cause is te.LossCause.TARGET_RESTARTED
        if not keys or (state.entry.is_leaving and not has_restarted):
            return
        self._loss_count += 1
        loss = ev.TargetLoss(
            loss_id=f"{self.term}-{self._loss_count}",
            cell=self.cell,
            target=state.name,
            host=state.entry.host,
            port=state.entry.port,
            incarnation=state.incarnation or state.entry.incarnation,
            tasks=keys,
            is_complete=lost.is_complete,
            outcome=ev.LossOutcome.CRASHED if has_restarted else ev.LossOutcome.OPEN,
        )
        self.losses.record(loss, now_s)
        yield fx.AnnounceLoss(loss=loss)

    def resolve_losses(
        self, answered: te.TargetAnswered, now_s: float
    ) -> Iterator[fx.AnnounceLoss]:
        """Announce the outcome of the earlier losses of a target that answers again."""
        resolved = self.losses.resolve_by_report(
            answered.target.name, answered.incarnation, answered.sent_s, now_s
        )
        for loss in resolved:
            yield fx.AnnounceLoss(loss=loss)
