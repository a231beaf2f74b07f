"""Submitted and accepted jobs."""

from gentianhub.core.ids import JobId
from gentianhub.core.records import frozen

MAX_TASKS_PER_JOB = 170


@frozen(kw_only=True)
class Task:
    """One unit of work, run by one target.

    The declared run time (ms) and size (bytes) are hints from the caller, which do
    not affect the dispatch of the task.
    """

    kind: str
    body: bytes
    declared_run_ms: float | None = None
    declared_bytes: int | None = None


@frozen(kw_only=True)
class JobRequest:
    """Content of a job, without its id.

    `deadline_s` is the maximum time from acceptance to answer, in seconds.
    `digest` is a hash of the content, which detects a resubmission of equal content.
    """

    service: str
    tasks: tuple[Task, ...]
    deadline_s: float
    idempotent: bool
    digest: str


@frozen(kw_only=True)
class Job:
    """An accepted job; times are in seconds on its owner's monotonic clock."""

    id: JobId
    request: JobRequest
    accepted_s: float

    @property
    def deadline_at_s(self) -> float:
        """Monotonic time after which no task of the job may start."""
        return self.accepted_s + self.request.deadline_s
