"""Events of the capacity model's state machines, and the messages between hosts.

A front host holds the callers' connections; the owner of a cell starts tasks on the
cell's targets. Each host can have both roles.
"""

import enum

from gentianhub.capacity.evacuations import Evacuations
from gentianhub.capacity.jobs import (
    Cell,
    JobStep,
    ListedTarget,
    TaskKey,
    build_task_keys,
)
from gentianhub.core import Incarnation, ProcessName
from gentianhub.core.records import frozen


@frozen(kw_only=True)
class RunTasks:
    """Request of a front host to a cell's owner to run tasks of one step of a job.

    The latency objective is `objective_s` plus `stretch` times the expected run time,
    counted from the acceptance of the job, which was `age_s` before the sending of this
    message. `deadline_in_s` is counted from the sending. `may_decline` allows the owner
    to decline tasks for which it has no capacity at once. `is_repeat` marks tasks that
    an earlier owner may have started. `heard_heartbeat` is the number of the owner's
    last heartbeat that the front host had handled; 0 if it tells none. `term` is the
    term of the owner that the front host relies on; 0 if it tells none.
    """

    cell: Cell
    job: str
    step_number: int
    step: JobStep
    indexes: tuple[int, ...]
    payload: str
    route: str
    service: str
    priority: int
    max_attempts: int
    age_s: float
    objective_s: float
    stretch: float
    deadline_in_s: float
    may_decline: bool = False
    is_repeat: bool = False
    heard_heartbeat: int = 0
    term: int = 0

    def list_keys(self) -> list[TaskKey]:
        """Return the keys of the tasks."""
        return build_task_keys(self.job, self.step_number, self.indexes)

    def is_repeat_in(self, term: int) -> bool:
        """Whether an owner other than that of `term` may have started the tasks.

        While an order of another term was under way, an owner in between may have been
        sent a repeated one.
        """
        return self.is_repeat or self.term not in (0, term)


@frozen(kw_only=True)
class CancelTasks:
    """A front host cancels all tasks of a job."""

    cell: Cell
    job: str


@frozen(kw_only=True)
class CancelRequest:
    """Request to cancel a job wherever it is open, on behalf of its caller.

    `number` counts the requests of `asked_by`, the host that the caller has asked.
    `pass_on_to` are hosts without a link to it, which the receiver asks in its place,
    with `is_passed_on` set.
    """

    job: str
    asked_by: Incarnation
    number: int
    is_passed_on: bool = False
    pass_on_to: tuple[ProcessName, ...] = ()


@frozen(kw_only=True)
class CancelReply:
    """Reply to a `CancelRequest`: whether the job was open, and has been cancelled.

    Its sender has recorded the cancel, as have the hosts in `recorded`, which it was to
    ask in turn. It knows those in `lost` to be lost.
    """

    asked_by: Incarnation
    number: int
    was_open: bool
    recorded: tuple[ProcessName, ...] = ()
    lost: tuple[ProcessName, ...] = ()


@frozen(kw_only=True)
class CancelledJob:
    """A job that was cancelled `age_s` seconds before the sending of the message."""

    job: str
    age_s: float


@frozen(kw_only=True)
class CancelledJobs:
    """A host's record of cancelled jobs, for a host that may lack a part of it."""

    jobs: tuple[CancelledJob, ...]


@frozen(kw_only=True)
class OpenJobs:
    """All open jobs of a front host that have tasks in a cell.

    Tasks of other jobs are no longer needed. `heard_heartbeat` is the number of the
    owner's heartbeat that this message answers.
    """

    cell: Cell
    jobs: tuple[str, ...]
    heard_heartbeat: int = 0


class TaskEnd(enum.Enum):
    """Outcome of a task, as reported to its front host.

    A `CRASHED` task has crashed the targets that started it. A `LOST` task may have run
    on a target that is lost, and cannot be started again in time. An `EVACUATED` task
    has no run, and its cell starts none; it may run in another data centre.
    """

    DONE = "done"
    FAILED = "failed"
    DECLINED = "declined"
    EXPIRED = "expired"
    CANCELLED = "cancelled"
    CRASHED = "crashed"
    LOST = "lost"
    EVACUATED = "evacuated"


@frozen(kw_only=True)
class TasksEnded:
    """A cell's owner reports tasks of one step that had the same outcome.

    `term` is the term of the owner's claim. `has_started` is set if any run of the job
    may have started in the cell.
    """

    cell: Cell
    term: int
    job: str
    step_number: int
    indexes: tuple[int, ...]
    end: TaskEnd
    has_started: bool


@frozen(kw_only=True)
class CellClaim:
    """An owner's claim on a cell, with the cell's load.

    `term` is the fencing token sent to targets. `free_millicores` is the idle capacity
    and `queued_millicore_s` the work in the queue, in thousandths of a core times
    seconds.
    """

    cell: Cell
    term: int
    free_millicores: int = 0
    queued_millicore_s: int = 0
    total_millicores: int = 0


@frozen(kw_only=True)
class HostHeartbeat:
    """Heartbeat of a host with its claims, configuration version and draining state.

    `number` counts the heartbeats of a process. `lacks_targets` requests the list of
    targets, which the sender could not read. `can_own` is set if the sender has the
    data that it needs to claim a cell. `is_idle` announces that the next heartbeat to
    the receiver follows after a longer interval. `requests_open_jobs` requests the open
    jobs of the receiver in the claimed cells. `evacuations` is the newest state that
    the sender knows.
    """

    number: int
    claims: tuple[CellClaim, ...]
    configuration_version: int
    is_draining: bool = False
    lacks_targets: bool = False
    can_own: bool = True
    is_idle: bool = False
    requests_open_jobs: bool = False
    evacuations: Evacuations = Evacuations()


