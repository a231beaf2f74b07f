"""Events about targets and runs, from the tracker to the scheduler of a cell."""

import enum

from gentianhub.capacity import events as ev
from gentianhub.capacity.jobs import TaskKey
from gentianhub.capacity.targets import Run, TargetState
from gentianhub.core.records import frozen

# Verdicts that rule out that the task has run. The target of a stale run has had an
# earlier run of the task.
NOT_EXECUTED = frozenset(
    {
        ev.StartVerdict.NO_CAPACITY,
        ev.StartVerdict.FENCED,
        ev.StartVerdict.TOO_LATE,
        ev.StartVerdict.UNHEALTHY,
        ev.StartVerdict.OTHER_INCARNATION,
        ev.StartVerdict.NOT_SENT,
    }
)


@frozen(kw_only=True)
class RunEnded:
    """A target has listed a run as ended; its capacity is free."""

    target: TargetState
    run: Run
    end: ev.RunEnd


class LossCause(enum.Enum):
    """Why a run does not exist, or cannot exist any more."""

    NOT_STARTED = "not_started"
    MISSING = "missing"
    LEASE_EXPIRED = "lease_expired"
    TARGET_RESTARTED = "target_restarted"


@frozen(kw_only=True)
class RunLost:
    """A run does not exist, or cannot exist any more; its capacity is free."""

    target: TargetState
    run: Run
    cause: LossCause


@frozen(kw_only=True)
class TargetLost:
    """A target has restarted, or is silent for longer than its leases.

    `keys` are the tasks that may have been running on it. `is_complete` is false if it
    has never listed its runs to this owner, so that there may be others. The loss of
    each run of this owner is reported besides.
    """

    target: TargetState
    keys: tuple[TaskKey, ...]
    is_complete: bool
    cause: LossCause


@frozen(kw_only=True)
class TargetAnswered:
    """A target has answered a request that was sent at `sent_s`.

    `incarnation` is 0 if it tells none.
    """

    target: TargetState
    incarnation: int
    sent_s: float


@frozen(kw_only=True)
class TargetRefuses:
    """A target refuses connections: its runs have ended, or end with their leases."""

    target: TargetState


@frozen(kw_only=True)
class RunStalled:
    """A run makes no progress and is being stopped."""

    target: TargetState
    run: Run


@frozen(kw_only=True)
class StartRefused:
    """A target has refused to start a run; its capacity is free."""

    target: TargetState
    run: Run
    verdict: ev.StartVerdict


@frozen(kw_only=True)
class OrphanFound:
    """A target lists a run of an earlier owner."""

    target: TargetState
    key: TaskKey


@frozen(kw_only=True)
class RunsDiscovered:
    """A target has listed its runs to this owner for the first time."""


@frozen(kw_only=True)
class TargetUsable:
    """A target may get tasks that it could not get before."""


TrackerEvent = (
    RunEnded
    | RunLost
    | TargetLost
    | TargetAnswered
    | TargetRefuses
    | RunStalled
    | StartRefused
    | OrphanFound
    | RunsDiscovered
    | TargetUsable
)
