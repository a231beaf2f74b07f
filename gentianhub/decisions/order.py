"""Orders in which queued tasks get slots."""

from collections import deque
from typing import Protocol

from gentianhub.core import Table, TaskId
from gentianhub.core.records import Factory, define, frozen


@frozen(kw_only=True)
class QueuedTask:
    """A task that waits for a slot; times are on the monotonic clock.

    `refused_by` are targets that did not run it.
    """

    task_id: TaskId
    service: str
    kind: str
    job_tasks: int
    accepted_s: float
    deadline_at_s: float
    refused_by: tuple[str, ...] = ()


class TaskOrder(Protocol):
    """Interface of an order of queued tasks.

    The dispatcher skips a popped task that is no longer queued, so `drop_job` may do
    nothing. `start` and `end` are called in pairs, once for each attempt.
    """

    def push(self, entry: QueuedTask, now_s: float) -> None:
        """Add a task."""

    def pop(self, now_s: float) -> QueuedTask | None:
        """Remove and return the next task, or None if none may start."""

    def start(self, entry: QueuedTask, now_s: float) -> None:
        """Record that a popped task was sent to a target."""

    def end(self, task_id: TaskId, run_s: float) -> None:
        """Record the end of an attempt that held a slot for `run_s` seconds."""

    def mark_long(self, key: tuple[int, int]) -> None:
        """Reclassify a running task (sequence, index) past the short limit as long."""

    def drop_job(self, sequence: int) -> None:
        """Remove the queued tasks of a job."""

    def adopt_table(self, table: Table) -> None:
        """Apply the weights and limits of a table version."""

    def set_processes(self, processes: int) -> None:
        """Set the number of entry processes that divide the data centre's limits."""

    def set_slots(self, slots: int, now_s: float) -> None:
        """Set the number of slots to share."""

    def __len__(self) -> int: ...


@define(kw_only=True, eq=False)
class FifoOrder:
    """Baseline order: by arrival, without weights and limits."""

    _entries: deque[QueuedTask] = Factory(deque)

    def push(self, entry: QueuedTask, now_s: float) -> None:
        """Add a task."""
        self._entries.append(entry)

    def pop(self, now_s: float) -> QueuedTask | None:
        """Remove and return the oldest task, or None."""
        return self._entries.popleft() if self._entries else None

    def start(self, entry: QueuedTask, now_s: float) -> None:
        """Do nothing: no limits apply."""

    def end(self, task_id: TaskId, run_s: float) -> None:
        """Do nothing: no limits apply."""

    def mark_long(self, key: tuple[int, int]) -> None:
        """Do nothing: tasks have no classes."""

    def drop_job(self, sequence: int) -> None:
        """Do nothing: the dispatcher skips the tasks."""

    def adopt_table(self, table: Table) -> None:
        """Do nothing: there are no weights."""

    def set_processes(self, processes: int) -> None:
        """Do nothing: there are no limits."""

    def set_slots(self, slots: int, now_s: float) -> None:
        """Do nothing: there are no shares."""

    def __len__(self) -> int:
        return len(self._entries)