@frozen(kw_only=True)
class TargetsOffer:
    """The list of targets as last read by the sender, in its original encoding.

    It is the part of one data centre, or the whole list if `data_centre` is empty.
    """

    rows: tuple[tuple[str, bytes], ...]
    data_centre: str = ""


@frozen(kw_only=True)
class TargetsRequest:
    """Request of an owner that cannot read the list for the part of a data centre."""

    data_centre: str


@frozen(kw_only=True)
class CellTargets:
    """An owner announces the targets of its cell to the hosts that may succeed it.

    `targets` are added or have changed, and `removed` are names of targets that are no
    longer used. If `is_complete` is set, `targets` are all targets of the cell.
    """

    cell: Cell
    term: int
    targets: tuple[ListedTarget, ...]
    removed: tuple[str, ...] = ()
    is_complete: bool = False


class LossOutcome(enum.Enum):
    """Whether a lost target has crashed; open until it, or its successor, is seen."""

    OPEN = "open"
    CRASHED = "crashed"
    SURVIVED = "survived"


@frozen(kw_only=True)
class TargetLoss:
    """A target was lost while it ran tasks.

    `loss_id` is unique. `host` and `port` are the target's address, and `incarnation`
    is 0 if the target tells none. `is_complete` is set if `tasks` are all that can have
    run there. `age_s` is the time since the loss, at the sending of this message.
    """

    loss_id: str
    cell: Cell
    target: str
    host: str
    port: int
    incarnation: int
    tasks: tuple[TaskKey, ...]
    is_complete: bool = True
    age_s: float = 0.0
    outcome: LossOutcome = LossOutcome.OPEN

    @property
    def is_alone(self) -> bool:
        """Whether only one task was running on the target."""
        return self.is_complete and len(self.tasks) == 1


@frozen(kw_only=True)
class TargetLosses:
    """An owner's announcement of losses, so that they outlive the owner.

    It goes to the other owners and to the hosts that may succeed the sender. An owner
    passes on those that it did not know, with `is_passed_on` set, to the hosts that may
    succeed it in turn.
    """

    losses: tuple[TargetLoss, ...]
    is_passed_on: bool = False


@frozen(kw_only=True)
class ConfigurationRequest:
    """Request for a configuration that is newer than the sender's."""

    known_version: int


@frozen(kw_only=True)
class ConfigurationOffer:
    """The operator's configuration, forwarded in its original encoding."""

    version: int
    content: bytes


@frozen(kw_only=True)
class JobCancelled:
    """The caller of a job has cancelled it, whichever front host has sent its tasks."""

    job: str


@frozen(kw_only=True)
class FrontLost:
    """A front host has failed or stopped, so its tasks are no longer needed."""

    front_host: Incarnation


@frozen(kw_only=True)
class TargetsListed:
    """The complete list of a cell's targets.

    `read_s` is the monotonic time at which the list was requested from the store; None
    for a list of unknown age.
    """

    targets: tuple[ListedTarget, ...]
    read_s: float | None = None


@frozen(kw_only=True)
class RunReport:
    """A run that a target lists as running, with its progress in `percent`."""

    key: TaskKey
    run: int
    percent: int


class RunEnd(enum.Enum):
    """Outcome of a run, as reported by its target."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    BROKEN = "broken"


@frozen(kw_only=True)
class EndReport:
    """An ended run; `number` counts the ended runs of the target's incarnation."""

    number: int
    key: TaskKey
    run: int
    end: RunEnd


@frozen(kw_only=True)
class RunsReported:
    """A target's answer to a lease renewal or to a request for its runs.

    `sent_s` is the monotonic time at which the request was sent. `is_renewal` is false
    for a request that only lists the runs and leaves the lease unchanged.
    """

    target: str
    incarnation: int | None
    sent_s: float
    running: tuple[RunReport, ...]
    ended: tuple[EndReport, ...]
    is_renewal: bool = True


@frozen(kw_only=True)
class RenewalMissed:
    """A lease renewal had no usable answer and has not been retried.

    `is_broken` is set if its connection broke: the target may have restarted, so that
    nothing of what it has reported is certain any more.
    """

    target: str
    reason: str
    is_broken: bool = False


@frozen(kw_only=True)
class TargetSilent:
    """A target did not answer the retry of a renewal, or is unreachable.

    `is_refused` is set if it refused the connection, so that it is not only late, and
    `is_broken` if the connection was refused or broke.
    """

    target: str
    reason: str
    is_refused: bool = False
    is_broken: bool = False


@frozen(kw_only=True)
class FencedByTarget:
    """A target rejected a lease renewal because it has seen a higher term."""

    target: str
    term: int


class StartVerdict(enum.Enum):
    """A target's answer to a start."""

    STARTED = "started"
    NO_CAPACITY = "no_room"
    FENCED = "fenced"
    STALE_RUN = "stale_run"
    TOO_LATE = "too_late"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other_incarnation"
    REJECTED = "rejected"
    UNANSWERED = "unanswered"
    NOT_SENT = "not_sent"


@frozen(kw_only=True)
class StartAnswered:
    """The outcome of one call that starts a run."""

    target: str
    key: TaskKey
    run: int
    verdict: StartVerdict
    sent_s: float


@frozen(kw_only=True)
class StopAnswered:
    """The outcome of one call that stops a run; if unconfirmed, it may go on."""

    target: str
    key: TaskKey
    run: int
    is_confirmed: bool


@frozen(kw_only=True)
class Tick:
    """Periodic event to check time-outs."""
