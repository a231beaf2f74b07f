"""Client that submits jobs under reserved ids and waits for their answers."""

import random
from collections.abc import Iterator
from contextlib import contextmanager

import gevent

from gentianhub.client.codec import decode_accepted, decode_state, encode_task
from gentianhub.client.transport import EntryAddress, FailoverTransport, open_transport
from gentianhub.core import (
    JobAnswer,
    JobId,
    JobPending,
    JobState,
    Refusal,
    RefusalKind,
    RunState,
    Step,
    Task,
    parse_job_id,
    read_monotonic_s,
)
from gentianhub.core.records import define, evolve, field, frozen

ID_BLOCK_SIZE = 100
# An unused id expires 300 s after it was issued.
MAX_ID_BLOCK_AGE_S = 120.0
LONG_POLL_S = 20.0
RETRY_DELAY_S = 0.2

_RETRYABLE = frozenset({RefusalKind.OVER_LIMIT, RefusalKind.UNAVAILABLE})


@frozen(kw_only=True)
class JobContent:
    """A job to submit; `deadline_s` is in seconds from its acceptance.

    Set `idempotent` only if the job may safely run twice: it is then resubmitted
    under another id if its owner is no longer running.
    """

    service: str
    tasks: tuple[Task, ...]
    deadline_s: float
    idempotent: bool = False


@define(kw_only=True, eq=False)
class _IdBlock:
    prefix: str
    next_sequence: int
    end: int
    received_s: float

    def pop_id(self) -> JobId | Refusal:
        sequence = self.next_sequence
        self.next_sequence += 1
        return parse_job_id(f"{self.prefix}.{sequence}")

    def is_usable(self) -> bool:
        is_fresh = read_monotonic_s() - self.received_s < MAX_ID_BLOCK_AGE_S
        return is_fresh and self.next_sequence < self.end


