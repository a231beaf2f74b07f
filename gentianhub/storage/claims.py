"""Claims of idempotency keys: each key maps to one job id, and the first claim wins.

One greenlet owns a platform connection and writes all claims that are queued in its
mailbox in one transaction, one write at a time. The claimant waits at most
`CLAIM_TIMEOUT_S`; without a certain result nothing is submitted.
"""

import logging
from collections.abc import Callable, Iterable

from gentianhub.core import (
    JobId,
    JobRequest,
    Mailbox,
    MailboxTimeout,
    PlatformError,
    Refusal,
    RefusalKind,
    RunState,
    Step,
    parse_job_id,
    read_monotonic_s,
)
from gentianhub.core.operations import Operation, ReserveIdsOperation, SubmitOperation
from gentianhub.core.records import define, field, frozen
from gentianhub.decisions import IdBlock
from gentianhub.storage.changes import TableStore
from gentianhub.storage.client import Conflict, VersionedRow, open_platform

CLAIM_PREFIX = "claim/"
CLAIM_TIMEOUT_S = 1.0
MAX_CLAIMS_PER_WRITE = 256
# Four full writes; at a few writes per second, more claims would time out.
MAX_QUEUED_CLAIMS = 1024
RETRY_AFTER_S = 1.0
MAX_KEY_LENGTH = 200
# Keeps repeated writes that fail at once from becoming a busy loop.
MAX_RETRIES_WITHOUT_PROGRESS = 2

logger = logging.getLogger(__name__)


@frozen(kw_only=True)
class ClaimKey:
    """Request to claim a key for a job; the reply is `KeyClaimed` or a `Refusal`.

    `requested_s` is on the monotonic clock; `digest` identifies the job's content.
    """

    key: str
    job_id: JobId
    digest: str
    requested_s: float
    reply_to: Mailbox


@frozen(kw_only=True)
class KeyClaimed:
    """The job id that the key maps to, and the digest of the job's content."""

    job_id: JobId
    digest: str


@define(kw_only=True, eq=False)
class ClaimWorker:
    """Owns the queue of claims; `now_s` reads the monotonic clock."""

    mailbox: Mailbox = field(factory=lambda: Mailbox(limit=MAX_QUEUED_CLAIMS))
    now_s: Callable[[], float] = read_monotonic_s

    def run(self, store: TableStore) -> None:
        """Process claims until killed; block while there are none."""
        for first in self.mailbox.iterate_messages():
            batch = [first]
            while len(batch) < MAX_CLAIMS_PER_WRITE and len(self.mailbox):
                batch.append(self.mailbox.get())
            self.settle_batch(store, batch)

    def settle_batch(self, store: TableStore, batch: list[ClaimKey]) -> None:
        """Reply to each claim of a batch; refuse those that have timed out."""
        cutoff_s = self.now_s() - CLAIM_TIMEOUT_S
        for claim in batch:
            if claim.requested_s <= cutoff_s:
                claim.reply_to.try_put(
                    _refuse(store.peer, "the claim timed out before it was written")
                )
        waiting = [claim for claim in batch if claim.requested_s > cutoff_s]
        if not waiting:
            return
        try:
            owners = self._claim_keys(store, waiting)
        except Exception as error:
            reason = getattr(error, "reason", repr(error))
            logger.warning(
                "cannot write %d claims: %s",
                len(waiting),
                reason,
                extra={"step": Step.CLAIM_KEY.value, "peer": store.peer},
            )
            for claim in waiting:
                claim.reply_to.try_put(_refuse(store.peer, reason))
            return
        for claim in waiting:
            claim.reply_to.try_put(owners[claim.key])

    def _claim_keys(
        self, store: TableStore, claims: list[ClaimKey]
    ) -> dict[str, KeyClaimed]:
        """Return the winning claim of each key; repeat until each key has one."""
        unresolved: dict[str, ClaimKey] = {}
        for claim in claims:
            unresolved.setdefault(claim.key, claim)
        deadline_s = max(claim.requested_s for claim in claims) + CLAIM_TIMEOUT_S
        retries_left = MAX_RETRIES_WITHOUT_PROGRESS
        winners: dict[str, KeyClaimed] = {}
        while unresolved:
            try:
                outcome = _write_claims(store, unresolved.values())
            except PlatformError as error:
                outcome = Conflict(reason=error.reason)
            if outcome is None:
                return winners | {
                    key: KeyClaimed(job_id=claim.job_id, digest=claim.digest)
                    for key, claim in unresolved.items()
                }
            if self.now_s() >= deadline_s or not retries_left:
                reason = outcome.reason
                raise PlatformError(step=Step.CLAIM_KEY, peer=store.peer, reason=reason)
            found = _read_claims(store, unresolved)
            winners |= found
            for key in found:
                del unresolved[key]
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
    assert isinstance(job_id, JobId), f"{row.key} holds no job id"
    return KeyClaimed(job_id=job_id, digest=row.value["digest"])


