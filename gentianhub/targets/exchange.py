"""One HTTP exchange with a target and what it means for the task."""

from collections.abc import Iterator
from contextlib import contextmanager

import gevent
from attrs import define, frozen

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
from gentianhub.web import EXCHANGE_ERRORS, HttpConnection, open_connection

CONNECT_TIMEOUT_S = 1.0
# A task that started before its job's deadline may end after it.
REPLY_GRACE_S = 30.0
MAX_RESULT_BYTES = 8 * 1024 * 1024
NOT_RUN_STATUSES = frozenset({429, 503})


@frozen(kw_only=True)
class Exchange:
    """Outcome of one attempt and whether the target said that it is leaving."""

    outcome: TaskOutcome
    leaving: bool = False


@define(kw_only=True, eq=False)
class TargetClient:
    """One HTTP connection to one target.

    A connection that broke is replaced for the next task. Whether a task may have
    started is decided by whether a byte of it was sent.
    """

    address: TargetAddress
    _connection: HttpConnection

    def run_task(self, start: StartTask) -> Exchange:
        """Send a task and wait for its whole reply."""
        refusal = self._connect()
        if refusal is not None:
            return Exchange(outcome=refusal)
        remaining_s = start.deadline_at_s - read_monotonic_s()
        if remaining_s <= 0:
            reason = "the job's deadline passed"
            return Exchange(outcome=self._build_not_run(Step.WAIT_FOR_SLOT, reason))
        try:
            with gevent.Timeout(remaining_s + REPLY_GRACE_S, TimeoutError):
                return self._post(start, remaining_s)
        except EXCHANGE_ERRORS as error:
            return Exchange(outcome=self._judge_error(error))

    def _connect(self) -> NotRun | None:
        try:
            self._connection.connect()
        except (OSError, gevent.Timeout) as error:
            reason = f"no connection: {error}"
            return self._build_not_run(Step.CONNECT_TARGET, reason)
        return None

    def _post(self, start: StartTask, remaining_s: float) -> Exchange:
        sent_s = read_monotonic_s()
        # POST is never sent again by the client when the connection breaks.
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
        return self._judge_reply(response, bytes(body), read_monotonic_s() - sent_s)

    def _judge_reply(self, response, body: bytes, run_s: float) -> Exchange:
        status = response.status_code
        leaving = response.get("gentianhub-leaving") == "1"
        is_refusal = response.get("gentianhub-not-run") == "1"
        if status in NOT_RUN_STATUSES and is_refusal:
            reason = f"the target refused with {status}"
            outcome = self._build_not_run(Step.AWAIT_REPLY, reason)
        elif len(body) > MAX_RESULT_BYTES:
            self._connection.reset()
            outcome = self._build_failed(
                f"reply over {MAX_RESULT_BYTES} bytes", run_s=run_s
            )
        elif not _is_whole(response):
            self._connection.reset()
            outcome = self._build_unknown("the end of the reply cannot be told")
        elif 200 <= status < 300:
            outcome = Complete(result=body, run_s=run_s)
        else:
            outcome = self._build_failed(f"the target replied {status}", run_s=run_s)
        return Exchange(outcome=outcome, leaving=leaving)

    def reset(self) -> None:
        """Close the connection; the next task opens another."""
        self._connection.reset()

    def _judge_error(self, error: Exception) -> NotRun | Unknown:
        has_sent = self._connection.has_sent
        self._connection.reset()
        if has_sent:
            return self._build_unknown(error)
        return self._build_not_run(Step.SEND_TASK, f"not sent: {error!r:.200}")

    def _build_not_run(self, step: Step, reason: str) -> NotRun:
        return NotRun(step=step, peer=self.address.name, reason=reason)

    def _build_failed(self, reason: str, run_s: float) -> Failed:
        return Failed(
            step=Step.AWAIT_REPLY, peer=self.address.name, reason=reason, run_s=run_s
        )

    def _build_unknown(self, error: object) -> Unknown:
        reason = f"no whole reply after the task was sent: {error!r:.200}"
        return Unknown(step=Step.AWAIT_REPLY, peer=self.address.name, reason=reason)


def _is_whole(response) -> bool:
    """Return whether the reply came to an end that the target itself marked.

    Without Content-Length or chunks a reply ends when the connection closes, and a
    reply that was cut short looks the same as a whole one.
    """
    is_framed = (
        response.status_code == 204
        or response.get("content-length") is not None
        or "chunked" in str(response.get("transfer-encoding", "")).lower()
    )
    return is_framed and response.message_complete


@contextmanager
def open_target_client(address: TargetAddress) -> Iterator[TargetClient]:
    """Own one connection to a target; close it at the end."""
    with open_connection(
        address.host,
        address.port,
        connect_timeout_s=CONNECT_TIMEOUT_S,
        reply_timeout_s=None,
    ) as connection:
        yield TargetClient(address=address, connection=connection)
