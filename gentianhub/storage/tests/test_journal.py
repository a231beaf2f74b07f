"""Writing of finished answers to the journal, and lookups in it."""

import unittest

from gentianhub.core import (
    Complete,
    Incarnation,
    JobComplete,
    JobFailed,
    JobId,
    NotRun,
    ProcessName,
    Refusal,
    RefusalKind,
    RunState,
    Step,
    Unknown,
)
from gentianhub.storage import journal as journal_module
from gentianhub.storage.journal import JournalWorker
from gentianhub.storage.lookups import LookupWorker
from gentianhub.storage.tests.fake_store import FakeStore, Fault

OWNER = Incarnation(name=ProcessName(data_centre="olten", process="e1"), token="0" * 16)
COMPLETE = JobComplete(results=(b"\xff\x00", b""))
FAILED = JobFailed(
    outcomes=(
        Complete(result=b"x", run_s=0.1),
        NotRun(step=Step.WAIT_FOR_SLOT, peer="p", reason="r"),
        Unknown(step=Step.AWAIT_REPLY, peer="t1", reason="r"),
    )
)


def build_job_id(sequence: int) -> JobId:
    return JobId(owner=OWNER, sequence=sequence)


def look_up(store: FakeStore, sequence: int):
    return LookupWorker(read_interval_s=0).look_up(store, build_job_id(sequence))


class JournalTest(unittest.TestCase):
    """Guards against lost or invented answers and unbounded memory or writes."""

    def setUp(self):
        self.store = FakeStore()
        self.journal = JournalWorker(owner=OWNER)

    def test_answers_are_found_after_faults_in_every_request(self):
        for sequence, answer in ((1, COMPLETE), (3, FAILED)):
            self.journal.add_answer(build_job_id(sequence), answer)
        for fault in Fault:
            for position in range(4):
                self.store.faults = [Fault.NONE] * position + [fault]
                self.journal.flush_batch(self.store)
        self.store.faults = []
        self.assertEqual(self.journal.flush_all(self.store), 0)
        self.assertEqual(look_up(self.store, 1), COMPLETE)
        self.assertEqual(look_up(self.store, 3), FAILED)
        self.assertEqual(len(self.store.objects), 1)

    def test_job_without_a_finished_answer_stays_unknown(self):
        self.journal.add_answer(build_job_id(1), COMPLETE)
        self.journal.add_answer(build_job_id(3), COMPLETE)
        self.journal.flush_all(self.store)
        reply = look_up(self.store, 2)
        self.assertEqual((reply.kind, reply.run), (RefusalKind.GONE, RunState.UNKNOWN))
        self.store.faults = [Fault.FAILED]
        reply = look_up(self.store, 1)
        self.assertIsInstance(reply, Refusal)
        self.assertEqual(reply.kind, RefusalKind.UNAVAILABLE)
        self.assertEqual(reply.run, RunState.UNKNOWN)

    def test_memory_and_batches_are_bounded_while_the_store_is_down(self):
        answer = JobComplete(results=(b"x" * 1024 * 1024,))
        for sequence in range(1, 101):
            self.journal.add_answer(build_job_id(sequence), answer)
        limit = journal_module.MAX_PENDING_BYTES
        self.assertLessEqual(self.journal.pending_bytes, limit)
        self.assertEqual(self.journal.dropped_answers + len(self.journal.pending), 100)
        kept = len(self.journal.pending)
        self.store.faults = [Fault.FAILED] * 100
        self.assertEqual(self.journal.flush_all(self.store), kept)
        self.store.faults = []
        self.assertEqual(self.journal.flush_all(self.store), 0)
        self.assertEqual(self.journal.pending_bytes, 0)
        largest = max(map(len, self.store.objects.values()))
        self.assertLess(largest, 2 * journal_module.MAX_BATCH_BYTES)

    def test_all_journals_together_stay_within_the_write_budget(self):
        for processes in (1, 200, 20_000):
            self.store.entry_processes = processes
            self.store.writes = 0
            self.journal.add_answer(build_job_id(processes), COMPLETE)
            self.journal.flush_batch(self.store)
            writes_per_s = processes * self.store.writes / self.journal.flush_period_s
            self.assertLessEqual(writes_per_s, 200)
