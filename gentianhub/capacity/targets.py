"""State of one target, as the owner of its cell knows it."""

import enum

from gentianhub.capacity.effects import StopReason
from gentianhub.capacity.estimates import TargetPace
from gentianhub.capacity.events import EndReport
from gentianhub.capacity.health import TargetHealth
from gentianhub.capacity.jobs import ListedTarget, TaskKey
from gentianhub.capacity.leases import (
    CONFIRMED_LEASE_S,
    JOB_CONFIRMATION_TIMEOUT_S,
    MAX_LEASE_S,
    STOP_CONFIRMATION_S,
    bound_lease_expiry,
)
from gentianhub.capacity.resources import Resources
from gentianhub.capacity.tasks import CellJob
from gentianhub.core.records import define, evolve, field

# After a longer gap between two answers of a target, s, it is not known when the runs
# that it lists have started or ended. An owner that handles everything 0.3 s late hears
# from each target every 0.85 s.
MAX_REPORT_GAP_S = 0.9
# Shortest time that a run is taken to have, since ratios of run times are computed.
MIN_RUN_S = 0.001


class TargetPhase(enum.Enum):
    """Whether a target has reported and still responds."""

    AWAITING_REPORT = "unlisted"
    READY = "ready"
    SILENT = "silent"


class RunPhase(enum.Enum):
    """Life cycle of a run, as the owner of the cell knows it."""

    STARTING = "starting"
    UNCERTAIN = "uncertain"
    RUNNING = "running"
    STOPPING = "stopping"


@define(kw_only=True, eq=False)
class Run:
    """A run that was sent to a target; times are monotonic and in seconds.

    The confirmations of `job` bound the leases of the target. `confirmed_s` is when the
    target first confirmed the run, `progress_s` when its progress last increased and
    `stopped_s` when the target confirmed a stop. `expected_s` is the expected run time
    on this target. An exclusive run shares its target with no other. `may_have_run` is
    set if an earlier life of the target may have executed the start, `is_adopted` if an
    earlier owner has sent it.
    """

    key: TaskKey
    number: int
    job: CellJob
    demand: Resources
    sent_s: float
    expected_s: float
    phase: RunPhase = RunPhase.STARTING
    confirmed_s: float = float("inf")
    percent: int = -1
    progress_s: float = 0.0
    stopped_s: float = float("inf")
    is_exclusive: bool = False
    may_have_run: bool = False
    is_adopted: bool = False


@define(kw_only=True, eq=False)
class Stop:
    """The stop of a run that has not ended; times are monotonic and in seconds.

    `decided_s` is when the stop was first sent, and `sent_s` when it was last.
    """

    run: int
    reason: StopReason
    decided_s: float
    sent_s: float
    is_confirmed: bool = False

    def is_overdue(self, now_s: float) -> bool:
        """Whether the target has left the stop unconfirmed for too long."""
        return not self.is_confirmed and now_s > self.decided_s + STOP_CONFIRMATION_S