@define(kw_only=True, eq=False)
class Client:
    """Client for submitting jobs, for use by one greenlet or thread at a time."""

    _transport: FailoverTransport
    _id_block: _IdBlock | None = field(init=False, default=None)

    def run_job(self, job: JobContent, wait_s: float) -> JobAnswer | Refusal:
        """Submit a job and return its answer.

        Parameters
        ----------
        job : JobContent
            Content of the job.
        wait_s : float
            Maximum time to wait for the answer, in seconds.

        Returns
        -------
        JobAnswer or Refusal
            `JobComplete` with all results, `JobFailed` with the outcomes of all tasks,
            or a refusal whose `run` says whether any task may have run.
        """
        until_s = read_monotonic_s() + wait_s
        answer = self._run_once(job, until_s)
        while (
            job.idempotent and _is_owner_gone(answer) and read_monotonic_s() < until_s
        ):
            # The ids of the current block belong to the owner that no longer runs.
            self._id_block = None
            answer = self._run_once(job, until_s)
        return answer

    def _run_once(self, job: JobContent, until_s: float) -> JobAnswer | Refusal:
        job_id = self._allocate_id(until_s)
        if isinstance(job_id, Refusal):
            return job_id
        wait_s = min(LONG_POLL_S, max(0.0, until_s - read_monotonic_s()))
        reply = self._submit(job, job_id, until_s, wait_s)
        if isinstance(reply, Refusal):
            return reply
        match decode_state(reply):
            case JobPending():
                return self.wait_for_answer(job_id, until_s)
            case answer:
                return answer

    def submit_job(
        self, job: JobContent, until_s: float, job_id: JobId | None = None
    ) -> JobId | Refusal:
        """Submit a job; retry over-limit and unavailable refusals until `until_s`.

        All attempts use the same id. Pass the `job_id` of an earlier submission to
        resubmit that job. `until_s` is a monotonic time in seconds.
        """
        job_id = job_id or self._allocate_id(until_s)
        if isinstance(job_id, Refusal):
            return job_id
        reply = self._submit(job, job_id, until_s, wait_s=0.0)
        return reply if isinstance(reply, Refusal) else decode_accepted(reply)

    def _submit(
        self, job: JobContent, job_id: JobId, until_s: float, wait_s: float
    ) -> dict | Refusal:
        content = {
            "service": job.service,
            "tasks": [encode_task(task) for task in job.tasks],
            "deadline_ms": job.deadline_s * 1000,
            "idempotent": job.idempotent,
        }
        path = f"/v1/jobs/{job_id}?wait_ms={round(wait_s * 1000)}"
        return self._request_with_retries("PUT", path, content, until_s)

    def wait_for_answer(self, job_id: JobId, until_s: float) -> JobAnswer | Refusal:
        """Return a job's answer, or a refusal after the monotonic time `until_s`."""
        while (remaining_s := until_s - read_monotonic_s()) > 0:
            match self.read_state(job_id, min(remaining_s, LONG_POLL_S), until_s):
                case JobPending():
                    continue
                case answer:
                    return answer
        return _refuse_timeout(job_id)

    def read_state(
        self, job_id: JobId, wait_s: float, until_s: float | None = None
    ) -> JobState | Refusal:
        """Return a job's state; wait up to `wait_s` seconds for its answer."""
        path = f"/v1/jobs/{job_id}?wait_ms={round(wait_s * 1000)}"
        until_s = until_s or read_monotonic_s() + wait_s
        reply = self._request_with_retries("GET", path, None, until_s)
        return reply if isinstance(reply, Refusal) else decode_state(reply)

    def cancel_job(self, job_id: JobId) -> JobState | Refusal:
        """Cancel a job: no more of its tasks are started."""
        reply = self._transport.request("DELETE", f"/v1/jobs/{job_id}")
        return reply if isinstance(reply, Refusal) else decode_state(reply)

    def _allocate_id(self, until_s: float) -> JobId | Refusal:
        if self._id_block is None or not self._id_block.is_usable():
            reply = self._request_with_retries(
                "POST", "/v1/ids", {"count": ID_BLOCK_SIZE}, until_s
            )
            if isinstance(reply, Refusal):
                return reply
            self._id_block = _IdBlock(
                prefix=reply["prefix"],
                next_sequence=reply["first"],
                end=reply["first"] + reply["count"],
                received_s=read_monotonic_s(),
            )
        return self._id_block.pop_id()

    def _request_with_retries(self, method: str, path: str, content, until_s: float):
        """Retry a request until it is answered; safe because the job id is fixed."""
        run_state = RunState.NOT_RUN
        while True:
            reply = self._transport.request(method, path, content)
            if not isinstance(reply, Refusal) or reply.kind not in _RETRYABLE:
                return reply
            if reply.run is RunState.UNKNOWN:
                run_state = RunState.UNKNOWN
            delay_s = random.uniform(0.5, 1.5) * (reply.retry_after_s or RETRY_DELAY_S)
            if read_monotonic_s() + delay_s >= until_s:
                return evolve(reply, run=run_state)
            self._transport.use_next_address()
            gevent.sleep(delay_s)


def _is_owner_gone(answer: JobAnswer | Refusal) -> bool:
    return isinstance(answer, Refusal) and answer.kind is RefusalKind.GONE


def _refuse_timeout(job_id: JobId) -> Refusal:
    return Refusal(
        kind=RefusalKind.UNAVAILABLE,
        step=Step.AWAIT_REPLY,
        peer=str(job_id.owner),
        reason=f"job {job_id} had no answer before the end of the waiting time",
        expected="a longer wait",
        run=RunState.UNKNOWN,
    )


@contextmanager
def open_client(addresses: tuple[EntryAddress, ...]) -> Iterator[Client]:
    """Create a client for the entry processes; close it when the context exits."""
    with open_transport(addresses) as transport:
        yield Client(transport=transport)
