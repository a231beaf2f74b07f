"""Client library: submits jobs under ids of its own and waits for whole answers."""

import random
from collections.abc import Iterator
from contextlib import contextmanager

import gevent
from attrs import define, evolve, field, frozen

from gentianhub.client.codec import decode_accepted, decode_state, encode_task
from gentianhub.client.exchange import EntryAddress, EntryExchange, open_exchange
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

IDS_PER_BLOCK = 100
# Ids are not used when they are near the end of their lifetime of 300 s.
BLOCK_AGE_LIMIT_S = 120.0
WAIT_STEP_S = 20.0
RETRY_DELAY_S = 0.2

_RETRYABLE = frozenset({RefusalKind.OVER_LIMIT, RefusalKind.UNAVAILABLE})


@frozen(kw_only=True)
class JobContent:
    """A job to submit; `deadline_s` counts from its acceptance, in seconds.

    Mark a job as idempotent only if running it twice does no harm: it is then
    submitted anew under another id when its owner was lost.
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
    drawn_s: float

    def draw_id(self) -> JobId | Refusal:
        sequence = self.next_sequence
        self.next_sequence += 1
        return parse_job_id(f"{self.prefix}.{sequence}")

    def is_usable(self) -> bool:
        is_fresh = read_monotonic_s() - self.drawn_s < BLOCK_AGE_LIMIT_S
        return is_fresh and self.next_sequence < self.end


@define(kw_only=True, eq=False)
class Client:
    """Submits jobs; used by one greenlet or thread at a time."""

    _exchange: EntryExchange
    _block: _IdBlock | None = field(init=False, default=None)

    def run_job(self, job: JobContent, wait_s: float) -> JobAnswer | Refusal:
        """Submit a job and return its whole answer.

        Parameters
        ----------
        job : JobContent
            The job.
        wait_s : float
            Seconds after which to give up waiting.

        Returns
        -------
        JobAnswer or Refusal
            `JobComplete` with every result, `JobFailed` with every task's outcome,
            or a refusal whose `run` says whether any task may have run.
        """
        until_s = read_monotonic_s() + wait_s
        answer = self._run_once(job, until_s)
        while job.idempotent and _is_lost(answer) and read_monotonic_s() < until_s:
            # The owner is gone with the id, so the new block is another owner's.
            self._block = None
            answer = self._run_once(job, until_s)
        return answer

    def _run_once(self, job: JobContent, until_s: float) -> JobAnswer | Refusal:
        job_id = self._draw_id(until_s)
        if isinstance(job_id, Refusal):
            return job_id
        wait_s = min(WAIT_STEP_S, max(0.0, until_s - read_monotonic_s()))
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
        """Submit a job under one id, again while it is uncertain or refused.

        Give the `job_id` of an earlier submission to submit the same job again.
        """
        job_id = job_id or self._draw_id(until_s)
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
        return self._repeat("PUT", path, content, until_s)

    def wait_for_answer(self, job_id: JobId, until_s: float) -> JobAnswer | Refusal:
        """Return a job's answer, or a refusal once `until_s` has passed."""
        while (left_s := until_s - read_monotonic_s()) > 0:
            match self.read_state(job_id, min(left_s, WAIT_STEP_S), until_s):
                case JobPending():
                    continue
                case answer:
                    return answer
        return _refuse_late(job_id)

    def read_state(
        self, job_id: JobId, wait_s: float, until_s: float | None = None
    ) -> JobState | Refusal:
        """Return a job's state; wait up to `wait_s` seconds for its answer."""
        path = f"/v1/jobs/{job_id}?wait_ms={round(wait_s * 1000)}"
        until_s = until_s or read_monotonic_s() + wait_s
        reply = self._repeat("GET", path, None, until_s)
        return reply if isinstance(reply, Refusal) else decode_state(reply)

    def cancel_job(self, job_id: JobId) -> JobState | Refusal:
        """Start no further task of a job."""
        reply = self._exchange.request("DELETE", f"/v1/jobs/{job_id}")
        return reply if isinstance(reply, Refusal) else decode_state(reply)

    def _draw_id(self, until_s: float) -> JobId | Refusal:
        if self._block is None or not self._block.is_usable():
            reply = self._repeat("POST", "/v1/ids", {"count": IDS_PER_BLOCK}, until_s)
            if isinstance(reply, Refusal):
                return reply
            self._block = _IdBlock(
                prefix=reply["prefix"],
                next_sequence=reply["first"],
                end=reply["first"] + reply["count"],
                drawn_s=read_monotonic_s(),
            )
        return self._block.draw_id()

    def _repeat(self, method: str, path: str, content, until_s: float):
        """Send a request until it is answered; safe because it names its id."""
        certain = RunState.NOT_RUN
        while True:
            reply = self._exchange.request(method, path, content)
            if not isinstance(reply, Refusal) or reply.kind not in _RETRYABLE:
                return reply
            if reply.run is RunState.UNKNOWN:
                certain = RunState.UNKNOWN
            delay_s = random.uniform(0.5, 1.5) * (reply.retry_after_s or RETRY_DELAY_S)
            if read_monotonic_s() + delay_s >= until_s:
                return evolve(reply, run=certain)
            self._exchange.use_next_address()
            gevent.sleep(delay_s)


def _is_lost(answer: JobAnswer | Refusal) -> bool:
    return isinstance(answer, Refusal) and answer.kind is RefusalKind.GONE


def _refuse_late(job_id: JobId) -> Refusal:
    return Refusal(
        kind=RefusalKind.UNAVAILABLE,
        step=Step.AWAIT_REPLY,
        peer=str(job_id.owner),
        reason=f"job {job_id} had no answer in the time allowed",
        expected="a longer wait",
        run=RunState.UNKNOWN,
    )


@contextmanager
def open_client(addresses: tuple[EntryAddress, ...]) -> Iterator[Client]:
    """Own the connections to the entry processes; close them at the end."""
    with open_exchange(addresses) as exchange:
        yield Client(exchange=exchange)
