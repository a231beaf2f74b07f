"""Choice of the cells that a front host sends tasks to.

The front host's own data centre is preferred: it is nearest and needs no traffic
between data centres. Tasks that exceed its idle capacity go to other cells with idle
capacity; if there are none, they go to the cell with the shortest queue for its size.
"""

import math
from collections.abc import Iterator, Mapping, Set

from gentianhub.capacity.evacuations import KnownEvacuations
from gentianhub.capacity.events import CellClaim
from gentianhub.capacity.jobs import Cell, JobStep
from gentianhub.core.records import define, field, frozen

# Added to the estimated wait in cells of other data centres, so that tasks go there to
# queue only if the wait is shorter by more than this.
REMOTE_PENALTY_S = 0.02
# A step that needs more than this fraction of all capacity is expected to run in
# several waves.
WAVE_CAPACITY_FRACTION = 0.25
# A larger part of a cell than this would take too long to become free for one job.
MAX_WHOLE_FRACTION = 0.5
# Assumed run time of the tasks that were sent since a cell's last claim.
ASSUMED_RUN_S = 0.1


@frozen(kw_only=True)
class TaskAllocation:
    """A number of tasks for a cell, which may decline them if `may_decline` is set."""

    cell: Cell
    count: int
    may_decline: bool


@define(kw_only=True, eq=False)
class LoadView:
    """Estimates the load of each cell from its last claim and the tasks sent since."""

    data_centre: str
    evacuations: KnownEvacuations = field(factory=lambda: KnownEvacuations())
    _claims: dict[Cell, CellClaim] = field(init=False, factory=dict)
    _sent_millicores: dict[Cell, int] = field(init=False, factory=dict)
    _unreachable: set[Cell] = field(init=False, factory=set)

    def update(self, claims: Mapping[Cell, CellClaim]) -> None:
        """Replace the claims by those of all live owners."""
        for cell in set(self._claims) - set(claims):
            del self._claims[cell]
            self._sent_millicores.pop(cell, None)
        for cell, claim in claims.items():
            if self._claims.get(cell) is not claim:
                self.update_claim(claim)

    def update_claim(self, claim: CellClaim) -> None:
        """Replace the claim of one cell by a newer one."""
        self._claims[claim.cell] = claim
        self._sent_millicores[claim.cell] = 0
        self._unreachable.discard(claim.cell)

    def mark_unreachable(self, cell: Cell) -> None:
        """Send no tasks to a cell until its owner's next claim."""
        self._unreachable.add(cell)

    def mark_full(self, cell: Cell) -> None:
        """Treat a cell as having no idle capacity until its next claim."""
        if cell in self._claims:
            self._sent_millicores[cell] = max(
                self._sent_millicores.get(cell, 0), self._claims[cell].free_millicores
            )

    def record_sent(self, cell: Cell, millicores: int) -> None:
        """Add to the capacity of the tasks sent to a cell since its last claim."""
        self._sent_millicores[cell] = self._sent_millicores.get(cell, 0) + millicores

    @property
    def cells(self) -> tuple[Cell, ...]:
        """Cells with a live owner."""
        return tuple(self._claims)

    def count_total_millicores(self) -> int:
        """Return the capacity of all cells, in thousandths of a core."""
        return sum(claim.total_millicores for claim in self._claims.values())

    def count_waves(self, step: JobStep) -> int:
        """Return in how many waves the tasks of a step are expected to run."""
        wave_millicores = self.count_total_millicores() * WAVE_CAPACITY_FRACTION
        needed = step.count * step.demand.cpu_millicores
        return max(1, math.ceil(needed / wave_millicores)) if wave_millicores else 1

    def estimate_free_millicores(self, cell: Cell) -> int:
        """Return the probably idle capacity of a cell, in thousandths of a core."""
        return max(
            0, self._claims[cell].free_millicores - self._sent_millicores.get(cell, 0)
        )

    def estimate_wait_s(self, cell: Cell) -> float:
        """Return the time that the whole cell needs for its queued work, in seconds."""
        claim = self._claims[cell]
        beyond_free = max(0, self._sent_millicores.get(cell, 0) - claim.free_millicores)
        queued = claim.queued_millicore_s + beyond_free * ASSUMED_RUN_S
        return queued / max(1, claim.total_millicores)

    def estimate_drain_s(self) -> float:
        """Return the time that all cells together need for their queued work, s."""
        queued = sum(claim.queued_millicore_s for claim in self._claims.values())
        return queued / max(1, self.count_total_millicores())

    def find_shortest_backlog_s(self) -> float | None:
        """Return the shortest backlog of a cell by its claim, s.

        None if the load of any cell is unknown, or if any has idle capacity.
        """
        claims = [self._claims[cell] for cell in self._find_usable_cells(frozenset())]
        if not claims or any(
            claim.free_millicores or not claim.total_millicores for claim in claims
        ):
            return None
        return min(c.queued_millicore_s / c.total_millicores for c in claims)

    def is_all_evacuated(self) -> bool:
        """Whether there are cells and the data centres of all of them are evacuated."""
        return bool(self._claims) and all(
            self.evacuations.is_evacuated(cell.data_centre) for cell in self._claims
        )

    def divide(
        self,
        count: int,
        millicores: int,
        is_final: bool,
        is_whole: bool = False,
        excluded: Set[Cell] = frozenset(),
    ) -> Iterator[TaskAllocation]:
        """Yield the cells for `count` tasks that request `millicores` each.

        Cells may decline the tasks unless `is_final` is set or no cell had capacity. If
        `is_whole` is set and the tasks have to wait, one cell gets all of them, since
        an owner refuses only jobs that it has as a whole. No task goes to an excluded
        cell.
        """
        remaining = count
        if is_whole:
            usable = self._find_usable_cells(excluded)
            cell = self._find_whole_cell(count * millicores, usable)
            if cell is not None:
                self.record_sent(cell, count * millicores)
                yield TaskAllocation(cell=cell, count=count, may_decline=False)
                return
        if not is_final:
            for cell in self._sort_by_free_capacity(self._find_usable_cells(excluded)):
                fitting = self.estimate_free_millicores(cell) // max(1, millicores)
                assigned = min(remaining, fitting)
                if assigned:
                    self.record_sent(cell, assigned * millicores)
                    remaining -= assigned
                    yield TaskAllocation(cell=cell, count=assigned, may_decline=True)
                if not remaining:
                    return
        # A cell may have become unreachable since the first allocation.
        usable = self._find_usable_cells(excluded)
        yield from self._spread(remaining, millicores, usable)

    def _find_usable_cells(self, excluded: Set[Cell]) -> Set[Cell]:
        usable = self._claims.keys() - self._unreachable - excluded
        evacuated = self.evacuations.current.data_centres
        if not evacuated:
            return usable
        return {cell for cell in usable if cell.data_centre not in evacuated}

    def _find_whole_cell(self, millicores: int, usable: Set[Cell]) -> Cell | None:
        """Return the cell where a job should wait; None if it need not or is large."""
        free = sum(map(self.estimate_free_millicores, usable))
        cell = self._find_shortest_queue(usable) if free < millicores else None
        if cell is None:
            return None
        limit = MAX_WHOLE_FRACTION * self._claims[cell].total_millicores
        return cell if millicores <= limit else None

    def _spread(
        self, count: int, millicores: int, usable: Set[Cell]
    ) -> Iterator[TaskAllocation]:
        """Assign each task in turn to the cell with the shortest estimated wait."""
        counts: dict[Cell, int] = {}
        for _ in range(count):
            cell = self._find_shortest_queue(usable)
            if cell is None:
                return
            self.record_sent(cell, millicores)
            counts[cell] = counts.get(cell, 0) + 1
        for cell, number in counts.items():
            yield TaskAllocation(cell=cell, count=number, may_decline=False)

    def _sort_by_free_capacity(self, usable: Set[Cell]) -> list[Cell]:
        return sorted(
            usable,
            key=lambda cell: (
                cell.data_centre != self.data_centre,
                -self.estimate_free_millicores(cell),
            ),
        )

    def _find_shortest_queue(self, usable: Set[Cell]) -> Cell | None:
        return min(
            (cell for cell in usable if self._claims[cell].total_millicores),
            key=lambda cell: (
                self.estimate_wait_s(cell)
                + REMOTE_PENALTY_S * (cell.data_centre != self.data_centre),
                cell,
            ),
            default=None,
        )
