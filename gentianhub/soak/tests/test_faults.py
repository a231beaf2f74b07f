"""What the fault injector records about the hosts that it restarts."""

import signal
import struct
import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

import gevent

from gentianhub.soak import faults
from gentianhub.soak.plan import (
    CutHost,
    DisconnectCallers,
    DisconnectHost,
    KillHost,
    PlannedFault,
    SuspendHost,
    ThrottleHost,
)
from gentianhub.soak.testbed import SoakTestbed


class SlowHosts:
    """Stand-in for `SoakTestbed` whose host listens some time after its start."""

    def __init__(self):
        self.hosts = {"e1": None}
        self.processes = {"e1": mock.Mock(**{"poll.return_value": None})}
        self.has_started = False

    def stop(self, name, signal_number) -> None:
        pass

    def start(self, name) -> None:
        pass

    def is_listening(self, name) -> bool:
        return self.has_started


class TestHostStart(unittest.TestCase):
    """Guards against hosts that are blamed for refused connections as they start.

    Seeds 901 and 906 on a busy machine: connections were refused 1.5 to 2.6 s after the
    restart, before the host had logged that it has started.
    """

    def setUp(self):
        self.testbed = SlowHosts()
        self.injector = faults.FaultInjector(testbed=self.testbed)
        planned = PlannedFault(
            start_s=0.0, fault_duration_s=0.01, fault=KillHost(host="e1")
        )
        self.injector.run_fault(planned)
        gevent.sleep(0.02)

    def is_excused(self) -> bool:
        now_s = time.monotonic()
        return bool(self.injector.find_intervals(["e1"], now_s, now_s))

    def test_a_host_is_excused_until_it_listens(self):
        self.assertTrue(self.is_excused())
        self.testbed.has_started = True
        gevent.sleep(2 * faults.LISTEN_CHECK_INTERVAL_S)
        self.assertFalse(self.is_excused())

    def test_a_host_that_has_ended_is_not_excused(self):
        """A process that ends by itself has to be reported."""
        self.testbed.processes["e1"].poll.return_value = 70
        gevent.sleep(2 * faults.LISTEN_CHECK_INTERVAL_S)
        self.assertFalse(self.is_excused())


class TestDepartures(unittest.TestCase):
    """Guards against withdrawals that arrive because the link outlasts the caller."""

    def setUp(self):
        self.relays = mock.Mock()
        testbed = mock.Mock(
            hosts=("e1", "e2"),
            caller_relays={"e1": self.relays.callers, "e2": mock.Mock()},
            sibling_relays={("e2", "e1"): self.relays.link},
        )
        self.injector = faults.FaultInjector(testbed=testbed)

    def run_fault(self, fault) -> list:
        planned = PlannedFault(start_s=0.0, fault_duration_s=0.01, fault=fault)
        self.injector.run_fault(planned)
        return self.relays.mock_calls

    def test_links_are_closed_before_the_connections_of_callers(self):
        calls = [mock.call.link.reset_connections()]
        calls += [mock.call.callers.reset_connections()]
        self.assertEqual(calls, self.run_fault(DisconnectHost(host="e1")))

    def test_cut_links_are_restored(self):
        calls = [mock.call.link.cut_link(), mock.call.callers.reset_connections()]
        calls += [mock.call.link.restore_link()]
        self.assertEqual(calls, self.run_fault(CutHost(host="e1")))

    def test_callers_can_leave_while_links_stay_open(self):
        calls = [mock.call.callers.reset_connections()]
        self.assertEqual(calls, self.run_fault(DisconnectCallers(host="e1")))


class TestHeldHosts(unittest.TestCase):
    """Guards against hosts that run on while they count as suspended or throttled."""

    def setUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.suspensions = Path(folder) / "e1.suspensions"
        self.signals = []
        self.testbed = SoakTestbed(hosts={}, target_plans={}, folder=Path(folder))
        self.testbed.processes["e1"] = mock.Mock(send_signal=self.record_signal)

    def record_signal(self, number: signal.Signals) -> None:
        suspended_s = 0.0
        if self.suspensions.exists():
            (suspended_s,) = struct.unpack("d", self.suspensions.read_bytes())
        self.signals.append((number, suspended_s))

    def run_fault(self, fault, fault_duration_s: float) -> list:
        injector = faults.FaultInjector(testbed=self.testbed)
        planned = PlannedFault(
            start_s=0.0, fault_duration_s=fault_duration_s, fault=fault
        )
        injector.run_fault(planned)
        self.assertEqual(["e1"], [interval.subject for interval in injector.intervals])
        return self.signals

    def test_a_suspension_is_left_out_before_the_host_runs_again(self):
        """Its first reading of the steady clock would count the suspension."""
        (stop, stop_s), (resume, resume_s) = self.run_fault(SuspendHost(host="e1"), 0.1)
        self.assertEqual((signal.SIGSTOP, signal.SIGCONT), (stop, resume))
        self.assertEqual(0.0, stop_s)
        self.assertGreaterEqual(resume_s, 0.1)
        self.assertEqual(set(), self.testbed.suspended_hosts)

    def test_a_quota_stops_a_host_in_each_period(self):
        found = self.run_fault(ThrottleHost(host="e1", running_s=0.03), 0.35)
        numbers = [number for number, _ in found]
        self.assertGreaterEqual(numbers.count(signal.SIGSTOP), 2)
        self.assertEqual(signal.SIGCONT, numbers[-1])
        self.assertFalse(self.suspensions.exists())


if __name__ == "__main__":
    unittest.main()
