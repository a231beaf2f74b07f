"""Journal of finished answers that have not been delivered to a caller yet.

One greenlet buffers the answers and writes a batch in each flush period, and all of
them at shutdown. Only finished answers are written: the outcome of any other job is
unknown once its owner is no longer running.
"""

import logging
from typing import Protocol

from gentianhub.core import (
    Incarnation,
    JobAnswer,
    JobComplete,
    JobFailed,
    JobId,
    Mailbox,
    MailboxTimeout,
    PlatformError,
    Step,
    read_monotonic_s,
)
from gentianhub.core.records import define, field, frozen
from gentianhub.storage.changes import TableStore
from gentianhub.storage.client import open_platform
from gentianhub.storage.objects import (
    BatchRange,
    JournalBatch,
    JournalIndex,
    build_batch_name,
    build_index_key,
    encode_batch,
    encode_index,
)

# Budget of platform writes for the journals of all processes together.
JOURNAL_WRITES_PER_S = 200
# One for the object, one for the index row.
WRITES_PER_FLUSH = 2
MIN_FLUSH_PERIOD_S = 1.0
SHUTDOWN_FLUSH_TIMEOUT_S = 5.0
# The first write fails if the platform has closed the idle connection.
SHUTDOWN_ATTEMPTS = 3
MAILBOX_LIMIT = 10_000
MAX_PENDING_BYTES = 32 * 1024 * 1024
MAX_BATCH_BYTES = 2 * 1024 * 1024
# Larger answers would make an object that the platform may reject.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
MAX_INDEX_BATCHES = 300
# Approximate size of an answer or an outcome without the result itself.
ANSWER_OVERHEAD_BYTES = 200

logger = logging.getLogger(__name__)


class JournalStore(TableStore, Protocol):
    """Platform operations that the journal needs; `PlatformClient` implements them."""

    def write_object(self, name: str, content: bytes) -> None:
        """Write a whole object."""

    def read_object(self, name: str) -> bytes | None:
        """Return an object's content, or None if there is no such object."""

    def read_hosts(self, data_centre: str = "") -> dict:
        """Return the host list with the targets of one data centre."""


@frozen(kw_only=True)
class RecordAnswer:
    """Record the answer of a job that has ended."""

    job_id: JobId
    answer: JobAnswer


@frozen(kw_only=True)
class AnswerDelivered:
    """A caller has received the job's answer, so it need not be written."""

    job_id: JobId


@frozen(kw_only=True)
class FlushAll:
    """Write all buffered answers; the reply is the number that were not written."""

    reply_to: Mailbox


