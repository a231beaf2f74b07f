"""What is said of a request that finds the dispatcher's mailbox full."""

import unittest

from gentianhub.core import JobId, JobRequest, Mailbox, RunState, draw_incarnation
from gentianhub.core.ids import ProcessName
from gentianhub.core.operations import (
    CancelOperation,
    SubmitOperation,
    perform_operation,
)

OWNER = draw_incarnation(ProcessName(data_centre="olten", process="e1"))
JOB_ID = JobId(owner=OWNER, sequence=1)
REQUEST = JobRequest(
    service="orders", tasks=(), deadline_s=1.0, idempotent=False, digest="d"
)


class FullMailboxTest(unittest.TestCase):
    """Guards against "not run" for a job that an earlier submission started."""

    def setUp(self):
        self.dispatcher = Mailbox(limit=1)
        self.dispatcher.put("another request")

    def test_only_a_new_submission_is_certainly_not_run(self):
        cases = (
            (SubmitOperation(request=REQUEST), RunState.NOT_RUN),
            (SubmitOperation(request=REQUEST, job_id=JOB_ID), RunState.UNKNOWN),
            (CancelOperation(job_id=JOB_ID), RunState.UNKNOWN),
        )
        for operation, run in cases:
            with self.subTest(type(operation).__name__):
                refusal = perform_operation(self.dispatcher, operation)
                self.assertIs(refusal.run, run)
                self.assertEqual(len(self.dispatcher), 1)
