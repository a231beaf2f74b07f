"""Events that the dispatcher handles; the current time is a separate argument.

`reply_to` is opaque to the decisions, which return it in a `Reply` effect.
"""

from typing import Any

from gentianhub.core.ids import Incarnation, JobId, TaskId
from gentianhub.core.jobs import JobRequest
from gentianhub.core.outcomes import TaskOutcome
from gentianhub.core.records import frozen
from gentianhub.core.table import Table, TargetAddress


@frozen(kw_only=True)
class ReserveIds:
    """Reserve a block of job ids."""

    count: int
    reply_to: Any


@frozen(kw_only=True)
class SubmitJob:
    """Accept a job; a new id is issued if `job_id` is None."""

    request: JobRequest
    reply_to: Any
    job_id: JobId | None = None


@frozen(kw_only=True)
class WatchJob:
    """Reply with the job's current state, or with its answer once it has ended.

    With `until_answer` the reply to a pending job is deferred until it ends.
    """

    job_id: JobId
    reply_to: Any
    until_answer: bool = False


@frozen(kw_only=True)
class UnwatchJob:
    """Stop waiting for a job's answer, since the waiting time has expired."""

    job_id: JobId
    reply_to: Any


@frozen(kw_only=True)
class CancelJob:
    """Cancel a job: start no more of its tasks."""

    job_id: JobId
    reply_to: Any


@frozen(kw_only=True)
class AttemptEnded:
    """One attempt to run a task ended with an outcome."""

    task_id: TaskId
    target: str
    outcome: TaskOutcome
    leaving: bool = False


@frozen(kw_only=True)
class TargetsListed:
    """The platform's host list was read; `targets` replaces the earlier list."""

    targets: tuple[TargetAddress, ...]


@frozen(kw_only=True)
class TargetsLeaving:
    """Another entry process reported that these targets are shutting down."""

    targets: tuple[str, ...]


@frozen(kw_only=True)
class TableAdopted:
    """A new version of the table of weights and limits was received."""

    table: Table


@frozen(kw_only=True)
class Tick:
    """Periodic timer event, which expires deadlines and leases."""


@frozen(kw_only=True)
class DrainStarted:
    """Accept no new jobs; reply with `Drained` once all accepted jobs have ended."""

    reply_to: Any


@frozen(kw_only=True)
class DrainTimedOut:
    """End the remaining jobs: unsent tasks as not run, tasks in flight as unknown."""


@frozen(kw_only=True)
class Drained:
    """Reply to `DrainStarted`: every accepted job has its answer."""


@frozen(kw_only=True)
class DescribeState:
    """Reply with a description of the dispatcher's complete state."""

    reply_to: Any


@frozen(kw_only=True)
class LiveProcessesChanged:
    """The set of live entry processes in the data centre changed.

    `processes` includes this process. Each target is assigned to one of them, its
    home, which lends the target's slots to the others.
    """

    processes: tuple[Incarnation, ...]


@frozen(kw_only=True)
class SlotDemand:
    """Total number of slots that a borrower requests, replacing earlier demands.

    `number` is the sequence number of the borrower's demand; `weight` is the summed
    weight of the teams with queued tasks at the borrower.
    """

    borrower: Incarnation
    number: int
    wanted: int
    weight: float = 1.0


@frozen(kw_only=True)
class SlotGrant:
    """Slots of a target that its home lends to a borrower.

    `count` is the cumulative number of the target's slots lent for one demand, so
    that a repeated grant has no effect. An empty `target` means that no slot is lent.

    The lease ends `lease_s` seconds after the borrower sent the demand with number
    `demand_number`, on the borrower's monotonic clock.
    """

    home: Incarnation
    target: str
    count: int
    demand_number: int
    lease_s: float
    contended: bool


@frozen(kw_only=True)
class SlotReturn:
    """A borrower returns `count` slots of a target."""

    borrower: Incarnation
    target: str
    count: int


@frozen(kw_only=True)
class SlotsHeld:
    """Complete list of the slots that a borrower holds from one home, by target."""

    borrower: Incarnation
    counts: tuple[tuple[str, int], ...]


SlotMessage = SlotDemand | SlotGrant | SlotReturn | SlotsHeld

Event = (
    ReserveIds
    | SubmitJob
    | WatchJob
    | UnwatchJob
    | CancelJob
    | AttemptEnded
    | TargetsListed
    | TargetsLeaving
    | TableAdopted
    | Tick
    | DrainStarted
    | DrainTimedOut
    | DescribeState
    | LiveProcessesChanged
    | SlotMessage
)
