"""Injects faults into a testbed and reverts them."""

import signal
import time
from collections.abc import Iterable, Iterator
from contextlib import contextmanager

import gevent
from gevent import subprocess

from gentianhub.core.records import define, field, frozen
from gentianhub.soak import plan as faults
from gentianhub.soak.callers import Attempt
from gentianhub.soak.testbed import SoakTestbed
from gentianhub.stand_ins.relay import Delayed, OneWay, Relay
from gentianhub.stand_ins.users_platform import RESTARTED

# Subjects of faults other than hosts and targets.
STORE = "store"
OPERATOR = "operator"
LOSS_PROBABILITY = 0.3
RESTART_PAUSE_S = 0.5
# Time after which a host with a processor quota may run again.
QUOTA_PERIOD_S = 0.1
# Time for restarted hosts to learn the list of targets from others, and for all hosts
# to read the incomplete one. An owner uses missing targets for 2.5 s.
START_PAUSE_S = 1.5
LIST_PAUSE_S = 1.2
# Time until the next life of a target serves; connections wait meanwhile.
START_UP_S = 0.05
# Longest time that a host may take to start, and the interval of checks for it.
START_TIMEOUT_S = 20.0
LISTEN_CHECK_INTERVAL_S = 0.05


@define(kw_only=True, eq=False)
class FaultInterval:
    """Time during which a fault affected its subject, on the monotonic clock."""

    subject: str
    kind: str
    started_s: float
    ended_s: float = float("inf")


@frozen(kw_only=True)
class LeavingPeriod:
    """Time during which the row of a target said that it is leaving."""

    target: str
    started_s: float
    ended_s: float


