"""The order in which waiting tasks of a cell start.

Tasks that can still meet their objective go first, the one with the least slack
ahead. Slots free up one after another, so that a wide job has to begin earlier than a
narrow one to have its last task started in time.

A job that has missed its objective before anything of it ran waits behind the others:
it is worth less to its caller, and capacity given to it makes further jobs late. Among
those, short tasks go first. A late job that has begun keeps its place, because the
work done for it is lost otherwise. This is what keeps a cell useful when more work
arrives than it can run.
"""

import heapq
from collections.abc import Iterator
from typing import Any

from attrs import define, field


@define(kw_only=True, eq=False)
class WaitingTasks:
    """Two heaps of waiting tasks; entries of tasks that no longer wait are skipped."""

    _on_time: list[tuple[float, int, Any]] = field(init=False, factory=list)
    _late: list[tuple[float, int, Any]] = field(init=False, factory=list)
    _number: int = field(init=False, default=0)

    def push(self, task, now_s: float) -> None:
        """Add a task."""
        self._number += 1
        if self._is_demoted(task, now_s):
            heapq.heappush(self._late, (task.expected_s, self._number, task))
        else:
            heapq.heappush(self._on_time, (task.order_s, self._number, task))

    def _is_demoted(self, task, now_s: float) -> bool:
        if now_s > task.latest_start_s:
            task.job.is_late = True
        return task.job.is_late and not task.job.has_started

    def take(self, now_s: float) -> Iterator[Any]:
        """Yield and remove waiting tasks in order; push back those not started."""
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
        """Yield the waiting tasks in no order."""
        for heap in (self._on_time, self._late):
            yield from (task for _, _, task in heap if task.is_waiting)
