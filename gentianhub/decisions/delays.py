"""Tasks that wait for the time of their next attempt."""

import heapq
from collections.abc import Iterator

from gentianhub.core.records import define, field
from gentianhub.decisions.order import QueuedTask


@define(kw_only=True, eq=False)
class DelayedTasks:
    """A heap of tasks by the monotonic time at which they are due, in seconds."""

    _heap: list[tuple[float, int, QueuedTask]] = field(init=False, factory=list)
    _pushed: int = field(init=False, default=0)

    def push(self, entry: QueuedTask, due_s: float) -> None:
        """Add a task; tasks due at the same time are returned in order of arrival."""
        self._pushed += 1
        heapq.heappush(self._heap, (due_s, self._pushed, entry))

    def pop_due(self, now_s: float) -> Iterator[QueuedTask]:
        """Remove and yield the tasks that are due."""
        while self._heap and self._heap[0][0] <= now_s:
            yield heapq.heappop(self._heap)[2]

    def __len__(self) -> int:
        return len(self._heap)
