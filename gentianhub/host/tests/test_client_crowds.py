"""Crowds of clients that break no limit of their own, against the process of a host.

The limits have the proportions of real machines, which have several times more
descriptors for each MB than those of `test_hostile_clients`, so that memory is reached
before descriptors. The module runs alone (`tools/tests.py`).
"""

import unittest

from gentianhub.host.tests.hostile_clients import (
    EndlessChunks,
    EndlessHead,
    HeldBody,
    HeldFrame,
    HeldRequest,
    ManySteps,
    ManyTasks,
    ManyValues,
    Silent,
    UnreadAnswers,
)
from gentianhub.host.tests.limited_hosts import LimitedHostTest

# Clients at once, about as many as the callers' port of the smallest machine takes.
CROWD = 1500
# Clients at once that submit jobs larger than a caller has.
JOBS = 200


class ClientCrowdsTest(LimitedHostTest):
    """Guards against a host that holds more memory for clients than it counts."""

    # The smallest machine of the deployments.
    limits = {"memory_mb": 160, "max_fds": 3075}

    def test_bodies_within_the_limit(self):
        self.connect(HeldBody(size=250_000), self.callers, CROWD)
        self.check_host()

    def test_small_bodies(self):
        self.connect(HeldBody(size=16_000), self.callers, CROWD)
        self.check_host()

    def test_chunks_within_the_limit(self):
        self.connect(EndlessChunks(chunk=8192, size=250_000), self.callers, CROWD)
        self.check_host()

    def test_heads_within_the_limit(self):
        self.connect(EndlessHead(line=900, size=60_000), self.callers, CROWD)
        self.check_host()

    def test_long_headers_of_requests_without_their_last_byte(self):
        client = HeldRequest(headers=45, header_size=1200, size=1000)
        self.connect(client, self.callers, CROWD)
        self.check_host()

    def test_short_headers_of_requests_without_their_last_byte(self):
        client = HeldRequest(headers=95, header_size=1, size=1000)
        self.connect(client, self.callers, CROWD)
        self.check_host()

    def test_answers_that_nobody_reads(self):
        client = UnreadAnswers(path="/jobs/", count=2000)
        self.connect(client, self.callers, CROWD)
        self.check_host()

    def test_input_behind_requests(self):
        """A platform may count what was received and not read as the process's."""
        client = UnreadAnswers(path="/jobs/", count=20_000)
        self.connect(client, self.callers, CROWD)
        unread_mb = self.read_unread_mb()
        self.assertLess(self.read_peak_mb() + unread_mb, self.limits["memory_mb"])
        self.check_host()

    def test_jobs_of_many_tasks(self):
        """A body of a hundred bytes asks for ten thousand tasks."""
        self.submit_jobs(ManyTasks(tasks=10_000), JOBS)
        self.check_host()

    def test_jobs_of_many_steps(self):
        self.submit_jobs(ManySteps(steps=5000), JOBS)
        self.check_host()

    def test_jobs_of_as_many_tasks_as_callers_have(self):
        self.submit_jobs(ManyTasks(tasks=170), CROWD)
        self.check_host()

    def test_jobs_with_many_values(self):
        self.submit_jobs(ManyValues(size=200_000), JOBS)
        self.check_host()

    def test_frames_of_strangers_on_the_link_port(self):
        """A link was free to send 32 MiB before anything was decoded."""
        self.connect(HeldFrame(size=30 * 2**20), self.links, 20)
        self.check_host()

    def test_crowds_that_follow_one_another(self):
        for client in (
            HeldBody(size=250_000),
            EndlessHead(line=900, size=60_000),
            HeldBody(size=16_000),
            HeldBody(size=4000),
            Silent(),
        ):
            self.connect(client, self.callers, CROWD)
        self.check_host()


class LargeHostCrowdsTest(LimitedHostTest):
    """The same for a machine with more memory and more descriptors."""

    limits = {"memory_mb": 552, "max_fds": 8192}

    def test_bodies_within_the_limit(self):
        self.connect(HeldBody(size=250_000), self.callers, 2 * CROWD)
        self.check_host()


if __name__ == "__main__":
    unittest.main()
