"""Order in which queued tasks get slots."""

from collections import deque
from typing import Protocol

from attrs import Factory, define, frozen

from gentianhub.core import TaskId


@frozen(kw_only=True)
class QueuedTask:
    """A task that waits for a slot; `refused_by` are targets that did not run it."""

    task_id: TaskId
    service: str
    kind: str
    job_tasks: int
    deadline_at_s: float
    refused_by: tuple[str, ...] = ()


class TaskOrder(Protocol):
    """What the dispatcher asks of an order.

    Entries of jobs that have ended are dropped by the dispatcher when they are
    popped, so that a cancellation does not search the queue.
    """

    def push(self, entry: QueuedTask, now_s: float) -> None:
        """Add a task."""

    def pop(self, now_s: float) -> QueuedTask | None:
        """Remove and return the task that is next, or None."""

    def __len__(self) -> int: ...


@define(kw_only=True, eq=False)
class FirstInFirstOut:
    """Baseline order: by arrival."""

    _entries: deque[QueuedTask] = Factory(deque)

    def push(self, entry: QueuedTask, now_s: float) -> None:
        """Add a task."""
        self._entries.append(entry)

    def pop(self, now_s: float) -> QueuedTask | None:
        """Remove and return the oldest task, or None."""
        return self._entries.popleft() if self._entries else None

    def __len__(self) -> int:
        return len(self._entries)
