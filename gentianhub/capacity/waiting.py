"""Queue of the waiting tasks of a cell.

Tasks that can still meet their objective start first, in the order of least slack.
Slots become free one after another, so a job with many tasks has to start earlier than
one with few tasks for its last task to start in time.

A job that has missed its objective before any task of it ran is demoted: it is worth
less to its caller, and capacity spent on it would make other jobs late. Demoted tasks
are sorted by run time, the shortest first. A late job of which a task has run is not
demoted, because the completed work would be lost. Under overload this keeps the number
of jobs that are answered in time high.

While jobs are refused because the waiting work does not fit, urgent priorities start
first. Within a priority, on-time tasks precede late ones, which are sorted by the time
after which a start is of no use. The comparison in docs/design/overload.md shows the
worth that this order and others have served.
"""

import heapq
from collections.abc import Iterator
from typing import Any

from gentianhub.core.records import define, field, frozen


@frozen(kw_only=True)
class SlackOrder:
    """On-time tasks by least slack, then demoted ones by run time."""


@frozen(kw_only=True)
class PriorityOrder:
    """Tasks by rank of their job's priority, and on-time ones before late ones."""


SLACK_ORDER = SlackOrder()
PRIORITY_ORDER = PriorityOrder()


@define(kw_only=True, eq=False)
class WaitingTasks:
    """Heaps of on-time and demoted tasks.

    Tasks that no longer wait stay in the heaps and are skipped when they are reached.
    """

    order: SlackOrder | PriorityOrder = SLACK_ORDER
    _on_time: list[tuple[Any, int, Any]] = field(init=False, factory=list)
    _late: list[tuple[float, int, Any]] = field(init=False, factory=list)
    _sequence: int = field(init=False, default=0)

    def __bool__(self) -> bool:
        return bool(self._on_time or self._late)

    def push(self, task, now_s: float) -> None:
        """Add a task."""
        self._sequence += 1
        match self.order:
            case PriorityOrder():
                heap, key = self._on_time, self._rank(task, now_s)
            case SlackOrder() if self._is_demoted(task, now_s):
                heap, key = self._late, task.expected_s
            case SlackOrder():
                heap, key = self._on_time, task.sort_key_s
        heapq.heappush(heap, (key, self._sequence, task))

    def change_order(self, order: SlackOrder | PriorityOrder, now_s: float) -> None:
        """Sort the tasks by another order."""
        if order is self.order:
            return
        tasks = list(self.iterate())
        self.order, self._on_time, self._late = order, [], []
        for task in tasks:
            self.push(task, now_s)

    def _rank(self, task, now_s: float) -> tuple[int, bool, float]:
        is_late = self._is_demoted(task, now_s)
        start_s = task.cutoff_start_s if is_late else task.sort_key_s
        return task.job.rank, is_late, start_s

    def _is_demoted(self, task, now_s: float) -> bool:
        if now_s > task.objective_start_s:
            task.job.is_late = True
        return task.job.is_late and not task.job.has_started

    def pop_ordered(self, now_s: float) -> Iterator[Any]:
        """Remove and yield waiting tasks in order; unstarted ones must be re-added."""
        while self._on_time:
            key, _, task = heapq.heappop(self._on_time)
            if not task.is_waiting:
                continue
            if (isinstance(key, float) or not key[1]) and self._is_demoted(task, now_s):
                self.push(task, now_s)
                continue
            yield task
        while self._late:
            _, _, task = heapq.heappop(self._late)
            if task.is_waiting:
                yield task

    def iterate(self) -> Iterator[Any]:
        """Yield the waiting tasks in arbitrary order."""
        for heap in (self._on_time, self._late):
            yield from (task for _, _, task in heap if task.is_waiting)
