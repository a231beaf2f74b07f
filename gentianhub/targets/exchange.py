"""HTTP exchange with a target, and the task outcome that follows from it."""

from collections.abc import Iterator
from contextlib import contextmanager

import gevent

from gentianhub.core import (
    Complete,
    Failed,
    NotRun,
    Step,
    TargetAddress,
    TaskOutcome,
    Unknown,
    read_monotonic_s,
)
from gentianhub.core.effects import StartTask
from gentianhub.core.records import define, frozen
from gentianhub.web import HTTP_ERRORS, HttpConnection, open_connection

CONNECT_TIMEOUT_S = 1.0
# A task that started before its job's deadline may finish after it.
REPLY_GRACE_S = 30.0
MAX_RESULT_BYTES = 8 * 1024 * 1024
NOT_RUN_STATUSES = frozenset({429, 503})


@frozen(kw_only=True)
class AttemptResult:
    """Outcome of one attempt; `leaving` if the target announced its shutdown."""

    outcome: TaskOutcome
    leaving: bool = False


@define(kw_only=True, eq=False)
class TargetClient:
    """HTTP client with one connection to one target.

    A broken connection is replaced before the next task. A task may have started if
    any byte of its request may have been sent.
    """

    address: TargetAddress
    _connection: HttpConnection

    def run_task(self, start: StartTask) -> AttemptResult:
        """Send a task and wait for the complete reply."""
        refusal = self._connect()
        if refusal is not None:
            return AttemptResult(outcome=refusal)
        remaining_s = start.deadline_at_s - read_monotonic_s()
        if remaining_s <= 0:
            reason = "the job's deadline passed before the task was sent"
            return AttemptResult(
                outcome=self._build_not_run(Step.WAIT_FOR_SLOT, reason)
            )
        try:
            with gevent.Timeout(remaining_s + REPLY_GRACE_S, TimeoutError):
                return self._post(start, remaining_s)
        except HTTP_ERRORS as error:
            return AttemptResult(outcome=self._classify_error(error))

    def _connect(self) -> NotRun | None:
        try:
            self._connection.connect()
        except (OSError, gevent.Timeout) as error:
            reason = f"connection failed: {error}"
            return self._build_not_run(Step.CONNECT_TARGET, reason)
        return None

    def _post(self, start: StartTask, remaining_s: float) -> AttemptResult:
        sent_s = read_monotonic_s()
        # The HTTP client does not retry a POST when the connection breaks.
        response = self._connection.request(
            "POST",
            "/run",
            body=start.task.body,
            headers={
                "Gentianhub-Task": str(start.task_id),
                "Gentianhub-Service": start.service,
                "Gentianhub-Kind": start.task.kind,
                "Gentianhub-Deadline-Ms": str(round(remaining_s * 1000)),
            },
        )
        body = response.read(MAX_RESULT_BYTES + 1)
        return self._classify_reply(response, bytes(body), read_monotonic_s() - sent_s)

    def _classify_reply(self, response, body: bytes, run_s: float) -> AttemptResult:
        status = response.status_code
        leaving = response.get("gentianhub-leaving") == "1"
        is_refusal = response.get("gentianhub-not-run") == "1"
        if status in NOT_RUN_STATUSES and is_refusal:
            reason = f"the target refused the task with status {status}"
            outcome = self._build_not_run(Step.AWAIT_REPLY, reason)
        elif len(body) > MAX_RESULT_BYTES:
            self._connection.reset()
            outcome = self._build_failed(
                f"reply larger than {MAX_RESULT_BYTES} bytes", run_s=run_s
            )
        elif not _is_reply_complete(response):
            self._connection.reset()
            outcome = self._build_unknown("reply truncated or of unknown length")
        elif 200 <= status < 300:
            outcome = Complete(result=body, run_s=run_s)
        else:
            outcome = self._build_failed(
                f"the target replied with status {status}", run_s=run_s
            )
        return AttemptResult(outcome=outcome, leaving=leaving)

    def reset(self) -> None:
        """Close the connection; the next task opens a new one."""
        self._connection.reset()

    def _classify_error(self, error: Exception) -> NotRun | Unknown:
        may_have_sent = self._connection.may_have_sent
        self._connection.reset()
        if may_have_sent:
            return self._build_unknown(error)
        return self._build_not_run(Step.SEND_TASK, f"not sent: {error!r:.200}")

    def _build_not_run(self, step: Step, reason: str) -> NotRun:
        return NotRun(step=step, peer=self.address.name, reason=reason)

    def _build_failed(self, reason: str, run_s: float) -> Failed:
        return Failed(
            step=Step.AWAIT_REPLY, peer=self.address.name, reason=reason, run_s=run_s
        )

    def _build_unknown(self, error: object) -> Unknown:
        reason = f"no complete reply after the task was sent: {error!r:.200}"
        return Unknown(step=Step.AWAIT_REPLY, peer=self.address.name, reason=reason)


def _is_reply_complete(response) -> bool:
    """Return whether the reply has explicit framing and was received completely.

    Without Content-Length or chunked encoding a reply ends when the connection
    closes, so a truncated reply cannot be distinguished from a complete one.
    """
    is_framed = (
        response.status_code == 204
        or response.get("content-length") is not None
        or "chunked" in str(response.get("transfer-encoding", "")).lower()
    )
    return is_framed and response.message_complete


@contextmanager
def open_target_client(address: TargetAddress) -> Iterator[TargetClient]:
    """Create a connection to a target; close it when the context exits."""
    with open_connection(
        address.host,
        address.port,
        connect_timeout_s=CONNECT_TIMEOUT_S,
        reply_timeout_s=None,
    ) as connection:
        yield TargetClient(address=address, connection=connection)
