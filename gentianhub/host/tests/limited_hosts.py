"""Checks of a host's process against the limits of its machine."""

from pathlib import Path

import gevent
import psutil

from gentianhub.host.callers import METRICS_PORT
from gentianhub.host.tests.host_processes import HostProcessesTest
from gentianhub.host.tests.hostile_clients import Outcome, open_clients, run_client

MIB = 2**20
# Time for a host to read what was sent, or to notice that clients have left, s. No
# check depends on what is done within it.
OPEN_S = 3.0
# State of a listening socket, whose receive queue counts connections.
LISTENING = "0A"


class LimitedHostTest(HostProcessesTest):
    """One host, whose `limits` are at least `memory_mb` and `max_fds`."""

    def setUp(self):
        super().setUp()
        self.host = psutil.Process(self.processes[0].pid)

    def address_of(self, port: int) -> tuple[str, int]:
        return self.addresses[0], port

    def connect(self, client, port: int, count: int) -> None:
        """Connect clients that stay until the end of the test."""
        for sock in open_clients(client, self.address_of(port), count):
            self.addCleanup(sock.close)

    def submit_jobs(self, client, count: int) -> None:
        """Connect clients that submit jobs, and end them all after a while."""
        sockets = open_clients(client, self.address_of(self.callers), count)
        gevent.sleep(OPEN_S)
        for sock in sockets:
            sock.close()
        gevent.sleep(OPEN_S)

    def run_client(self, client, port: int) -> Outcome:
        return run_client(client, self.address_of(port))

    def read_peak_mb(self) -> float:
        """Return the largest resident memory that the process has ever had, MB."""
        status = Path(f"/proc/{self.host.pid}/status").read_text()
        (line,) = (line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) / 1024

    def read_unread_mb(self) -> float:
        """Return what the kernel holds that the process has not read, MB.

        The fields of a row are described in proc(5), `/proc/net/tcp`.
        """
        local = self.addresses[0].split(".")
        prefix = "".join(f"{int(part):02X}" for part in reversed(local))
        rows = Path("/proc/net/tcp").read_text().splitlines()[1:]
        fields = (row.split() for row in rows)
        return (
            sum(
                int(queues.partition(":")[2], 16)
                for _, address, _, state, queues, *_ in fields
                if address.startswith(prefix) and state != LISTENING
            )
            / MIB
        )

    def check_host(self) -> None:
        """The process lives within its limits, and answers on each of its ports."""
        self.assertIsNone(self.processes[0].poll(), "the process has ended")
        self.assertLess(self.read_peak_mb(), self.limits["memory_mb"])
        self.assertLess(self.host.num_fds(), self.limits["max_fds"])
        self.assertEqual(200, self.submit(1))
        host = self.addresses[0]
        self.assertEqual(200, self.call(host, self.ready, "GET", "/"))
        self.assertEqual(200, self.call(host, METRICS_PORT, "GET", "/metrics"))
