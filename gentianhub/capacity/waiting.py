"""Queue of the waiting tasks of a cell.

Tasks that can still meet their objective start first, in the order of least slack.
Slots become free one after another, so a job with many tasks has to start earlier than
one with few tasks for its last task to start in time.

A job that has missed its objective before any task of it ran is demoted: it is worth
less to its caller, and capacity spent on it would make other jobs late. Demoted tasks
are sorted by run time, the shortest first. A late job of which a task has run is not
demoted, because the completed work would be lost. Under overload this keeps the number
of jobs that are answered in time high.
"""

import heapq
from collections.abc import Iterator
from typing import Any

from attrs import define, field


@define(kw_only=True, eq=False)
class WaitingTasks:
    """Heaps of on-time and demoted tasks.

    Tasks that no longer wait stay in the heaps and are skipped when they are reached.
    """

    _on_time: list[tuple[float, int, Any]] = field(init=False, factory=list)
    _late: list[tuple[float, int, Any]] = field(init=False, factory=list)
    _sequence: int = field(init=False, default=0)

    def __bool__(self) -> bool:
        return bool(self._on_time or self._late)

    def push(self, task, now_s: float) -> None:
        """Add a task."""
        self._sequence += 1
        if self._is_demoted(task, now_s):
            heapq.heappush(self._late, (task.expected_s, self._sequence, task))
        else:
            heapq.heappush(self._on_time, (task.sort_key_s, self._sequence, task))

    def _is_demoted(self, task, now_s: float) -> bool:
        if now_s > task.objective_start_s:
            task.job.is_late = True
        return task.job.is_late and not task.job.has_started

    def pop_ordered(self, now_s: float) -> Iterator[Any]:
        """Remove and yield waiting tasks in order; unstarted ones must be re-added."""
        while self._on_time:
            _, _, task = heapq.heappop(self._on_time)
            if not task.is_waiting:
                continue
            if self._is_demoted(task, now_s):
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
