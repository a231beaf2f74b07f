"""The order in which waiting tasks of a cell start.

Tasks that can still meet their objective go first, the one with the least slack
ahead. A job that has missed it waits behind them: it is worth less to its caller, and
capacity given to it makes further jobs late. This is what keeps a cell useful when
more work arrives than it can run.
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
        """Add a task, which must have `job.is_late` and `latest_start_s`."""
        if now_s > task.latest_start_s:
            task.job.is_late = True
        self._number += 1
        heap = self._late if task.job.is_late else self._on_time
        heapq.heappush(heap, (task.latest_start_s, self._number, task))

    def take(self, now_s: float) -> Iterator[Any]:
        """Yield and remove waiting tasks in order; push back those not started."""
        while self._on_time:
            _, _, task = heapq.heappop(self._on_time)
            if not task.is_waiting:
                continue
            if task.job.is_late or now_s > task.latest_start_s:
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
