"""What a front host keeps of callers that have left."""

import json
import unittest

from gentianhub.capacity.front import FrontJobRegistry
from gentianhub.capacity.tests.builders import build_host
from gentianhub.core import Mailbox
from gentianhub.host import messages as ms
from gentianhub.host.cancellations import Cancellations
from gentianhub.host.configuration import ConfigurationCache
from gentianhub.host.metrics import HostMetrics
from gentianhub.host.request_handler import RequestHandler
from gentianhub.host.tests.host_processes import CONFIGURATION
from gentianhub.host.tests.test_cells import FakeOutbox
from gentianhub.web import ConnectionEnd

JOB = {"spec": "text", "best_effort": True, "phases": [{"count": 1, "cpu": 1000}]}


class TestDepartedCallers(unittest.TestCase):
    def setUp(self):
        configuration = ConfigurationCache()
        configuration.adopt(json.dumps(CONFIGURATION).encode(), "store")
        self.handler = RequestHandler(
            job_registry=FrontJobRegistry(data_centre="olten", started_s=0.0),
            outbox=FakeOutbox(),
            configuration=configuration,
            metrics=HostMetrics(),
            cancellations=Cancellations(
                local_host=build_host("e1"), outbox=FakeOutbox()
            ),
        )

    def submit(self, number: int, now_s: float) -> Mailbox:
        """Submit a job; return the mailbox for the answer."""
        replies = Mailbox(limit=2)
        request = ms.CallerRequest(
            method="POST",
            host="desk.example",
            path=f"/jobs/{number:016x}",
            body=json.dumps(JOB).encode(),
            wait_s=3.0,
            reply_to=replies,
        )
        self.handler.handle_request(request, now_s)
        return replies

    def test_nothing_is_kept_of_a_submission_whose_caller_has_left(self):
        """Its entry stayed until the process ended, with its mailbox."""
        replies = self.submit(1, 0.1)
        self.assertEqual(1, len(self.handler.job_registry.jobs))
        self.handler.handle_disconnect(replies, ConnectionEnd.CLOSED, 0.2)
        self.assertEqual({}, self.handler.job_registry.jobs)
        self.assertEqual({}, self.handler._pending_requests)
        self.assertEqual(0, self.handler.memory.held_bytes)

    def test_only_jobs_that_are_not_open_are_refused_for_want_of_memory(self):
        """A second submission of an open job would be told that it does not run."""
        self.submit(1, 0.1)
        self.handler.memory.max_bytes = self.handler.memory.held_bytes
        again, other = self.submit(1, 0.2), self.submit(2, 0.2)
        self.assertEqual(0, len(again))
        refusal = other.get()
        self.assertEqual(503, refusal.status)
        self.assertEqual("1", refusal.headers["Retry-After"])
        self.assertEqual(1, len(self.handler.job_registry.jobs))


if __name__ == "__main__":
    unittest.main()
