"""Open jobs of a front host, and the events that change them."""

import zlib
from collections import Counter
from collections.abc import Mapping
from typing import Any

from attrs import define, field, frozen

from gentianhub.capacity import events as ev
from gentianhub.capacity.jobs import CapacityJob, Cell, Route, TaskKey
from gentianhub.capacity.ownership import CellOwner
from gentianhub.core import Incarnation

# Retry-After of a refusal. The spread by job id keeps refused callers from retrying at
# the same time.
RETRY_AFTER_S = 1.0
RETRY_SPREAD_S = 3


@frozen(kw_only=True)
class SubmitCapacityJob:
    """A caller submits a job and waits up to `wait_s` seconds for the answer."""

    job_id: str
    job: CapacityJob
    route: Route
    wait_s: float
    reply_to: Any


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
    assigned_cells: dict[TaskKey, Cell | None] = field(factory=dict)
    requested_cells: set[Cell] = field(factory=set)
    request_counts: Counter[Cell] = field(factory=Counter)
    offer_counts: dict[TaskKey, int] = field(factory=dict)
    done_counts: dict[int, int] = field(factory=dict)
    released_steps: set[int] = field(factory=set)
    binding_keys: set[TaskKey] = field(factory=set)
    has_started: bool = False
    unconfirmed_cells: set[Cell] | None = None
    confirmation_deadline_s: float = 0.0
    end_reason: str = ""
    ownerless_since_s: float | None = None
    resumed_s: float | None = None


def choose_retry_after_s(job_id: str) -> float:
    """Return the delay after which the caller of a refused job may retry, s."""
    return RETRY_AFTER_S + zlib.crc32(job_id.encode()) % RETRY_SPREAD_S