@define(kw_only=True, eq=False)
class FaultInjector:
    """Injects faults, one greenlet each; at most one fault per subject at a time."""

    testbed: SoakTestbed
    intervals: list[FaultInterval] = field(factory=list)
    leaving_periods: list[LeavingPeriod] = field(factory=list)
    _active_subjects: set[str] = field(factory=set)

    def run_fault(self, planned: faults.PlannedFault) -> None:
        """Apply a fault, wait for its duration and revert it.

        A fault is skipped if another one affects any of its subjects.
        """
        subjects = find_subjects(planned.fault, self.testbed)
        if self._active_subjects & subjects:
            return
        self._active_subjects |= subjects
        kind = type(planned.fault).__name__
        intervals = [
            FaultInterval(subject=subject, kind=kind, started_s=time.monotonic())
            for subject in sorted(subjects)
        ]
        self.intervals += intervals
        try:
            with self._apply(planned.fault):
                gevent.sleep(planned.fault_duration_s)
        finally:
            for interval in intervals:
                interval.ended_s = time.monotonic()
            self._active_subjects -= subjects

    def find_intervals(
        self, subjects: Iterable[str], from_s: float, to_s: float
    ) -> list[FaultInterval]:
        """Return the faults that affected one of the subjects in a time interval."""
        wanted = set(subjects)
        return [
            interval
            for interval in self.intervals
            if interval.subject in wanted
            and interval.started_s <= to_s
            and interval.ended_s >= from_s
        ]

    def find_known_end_s(self, attempt: Attempt) -> float:
        """Return the earliest time at which the host could detect an attempt's end.

        A paused host still reads the request of a disconnected caller when it resumes,
        and stops the runs that it started a few milliseconds later.
        """
        overlapping = self.find_intervals(
            [attempt.host], attempt.sent_s, attempt.ended_s
        )
        return max([attempt.ended_s, *(interval.ended_s for interval in overlapping)])

    @contextmanager
    def _apply(self, fault: faults.Fault) -> Iterator[None]:
        testbed = self.testbed
        match fault:
            case faults.KillHost(host=host):
                with self._stopped([host], signal.SIGKILL):
                    yield
            case faults.KillAllHosts():
                with self._stopped(list(testbed.hosts), signal.SIGKILL):
                    yield
            case faults.DrainHost(host=host):
                with self._stopped([host], signal.SIGTERM):
                    yield
            case faults.DrainHostsInTurn():
                for host in testbed.hosts:
                    with self._stopped([host], signal.SIGTERM):
                        gevent.sleep(RESTART_PAUSE_S)
                    gevent.sleep(RESTART_PAUSE_S)
                yield
            case faults.LapseTargets():
                with self._lapsed_targets(fault):
                    yield
            case faults.PauseHost(host=host):
                testbed.processes[host].send_signal(signal.SIGSTOP)
                yield
                testbed.processes[host].send_signal(signal.SIGCONT)
            case faults.SuspendHost(host=host):
                with testbed.suspended(host):
                    yield
            case faults.ThrottleHost(host=host, running_s=running_s):
                with _throttled(testbed.processes[host], running_s):
                    yield
            case faults.SilenceHost(host=host):
                with _stalled(self._find_sibling_relays(host)):
                    yield
            case faults.ResetHost(host=host):
                for relay in self._find_sibling_relays(host):
                    relay.reset_connections()
                yield
            case faults.DisconnectHost(host=host):
                for relay in self._find_sibling_relays(host):
                    relay.reset_connections()
                testbed.caller_relays[host].reset_connections()
                yield
            case faults.DisconnectCallers(host=host):
                testbed.caller_relays[host].reset_connections()
                yield
            case faults.CutHost(host=host):
                with _cut(self._find_sibling_relays(host)):
                    testbed.caller_relays[host].reset_connections()
                    yield
            case faults.SilenceStore(host=host):
                with _stalled([testbed.store_relays[host]]):
                    yield
            case faults.ChangeConfiguration():
                testbed.configure(has_extra_queue=True)
                yield
                testbed.configure(has_extra_queue=False)
            case faults.StoreDown() | faults.StoreSlow() | faults.StoreLosesAnswers():
                with self._faulty_store(fault):
                    yield
            case _:
                with self._faulty_target(fault):
                    yield

    @contextmanager
    def _lapsed_targets(self, fault: faults.LapseTargets) -> Iterator[None]:
        testbed = self.testbed
        with self._faulty_store(faults.StoreDown()):
            for target in fault.targets:
                testbed.store.remove("servers", target)
            with self._stopped(list(fault.restarted), signal.SIGKILL):
                gevent.sleep(RESTART_PAUSE_S)
            gevent.sleep(START_PAUSE_S)
            yield
        gevent.sleep(LIST_PAUSE_S)
        others = [host for host in testbed.hosts if host not in fault.restarted]
        with self._stopped(others, signal.SIGTERM):
            gevent.sleep(RESTART_PAUSE_S)
        for target in fault.targets:
            testbed.register_target(target)

    @contextmanager
    def _stopped(
        self, hosts: list[str], signal_number: signal.Signals
    ) -> Iterator[None]:
        stops = [gevent.spawn(self.testbed.stop, host, signal_number) for host in hosts]
        gevent.joinall(stops, raise_error=True)
        yield
        for host in hosts:
            self.testbed.start(host)
            gevent.spawn(self._record_start, host)

    def _record_start(self, host: str) -> None:
        """Record the time until a started host listens, or is stopped again.

        It refuses connections until then, for some seconds on a busy machine.
        """
        interval = FaultInterval(
            subject=host, kind="HostStart", started_s=time.monotonic()
        )
        self.intervals.append(interval)
        process = self.testbed.processes[host]
        limit_s = interval.started_s + START_TIMEOUT_S
        while process.poll() is None and time.monotonic() < limit_s:
            if self.testbed.is_listening(host):
                break
            gevent.sleep(LISTEN_CHECK_INTERVAL_S)
        interval.ended_s = time.monotonic()

    @contextmanager
    def _faulty_store(self, fault: faults.Fault) -> Iterator[None]:
        store = self.testbed.store
        match fault:
            case faults.StoreDown():
                store.is_down = True
            case faults.StoreSlow(delay_s=delay_s):
                store.delay_s = delay_s
            case faults.StoreLosesAnswers():
                store.loss_probability = LOSS_PROBABILITY
        yield
        store.is_down, store.delay_s, store.loss_probability = False, 0.0, 0.0

    @contextmanager
    def _faulty_target(self, fault: faults.Fault) -> Iterator[None]:
        name = fault.target
        target, relay = self.testbed.targets[name], self.testbed.target_relays[name]
        match fault:
            case faults.CrashTarget():
                relay.cut_link()
                target.restart()
                yield
                relay.restore_link()
                self.testbed.register_target(name)
            case faults.RestartTarget():
                target.restart(RESTARTED)
                relay.reset_connections()
                relay.stall_link()
                gevent.sleep(START_UP_S)
                relay.restore_link()
                self.testbed.register_target(name)
                yield
            case faults.SilenceTarget():
                with _stalled([relay]):
                    yield
            case faults.MuteTarget():
                relay.change_link(OneWay())
                yield
                relay.restore_link()
            case faults.DelayTarget(delay_s=delay_s):
                relay.change_link(Delayed(delay_s=delay_s))
                yield
                relay.restore_link()
            case faults.FailTarget():
                target.fails = True
                yield
                target.fails = False
            case faults.StallTarget():
                target.stalls = True
                yield
                target.stalls = False
            case faults.LoseOrders():
                target.loss_probability = LOSS_PROBABILITY
                yield
                target.loss_probability = 0.0
            case faults.LeaveTarget():
                started_s = time.monotonic()
                self.testbed.register_target(name, "draining")
                yield
                leaving_period = LeavingPeriod(
                    target=name, started_s=started_s, ended_s=time.monotonic()
                )
                self.leaving_periods.append(leaving_period)
                self.testbed.register_target(name)

    def _find_sibling_relays(self, host: str) -> list[Relay]:
        return [
            relay for pair, relay in self.testbed.sibling_relays.items() if host in pair
        ]


