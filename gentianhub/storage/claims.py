"""Claims of idempotency keys: key -> job id, first claim wins.

One greenlet owns a platform connection and writes the claims that wait in its
mailbox together, one write at a time. Whoever claims a key waits at most
`CLAIM_BOUND_S`; without a certain result nothing is submitted.
"""

import logging
from collections.abc import Callable, Iterable

from attrs import define, field, frozen

from gentianhub.core import (
    JobId,
    JobRequest,
    Mailbox,
    PlatformError,
    Refusal,
    RefusalKind,
    RunState,
    Silence,
    Step,
    parse_job_id,
    read_monotonic_s,
)
from gentianhub.core.operations import IssueOperation, Operation, SubmitOperation
from gentianhub.decisions import IdBlock
from gentianhub.storage.changes import TableStore
from gentianhub.storage.client import Conflict, VersionedRow, open_platform

CLAIM_PREFIX = "claim/"
CLAIM_BOUND_S = 1.0
MAX_CLAIMS_PER_WRITE = 256
# Four full writes: at a few writes a second, more would wait beyond the bound.
MAX_WAITING_CLAIMS = 1024
RETRY_AFTER_S = 1.0
MAX_KEY_LENGTH = 200
# A write that fails at once, again and again, must not become a busy loop.
RETRIES_WITHOUT_PROGRESS = 2

logger = logging.getLogger(__name__)


@frozen(kw_only=True)
class ClaimKey:
    """Claim a key for a job; the reply is `KeyClaimed` or a `Refusal`.

    `asked_s` is on the monotonic clock; `digest` identifies the job's content.
    """

    key: str
    job_id: JobId
    digest: str
    asked_s: float
    reply_to: Mailbox


@frozen(kw_only=True)
class KeyClaimed:
    """The job id that the key stands for, and the digest of its content."""

    job_id: JobId
    digest: str


@define(kw_only=True, eq=False)
class ClaimTask:
    """Owns the waiting claims; `now_s` reads the monotonic clock."""

    mailbox: Mailbox = field(factory=lambda: Mailbox(limit=MAX_WAITING_CLAIMS))
    now_s: Callable[[], float] = read_monotonic_s

    def run(self, store: TableStore) -> None:
        """Take claims for ever; block while there is none."""
        for first in self.mailbox.drain_messages():
            batch = [first]
            while len(batch) < MAX_CLAIMS_PER_WRITE and len(self.mailbox):
                batch.append(self.mailbox.take())
            self.settle_batch(store, batch)

    def settle_batch(self, store: TableStore, batch: list[ClaimKey]) -> None:
        """Reply to each claim of a batch; one that waited too long is refused."""
        oldest_s = self.now_s() - CLAIM_BOUND_S
        for claim in batch:
            if claim.asked_s <= oldest_s:
                claim.reply_to.offer(_refuse(store.peer, "the claim waited too long"))
        waiting = [claim for claim in batch if claim.asked_s > oldest_s]
        if not waiting:
            return
        try:
            owners = self._claim_keys(store, waiting)
        except Exception as error:
            reason = getattr(error, "reason", repr(error))
            logger.warning(
                "%d claims not written: %s",
                len(waiting),
                reason,
                extra={"step": Step.CLAIM_KEY.value, "peer": store.peer},
            )
            for claim in waiting:
                claim.reply_to.offer(_refuse(store.peer, reason))
            return
        for claim in waiting:
            claim.reply_to.offer(owners[claim.key])

    def _claim_keys(
        self, store: TableStore, claims: list[ClaimKey]
    ) -> dict[str, KeyClaimed]:
        """Return the winner of each key; repeat until each key has one."""
        open_claims: dict[str, ClaimKey] = {}
        for claim in claims:
            open_claims.setdefault(claim.key, claim)
        give_up_s = max(claim.asked_s for claim in claims) + CLAIM_BOUND_S
        retries_left = RETRIES_WITHOUT_PROGRESS
        winners: dict[str, KeyClaimed] = {}
        while open_claims:
            try:
                outcome = _write_claims(store, open_claims.values())
            except PlatformError as error:
                outcome = Conflict(reason=error.reason)
            if outcome is None:
                return winners | {
                    key: KeyClaimed(job_id=claim.job_id, digest=claim.digest)
                    for key, claim in open_claims.items()
                }
            if self.now_s() >= give_up_s or not retries_left:
                reason = outcome.reason
                raise PlatformError(step=Step.CLAIM_KEY, peer=store.peer, reason=reason)
            found = _read_claims(store, open_claims)
            winners |= found
            for key in found:
                del open_claims[key]
            if not found:
                retries_left -= 1
        return winners


