"""Confirmation of open jobs by the front hosts whose callers wait for them.

A task must end once its caller has left, even if the message that says so is lost, late
or stands in a mailbox. An owner therefore runs a task only while its front host keeps
confirming that the job is open. Orders and lists of open jobs name the last heartbeat
of the owner that their sender had handled, so that the owner knows by its own clock
since when a message may have been under way: a departure that the sender had handled
before that heartbeat is known.
"""

import math
from collections.abc import Callable, Iterator

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity.jobs import Cell
from gentianhub.capacity.leases import (
    JOB_CONFIRMATION_TIMEOUT_S,
    START_CONFIRMATION_S,
)
from gentianhub.capacity.tasks import CellJob, CellTask
from gentianhub.core import Incarnation
from gentianhub.core.records import define, evolve, field, frozen

# A job is due for a confirmation when the last one is this old, so that it is confirmed
# again before `START_CONFIRMATION_S`. Most jobs end earlier and need none.
CONFIRMATION_DUE_S = 0.15
# Shortest interval between requests to one front host that do not wait for a heartbeat.
REQUEST_INTERVAL_S = 0.05
# Times of sent heartbeats are kept for this long; older ones confirm nothing any more.
HEARTBEAT_RETENTION_S = 2.0


def is_recent(confirmed_s: float, now_s: float) -> bool:
    """Whether a task may start on the strength of a confirmation at this time."""
    return now_s - confirmed_s <= START_CONFIRMATION_S


def describe_age(confirmed_s: float, now_s: float) -> float | None:
    """Return the age of a confirmation for log lines, s; None if it is unknown.

    JSON has no number for the age of a message that names no heartbeat.
    """
    return round(now_s - confirmed_s, 4) if math.isfinite(confirmed_s) else None


@define(kw_only=True, eq=False)
class SentHeartbeats:
    """Times at which this host has sent its last heartbeats, by their number."""

    _sent_s: dict[int, float] = field(init=False, factory=dict)

    def record(self, number: int, now_s: float) -> None:
        """Record that a heartbeat is sent now."""
        self._sent_s[number] = now_s
        while self._sent_s:
            oldest = next(iter(self._sent_s))
            if self._sent_s[oldest] >= now_s - HEARTBEAT_RETENTION_S:
                break
            del self._sent_s[oldest]

    def find_confirmed_s(self, number: int) -> float:
        """Return the time since when a message that names a heartbeat is under way, s.

        A message of an earlier version of the program names none (0); its sender
        confirms nothing, and its orders are taken as new.
        """
        if not number:
            return float("inf")
        return self._sent_s.get(number, float("-inf"))


@frozen(kw_only=True)
class HeldRequest:
    """A request that was under way for too long or for an unknown time.

    It was under way since `sent_after_s`, a monotonic time; None if that is unknown.
    """

    request: ev.RunTasks
    front_host: Incarnation
    received_s: float
    sent_after_s: float | None

    @property
    def submitted_s(self) -> float | None:
        """Earliest time at which its caller may have submitted the job, s, if known."""
        if self.sent_after_s is None:
            return None
        return self.sent_after_s - self.request.age_s

    def build_delayed_request(self, now_s: float) -> ev.RunTasks:
        """Return the request as if it were sent now; its times count from sending."""
        held_s = now_s - self.received_s
        return evolve(
            self.request,
            age_s=self.request.age_s + held_s,
            deadline_in_s=self.request.deadline_in_s - held_s,
        )


