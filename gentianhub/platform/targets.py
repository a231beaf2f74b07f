"""Requests to one target: starts, stops and lease renewals."""

import json
import math
import re

import gevent

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity.answer_times import AnswerTimes
from gentianhub.capacity.jobs import ListedTarget, TaskKey
from gentianhub.capacity.leases import CLOCK_DRIFT, START_WAIT_LIMIT_S
from gentianhub.core import read_monotonic_s
from gentianhub.core.records import define, evolve, field
from gentianhub.platform.content import decode_json
from gentianhub.platform.fields import FieldError, describe_value, read_field
from gentianhub.web import HTTP_ERRORS, HttpConnection

CONNECT_TIMEOUT_S = 0.2
# Added to the time for which the target holds a renewal, s.
RENEWAL_SLACK_S = 0.1
MAX_PERCENT = 100
INCARNATION_HEADER = "Target-Instance"

_TASK_PATTERN = re.compile(r"([!-~]{1,64})\.([0-9]+)\.([0-9]{1,9})\.([0-9]{1,9})")
_START_REFUSALS = {
    "fence": ev.StartVerdict.FENCED,
    "old": ev.StartVerdict.STALE_RUN,
    "late": ev.StartVerdict.TOO_LATE,
    "room": ev.StartVerdict.NO_CAPACITY,
}
_RUN_ENDS = {
    "done": ev.RunEnd.DONE,
    "failed": ev.RunEnd.FAILED,
    "stopped": ev.RunEnd.STOPPED,
    "lapsed": ev.RunEnd.LEASE_EXPIRED,
    "broken": ev.RunEnd.BROKEN,
    "alone": ev.RunEnd.BROKEN,
}


@define(kw_only=True, eq=False)
class TargetClock:
    """The last reading of a target's clock; shared by the target's connections.

    `read_at_s` is the monotonic time at which the reading arrived, and `broken_s` that
    of the last break of a connection, with which a life of the target may have ended.
    """

    reading_ms: int | None = None
    read_at_s: float = 0.0
    broken_s: float = float("-inf")

    def forget(self) -> None:
        """Forget the reading: the target may have restarted with a new clock."""
        self.reading_ms, self.broken_s = None, read_monotonic_s()

    def update(self, reading_ms: int) -> None:
        """Record a reading of the target's clock that has just arrived."""
        self.reading_ms, self.read_at_s = reading_ms, read_monotonic_s()

    def compute_lease_end_ms(self, lease: fx.StartRun | fx.RenewLease) -> int | None:
        """Return the end of a lease on the target's clock, ms.

        It is None if the clock is unknown, if the lease has ended, or if the order was
        decided for a life of the target that may have ended since.
        """
        end_s = lease.decided_s + lease.lease_s
        is_for_earlier_life = lease.decided_s < self.broken_s
        if (
            self.reading_ms is None
            or is_for_earlier_life
            or end_s <= read_monotonic_s()
        ):
            return None
        # It may have been slow since the reading; the lease allows for the time after.
        lag_s = max(0.0, lease.decided_s - self.read_at_s) * CLOCK_DRIFT
        return round(self.reading_ms + (end_s - self.read_at_s - lag_s) * 1000)


