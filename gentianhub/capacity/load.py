"""The load of a cell, which its owner reports to front hosts."""

from collections.abc import Iterable

from gentianhub.capacity.events import CellClaim
from gentianhub.capacity.jobs import Cell, JobStep
from gentianhub.capacity.targets import TargetState
from gentianhub.capacity.tasks import CellTask
from gentianhub.core.records import define, field

# Weight of a new request in the exponential moving average of a task's demand.
DEMAND_GAIN = 0.1


@define(kw_only=True, eq=False)
class CellLoad:
    """Computes the idle capacity of a cell in multiples of a typical task's demand."""

    cell: Cell
    term: int
    _typical_millicores: float = field(init=False, default=0.0)

    def record_demand(self, step: JobStep) -> None:
        """Update the typical demand with that of the tasks in a new request."""
        demand = step.demand.cpu_millicores
        known = self._typical_millicores or demand
        self._typical_millicores = known + DEMAND_GAIN * (demand - known)

    def describe(
        self,
        targets: Iterable[TargetState],
        waiting: Iterable[CellTask],
        now_s: float,
    ) -> CellClaim:
        """Return the claim on the cell with its current load."""
        usable = [target for target in targets if target.is_usable(now_s)]
        queued = sum(
            task.step.demand.cpu_millicores * task.expected_s for task in waiting
        )
        return CellClaim(
            cell=self.cell,
            term=self.term,
            free_millicores=sum(map(self._count_usable_millicores, usable)),
            queued_millicore_s=round(queued),
            total_millicores=sum(t.entry.capacity.cpu_millicores for t in usable),
        )

    def _count_usable_millicores(self, target: TargetState) -> int:
        """Return the capacity of a target that typical tasks can use.

        A remainder that is too small for a task is not counted: reported as free, it
        would attract tasks that have to be declined.
        """
        available = max(0, target.available.cpu_millicores)
        typical = round(self._typical_millicores)
        return available // typical * typical if typical else available
