"""Lookups of answers of lost owners in the journal.

One greenlet reads for the whole process, so that a burst of requests for jobs of a
lost owner does not become a burst of reads.
"""

from collections import OrderedDict
from collections.abc import Iterator

import gevent

from gentianhub.core import (
    Incarnation,
    JobAnswer,
    JobId,
    Mailbox,
    MailboxTimeout,
    PlatformError,
    Refusal,
    RefusalKind,
    RunState,
    Step,
    read_monotonic_s,
)
from gentianhub.core.records import define, field, frozen
from gentianhub.storage.client import open_platform
from gentianhub.storage.journal import JournalStore
from gentianhub.storage.objects import (
    JournalBatch,
    JournalIndex,
    build_batch_name,
    build_index_key,
    decode_batch,
    decode_index,
)

LOOKUP_TIMEOUT_S = 1.0
MAX_QUEUED_LOOKUPS = 256
# Limits each process to 50 reads per second.
MIN_READ_INTERVAL_S = 0.02
MAX_BATCHES_PER_LOOKUP = 16
MAX_CACHED_BATCHES = 8
# The index of a lost owner no longer changes, but an owner that is only disconnected
# may still add to its index.
INDEX_CACHE_TTL_S = 1.0
MAX_CACHED_INDEXES = 256
RETRY_AFTER_S = 1.0


@frozen(kw_only=True)
class LookUpAnswer:
    """Request to look a job up; the reply is its answer, or a `Refusal`.

    `requested_s` is on the monotonic clock.
    """

    job_id: JobId
    requested_s: float
    reply_to: Mailbox


@frozen(kw_only=True)
class _CachedIndex:
    index: JournalIndex
    read_s: float


@define(kw_only=True, eq=False)
class LookupWorker:
    """Reads the journal; owns the caches of index rows and batches."""

    mailbox: Mailbox = field(factory=lambda: Mailbox(limit=MAX_QUEUED_LOOKUPS))
    read_interval_s: float = MIN_READ_INTERVAL_S
    _indexes: OrderedDict[Incarnation, _CachedIndex] = field(
        init=False, factory=OrderedDict
    )
    _batches: OrderedDict[str, JournalBatch] = field(init=False, factory=OrderedDict)

    def run(self, store: JournalStore) -> None:
        """Process lookups until killed; drop those that have timed out."""
        for lookup in self.mailbox.iterate_messages():
            if read_monotonic_s() < lookup.requested_s + LOOKUP_TIMEOUT_S:
                lookup.reply_to.try_put(self.look_up(store, lookup.job_id))

    def look_up(self, store: JournalStore, job_id: JobId) -> JobAnswer | Refusal:
        """Return the answer in the journal, or a refusal: the outcome is unknown."""
        try:
            for batch in self._read_batches(store, job_id):
                if job_id.sequence in batch.answers:
                    return batch.answers[job_id.sequence]
        # A row or an object that cannot be decoded must not end the greenlet.
        except Exception as error:
            reason = getattr(error, "reason", repr(error))
            return _refuse_unavailable(store.peer, reason)
        return _refuse_no_answer(job_id)

    def _read_batches(
        self, store: JournalStore, job_id: JobId
    ) -> Iterator[JournalBatch]:
        """Yield the batches that may hold the job, newest first."""
        candidates = [
            entry.number
            for entry in reversed(self._read_index(store, job_id.owner).batches)
            if entry.lowest <= job_id.sequence <= entry.highest
        ]
        for number in candidates[:MAX_BATCHES_PER_LOOKUP]:
            yield self._read_batch(store, build_batch_name(job_id.owner, number))

    def _read_index(self, store: JournalStore, owner: Incarnation) -> JournalIndex:
        now_s = read_monotonic_s()
        cached = self._indexes.get(owner)
        if cached is not None and now_s < cached.read_s + INDEX_CACHE_TTL_S:
            return cached.index
        gevent.sleep(self.read_interval_s)
        rows = store.read_keys((build_index_key(owner),))
        index = next((decode_index(row.value) for row in rows), JournalIndex())
        self._indexes[owner] = _CachedIndex(index=index, read_s=now_s)
        _evict_oldest(self._indexes, MAX_CACHED_INDEXES)
        return index

    def _read_batch(self, store: JournalStore, name: str) -> JournalBatch:
        if name not in self._batches:
            gevent.sleep(self.read_interval_s)
            content = store.read_object(name)
            if content is None:
                raise PlatformError(
                    step=Step.READ_PLATFORM,
                    peer=store.peer,
                    reason=f"object {name} is in the index but does not exist",
                )
            self._batches[name] = decode_batch(content)
            _evict_oldest(self._batches, MAX_CACHED_BATCHES)
        self._batches.move_to_end(name)
        return self._batches[name]


def _evict_oldest(cache: OrderedDict, limit: int) -> None:
    """Evict the oldest entries, by insertion or last `move_to_end`, over the limit."""
    while len(cache) > limit:
        cache.popitem(last=False)


def run_lookups(lookups: LookupWorker, host: str, port: int) -> None:
    """Look jobs up in the journal until killed."""
    with open_platform(host, port, LOOKUP_TIMEOUT_S) as store:
        lookups.run(store)


def look_up_answer(lookups: Mailbox, job_id: JobId) -> JobAnswer | Refusal:
    """Return a lost owner's answer, or a refusal if the journal has none.

    After a refusal the outcome of the job is unknown.
    """
    replies = Mailbox(limit=1)
    lookup = LookUpAnswer(
        job_id=job_id, requested_s=read_monotonic_s(), reply_to=replies
    )
    if not lookups.try_put(lookup):
        return _refuse_unavailable("platform", "the queue of lookups is full")
    match replies.get(timeout_s=LOOKUP_TIMEOUT_S):
        case MailboxTimeout(waited_s=waited_s):
            return _refuse_unavailable("platform", f"no reply within {waited_s} s")
        case reply:
            return reply


def _refuse_no_answer(job_id: JobId) -> Refusal:
    return Refusal(
        kind=RefusalKind.GONE,
        step=Step.FIND_JOB,
        peer=str(job_id.owner),
        reason=f"job {job_id}: its owner is no longer running "
        "and the journal holds no answer",
        expected="an id issued by a live owner",
        run=RunState.UNKNOWN,
    )


def _refuse_unavailable(peer: str, reason: str) -> Refusal:
    return Refusal(
        kind=RefusalKind.UNAVAILABLE,
        step=Step.FIND_JOB,
        peer=peer,
        reason=f"cannot read the journal of the job's lost owner: {reason}",
        expected="a later retry of the same request",
        run=RunState.UNKNOWN,
        retry_after_s=RETRY_AFTER_S,
    )
