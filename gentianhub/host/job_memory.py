"""Memory of the jobs that callers have open on a host."""

import sys

from gentianhub.capacity.jobs import CapacityJob
from gentianhub.core.records import define, field

# Memory of a job apart from its tasks, of a step and of a task, with the orders and
# reports about them.
JOB_BYTES = 8 * 1024
STEP_BYTES = 512
TASK_BYTES = 1024
# Largest job that may use all of the memory; larger ones leave a part of it.
ORDINARY_TASKS = 170
LARGE_SHARE = 0.75
OVER_JOB_MEMORY = "over the memory for open jobs"


@define(kw_only=True, eq=False)
class JobMemory:
    """Counts the memory of open jobs, estimated by their steps and tasks.

    Parameters
    ----------
    max_bytes : int
        Memory for all open jobs.
    """

    max_bytes: int = sys.maxsize
    held_bytes: int = field(init=False, default=0)

    def reserve(self, job: CapacityJob) -> int | None:
        """Count a job; return its size in bytes, or None if there is no room for it."""
        tasks = sum(step.count for step in job.steps)
        size = JOB_BYTES + STEP_BYTES * len(job.steps) + TASK_BYTES * tasks
        is_large = tasks > ORDINARY_TASKS
        limit = self.max_bytes * LARGE_SHARE if is_large else self.max_bytes
        if self.held_bytes + size > limit:
            return None
        self.held_bytes += size
        return size

    def release(self, size: int) -> None:
        """Stop counting a job of this size."""
        self.held_bytes -= size