def run_claims(claims: ClaimWorker, host: str, port: int) -> None:
    """Write claims to the platform until killed."""
    with open_platform(host, port, CLAIM_TIMEOUT_S) as store:
        claims.run(store)


def claim_key(
    claims: Mailbox, key: str, job_id: JobId, digest: str
) -> KeyClaimed | Refusal:
    """Return the job that a key maps to; claim the key if it is free."""
    replies = Mailbox(limit=1)
    claim = ClaimKey(
        key=key,
        job_id=job_id,
        digest=digest,
        requested_s=read_monotonic_s(),
        reply_to=replies,
    )
    if not claims.try_put(claim):
        return _refuse("platform", "the queue of claims is full")
    match replies.get(timeout_s=CLAIM_TIMEOUT_S):
        case MailboxTimeout(waited_s=waited_s):
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
    """Submit a job with a key; the first submission with the key sets the job id."""
    if not 1 <= len(key) <= MAX_KEY_LENGTH or not key.isascii():
        return _refuse_invalid_key(key)
    match perform(ReserveIdsOperation(count=1)):
        case IdBlock(owner=owner, first=first):
            job_id = JobId(owner=owner, sequence=first)
        case refusal:
            return refusal
    match claim_key(claims, key, job_id, request.digest):
        case KeyClaimed(digest=digest) if digest != request.digest:
            return _refuse_different_content()
        case KeyClaimed(job_id=claimed_id):
            return perform(SubmitOperation(request=request, job_id=claimed_id))
        case refusal:
            return refusal


def build_draining_refusal(peer: str) -> Refusal:
    """Return the refusal of a keyed submission to a process that is shutting down.

    It is refused before the key is claimed, because a claim would map the key to a
    job of an owner that is about to exit.
    """
    return _refuse(peer, "the entry process is shutting down")


def _refuse(peer: str, reason: str) -> Refusal:
    return Refusal(
        kind=RefusalKind.UNAVAILABLE,
        step=Step.CLAIM_KEY,
        peer=peer,
        reason=f"cannot claim the key; this submission ran nothing: {reason}",
        expected="a later retry of the same submission with the same key",
        run=RunState.NOT_RUN,
        retry_after_s=RETRY_AFTER_S,
    )


def _refuse_invalid_key(key: str) -> Refusal:
    return Refusal(
        kind=RefusalKind.MALFORMED,
        step=Step.DECODE_REQUEST,
        peer="caller",
        reason=f"{key[:80]!r} is not a valid idempotency key",
        expected=f"1 to {MAX_KEY_LENGTH} ASCII characters",
        field="Idempotency-Key",
    )


def _refuse_different_content() -> Refusal:
    return Refusal(
        kind=RefusalKind.CONFLICT,
        step=Step.CLAIM_KEY,
        peer="caller",
        reason="the key was claimed for a job with different content",
        expected="the content of the first submission, or a new key",
        field="Idempotency-Key",
        run=RunState.UNKNOWN,
    )