@contextmanager
def _stalled(relays: list[Relay]) -> Iterator[None]:
    for relay in relays:
        relay.stall_link()
    yield
    for relay in relays:
        relay.restore_link()


@contextmanager
def _throttled(process: subprocess.Popen, running_s: float) -> Iterator[None]:
    """Stop a process for the rest of each period in which it has run for a while."""
    pulses = gevent.spawn(_pulse, process, running_s)
    yield
    pulses.kill()
    process.send_signal(signal.SIGCONT)


def _pulse(process: subprocess.Popen, running_s: float) -> None:
    while True:
        gevent.sleep(running_s)
        process.send_signal(signal.SIGSTOP)
        gevent.sleep(QUOTA_PERIOD_S - running_s)
        process.send_signal(signal.SIGCONT)


@contextmanager
def _cut(relays: list[Relay]) -> Iterator[None]:
    for relay in relays:
        relay.cut_link()
    yield
    for relay in relays:
        relay.restore_link()


def find_subjects(fault: faults.Fault, testbed: SoakTestbed) -> set[str]:
    """Return what a fault affects; faults with a common subject must not overlap."""
    match fault:
        case faults.KillAllHosts() | faults.DrainHostsInTurn():
            return set(testbed.hosts)
        case faults.LapseTargets(targets=targets):
            return {STORE, *testbed.hosts, *targets}
        case faults.StoreDown() | faults.StoreSlow() | faults.StoreLosesAnswers():
            return {STORE}
        case faults.ChangeConfiguration():
            return {OPERATOR}
        case (
            faults.KillHost(host=name)
            | faults.PauseHost(host=name)
            | faults.SuspendHost(host=name)
            | faults.ThrottleHost(host=name)
            | faults.DrainHost(host=name)
            | faults.SilenceHost(host=name)
            | faults.ResetHost(host=name)
            | faults.DisconnectHost(host=name)
            | faults.DisconnectCallers(host=name)
            | faults.CutHost(host=name)
            | faults.SilenceStore(host=name)
        ):
            return {name}
        case _:
            return {fault.target}
