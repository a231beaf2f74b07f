"""Refusals of requests while the dispatcher's mailbox is full."""

import unittest

from gentianhub.core import JobId, JobRequest, Mailbox, RunState, create_incarnation
from gentianhub.core.ids import ProcessName
from gentianhub.core.operations import (
    CancelOperation,
    SubmitOperation,
    perform_operation,
)

OWNER = create_incarnation(ProcessName(data_centre="olten", process="e1"))
JOB_ID = JobId(owner=OWNER, sequence=1)
REQUEST = JobRequest(
    service="orders", tasks=(), deadline_s=1.0, idempotent=False, digest="d"
)


class FullMailboxTest(unittest.TestCase):
    """Guards against reporting "not run" for a job that may have started.

    A request that names a job id can follow an earlier submission that was accepted.
    """

    def setUp(self):
        self.dispatcher = Mailbox(limit=1)
        self.dispatcher.put("another request")

    def test_only_a_submission_without_an_id_is_reported_not_run(self):
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
