"""Finding the answers of lost owners in the journal.

One greenlet reads for the whole process, so that a burst of questions about a
lost owner does not become a burst of reads.
"""

from collections import OrderedDict
from collections.abc import Iterator

import gevent
from attrs import define, field, frozen

from gentianhub.core import (
    Incarnation,
    JobAnswer,
    JobId,
    Mailbox,
    PlatformError,
    Refusal,
    RefusalKind,
    RunState,
    Silence,
    Step,
    read_monotonic_s,
)
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

LOOKUP_BOUND_S = 1.0
MAX_WAITING_LOOKUPS = 256
# At most 50 reads a second for each process.
READ_SPACING_S = 0.02
MAX_BATCHES_PER_LOOKUP = 16
MAX_CACHED_BATCHES = 8
# A lost owner's index no longer changes; one that is only cut off may add to it.
INDEX_LIFETIME_S = 1.0
MAX_CACHED_INDEXES = 256
RETRY_AFTER_S = 1.0


@frozen(kw_only=True)
class FindAnswer:
    """Look a job up; the reply is its answer, or a `Refusal`."""

    job_id: JobId
    asked_s: float
    reply_to: Mailbox


@frozen(kw_only=True)
class _CachedIndex:
    index: JournalIndex
    read_s: float


@define(kw_only=True, eq=False)
class LookupTask:
    """Owns the caches of index rows and batches."""

    mailbox: Mailbox = field(factory=lambda: Mailbox(limit=MAX_WAITING_LOOKUPS))
    spacing_s: float = READ_SPACING_S
    _indexes: OrderedDict[Incarnation, _CachedIndex] = field(
        init=False, factory=OrderedDict
    )
    _batches: OrderedDict[str, JournalBatch] = field(init=False, factory=OrderedDict)

    def run(self, store: JournalStore) -> None:
        """Take lookups for ever; drop those whose asker has given up."""
        for lookup in self.mailbox.drain_messages():
            if read_monotonic_s() < lookup.asked_s + LOOKUP_BOUND_S:
                lookup.reply_to.offer(self.look_up(store, lookup.job_id))

    def look_up(self, store: JournalStore, job_id: JobId) -> JobAnswer | Refusal:
        """Return the answer in the journal, or a refusal: unknown."""
        try:
            for batch in self._read_batches(store, job_id):
                if job_id.sequence in batch.answers:
                    return batch.answers[job_id.sequence]
        # A row or an object that cannot be decoded must not end the greenlet.
        except Exception as error:
            reason = getattr(error, "reason", repr(error))
            return _refuse_unread(store.peer, reason)
        return _refuse_absent(job_id)

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
        if cached is not None and now_s < cached.read_s + INDEX_LIFETIME_S:
            return cached.index
        gevent.sleep(self.spacing_s)
        rows = store.read_keys((build_index_key(owner),))
        index = next((decode_index(row.value) for row in rows), JournalIndex())
        self._indexes[owner] = _CachedIndex(index=index, read_s=now_s)
        _trim(self._indexes, MAX_CACHED_INDEXES)
        return index

    def _read_batch(self, store: JournalStore, name: str) -> JournalBatch:
        if name not in self._batches:
            gevent.sleep(self.spacing_s)
            content = store.read_object(name)
            if content is None:
                raise PlatformError(
                    step=Step.READ_PLATFORM,
                    peer=store.peer,
                    reason=f"object {name} is in the index but absent",
                )
            self._batches[name] = decode_batch(content)
            _trim(self._batches, MAX_CACHED_BATCHES)
        self._batches.move_to_end(name)
        return self._batches[name]


def _trim(cache: OrderedDict, limit: int) -> None:
    """Evict the entries that have not been used for longest."""
    while len(cache) > limit:
        cache.popitem(last=False)


def run_lookups(lookups: LookupTask, host: str, port: int) -> None:
    """Read the journal for ever, as asked."""
    with open_platform(host, port, LOOKUP_BOUND_S) as store:
        lookups.run(store)


def find_answer(lookups: Mailbox, job_id: JobId) -> JobAnswer | Refusal:
    """Return a lost owner's finished answer; otherwise the outcome is unknown."""
    replies = Mailbox(limit=1)
    lookup = FindAnswer(job_id=job_id, asked_s=read_monotonic_s(), reply_to=replies)
    if not lookups.offer(lookup):
        return _refuse_unread("platform", "too many lookups wait")
    match replies.take(timeout_s=LOOKUP_BOUND_S):
        case Silence(waited_s=waited_s):
            return _refuse_unread("platform", f"no reply within {waited_s} s")
        case reply:
            return reply


def _refuse_absent(job_id: JobId) -> Refusal:
    return Refusal(
        kind=RefusalKind.GONE,
        step=Step.FIND_JOB,
        peer=str(job_id.owner),
        reason=f"job {job_id}: its owner is gone and left no answer in the journal",
        expected="an id issued by a live owner",
        run=RunState.UNKNOWN,
    )


def _refuse_unread(peer: str, reason: str) -> Refusal:
    return Refusal(
        kind=RefusalKind.UNAVAILABLE,
        step=Step.FIND_JOB,
        peer=peer,
        reason=f"the journal of a lost owner was not read: {reason}",
        expected="the same question, later",
        run=RunState.UNKNOWN,
        retry_after_s=RETRY_AFTER_S,
    )
