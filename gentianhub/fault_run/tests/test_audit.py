"""The audit reports each kind of violation."""

import unittest

from gentianhub.client import JobComplete, JobFailed, Refusal
from gentianhub.core import Complete, NotRun, RefusalKind, Step
from gentianhub.fault_run.audit import JobTrace, StartRecord, audit_run

STARTED = [StartRecord(task="a/0", marker="m/0"), StartRecord(task="a/1", marker="m/1")]
BODIES = (b"0", b"1")
NOT_RUN = NotRun(step=Step.WAIT_FOR_SLOT, peer="e1", reason="cancelled")
RAN = Complete(result=b"", run_s=0.1)
REFUSED = Refusal(
    kind=RefusalKind.UNAVAILABLE, step=Step.DRAIN, peer="e1", reason="draining"
)


def audit_answer(answer, starts=STARTED) -> set[str]:
    trace = JobTrace(marker="m", bodies=BODIES, idempotent=False, answers=[answer])
    return {violation.guarantee for violation in audit_run([trace], starts)}


class AuditTest(unittest.TestCase):
    """Guards against a run that passes because its audit misses violations."""

    def test_a_correct_job_has_no_violation(self):
        self.assertEqual(audit_answer(JobComplete(results=BODIES)), set())
        self.assertEqual(audit_answer(JobFailed(outcomes=(RAN, RAN))), set())
        self.assertEqual(audit_answer(REFUSED, starts=[]), set())

    def test_each_violated_guarantee_is_reported(self):
        doubled = [*STARTED, StartRecord(task="a/0", marker="m/0")]
        cases = (
            ("a task starts at most once", JobComplete(results=BODIES), doubled),
            ("a non-idempotent job runs at most once", REFUSED, doubled),
            ("an answer is whole and its own", JobComplete(results=(b"0",)), STARTED),
            ("a complete job ran whole", JobComplete(results=BODIES), STARTED[:1]),
            ("a failure covers every task", JobFailed(outcomes=(RAN,)), STARTED),
            ("not run is true", JobFailed(outcomes=(RAN, NOT_RUN)), STARTED),
            ("not run is true", REFUSED, STARTED),
        )
        for guarantee, answer, starts in cases:
            with self.subTest(guarantee):
                self.assertIn(guarantee, audit_answer(answer, starts))

    def test_a_caller_without_an_answer_is_reported(self):
        trace = JobTrace(marker="m", bodies=BODIES, idempotent=False)
        (violation,) = audit_run([trace], STARTED)
        self.assertEqual(violation.guarantee, "each caller is answered")
