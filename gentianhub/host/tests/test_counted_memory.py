"""Memory that a host counts for its clients, against the memory that it holds."""

import re
import unittest

import gevent

from gentianhub.host.callers import METRICS_PORT
from gentianhub.host.client_limits import CLIENT_SHARE
from gentianhub.host.tests.hostile_clients import (
    EndlessChunks,
    EndlessHead,
    HeldBody,
    HeldRequest,
    Silent,
)
from gentianhub.host.tests.limited_hosts import LimitedHostTest

COUNTED_PATTERN = re.compile(r"^gentianhub_host_client_bytes (\S+)$", re.MULTILINE)
CLIENTS = (
    Silent(),
    HeldBody(size=10),
    HeldBody(size=4000),
    HeldBody(size=16_000),
    HeldBody(size=100_000),
    EndlessChunks(chunk=8192, size=100_000),
    EndlessHead(line=900, size=8000),
    EndlessHead(line=900, size=60_000),
    EndlessHead(line=60_000, size=59_000),
    HeldRequest(headers=45, header_size=1200, size=10),
    HeldRequest(headers=95, header_size=1, size=10),
    HeldRequest(headers=95, header_size=600, size=10),
)
# All of them together are fewer than the callers' port takes.
COUNT = 150


class CountedMemoryTest(LimitedHostTest):
    """Guards against a budget that is kept by the count and not by the memory."""

    # No request of these clients ends for another.
    limits = {"memory_mb": 2048, "max_fds": 8192}

    def read_counted_mb(self) -> float:
        text = self.fetch(self.addresses[0], METRICS_PORT, "/metrics")
        return float(COUNTED_PATTERN.search(text)[1]) / 2**20

    def read_held_mb(self) -> float:
        return self.host.memory_info().rss / 2**20

    def test_held_memory_is_counted(self):
        """The allocator may take the part of the memory that clients may not fill."""
        self.read_counted_mb()
        for client in CLIENTS:
            with self.subTest(client):
                counted_mb, held_mb = self.read_counted_mb(), self.read_held_mb()
                self.connect(client, self.callers, COUNT)
                # Until the host has read what was sent.
                gevent.sleep(1.0)
                counted_mb = self.read_counted_mb() - counted_mb
                held_mb = self.read_held_mb() - held_mb
                self.assertLess(held_mb, counted_mb / CLIENT_SHARE)


if __name__ == "__main__":
    unittest.main()
