"""Losses of targets, and what they tell about the tasks that ran there.

A task may crash every target that starts it. Each target that is lost with runs on it
makes all of these tasks suspects, because nothing tells which of them is the cause. A
suspect runs alone from then on: if it is innocent it ends, and if its target is lost
again it is the cause. A silent target may also be cut off, so that a task is held
responsible only for targets that have provably crashed.
"""

import enum
from collections import OrderedDict
from collections.abc import Container, Iterable, Iterator, Set

from gentianhub.capacity.events import LossOutcome, TargetLoss
from gentianhub.capacity.jobs import Cell, ListedTarget, TaskKey
from gentianhub.core.records import define, evolve, field, frozen

# Losses are remembered for this long. A caller waits up to 30 s for a job and may then
# submit it again under the same id.
LOSS_RETENTION_S = 120.0
# Bounds the memory after the loss of many targets; the oldest losses are dropped.
MAX_LOSSES = 5000
# A task is given up after crashes of this many targets, one of them while it ran alone.
MAX_CRASHED_TARGETS = 2
# The same if all crashes are of one target, which may be their cause itself.
MAX_CRASHES_OF_ONE_TARGET = 3
# Outcomes in the order in which they replace each other: a restart is proof of a crash.
_PRECEDENCE = (LossOutcome.OPEN, LossOutcome.SURVIVED, LossOutcome.CRASHED)


class Suspicion(enum.Enum):
    """Whether a task is the cause of the loss of its targets.

    An `UNDECIDED` task has lost as many targets as one that is given up, but not all
    of them have provably crashed.
    """

    NONE = "none"
    SUSPECT = "suspect"
    UNDECIDED = "undecided"
    PROVEN = "proven"


@frozen(kw_only=True)
class _RecordedLoss:
    loss: TargetLoss
    lost_s: float


