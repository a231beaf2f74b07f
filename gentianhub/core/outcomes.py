"""Outcomes of tasks and answers of jobs."""

from gentianhub.core.errors import Step
from gentianhub.core.records import frozen


@frozen(kw_only=True)
class Complete:
    """The task ran; `result` is the complete body of the target's reply.

    `run_s` is the time from sending the task to the end of the reply, in seconds.
    """

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
    """The task certainly did not start in this attempt, so a retry is safe."""

    step: Step
    peer: str
    reason: str


@frozen(kw_only=True)
class Unknown:
    """The task may have started, and its outcome cannot be determined."""

    step: Step
    peer: str
    reason: str


TaskOutcome = Complete | Failed | NotRun | Unknown


@frozen(kw_only=True)
class JobComplete:
    """Answer of a job whose tasks all completed; results are in task order."""

    results: tuple[bytes, ...]


@frozen(kw_only=True)
class JobFailed:
    """Answer of a job with a task that did not complete; outcomes are in task order."""

    outcomes: tuple[TaskOutcome, ...]


@frozen(kw_only=True)
class JobPending:
    """State of a job that has no answer yet."""

    ended_tasks: int
    started_tasks: int


JobAnswer = JobComplete | JobFailed
JobState = JobComplete | JobFailed | JobPending