@define(kw_only=True, eq=False)
class JournalWorker:
    """Owns the answers that are waiting to be written.

    An answer that would exceed `MAX_PENDING_BYTES` is dropped: the job is reported
    as unknown if its owner stops running.
    """

    owner: Incarnation
    mailbox: Mailbox = field(factory=lambda: Mailbox(limit=MAILBOX_LIMIT))
    pending: dict[int, JobAnswer] = field(init=False, factory=dict)
    pending_bytes: int = field(init=False, default=0)
    dropped_answers: int = field(init=False, default=0)
    flush_period_s: float = field(init=False, default=MIN_FLUSH_PERIOD_S)
    _index: JournalIndex = field(init=False, factory=lambda: JournalIndex())
    _unwritten: JournalBatch | None = field(init=False, default=None)
    _next_number: int = field(init=False, default=1)

    def run(self, store: JournalStore) -> None:
        """Handle messages until killed; write a batch each flush period."""
        due_s = read_monotonic_s() + self.flush_period_s
        while True:
            wait_s = max(0.0, due_s - read_monotonic_s())
            match self.mailbox.get(timeout_s=wait_s):
                case RecordAnswer(job_id=job_id, answer=answer):
                    self.add_answer(job_id, answer)
                case AnswerDelivered(job_id=job_id) if job_id.owner == self.owner:
                    self._discard_answer(job_id.sequence)
                case FlushAll(reply_to=to):
                    to.try_put(self.flush_all(store))
            if read_monotonic_s() >= due_s:
                self.flush_batch(store)
                due_s = read_monotonic_s() + self.flush_period_s

    def add_answer(self, job_id: JobId, answer: JobAnswer) -> None:
        """Buffer an answer for the next flush, or drop it beyond the memory limits."""
        size = estimate_answer_bytes(answer)
        if size > MAX_ANSWER_BYTES or self.pending_bytes + size > MAX_PENDING_BYTES:
            self.dropped_answers += 1
            return
        self.pending[job_id.sequence] = answer
        self.pending_bytes += size

    def flush_all(self, store: JournalStore) -> int:
        """Write all batches; return the number of answers that were not written.

        Stops after `SHUTDOWN_ATTEMPTS` failed writes in a row.
        """
        failures = 0
        while (self._unwritten or self.pending) and failures < SHUTDOWN_ATTEMPTS:
            failures = 0 if self.flush_batch(store) else failures + 1
        return len(self.pending) + (
            len(self._unwritten.answers) if self._unwritten else 0
        )

    def flush_batch(self, store: JournalStore) -> bool:
        """Write one batch, if there is any; return False if the write failed.

        A failed write is repeated under the same name with the same content, so that
        a lost reply does no harm.
        """
        if self._unwritten is None:
            self._unwritten = self._pop_batch()
        if self._unwritten is None:
            return True
        try:
            self._adjust_flush_period(store)
            self._write_batch(store, self._unwritten)
            self._unwritten = None
        except PlatformError as error:
            logger.warning(
                "cannot write the journal: %s",
                error.reason,
                extra={"step": error.step.value, "peer": error.peer},
            )
        return self._unwritten is None

    def _pop_batch(self) -> JournalBatch | None:
        answers: dict[int, JobAnswer] = {}
        size = 0
        for sequence, answer in self.pending.items():
            size += estimate_answer_bytes(answer)
            if answers and size > MAX_BATCH_BYTES:
                break
            answers[sequence] = answer
        if not answers:
            return None
        for sequence in answers:
            self._discard_answer(sequence)
        self._next_number += 1
        return JournalBatch(number=self._next_number - 1, answers=answers)

    def _discard_answer(self, sequence: int) -> None:
        answer = self.pending.pop(sequence, None)
        if answer is not None:
            self.pending_bytes -= estimate_answer_bytes(answer)

    def _write_batch(self, store: JournalStore, batch: JournalBatch) -> None:
        name = build_batch_name(self.owner, batch.number)
        store.write_object(name, encode_batch(batch))
        entry = BatchRange(
            number=batch.number, lowest=min(batch.answers), highest=max(batch.answers)
        )
        batches = (*self._index.batches, entry)[-MAX_INDEX_BATCHES:]
        index = JournalIndex(batches=batches)
        self._write_index(store, index)
        self._index = index

    def _write_index(self, store: JournalStore, index: JournalIndex) -> None:
        """Write the index row; a delayed earlier write cannot overwrite it.

        Only this incarnation writes the row. Each batch adds one entry, and the write
        is conditional on the row version that was read.
        """
        key = build_index_key(self.owner)
        version = next((row.version for row in store.read_keys((key,))), 0)
        conflict = store.write_rows({key: encode_index(index)}, {key: version})
        if conflict is not None:
            step = Step.WRITE_PLATFORM
            raise PlatformError(step=step, peer=store.peer, reason=conflict.reason)

    def _read_processes(self, store: JournalStore) -> list[dict]:
        hosts = store.read_hosts(self.owner.name.data_centre)
        return hosts["entry_processes"]

    def _adjust_flush_period(self, store: JournalStore) -> None:
        processes = len(self._read_processes(store))
        flush_period_s = processes * WRITES_PER_FLUSH / JOURNAL_WRITES_PER_S
        self.flush_period_s = max(MIN_FLUSH_PERIOD_S, flush_period_s)


def estimate_answer_bytes(answer: JobAnswer) -> int:
    """Return the approximate size of an answer in bytes."""
    match answer:
        case JobComplete(results=results):
            return ANSWER_OVERHEAD_BYTES + sum(map(len, results))
        case JobFailed(outcomes=outcomes):
            return ANSWER_OVERHEAD_BYTES * (1 + len(outcomes))


def run_journal(journal: JournalWorker, host: str, port: int) -> None:
    """Write the journal to the platform until killed."""
    with open_platform(host, port) as store:
        journal.run(store)


def flush_journal(journal: Mailbox) -> int | None:
    """Write all buffered answers at shutdown.

    Returns
    -------
    int or None
        The number of answers that could not be written; None if that is not
        known after `SHUTDOWN_FLUSH_TIMEOUT_S`.
    """
    replies = Mailbox(limit=1)
    journal.put(FlushAll(reply_to=replies))
    match replies.get(timeout_s=SHUTDOWN_FLUSH_TIMEOUT_S):
        case MailboxTimeout():
            return None
        case unwritten:
            return unwritten
