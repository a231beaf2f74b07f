"""The audit reports each kind of violation, and none in a correct run."""

import unittest

from gentianhub.soak.audit import audit_jobs, audit_recovery
from gentianhub.soak.callers import RESEND_DELAY_S, Attempt, JobTrace
from gentianhub.stand_ins.users_platform import RESTARTED, RunRecord


def build_attempt(status=200, state="completed", **options) -> Attempt:
    values = {"host": "e1", "sent_s": 0.0, "ended_s": 0.5}
    return Attempt(status=status, state=state, **values | options)


def build_trace(*attempts: Attempt, tasks: int = 1) -> JobTrace:
    return JobTrace(job_id="a", tasks=tasks, attempts=list(attempts))


def build_run(index=0, run=1, started_s=0.1, ended_s=0.2, outcome="done") -> RunRecord:
    return RunRecord(
        task=f"a.0.0.{index}",
        run=run,
        started_s=started_s,
        ended_s=ended_s,
        outcome=outcome,
    )


def find_guarantees(trace: JobTrace, *runs: RunRecord) -> list[str]:
    return [v.guarantee for v in audit_jobs([trace], runs, find_end_s)]


def find_end_s(attempt: Attempt) -> float:
    return attempt.ended_s


class TestJobs(unittest.TestCase):
    """Guards against an audit that misses or invents violations of a job."""

    def test_a_correct_job_has_no_violation(self):
        self.assertEqual([], find_guarantees(build_trace(build_attempt()), build_run()))

    def test_overlapping_runs_of_a_task_are_reported(self):
        runs = (
            build_run(outcome="lapsed"),
            build_run(run=2, started_s=0.19, ended_s=0.3),
        )
        guarantees = find_guarantees(build_trace(build_attempt()), *runs)
        self.assertEqual(["one run of a task at a time"], guarantees)

    def test_a_second_run_after_the_first_is_allowed(self):
        runs = (
            build_run(outcome="lapsed"),
            build_run(run=2, started_s=0.21, ended_s=0.3),
        )
        self.assertEqual([], find_guarantees(build_trace(build_attempt()), *runs))

    def test_a_refused_job_that_ran_is_reported(self):
        trace = build_trace(build_attempt(503, ""))
        self.assertEqual(["a refusal has not run"], find_guarantees(trace, build_run()))

    def test_an_answer_without_every_task_is_reported(self):
        trace = build_trace(build_attempt(), tasks=2)
        self.assertEqual(["an answer is whole"], find_guarantees(trace, build_run()))

    def test_a_task_that_crashes_many_targets_is_reported(self):
        trace = build_trace(build_attempt(504, ""))
        trace.is_crashing = True
        runs = [
            build_run(run=n, started_s=n / 10, ended_s=n / 10, outcome="crashed")
            for n in range(1, 7)
        ]
        self.assertEqual([], find_guarantees(trace, *runs[:5]))
        self.assertEqual(["a task crashes few targets"], find_guarantees(trace, *runs))

    def test_a_job_that_failed_for_another_one_is_reported(self):
        """Its task has run beside one that crashed their targets."""
        trace = build_trace(build_attempt(state="failed"))
        runs = [
            build_run(run=n, started_s=n, ended_s=n, outcome="crashed") for n in (1, 2)
        ]
        self.assertIn("a failed job has a cause", find_guarantees(trace, *runs))
        trace.is_crashing = True
        self.assertNotIn("a failed job has a cause", find_guarantees(trace, *runs))

    def test_a_task_that_was_on_two_targets_while_they_restarted_may_be_their_cause(
        self,
    ):
        """Guards against false reports: a host can't tell an outer cause of crashes.

        Seed 5000: a task alone on a target that restarted twice within 0.4 s.
        """
        trace = build_trace(build_attempt(state="failed"))
        runs = [
            build_run(run=n, started_s=n, ended_s=n, outcome=RESTARTED) for n in (1, 2)
        ]
        self.assertNotIn("a failed job has a cause", find_guarantees(trace, *runs))
        self.assertIn("a failed job has a cause", find_guarantees(trace, runs[0]))

    def test_a_run_that_outlives_its_caller_is_reported(self):
        trace = build_trace(build_attempt(0, ""))
        run = build_run(ended_s=0.5 + RESEND_DELAY_S + 0.5, outcome="lapsed")
        self.assertEqual(["no run without a caller"], find_guarantees(trace, run))

    def test_a_paused_host_may_start_runs_when_it_resumes(self):
        """Guards against false reports for paused hosts.

        Seed 201: runs of 5 ms, 3.3 s after the caller disconnected from a paused host.
        """
        trace = build_trace(build_attempt(0, "", has_disconnected=True))
        run = build_run(started_s=3.8, ended_s=3.81, outcome="stopped")
        for resumed_s, found in ((0.5, 1), (3.7, 0)):
            violations = audit_jobs([trace], [run], lambda attempt, at=resumed_s: at)
            self.assertEqual(found, len(list(violations)))


class TestRecovery(unittest.TestCase):
    """Guards against an audit that passes a system that does not recover."""

    def test_jobs_refused_after_the_faults_are_reported(self):
        traces = [build_trace(build_attempt(503, "", sent_s=10.0))]
        self.assertEqual(1, len(list(audit_recovery(traces, 9.0, 0.95))))

    def test_a_fault_free_period_without_jobs_is_reported(self):
        self.assertEqual(1, len(list(audit_recovery([], 9.0, 0.95))))
