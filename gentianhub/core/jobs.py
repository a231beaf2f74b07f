"""Jobs as callers submit them and as the dispatcher keeps them."""

from attrs import frozen

from gentianhub.core.ids import JobId

MAX_TASKS_PER_JOB = 170


@frozen(kw_only=True)
class Task:
    """One unit of work, run by one target.

    The declared run time (ms) and size (bytes) are hints of the caller and
    decide nothing by themselves.
    """

    kind: str
    body: bytes
    declared_run_ms: float | None = None
    declared_bytes: int | None = None


@frozen(kw_only=True)
class JobRequest:
    """A job's content, before it has an id.

    `deadline_s` is the time allowed from acceptance to answer, in seconds.
    `digest` identifies equal content on resubmission.
    """

    service: str
    tasks: tuple[Task, ...]
    deadline_s: float
    idempotent: bool
    digest: str


@frozen(kw_only=True)
class Job:
    """An accepted job; times are on its owner's monotonic clock, in seconds."""

    id: JobId
    request: JobRequest
    accepted_s: float

    @property
    def deadline_at_s(self) -> float:
        """Monotonic time after which no task of the job may start."""
        return self.accepted_s + self.request.deadline_s
