"""Effects that a cell's scheduler or a front host's job registry requests."""

import enum
from typing import Any

from gentianhub.capacity.events import (
    CancelTasks,
    CellTargets,
    RunTasks,
    TargetLoss,
    TasksEnded,
)
from gentianhub.capacity.jobs import Cell, ListedTarget, TaskKey
from gentianhub.core import Incarnation
from gentianhub.core.records import frozen


@frozen(kw_only=True)
class StartRun:
    """Start a run on a target; `inputs` are the values to log with the decision.

    The lease ends `lease_s` after `decided_s`, the monotonic time of the decision.
    """

    target: ListedTarget
    key: TaskKey
    run: int
    payload: str
    term: int
    decided_s: float
    lease_s: float
    inputs: dict[str, Any]


class StopReason(enum.Enum):
    """Why a run is stopped, for log lines and metrics."""

    CANCELLED = "cancelled"
    NOT_OPEN = "not open"
    SUBMITTED_AGAIN = "submitted again"
    NOT_CONFIRMED = "not confirmed"
    FRONT_HOST_LOST = "front host lost"
    JOB_ENDED = "job ended"
    STALLED = "stalled"
    NOT_CLAIMED = "not claimed"
    START_UNANSWERED = "start unanswered"


@frozen(kw_only=True)
class StopRun:
    """Stop a run on a target."""

    target: ListedTarget
    key: TaskKey
    run: int
    term: int
    reason: StopReason


@frozen(kw_only=True)
class RenewLease:
    """Renew a target's lease and wait up to `wait_s` for a run to end (long poll).

    The lease ends `lease_s` after `decided_s`, the monotonic time of the decision; it
    stays unchanged if `lease_s` is 0. `acknowledged_end` is the highest number of an
    ended run that the target need not list again. `is_retry` marks a renewal that
    follows one without an answer, and each poll of a silent target.
    """

    target: ListedTarget
    term: int
    decided_s: float
    lease_s: float
    acknowledged_end: int
    wait_s: float
    is_retry: bool = False


@frozen(kw_only=True)
class ListRuns:
    """List a target's runs immediately, in parallel with the pending renewal.

    The call also renews the lease, which ends `lease_s` after `decided_s`; it stays
    unchanged if `lease_s` is 0.
    """

    target: ListedTarget
    term: int
    decided_s: float
    acknowledged_end: int
    lease_s: float = 0.0


@frozen(kw_only=True)
class CloseTarget:
    """Close the connections to a target that is no longer listed."""

    target: str


@frozen(kw_only=True)
class ReadTargets:
    """Read the list of targets now, because an entry is that of an earlier life."""


@frozen(kw_only=True)
class AnnounceTargets:
    """Announce a change of the cell's targets to the hosts that may succeed the owner.

    It precedes all starts on the added targets.
    """

    message: CellTargets


@frozen(kw_only=True)
class AnnounceLoss:
    """Announce the loss of a target, or its outcome, to the other owners."""

    loss: TargetLoss


@frozen(kw_only=True)
class RequestOpenJobs:
    """Ask a front host at once which of its jobs are open."""

    front_host: Incarnation


@frozen(kw_only=True)
class SendToFront:
    """Send a report about tasks to a front host."""

    front_host: Incarnation
    message: TasksEnded


@frozen(kw_only=True)
class SendToOwner:
    """Send a request for tasks to the owner of a cell."""

    cell: Cell
    message: RunTasks | CancelTasks


class JobVerdict(enum.Enum):
    """Outcome of a job in the answer to its caller."""

    COMPLETED = "completed"
    FAILED = "failed"
    NOT_RUN = "not_run"
    INTERRUPTED = "interrupted"
    CANCELLED = "cancelled"


@frozen(kw_only=True)
class AnswerCaller:
    """The final answer to a submission.

    `retry_after_s` is the delay after which the submission may be repeated; None if
    unknown.
    """

    reply_to: Any
    job: str
    verdict: JobVerdict
    reason: str
    retry_after_s: float | None = None


@frozen(kw_only=True)
class LogDecision:
    """Log a decision: its kind, its subject and the values that led to it."""

    decision: str
    subject: str
    inputs: dict[str, Any]


@frozen(kw_only=True)
class ShedJob:
    """Log and count a job that is refused because of overload, with its estimate."""

    job: str
    priority: int
    inputs: dict[str, Any]


CellEffect = (
    StartRun
    | StopRun
    | RenewLease
    | ListRuns
    | CloseTarget
    | ReadTargets
    | AnnounceTargets
    | AnnounceLoss
    | RequestOpenJobs
    | SendToFront
    | LogDecision
    | ShedJob
)
FrontEffect = SendToOwner | AnswerCaller | LogDecision | ShedJob
