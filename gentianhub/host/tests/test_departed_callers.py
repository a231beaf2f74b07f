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

    def test_nothing_is_kept_of_a_submission_whose_caller_has_left(self):
        """Its entry stayed until the process ended, with its mailbox."""
        replies = Mailbox(limit=2)
        request = ms.CallerRequest(
            method="POST",
            host="desk.example",
            path=f"/jobs/{1:016x}",
            body=json.dumps(JOB).encode(),
            wait_s=3.0,
            reply_to=replies,
        )
        self.handler.handle_request(request, 0.1)
        self.assertEqual(1, len(self.handler.job_registry.jobs))
        self.handler.handle_disconnect(replies, ConnectionEnd.CLOSED, 0.2)
        self.assertEqual({}, self.handler.job_registry.jobs)
        self.assertEqual({}, self.handler._pending_requests)


if __name__ == "__main__":
    unittest.main()
