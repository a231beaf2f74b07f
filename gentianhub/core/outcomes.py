"""Outcomes of tasks and answers of jobs."""

from attrs import frozen

from gentianhub.core.errors import Step


@frozen(kw_only=True)
class Complete:
    """The task ran; `result` is the target's whole reply body."""

    result: bytes
    run_s: float


@frozen(kw_only=True)
class Failed:
    """The task started and the target reported a failure."""

    step: Step
    peer: str
    reason: str
    run_s: float = 0.0


@frozen(kw_only=True)
class NotRun:
    """The task certainly did not start in this attempt."""

    step: Step
    peer: str
    reason: str


@frozen(kw_only=True)
class Unknown:
    """The task may have started and its outcome cannot be known."""

    step: Step
    peer: str
    reason: str


TaskOutcome = Complete | Failed | NotRun | Unknown


@frozen(kw_only=True)
class JobComplete:
    """Answer with every result, in the order of the job's tasks."""

    results: tuple[bytes, ...]


@frozen(kw_only=True)
class JobFailed:
    """Answer without results: the outcome of every task."""

    outcomes: tuple[TaskOutcome, ...]


@frozen(kw_only=True)
class JobPending:
    """The job has no answer yet."""

    ended_tasks: int
    started_tasks: int


JobAnswer = JobComplete | JobFailed
JobState = JobComplete | JobFailed | JobPending
