"""Open jobs of a front host, and the events that change them."""

from collections import Counter
from collections.abc import Mapping
from typing import Any

from gentianhub.capacity import events as ev
from gentianhub.capacity.jobs import CapacityJob, Cell, Route, TaskKey
from gentianhub.capacity.ownership import CellOwner
from gentianhub.core import Incarnation
from gentianhub.core.records import define, field, frozen


@frozen(kw_only=True)
class SubmitCapacityJob:
    """A caller submits a job and waits up to `wait_s` seconds for the answer.

    `rank` is the position of the route's priority among those of the configuration, and
    None if all routes have the same: then nothing depends on priorities.
    """

    job_id: str
    job: CapacityJob
    route: Route
    wait_s: float
    reply_to: Any
    rank: int | None = None


@frozen(kw_only=True)
class CallerDisconnected:
    """A caller closed its connection before it had the answer."""

    job_id: str
    reply_to: Any


@frozen(kw_only=True)
class CancelCapacityJob:
    """A caller cancels a job."""

    job_id: str


@frozen(kw_only=True)
class InterruptJobs:
    """The host is stopping; every open job is answered as interrupted."""

    reason: str


@frozen(kw_only=True)
class MachineSuspended:
    """The machine of this host was suspended for `suspended_s` seconds."""

    suspended_s: float


@frozen(kw_only=True)
class OwnersChanged:
    """The set of live owners has changed; `owners` holds all of them by cell."""

    owners: Mapping[Cell, CellOwner]


@frozen(kw_only=True)
class LoadsReported:
    """An owner has sent newer loads for claims that have not changed."""

    owner: Incarnation
    claims: tuple[ev.CellClaim, ...]


@frozen(kw_only=True)
class RequestNotSent:
    """There was no link to the owner, so that it has not received the request."""

    request: ev.RunTasks


@define(kw_only=True, eq=False)
class FrontJob:
    """An open job; times are monotonic and in seconds.

    `assigned_cells` maps each open task to the cell that it was sent to, or to None
    while no owner is known. `requested_cells` are the cells that may have started a
    task, and `request_counts` the requests sent to each. `offer_counts` counts how
    often each task was sent. `done_counts` counts the tasks done in each step.
    `released_steps` are the steps whose tasks have been sent.
    `binding_keys` are the tasks whose last request the owner may not decline.
    `evacuated_cells` have handed back tasks and get no other ones, so that no late
    report about a task concerns a newer request.
    `unconfirmed_cells` are the cells that have yet to confirm a cancellation, or None
    if none has been requested. `resumed_s` is when this host handled an event again
    after a pause for which owners may have forgotten the job, or None.
    """

    job_id: str
    job: CapacityJob
    route: Route
    accepted_s: float
    deadline_s: float
    reply_to: list[Any]
    rank: int | None = None
    assigned_cells: dict[TaskKey, Cell | None] = field(factory=dict)
    requested_cells: set[Cell] = field(factory=set)
    request_counts: Counter[Cell] = field(factory=Counter)
    offer_counts: dict[TaskKey, int] = field(factory=dict)
    done_counts: dict[int, int] = field(factory=dict)
    released_steps: set[int] = field(factory=set)
    binding_keys: set[TaskKey] = field(factory=set)
    evacuated_cells: set[Cell] = field(factory=set)
    has_started: bool = False
    unconfirmed_cells: set[Cell] | None = None
    confirmation_deadline_s: float = 0.0
    end_reason: str = ""
    ownerless_since_s: float | None = None
    resumed_s: float | None = None

    def discard_unused_cell(self, unused: ev.TasksEnded) -> None:
        """Stop tracking a cell that runs none of the tasks that it was sent.

        A later owner of the cell could not tell whether any of them has run, and the
        job would be answered as interrupted although it can be submitted again.
        """
        if not unused.has_started and unused.cell not in self.assigned_cells.values():
            self.requested_cells.discard(unused.cell)
            del self.request_counts[unused.cell]
