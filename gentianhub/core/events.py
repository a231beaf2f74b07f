"""Events that the dispatcher takes; times are given beside them, never inside.

`reply_to` is opaque to the decisions: they return it in a `Reply` effect.
"""

from typing import Any

from attrs import frozen

from gentianhub.core.ids import Incarnation, JobId, TaskId
from gentianhub.core.jobs import JobRequest
from gentianhub.core.outcomes import TaskOutcome
from gentianhub.core.table import Table, TargetAddress


@frozen(kw_only=True)
class IssueIds:
    """Reserve a block of job ids."""

    count: int
    reply_to: Any


@frozen(kw_only=True)
class SubmitJob:
    """Accept a job; without an id a new one is issued."""

    request: JobRequest
    reply_to: Any
    job_id: JobId | None = None


@frozen(kw_only=True)
class WatchJob:
    """Reply with the job's state now, or with its answer once it has ended."""

    job_id: JobId
    reply_to: Any
    until_answer: bool = False


@frozen(kw_only=True)
class UnwatchJob:
    """Stop waiting for a job's answer; the watcher's deadline has passed."""

    job_id: JobId
    reply_to: Any


@frozen(kw_only=True)
class CancelJob:
    """Start no further task of the job."""

    job_id: JobId
    reply_to: Any


@frozen(kw_only=True)
class TaskEnded:
    """A target connection has the outcome of one attempt."""

    task_id: TaskId
    target: str
    outcome: TaskOutcome
    leaving: bool = False


@frozen(kw_only=True)
class TargetsSeen:
    """The platform's host list was read."""

    targets: tuple[TargetAddress, ...]


@frozen(kw_only=True)
class TargetsLeaving:
    """Another entry process saw these targets say that they are leaving."""

    targets: tuple[str, ...]


@frozen(kw_only=True)
class TableAdopted:
    """A version of the table of weights and limits was received."""

    table: Table


@frozen(kw_only=True)
class Tick:
    """Time has passed."""


@frozen(kw_only=True)
class DrainBegun:
    """Accept no new job; reply with `Drained` once every accepted one has ended."""

    reply_to: Any


@frozen(kw_only=True)
class DrainExpired:
    """End what is left: unsent tasks as not run, tasks in flight as unknown."""


@frozen(kw_only=True)
class Drained:
    """Reply: every accepted job has its answer."""


@frozen(kw_only=True)
class DescribeState:
    """Reply with a description of the whole state."""

    reply_to: Any


@frozen(kw_only=True)
class HomesChanged:
    """The live entry processes of the data centre, this one among them."""

    processes: tuple[Incarnation, ...]


@frozen(kw_only=True)
class SlotDemand:
    """A borrower's total wish for slots, in place of its earlier wishes.

    `number` counts the borrower's demands; `weight` is the summed weight of the
    teams whose work waits there.
    """

    borrower: Incarnation
    number: int
    wanted: int
    weight: float = 1.0


@frozen(kw_only=True)
class SlotGrant:
    """A home lends slots of a target.

    `count` is the slots of the target lent in answer to one demand so far, so that
    a repeated grant adds nothing. With an empty `target` it lends none.

    The lease runs `lease_s` seconds from the moment the borrower sent the demand
    with number `demand_number`, on the borrower's monotonic clock.
    """

    home: Incarnation
    target: str
    count: int
    demand_number: int
    lease_s: float
    contended: bool


@frozen(kw_only=True)
class SlotReturn:
    """A borrower gives back `count` slots of a target."""

    borrower: Incarnation
    target: str
    count: int


@frozen(kw_only=True)
class SlotsHeld:
    """A borrower's full list of slots of one home's targets that it holds."""

    borrower: Incarnation
    counts: tuple[tuple[str, int], ...]


SlotMessage = SlotDemand | SlotGrant | SlotReturn | SlotsHeld

Event = (
    IssueIds
    | SubmitJob
    | WatchJob
    | UnwatchJob
    | CancelJob
    | TaskEnded
    | TargetsSeen
    | TargetsLeaving
    | TableAdopted
    | Tick
    | DrainBegun
    | DrainExpired
    | DescribeState
    | HomesChanged
    | SlotMessage
)