@define(kw_only=True, eq=False)
class TargetClient:
    """One connection to one target, used by one greenlet.

    The clock and the answer times are shared by the connections to the target.
    """

    target: ListedTarget
    clock: TargetClock
    answer_times: AnswerTimes
    _connection: HttpConnection = field(init=False)

    def __attrs_post_init__(self):
        self._connection = HttpConnection(
            host=self.target.host,
            port=self.target.port,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            reply_timeout_s=None,
        )

    def close(self) -> None:
        """Close the connection permanently."""
        self._connection.close()

    def start(self, start: fx.StartRun) -> ev.StartAnswered:
        """Request the start of a run."""
        is_connected = not _is_overdue(start) and self._connect()
        sent_s = read_monotonic_s()
        until_ms = self.clock.compute_lease_end_ms(start)
        if not is_connected or _is_overdue(start) or until_ms is None:
            verdict = ev.StartVerdict.NOT_SENT
        else:
            verdict = self._send_start(start, until_ms)
        return ev.StartAnswered(
            target=self.target.name,
            key=start.key,
            run=start.run,
            verdict=verdict,
            sent_s=sent_s,
        )

    def _connect(self) -> bool:
        """Open the connection; return whether that succeeded."""
        try:
            self._connection.connect()
        except (OSError, gevent.Timeout):
            self._connection.reset()
            return False
        return True

    def _send_start(self, start: fx.StartRun, until_ms: int) -> ev.StartVerdict:
        command = {
            "task": encode_key(start.key),
            "run": start.run,
            "spec": start.payload,
            "until_ms": until_ms,
            "fence": start.term,
        }
        try:
            status, answer = self._send_command("/api/run-start", command)
        except HTTP_ERRORS:
            return ev.StartVerdict.UNANSWERED
        match status:
            case 200:
                return ev.StartVerdict.STARTED
            case 409:
                reason = read_field(answer, "reason", str, "")
                return _START_REFUSALS.get(reason, ev.StartVerdict.REJECTED)
            case 421:
                return ev.StartVerdict.OTHER_INCARNATION
            case 429 | 503:
                return ev.StartVerdict.UNHEALTHY
            case _:
                return ev.StartVerdict.REJECTED

    def stop(self, stop: fx.StopRun) -> ev.StopAnswered:
        """Request that the target stops a run, or does not start it."""
        command = {"task": encode_key(stop.key), "run": stop.run, "fence": stop.term}
        try:
            status, _ = self._send_command("/api/run-stop", command)
        except HTTP_ERRORS:
            status = 0
        return ev.StopAnswered(
            target=self.target.name,
            key=stop.key,
            run=stop.run,
            is_confirmed=status == 200,
        )

    def list_runs(
        self, query: fx.ListRuns
    ) -> ev.RunsReported | ev.TargetSilent | ev.FencedByTarget:
        """Request the target's runs; renew the lease only if the query has one."""
        renewal = fx.RenewLease(
            target=query.target,
            term=query.term,
            decided_s=query.decided_s,
            lease_s=query.lease_s,
            acknowledged_end=query.acknowledged_end,
            wait_s=0.0,
        )
        match self.renew(renewal):
            case ev.RunsReported() as report:
                return evolve(report, is_renewal=False)
            case failure:
                return failure

    def renew(
        self, renewal: fx.RenewLease
    ) -> ev.RunsReported | ev.TargetSilent | ev.FencedByTarget:
        """Renew the lease of all runs; return the running and the ended ones."""
        command: dict[str, int] = {
            "fence": renewal.term,
            "acked_upto": renewal.acknowledged_end,
        }
        until_ms = self.clock.compute_lease_end_ms(renewal)
        if until_ms is not None:
            command["until_ms"] = until_ms
        if renewal.wait_s:
            command["wait_ms"] = round(renewal.wait_s * 1000)
        sent_s = read_monotonic_s()
        try:
            # `hold` is the platform's name for a lease renewal.
            if renewal.wait_s or renewal.lease_s:
                timeout_s = renewal.wait_s + RENEWAL_SLACK_S
                status, answer = self._call("/api/hold", command, timeout_s)
            else:
                status, answer = self._send_command("/api/hold", command)
            if status == 409:
                return ev.FencedByTarget(target=self.target.name, term=renewal.term)
            if status != 200:
                return self._build_target_silent(f"status {status}")
            return self._decode_report(answer, sent_s)
        except HTTP_ERRORS as error:
            return self._build_target_silent(
                repr(error),
                is_refused=isinstance(error, ConnectionRefusedError),
                is_broken=not isinstance(error, TimeoutError),
            )

    def _build_target_silent(self, reason: str, **options) -> ev.TargetSilent:
        return ev.TargetSilent(
            target=self.target.name, reason=f"{reason:.120}", **options
        )

    def _decode_report(self, answer: dict, sent_s: float) -> ev.RunsReported:
        return ev.RunsReported(
            target=self.target.name,
            incarnation=read_field(answer, "born", int, None),
            sent_s=sent_s,
            running=tuple(map(decode_running, read_field(answer, "running", list, []))),
            ended=tuple(map(_decode_ended, read_field(answer, "ended", list, []))),
        )

    def _send_command(self, path: str, command: dict) -> tuple[int, dict]:
        """Send a command that the target does not delay; record its answer time."""
        sent_s = read_monotonic_s()
        try:
            answer = self._call(path, command, self.answer_times.timeout_s)
        except TimeoutError:
            self.answer_times.record_timeout()
            raise
        self.answer_times.record_answer(read_monotonic_s() - sent_s)
        return answer

    def _call(self, path: str, command: dict, timeout_s: float) -> tuple[int, dict]:
        """Return status and body; reset the connection if the answer is incomplete."""
        try:
            with gevent.Timeout(timeout_s, TimeoutError):
                response = self._connection.request(
                    "POST",
                    path,
                    body=json.dumps(command).encode(),
                    headers={
                        "Content-Type": "application/json",
                        INCARNATION_HEADER: self.target.name,
                    },
                )
                body = bytes(response.read())
            answer = decode_json(body) if body else {}
        except HTTP_ERRORS:
            self._connection.reset()
            raise
        reading_ms = read_field(answer, "clock_ms", int, None)
        if reading_ms is not None:
            self.clock.update(reading_ms)
        return response.status_code, answer


def _is_overdue(start: fx.StartRun) -> bool:
    """Whether a start has waited for too long to be sent."""
    return read_monotonic_s() > start.decided_s + START_WAIT_LIMIT_S


def encode_key(key: TaskKey) -> str:
    """Return a task's name on the wire; the occurrence is unused and always 0."""
    return f"{key.job}.0.{key.step}.{key.index}"


def decode_key(text: object) -> TaskKey:
    """Return the task that a name on the wire denotes.

    Raises
    ------
    FieldError
        If it is not of the form JOB.OCCURRENCE.STEP.INDEX.
    """
    match = _TASK_PATTERN.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        found = describe_value(text)
        raise FieldError(f"task: expected JOB.OCCURRENCE.STEP.INDEX, got {found}")
    return TaskKey(job=match[1], step=int(match[3]), index=int(match[4]))


def decode_running(row: object) -> ev.RunReport:
    """Return the run that a row of a target's list describes.

    Raises
    ------
    FieldError
        If the row has another form.
    """
    match row:
        case [task, int(run), _, int() | float() as percent, *_] if math.isfinite(
            min(percent, MAX_PERCENT)
        ):
            whole_percent = int(max(0, min(percent, MAX_PERCENT)))
            return ev.RunReport(key=decode_key(task), run=run, percent=whole_percent)
        case _:
            raise FieldError(f"running: unexpected row {describe_value(row)}")


def _decode_ended(row: object) -> ev.EndReport:
    match row:
        case [int(number), task, int(run), str(end_name), *_] if end_name in _RUN_ENDS:
            return ev.EndReport(
                number=number, key=decode_key(task), run=run, end=_RUN_ENDS[end_name]
            )
        case _:
            raise FieldError(f"ended: unexpected row {describe_value(row)}")