@define(kw_only=True, eq=False)
class TargetState:
    """A target with its runs, health and pace; times are monotonic and in seconds.

    `last_report_s` is when it last answered, `last_heard_s` when the answer was
    handled, and `in_touch_since_s` when one was after a gap of more than
    `MAX_REPORT_GAP_S`. `last_request_s` is when the request for its latest list of
    running tasks was sent. `lease_expiry_s` is when all its runs have ended for certain
    if no lease is renewed any more. `available` is the capacity
    that no known run uses. `has_listed_runs` is set once it has listed its runs to this
    owner, `is_restarting` from when a connection broke until the next report, and
    `is_lost` while it is silent for longer than its leases. `orphans` are
    runs of an earlier owner that no front host has claimed, and `unclaimed_ends` the
    ends of such runs. `stops` has the runs and the orphans that are being stopped.
    """

    entry: ListedTarget
    phase: TargetPhase = TargetPhase.AWAITING_REPORT
    incarnation: int | None = None
    acknowledged_end: int = 0
    lease_expiry_s: float = float("-inf")
    last_report_s: float = 0.0
    last_heard_s: float = 0.0
    in_touch_since_s: float = float("-inf")
    last_request_s: float = float("-inf")
    missing_since_s: float | None = None
    has_listed_runs: bool = False
    is_restarting: bool = False
    is_lost: bool = False
    runs: dict[TaskKey, Run] = field(factory=dict)
    orphans: dict[TaskKey, int] = field(factory=dict)
    stops: dict[TaskKey, Stop] = field(factory=dict)
    unclaimed_ends: dict[TaskKey, EndReport] = field(factory=dict)
    health: TargetHealth = field(factory=lambda: TargetHealth())
    pace: TargetPace = field(factory=lambda: TargetPace())
    exclusive_task: TaskKey | None = field(init=False, default=None)
    used: Resources = field(init=False, factory=lambda: Resources())
    available: Resources = field(init=False)

    def __attrs_post_init__(self):
        self.available = self.entry.capacity

    @property
    def name(self) -> str:
        """Name of the target."""
        return self.entry.name

    def is_usable(self, now_s: float) -> bool:
        """Whether the target may get a task."""
        return (
            self.phase is TargetPhase.READY
            and not self.is_restarting
            and not self.entry.is_leaving
            and not self.orphans
            and self.exclusive_task is None
            and not self.health.is_ejected(now_s)
            and not (self.stops and self.find_overdue_stops(now_s))
            and not (self.health.is_suspect and self.runs)
            and self.has_current_entry()
            and now_s <= self.find_confirmed_s(now_s) + JOB_CONFIRMATION_TIMEOUT_S
        )

    def has_current_entry(self) -> bool:
        """Whether the entry describes the present life of the target.

        The next life may be of another kind. A target that does not tell its life is
        taken as it is listed.
        """
        return (
            not self.entry.incarnation
            or not self.incarnation
            or self.entry.incarnation == self.incarnation
        )

    def may_start(self, confirmed_s: float) -> bool:
        """Whether a task may start here whose job was confirmed at `confirmed_s`.

        The lease that the target has already is one of the new run as well.
        """
        return self.lease_expiry_s <= confirmed_s + CONFIRMED_LEASE_S

    def find_overdue_stops(self, now_s: float) -> list[TaskKey]:
        """Return the tasks because of which the target may be granted no lease."""
        return [key for key, stop in self.stops.items() if stop.is_overdue(now_s)]

    def find_unclaimed_runs(self) -> list[TaskKey]:
        """Return the runs that may go on although no front host is known to want them.

        A run whose stop is confirmed ends within the time of a stop.
        """
        return [key for key in self.orphans if not self._has_confirmed_stop(key)]

    def find_confirmed_s(self, now_s: float) -> float:
        """Return when the jobs of all runs were last confirmed, monotonic, s.

        A lease is one of all runs of the target, so that the job whose confirmation is
        the oldest counts. A run that is not known to belong to any job has none. Each
        pass over the waiting tasks calls this for all targets.
        """
        if self.orphans and self.find_unclaimed_runs():
            return float("-inf")
        oldest_s = now_s
        for run in self.runs.values():
            confirmed_s = run.job.confirmed_s
            if confirmed_s < oldest_s and not self._has_confirmed_stop(run.key):
                oldest_s = confirmed_s
        return oldest_s

    def _has_confirmed_stop(self, key: TaskKey) -> bool:
        return key in self.stops and self.stops[key].is_confirmed

    def predict_idle_s(self) -> float:
        """Return the monotonic time at which all present runs should have ended, s."""
        return max(run.sent_s + run.expected_s for run in self.runs.values())

    def update(self, entry: ListedTarget) -> None:
        """Replace the target's entry by a newer one."""
        self.entry = entry
        self.available = entry.capacity - self.used

    def begin_life(self, now_s: float) -> None:
        """Drop what only an earlier life of the target has known, or has shown.

        The new life has confirmed no stop. Its clock starts anew, so that it may take a
        time on the clock of the last life for a lease of `MAX_LEASE_S`.
        """
        self.acknowledged_end = 0
        self.health, self.pace = TargetHealth(), TargetPace()
        self.extend_lease(now_s, MAX_LEASE_S)
        for key, stop in self.stops.items():
            self.stops[key] = evolve(
                stop, decided_s=now_s, sent_s=float("-inf"), is_confirmed=False
            )
        for run in self.runs.values():
            run.stopped_s = float("inf")

    def extend_lease(self, decided_s: float, lease_s: float) -> None:
        """Note a lease of `lease_s` that is granted at `decided_s`."""
        expiry_s = bound_lease_expiry(decided_s, lease_s)
        self.lease_expiry_s = max(self.lease_expiry_s, expiry_s)

    def record_report(self, answered_s: float, now_s: float) -> None:
        """Record that the target has answered, which is known only now."""
        if now_s > self.last_heard_s + MAX_REPORT_GAP_S:
            self.in_touch_since_s = now_s
        self.last_heard_s = now_s
        self.last_report_s = max(self.last_report_s, answered_s)

    def measure_run_s(self, run: Run, now_s: float) -> float | None:
        """Return how long a run took whose end was just listed, s; None if unknown.

        The owner may have been paused or cut off from the target when the run started
        or ended, or have learned late that it had started. An end that is listed before
        its start is answered tells that the run was short.
        """
        confirmed_s = run.confirmed_s if run.confirmed_s <= now_s else run.sent_s
        if (
            run.is_adopted
            or run.sent_s < self.in_touch_since_s
            or confirmed_s > run.sent_s + MAX_REPORT_GAP_S
        ):
            return None
        return max(MIN_RUN_S, now_s - confirmed_s)

    def add_run(self, run: Run) -> None:
        """Add a run and reserve its capacity."""
        assert run.key not in self.runs, f"{run.key} already has a run on {self.name}"
        self.runs[run.key] = run
        if run.is_exclusive:
            self.exclusive_task = run.key
        self.used = self.used + run.demand
        self.available = self.entry.capacity - self.used

    def remove_orphan(self, key: TaskKey) -> int | None:
        """Remove and return an orphan's number; None if there is none.

        The stop of a run that has been adopted stays.
        """
        if key in self.orphans:
            self.stops.pop(key, None)
        return self.orphans.pop(key, None)

    def remove_run(self, key: TaskKey) -> Run | None:
        """Remove and return a run and free its capacity; None if there is none."""
        run = self.runs.pop(key, None)
        if run is not None:
            self.stops.pop(key, None)
            if run.is_exclusive:
                self.exclusive_task = None
            self.used = self.used - run.demand
            self.available = self.entry.capacity - self.used
        return run