@define(kw_only=True, eq=False)
class LossLedger:
    """The losses of targets that this host has observed or been told of."""

    _losses: OrderedDict[str, _RecordedLoss] = field(init=False, factory=OrderedDict)
    _ids_by_task: dict[TaskKey, list[str]] = field(init=False, factory=dict)
    _open_ids: set[str] = field(init=False, factory=set)
    _listed_names: Set[str] | None = field(init=False, default=None)

    def record(self, loss: TargetLoss, now_s: float) -> bool:
        """Record a loss or its outcome; return whether this was new."""
        known = self._losses.get(loss.loss_id)
        if known is None:
            lost_s = now_s - loss.age_s
            if now_s > lost_s + LOSS_RETENTION_S:
                return False
            self._losses[loss.loss_id] = _RecordedLoss(loss=loss, lost_s=lost_s)
            for key in loss.tasks:
                self._ids_by_task.setdefault(key, []).append(loss.loss_id)
        elif _PRECEDENCE.index(loss.outcome) > _PRECEDENCE.index(known.loss.outcome):
            changed = evolve(known.loss, outcome=loss.outcome)
            self._losses[loss.loss_id] = evolve(known, loss=changed)
        else:
            return False
        if loss.outcome is LossOutcome.OPEN:
            self._open_ids.add(loss.loss_id)
        else:
            self._open_ids.discard(loss.loss_id)
        while len(self._losses) > MAX_LOSSES:
            self._drop_oldest()
        return True

    def find_losses(self, key: TaskKey) -> list[TargetLoss]:
        """Return the losses that a task may have caused, the earliest first."""
        losses = (self._losses[i].loss for i in self._ids_by_task.get(key, ()))
        return [loss for loss in losses if loss.outcome is not LossOutcome.SURVIVED]

    def assess(self, key: TaskKey) -> Suspicion:
        """Return what the losses tell about a task."""
        if key not in self._ids_by_task:
            return Suspicion.NONE
        losses = self.find_losses(key)
        if not losses:
            return Suspicion.NONE
        if _prove_cause(losses):
            crashes = [x for x in losses if x.outcome is LossOutcome.CRASHED]
            return Suspicion.PROVEN if _prove_cause(crashes) else Suspicion.UNDECIDED
        return Suspicion.SUSPECT

    def resolve_by_report(
        self, target: str, incarnation: int, sent_s: float, now_s: float
    ) -> Iterator[TargetLoss]:
        """Yield the losses of a target that are decided because it answers again.

        `incarnation` is 0 if the target does not tell it. Of what became of the target
        after the request was sent, at `sent_s`, the answer tells nothing.
        """
        if not self._open_ids:
            return
        for loss in self._find_open():
            if loss.target != target:
                continue
            if 0 < loss.incarnation < incarnation:
                yield from self._resolve(loss, LossOutcome.CRASHED, now_s)
            elif (
                loss.incarnation == incarnation
                and self._losses[loss.loss_id].lost_s <= sent_s
            ):
                yield from self._resolve(loss, LossOutcome.SURVIVED, now_s)

    def resolve_by_list(
        self, targets: Iterable[ListedTarget], cells: Container[Cell], now_s: float
    ) -> Iterator[TargetLoss]:
        """Yield the losses in `cells` that the list of all targets decides.

        It has a new incarnation of the lost target, by the same name or address.
        """
        by_name = {target.name: target for target in targets}
        earlier, self._listed_names = self._listed_names, by_name.keys()
        open_losses = [loss for loss in self._find_open() if loss.cell in cells]
        if not open_losses:
            return
        # The entry of a crashed target stays in the list for some seconds, so that only
        # an entry that was not listed before is its successor.
        added = () if earlier is None else by_name.keys() - earlier
        added_addresses = {by_name[name].address for name in added}
        for loss in open_losses:
            listed = by_name.get(loss.target)
            has_successor = (loss.host, loss.port) in added_addresses
            if has_successor or (listed is not None and _has_restarted(listed, loss)):
                yield from self._resolve(loss, LossOutcome.CRASHED, now_s)

    def list_losses(self, now_s: float) -> Iterator[TargetLoss]:
        """Yield all losses with their present age."""
        for known in self._losses.values():
            yield evolve(known.loss, age_s=now_s - known.lost_s)

    def remove_expired(self, now_s: float) -> None:
        """Forget the losses that are too old to matter."""
        while self._losses:
            oldest = next(iter(self._losses.values()))
            if now_s <= oldest.lost_s + LOSS_RETENTION_S:
                return
            self._drop_oldest()

    def _find_open(self) -> list[TargetLoss]:
        return [self._losses[loss_id].loss for loss_id in self._open_ids]

    def _resolve(
        self, loss: TargetLoss, outcome: LossOutcome, now_s: float
    ) -> Iterator[TargetLoss]:
        age_s = now_s - self._losses[loss.loss_id].lost_s
        resolved = evolve(loss, outcome=outcome, age_s=age_s)
        if self.record(resolved, now_s):
            yield resolved

    def _drop_oldest(self) -> None:
        loss_id, known = self._losses.popitem(last=False)
        self._open_ids.discard(loss_id)
        for key in known.loss.tasks:
            ids = self._ids_by_task[key]
            ids.remove(loss_id)
            if not ids:
                del self._ids_by_task[key]


def _prove_cause(losses: list[TargetLoss]) -> bool:
    """Whether losses of one task leave no other task as their cause.

    A neighbour of two tasks that crash their targets has two losses as well, but none
    of them while it ran alone.
    """
    has_enough = (
        len({loss.target for loss in losses}) >= MAX_CRASHED_TARGETS
        or len(losses) >= MAX_CRASHES_OF_ONE_TARGET
    )
    return has_enough and any(loss.is_alone for loss in losses)


def _has_restarted(listed: ListedTarget, loss: TargetLoss) -> bool:
    """Whether a target of the same name is a later incarnation than the lost one."""
    return 0 < loss.incarnation < listed.incarnation
