"""Injects faults into a testbed and reverts them."""

import signal
from collections.abc import Iterator
from contextlib import contextmanager

import gevent

from gentianhub.core import read_monotonic_s, spawn_greenlet
from gentianhub.core.records import define, field
from gentianhub.fault_run import plan as faults
from gentianhub.fault_run.audit import Violation
from gentianhub.fault_run.testbed import Testbed
from gentianhub.stand_ins.platform_proxies import Reachable, Unreachable

# Subjects of faults other than a single process.
LINKS = "links"
PLATFORM = "platform"
# A lost link or an unavailable platform is retried within this time.
FAULT_MARGIN_S = 2.0
# A leaving target must get no new work this long after it began leaving.
LEAVING_LIMIT_S = 2.0
LEAVING_CHECK_S = 2.0


@define(kw_only=True, eq=False)
class FaultInterval:
    """Time during which a fault affected its subject, on the monotonic clock."""

    subject: str
    started_s: float
    ended_s: float = float("inf")


@define(kw_only=True, eq=False)
class FaultInjector:
    """Injects faults, one greenlet each; at most one fault per subject at a time."""

    testbed: Testbed
    counts: dict[str, int] = field(factory=dict)
    intervals: list[FaultInterval] = field(factory=list)
    violations: list[Violation] = field(factory=list)
    leaving_checks: int = 0
    _active_subjects: set[str] = field(factory=set)

    def run_fault(self, planned: faults.PlannedFault) -> None:
        """Apply a fault, wait for its duration and revert it.

        A fault is skipped if another one affects its subject.
        """
        subject = find_subject(planned.fault)
        if subject in self._active_subjects:
            return
        self._active_subjects.add(subject)
        name = type(planned.fault).__name__
        self.counts[name] = self.counts.get(name, 0) + 1
        interval = FaultInterval(subject=subject, started_s=read_monotonic_s())
        self.intervals.append(interval)
        try:
            with self._apply(planned.fault):
                gevent.sleep(planned.fault_duration_s)
        finally:
            interval.ended_s = read_monotonic_s()
            self._active_subjects.discard(subject)

    def was_affected(self, entry: str, since_s: float) -> bool:
        """Return whether a fault may have delayed a table version at a process."""
        subjects = {entry, LINKS, PLATFORM}
        return any(
            interval.subject in subjects and interval.ended_s + FAULT_MARGIN_S > since_s
            for interval in self.intervals
        )

    @contextmanager
    def _apply(self, fault: faults.Fault) -> Iterator[None]:
        match fault:
            case faults.KillEntry(entry=name) | faults.KillTarget(target=name):
                with self._stopped(name, signal.SIGKILL):
                    yield
            case faults.DrainEntry(entry=name):
                with self._stopped(name, signal.SIGTERM):
                    yield
            case faults.PauseEntry(entry=name) | faults.PauseTarget(target=name):
                child = self.testbed.children[name]
                child.send_signal(signal.SIGSTOP)
                yield
                child.send_signal(signal.SIGCONT)
            case faults.FailTarget(target=name):
                with self._faulty_target(name, "fails"):
                    yield
            case faults.LeaveTarget(target=name):
                with self._faulty_target(name, "is_leaving"):
                    check = spawn_greenlet(self._check_leaving, name)
                    yield
                    check.join()
            case _:
                with self._network_fault(fault):
                    yield

    @contextmanager
    def _network_fault(self, fault: faults.Fault) -> Iterator[None]:
        platform_proxies = self.testbed.platform_proxies
        match fault:
            case faults.CutEntryLinks(entry=name):
                with self._cut_relays(lambda entry, _: entry == name):
                    yield
            case faults.CutDataCentre(data_centre=name):
                with self._isolated(name):
                    yield
            case faults.PlatformOutage():
                with self._changed_paths(list(platform_proxies), Unreachable()):
                    yield
            case faults.SlowPlatform(delay_s=delay_s):
                with self._changed_paths(
                    list(platform_proxies), Reachable(delay_s=delay_s)
                ):
                    yield
            case faults.DropReplies(count=count):
                self.testbed.platform.drop_replies += count
                yield

    @contextmanager
    def _stopped(self, name: str, signal_number: signal.Signals) -> Iterator[None]:
        self.testbed.stop(name, signal_number)
        yield
        self.testbed.start(name)

    @contextmanager
    def _faulty_target(self, name: str, fault_name: str) -> Iterator[None]:
        child = self.testbed.children[name]
        child.send_request("target", "POST", "/faults", {fault_name: True})
        yield
        child.send_request("target", "POST", "/faults", {fault_name: False})

    def _check_leaving(self, name: str) -> None:
        """Check that a leaving target gets no message after the propagation limit."""
        child = self.testbed.children[name]
        started_s = read_monotonic_s()
        gevent.sleep(LEAVING_LIMIT_S)
        before = child.send_request("target", "GET", "/starts")[1]["refused"]
        gevent.sleep(LEAVING_CHECK_S)
        after = child.send_request("target", "GET", "/starts")[1]["refused"]
        local_entries = [
            plan.name
            for plan in self.testbed.plan.entries
            if plan.data_centre == child.data_centre
        ]
        is_tolerated = any(
            self.was_affected(entry, started_s) for entry in local_entries
        )
        if after > before and not is_tolerated:
            subject = f"{name} refused {after - before} messages"
            self.violations.append(
                Violation(
                    guarantee="a leaving target gets no new work", subject=subject
                )
            )
        self.leaving_checks += not is_tolerated

    @contextmanager
    def _isolated(self, data_centre: str) -> Iterator[None]:
        """Cut a data centre off from the others and from the platform."""
        entry_data_centres = {
            plan.name: plan.data_centre for plan in self.testbed.plan.entries
        }

        def crosses(entry: str, client_data_centre: str) -> bool:
            return (entry_data_centres[entry] == data_centre) != (
                client_data_centre == data_centre
            )

        with (
            self._cut_relays(crosses),
            self._changed_paths([data_centre], Unreachable()),
        ):
            yield

    @contextmanager
    def _cut_relays(self, is_cut) -> Iterator[None]:
        relays = [relay for key, relay in self.testbed.relays.items() if is_cut(*key)]
        for relay in relays:
            relay.cut_link()
        yield
        for relay in relays:
            relay.restore_link()

    @contextmanager
    def _changed_paths(self, names: list[str], path) -> Iterator[None]:
        for name in names:
            self.testbed.platform_proxies[name].path = path
        yield
        for name in names:
            self.testbed.platform_proxies[name].path = Reachable()


def find_subject(fault: faults.Fault) -> str:
    """Return what a fault affects; faults of one subject must not overlap."""
    match fault:
        case (
            faults.KillEntry(entry=name)
            | faults.PauseEntry(entry=name)
            | faults.DrainEntry(entry=name)
        ):
            return name
        case (
            faults.KillTarget(target=name)
            | faults.PauseTarget(target=name)
            | faults.FailTarget(target=name)
            | faults.LeaveTarget(target=name)
        ):
            return name
        case faults.CutEntryLinks() | faults.CutDataCentre():
            return LINKS
        case faults.PlatformOutage() | faults.SlowPlatform() | faults.DropReplies():
            return PLATFORM
