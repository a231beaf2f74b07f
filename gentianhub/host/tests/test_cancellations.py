"""Jobs that are cancelled at another host than the one to which they were submitted.

The answer was 410, "no such job", and the job went on: a caller's new connection may
reach any host.
"""

import json
import unittest
from unittest import mock

from gentianhub.capacity.tests.builders import build_host
from gentianhub.host.cancellations import REPLY_TIMEOUT_S, Cancellations
from gentianhub.host.tests.simulated_hosts import (
    STOP_S,
    SimulatedDeployment,
    SimulatedHost,
)

JOB = "00000000000000b1"


class CancellationTest(unittest.TestCase):
    """A job runs in one of the cells; its caller is connected to the first host."""

    def setUp(self):
        self.deployment = SimulatedDeployment()
        self.enterContext(self.deployment)
        self.front, self.other_front = self.deployment.fronts
        self.caller = self.front.submit(JOB)
        self.deployment.run(0.1)
        self.assertEqual(1, self.deployment.count_running(JOB))

    def cancel_at(self, host: SimulatedHost, job: str = JOB) -> int:
        """Return the status of the answer."""
        replies = host.cancel(job)
        self.deployment.run(0.1)
        self.assertEqual(1, len(replies))
        return replies.get().status

    def disconnect(self, host: SimulatedHost, other: SimulatedHost) -> None:
        link = self.deployment.find_link(host, other)
        for end in (host, other):
            link.close(end)

    def assert_cancelled(self) -> None:
        self.deployment.run(2 * STOP_S)
        self.assertEqual(0, self.deployment.count_running(JOB))
        answer = self.caller.get()
        self.assertEqual("cancelled", json.loads(answer.body)["state"])


class TestOpenJobs(CancellationTest):
    """Guards against an untrue "no such job"."""

    def test_a_job_is_cancelled_at_its_own_host(self):
        self.assertEqual(200, self.cancel_at(self.front))
        self.assert_cancelled()

    def test_a_job_is_cancelled_at_a_host_with_a_link_to_its_own(self):
        self.assertEqual(200, self.cancel_at(self.other_front))
        self.assert_cancelled()

    def test_a_job_is_cancelled_at_each_owner(self):
        """The very host that went on to start its tasks had answered 410."""
        for number, _ in enumerate(self.deployment.owners):
            with self.subTest(number):
                self.setUp()
                owner = self.deployment.owners[number]
                self.assertEqual(200, self.cancel_at(owner))
                self.assert_cancelled()

    def test_a_job_is_cancelled_through_the_owner_of_its_cell(self):
        """Hosts of different data centres have links only to owners."""
        self.disconnect(self.front, self.other_front)
        self.assertEqual(200, self.cancel_at(self.other_front))
        self.assert_cancelled()


class TestAskedHosts(unittest.TestCase):
    """Guards against a request to each host: an owner has links to all of them."""

    def test_owners_hosts_of_the_data_centre_and_the_front_host_are_asked(self):
        owner, neighbour, front = (
            build_host("o2", "b", data_centre="bern"),
            build_host("o3", "c", data_centre="olten"),
            build_host("f1", "d", data_centre="aarau"),
        )
        others = tuple(build_host(f"f{n}", "e", data_centre="bern") for n in range(9))
        outbox = mock.Mock()
        cancellations = Cancellations(
            local_host=build_host("o1", "a", data_centre="olten"),
            outbox=outbox,
            find_linked=lambda: (owner, neighbour, front, *others),
            find_owners=lambda: (owner,),
            find_front_host=lambda job: front,
        )
        self.assertEqual([], list(cancellations.send(JOB, None, 0.0)))
        asked = {call.args[0] for call in outbox.send.call_args_list}
        self.assertEqual({owner, neighbour, front}, asked)


class TestMissingJobs(CancellationTest):
    """Guards against a "no such job" that some host has not confirmed."""

    def test_a_job_that_is_open_nowhere_is_unknown(self):
        self.assertEqual(410, self.cancel_at(self.other_front, "00000000000000ff"))

    def test_a_job_that_has_ended_is_unknown(self):
        self.deployment.end_job(JOB)
        self.deployment.run(0.5)
        self.assertEqual(410, self.cancel_at(self.other_front))

    def test_a_host_that_does_not_answer_may_have_the_job(self):
        for owner in self.deployment.owners:
            self.deployment.find_link(self.other_front, owner).is_held = True
        self.deployment.find_link(self.other_front, self.front).is_held = True
        replies = self.other_front.cancel(JOB)
        self.deployment.run(REPLY_TIMEOUT_S - 0.2)
        self.assertEqual(0, len(replies))
        self.deployment.run(0.5)
        self.assertEqual(503, replies.get().status)

    def test_a_host_that_is_lost_meanwhile_is_not_waited_for(self):
        """Its jobs are lost with it; the caller would be asked to try again."""
        self.deployment.find_link(self.other_front, self.front).is_held = True
        replies = self.other_front.cancel("00000000000000ff")
        self.deployment.run(0.1)
        self.disconnect(self.front, self.other_front)
        self.deployment.run(REPLY_TIMEOUT_S + 0.2)
        self.assertEqual(410, replies.get().status)


if __name__ == "__main__":
    unittest.main()