@define(kw_only=True, eq=False)
class CellConfirmations:
    """Requests and tasks of one cell that wait for a confirmation."""

    cell: Cell
    _held: list[HeldRequest] = field(init=False, factory=list)
    _unconfirmed: list[CellTask] = field(init=False, factory=list)
    _requested_s: dict[Incarnation, float] = field(init=False, factory=dict)

    def __bool__(self) -> bool:
        return bool(self._held) or any(task.is_waiting for task in self._unconfirmed)

    def hold_request(
        self,
        request: ev.RunTasks,
        front_host: Incarnation,
        confirmed_s: float,
        now_s: float,
    ) -> Iterator:
        """Keep a request until its front host confirms the job, and ask it to.

        It names a heartbeat that was sent at `confirmed_s`, or none that is known.
        """
        held = HeldRequest(
            request=request,
            front_host=front_host,
            received_s=now_s,
            sent_after_s=confirmed_s if math.isfinite(confirmed_s) else None,
        )
        self._held.append(held)
        yield fx.LogDecision(
            decision="order held",
            subject=request.job,
            inputs={"cell": str(self.cell), "front_host": str(front_host)},
        )
        yield from self.request_open_jobs(front_host, now_s)

    def hold_task(self, task: CellTask, now_s: float) -> Iterator:
        """Keep a task that was about to start until its job is confirmed."""
        self._unconfirmed.append(task)
        yield from self.request_open_jobs(task.job.front_host, now_s)

    def request_open_jobs(self, front_host: Incarnation, now_s: float) -> Iterator:
        """Ask a front host for its open jobs, unless it has just been asked."""
        requested_s = self._requested_s.get(front_host, float("-inf"))
        if now_s >= requested_s + REQUEST_INTERVAL_S:
            self._requested_s[front_host] = now_s
            yield fx.RequestOpenJobs(front_host=front_host)

    def release_requests(self, front_host: Incarnation) -> list[HeldRequest]:
        """Remove and return the held requests of a front host."""
        return self._take_held(lambda held: held.front_host == front_host)

    def release_expired(self, now_s: float) -> list[HeldRequest]:
        """Remove and return the held requests that were not confirmed in time."""
        last_s = now_s - JOB_CONFIRMATION_TIMEOUT_S
        return self._take_held(lambda held: held.received_s < last_s)

    def hold_again(self, held: HeldRequest) -> None:
        """Keep a request whose confirmation was too late, for the rest of its time."""
        self._held.append(held)

    def _take_held(self, is_taken: Callable[[HeldRequest], bool]) -> list[HeldRequest]:
        taken = [held for held in self._held if is_taken(held)]
        if taken:
            self._held = [held for held in self._held if not is_taken(held)]
        return taken

    def release_tasks(self, now_s: float) -> list[CellTask]:
        """Remove and return the tasks whose jobs are confirmed; drop ended ones."""
        tasks = [task for task in self._unconfirmed if task.is_waiting]
        self._unconfirmed = [
            task for task in tasks if not is_recent(task.job.confirmed_s, now_s)
        ]
        return [task for task in tasks if is_recent(task.job.confirmed_s, now_s)]

    def drop_job(self, front_host: Incarnation | None, job: str) -> None:
        """Drop the held requests of a cancelled job; None stands for any front host."""
        self._held = [
            held
            for held in self._held
            if held.request.job != job or front_host not in (None, held.front_host)
        ]

    def forget_requests(self, now_s: float) -> None:
        """Forget when front hosts were asked, once it limits nothing any more."""
        self._requested_s = {
            front_host: requested_s
            for front_host, requested_s in self._requested_s.items()
            if now_s < requested_s + REQUEST_INTERVAL_S
        }

    def find_waiting_hosts(self) -> Iterator[Incarnation]:
        """Yield the front hosts of which a request or a task waits."""
        yield from (held.front_host for held in self._held)
        yield from (t.job.front_host for t in self._unconfirmed if t.is_waiting)


def is_confirmation_due(job: CellJob, now_s: float) -> bool:
    """Whether the front host should say whether a job is open.

    It also says so of a job that this owner has given up, until it is known to have
    ended: a later submission of the job would be refused as a part of it.
    """
    return (
        now_s >= job.confirmed_s + CONFIRMATION_DUE_S
        and not job.is_withdrawn
        and (job.is_cancelled or job.has_open_tasks())
    )


def is_given_up(job: CellJob, now_s: float) -> bool:
    """Whether the tasks of a job end because its front host has not confirmed it."""
    return (
        now_s > job.confirmed_s + JOB_CONFIRMATION_TIMEOUT_S
        and not job.is_cancelled
        and job.has_open_tasks()
    )
