"""Claims of idempotency keys under conflicts, lost replies and outages."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from gentianhub.core import (
    Incarnation,
    JobId,
    JobRequest,
    Mailbox,
    ProcessName,
    Refusal,
    RefusalKind,
    RunState,
)
from gentianhub.decisions import IdBlock
from gentianhub.storage.claims import (
    CLAIM_PREFIX,
    CLAIM_TIMEOUT_S,
    ClaimKey,
    ClaimWorker,
    KeyClaimed,
    claim_key,
    submit_with_key,
)
from gentianhub.storage.tests.fake_store import FakeStore, Fault

OWNERS = [
    Incarnation(name=ProcessName(data_centre="olten", process=name), token="0" * 16)
    for name in ("e1", "e2")
]


def build_claims(owner, keys, first=1, requested_s=0.0):
    return [
        ClaimKey(
            key=key,
            job_id=JobId(owner=owner, sequence=first + index),
            digest=str(owner),
            requested_s=requested_s,
            reply_to=Mailbox(limit=1),
        )
        for index, key in enumerate(keys)
    ]


KEYS = st.lists(st.sampled_from("abcde"), min_size=1, max_size=6)


class ClaimTest(unittest.TestCase):
    """Guards against two jobs for one key and a job without a certain claim."""

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(
        keys=KEYS,
        rival_keys=KEYS,
        faults=st.lists(st.sampled_from(Fault), max_size=8),
    )
    def test_each_key_has_one_job_for_everyone(self, keys, rival_keys, faults):
        store = FakeStore(faults=list(faults))
        claims = build_claims(OWNERS[0], keys)
        rivals = build_claims(OWNERS[1], rival_keys)
        worker = ClaimWorker(now_s=lambda: 0.0)
        store.before_write = lambda: worker.settle_batch(store, rivals)
        worker.settle_batch(store, claims)
        store.faults = []
        store.land_late_writes()
        for claim in claims + rivals:
            match claim.reply_to.get(timeout_s=0):
                case KeyClaimed(job_id=job_id):
                    row = store.rows[CLAIM_PREFIX + claim.key][1]
                    self.assertEqual(row["job"], str(job_id))
                case Refusal(kind=kind, run=run):
                    self.assertTrue(faults)
                    self.assertIs(kind, RefusalKind.UNAVAILABLE)
                    self.assertIs(run, RunState.NOT_RUN)

    def test_lost_reply_is_resolved_by_reading_back(self):
        store = FakeStore(faults=[Fault.LOST])
        claims = build_claims(OWNERS[0], "ab")
        ClaimWorker(now_s=lambda: 0.0).settle_batch(store, claims)
        for claim in claims:
            self.assertEqual(claim.reply_to.get(timeout_s=0).job_id, claim.job_id)
        self.assertEqual((store.writes, store.reads), (1, 1))

    def test_slow_store_is_abandoned_at_the_timeout(self):
        now = [0.0]

        def advance_clock():
            now[0] += 0.6 * CLAIM_TIMEOUT_S

        store = FakeStore(
            faults=[Fault.FAILED, Fault.NONE, Fault.FAILED], on_request=advance_clock
        )
        (claim,) = build_claims(OWNERS[0], "a")
        ClaimWorker(now_s=lambda: now[0]).settle_batch(store, [claim])
        self.assertIsInstance(claim.reply_to.get(timeout_s=0), Refusal)
        self.assertEqual((store.writes, store.reads), (2, 1))

    def test_retries_against_a_failing_store_are_bounded(self):
        store = FakeStore(faults=[Fault.FAILED, Fault.NONE] * 50)
        (claim,) = build_claims(OWNERS[0], "a")
        ClaimWorker(now_s=lambda: 0.0).settle_batch(store, [claim])
        self.assertIsInstance(claim.reply_to.get(timeout_s=0), Refusal)
        self.assertLessEqual(store.writes, 3)

    def test_expired_claim_is_not_written(self):
        store = FakeStore()
        old = build_claims(OWNERS[0], "a", requested_s=0.0)
        new = build_claims(OWNERS[0], "b", requested_s=1.5 * CLAIM_TIMEOUT_S)
        worker = ClaimWorker(now_s=lambda: 1.5 * CLAIM_TIMEOUT_S)
        worker.settle_batch(store, old + new)
        self.assertIsInstance(old[0].reply_to.get(timeout_s=0), Refusal)
        self.assertEqual(list(store.rows), [CLAIM_PREFIX + "b"])

    def test_nothing_is_submitted_without_a_certain_claim(self):
        submitted = []

        def perform(operation):
            submitted.append(operation)
            return IdBlock(owner=OWNERS[0], first=1, count=1)

        request = JobRequest(
            service="s", tasks=(), deadline_s=1.0, idempotent=False, digest="d"
        )
        full = Mailbox(limit=1)
        full.put(None)
        reply = submit_with_key("k", request, claims=full, perform=perform)
        self.assertIs(reply.run, RunState.NOT_RUN)
        # No greenlet takes from this mailbox, as if the store hung.
        hanging = Mailbox(limit=1)
        reply = claim_key(hanging, "k", JobId(owner=OWNERS[0], sequence=1), "d")
        self.assertIs(reply.run, RunState.NOT_RUN)
        self.assertEqual(len(submitted), 1, "only the issue of an id")