def _write_claims(store: TableStore, claims: Iterable[ClaimKey]) -> Conflict | None:
    rows = {
        CLAIM_PREFIX + claim.key: {"job": str(claim.job_id), "digest": claim.digest}
        for claim in claims
    }
    return store.write_rows(rows, dict.fromkeys(rows, 0))


def _read_claims(store: TableStore, keys: Iterable[str]) -> dict[str, KeyClaimed]:
    rows = store.read_keys(tuple(CLAIM_PREFIX + key for key in keys))
    return {row.key.removeprefix(CLAIM_PREFIX): _decode_claim(row) for row in rows}


def _decode_claim(row: VersionedRow) -> KeyClaimed:
    job_id = parse_job_id(row.value["job"])
    assert isinstance(job_id, JobId), f"{row.key} names no job"
    return KeyClaimed(job_id=job_id, digest=row.value["digest"])


def run_claims(claims: ClaimTask, host: str, port: int) -> None:
    """Write claims to the platform for ever."""
    with open_platform(host, port, CLAIM_BOUND_S) as store:
        claims.run(store)


def claim_key(
    claims: Mailbox, key: str, job_id: JobId, digest: str
) -> KeyClaimed | Refusal:
    """Return the job that a key stands for, claiming the key if it is free."""
    replies = Mailbox(limit=1)
    claim = ClaimKey(
        key=key,
        job_id=job_id,
        digest=digest,
        asked_s=read_monotonic_s(),
        reply_to=replies,
    )
    if not claims.offer(claim):
        return _refuse("platform", "too many claims wait")
    match replies.take(timeout_s=CLAIM_BOUND_S):
        case Silence(waited_s=waited_s):
            return _refuse("platform", f"no reply within {waited_s} s")
        case reply:
            return reply


def submit_with_key(
    key: str,
    request: JobRequest,
    *,
    claims: Mailbox,
    perform: Callable[[Operation], object],
):
    """Submit a job under a key: the first submission with the key names the job."""
    if not 1 <= len(key) <= MAX_KEY_LENGTH or not key.isascii():
        return _refuse_key(key)
    match perform(IssueOperation(count=1)):
        case IdBlock(owner=owner, first=first):
            job_id = JobId(owner=owner, sequence=first)
        case refusal:
            return refusal
    match claim_key(claims, key, job_id, request.digest):
        case KeyClaimed(digest=digest) if digest != request.digest:
            return _refuse_other_content()
        case KeyClaimed(job_id=claimed_id):
            return perform(SubmitOperation(request=request, job_id=claimed_id))
        case refusal:
            return refusal


def refuse_draining(peer: str) -> Refusal:
    """Return the refusal of a keyed submission by a process that shuts down.

    It is refused before the key is claimed, because a claim would tie the key to
    an owner that is about to be gone.
    """
    return _refuse(peer, "the entry process is shutting down")


def _refuse(peer: str, reason: str) -> Refusal:
    return Refusal(
        kind=RefusalKind.UNAVAILABLE,
        step=Step.CLAIM_KEY,
        peer=peer,
        reason=f"the key could not be claimed, this submission ran nothing: {reason}",
        expected="the same submission with the same key, later",
        run=RunState.NOT_RUN,
        retry_after_s=RETRY_AFTER_S,
    )


def _refuse_key(key: str) -> Refusal:
    return Refusal(
        kind=RefusalKind.MALFORMED,
        step=Step.DECODE_REQUEST,
        peer="caller",
        reason=f"{key[:80]!r} is not a key",
        expected=f"1 to {MAX_KEY_LENGTH} ASCII characters",
        field="Idempotency-Key",
    )


def _refuse_other_content() -> Refusal:
    return Refusal(
        kind=RefusalKind.CONFLICT,
        step=Step.CLAIM_KEY,
        peer="caller",
        reason="the key was claimed with other content",
        expected="the content of the first submission, or a new key",
        field="Idempotency-Key",
        run=RunState.UNKNOWN,
    )
