"""The audit finds each kind of broken promise."""

import unittest

from gentianhub.client import JobComplete, JobFailed, Refusal
from gentianhub.core import Complete, NotRun, RefusalKind, Step
from gentianhub.fault_run.audit import JobTrace, StartLine, audit_run

STARTED = [StartLine(task="a/0", marker="m/0"), StartLine(task="a/1", marker="m/1")]
BODIES = (b"0", b"1")
NOT_RUN = NotRun(step=Step.WAIT_FOR_SLOT, peer="e1", reason="cancelled")
RAN = Complete(result=b"", run_s=0.1)
REFUSED = Refusal(
    kind=RefusalKind.UNAVAILABLE, step=Step.DRAIN, peer="e1", reason="draining"
)


def audit_answer(answer, starts=STARTED) -> set[str]:
    trace = JobTrace(marker="m", bodies=BODIES, idempotent=False, answers=[answer])
    return {violation.promise for violation in audit_run([trace], starts)}


class AuditTest(unittest.TestCase):
    """Guards against a run that passes because its audit sees nothing."""

    def test_kept_promises_give_no_violation(self):
        self.assertEqual(audit_answer(JobComplete(results=BODIES)), set())
        self.assertEqual(audit_answer(JobFailed(outcomes=(RAN, RAN))), set())
        self.assertEqual(audit_answer(REFUSED, starts=[]), set())

    def test_each_broken_promise_is_found(self):
        doubled = [*STARTED, StartLine(task="a/0", marker="m/0")]
        cases = (
            ("a task starts at most once", JobComplete(results=BODIES), doubled),
            ("a non-idempotent job runs at most once", REFUSED, doubled),
            ("an answer is whole and its own", JobComplete(results=(b"0",)), STARTED),
            ("a complete job ran whole", JobComplete(results=BODIES), STARTED[:1]),
            ("a failure covers every task", JobFailed(outcomes=(RAN,)), STARTED),
            ("not run is true", JobFailed(outcomes=(RAN, NOT_RUN)), STARTED),
            ("not run is true", REFUSED, STARTED),
        )
        for promise, answer, starts in cases:
            with self.subTest(promise):
                self.assertIn(promise, audit_answer(answer, starts))

    def test_a_caller_without_an_answer_is_found(self):
        trace = JobTrace(marker="m", bodies=BODIES, idempotent=False)
        (violation,) = audit_run([trace], STARTED)
        self.assertEqual(violation.promise, "each caller is answered")
