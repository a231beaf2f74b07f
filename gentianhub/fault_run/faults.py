"""Applies faults to a testbed and takes them back."""

import signal
from collections.abc import Iterator
from contextlib import contextmanager

import gevent
from attrs import define, field

from gentianhub.core import read_monotonic_s, spawn_task
from gentianhub.fault_run import plan as faults
from gentianhub.fault_run.audit import Violation
from gentianhub.fault_run.testbed import Testbed
from gentianhub.stand_ins.sites import Reachable, Unreachable

# What a fault can hold beside one process.
LINKS = "links"
PLATFORM = "platform"
# A cut link or a platform that was away is tried again within this time.
SETTLING_S = 2.0
# A target that is leaving gets nothing new this long after its first sign.
LEAVING_LIMIT_S = 2.0
LEAVING_WATCH_S = 2.0


@define(kw_only=True, eq=False)
class FaultSpell:
    """When a fault held its subject; times are monotonic."""

    subject: str
    begun_s: float
    ended_s: float = float("inf")


@define(kw_only=True, eq=False)
class FaultInjector:
    """Runs faults, each in a greenlet; one fault at a time holds a process."""

    testbed: Testbed
    counts: dict[str, int] = field(factory=dict)
    spells: list[FaultSpell] = field(factory=list)
    violations: list[Violation] = field(factory=list)
    leaving_checks: int = 0
    _busy: set[str] = field(factory=set)

    def run_fault(self, planned: faults.PlannedFault) -> None:
        """Apply a fault, wait, and take it back."""
        subject = find_subject(planned.fault)
        if subject in self._busy:
            return
        self._busy.add(subject)
        name = type(planned.fault).__name__
        self.counts[name] = self.counts.get(name, 0) + 1
        spell = FaultSpell(subject=subject, begun_s=read_monotonic_s())
        self.spells.append(spell)
        try:
            with self._apply(planned.fault):
                gevent.sleep(planned.lasts_s)
        finally:
            spell.ended_s = read_monotonic_s()
            self._busy.discard(subject)

    def was_disturbed(self, entry: str, since_s: float) -> bool:
        """Return whether a fault could keep a table version from a process."""
        subjects = {entry, LINKS, PLATFORM}
        return any(
            spell.subject in subjects and spell.ended_s + SETTLING_S > since_s
            for spell in self.spells
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
                    check = spawn_task(self._check_leaving, name)
                    yield
                    check.join()
            case _:
                with self._cut(fault):
                    yield

    @contextmanager
    def _cut(self, fault: faults.Fault) -> Iterator[None]:
        sites = self.testbed.sites
        match fault:
            case faults.CutEntryLinks(entry=name):
                with self._cut_relays(lambda entry, _: entry == name):
                    yield
            case faults.CutDataCentre(data_centre=name):
                with self._cut_off(name):
                    yield
            case faults.PlatformOutage():
                with self._changed_paths(list(sites), Unreachable()):
                    yield
            case faults.SlowPlatform(delay_s=delay_s):
                with self._changed_paths(list(sites), Reachable(delay_s=delay_s)):
                    yield
            case faults.DropReplies(count=count):
                self.testbed.platform.drop_replies += count
                yield

    @contextmanager
    def _stopped(self, name: str, number: signal.Signals) -> Iterator[None]:
        self.testbed.stop(name, number)
        yield
        self.testbed.start(name)

    @contextmanager
    def _faulty_target(self, name: str, switch: str) -> Iterator[None]:
        child = self.testbed.children[name]
        child.call("target", "POST", "/faults", {switch: True})
        yield
        child.call("target", "POST", "/faults", {switch: False})

    def _check_leaving(self, name: str) -> None:
        """Expect no message to a leaving target once its siblings may know."""
        child = self.testbed.children[name]
        begun_s = read_monotonic_s()
        gevent.sleep(LEAVING_LIMIT_S)
        before = child.call("target", "GET", "/starts")[1]["refused"]
        gevent.sleep(LEAVING_WATCH_S)
        after = child.call("target", "GET", "/starts")[1]["refused"]
        near = [
            plan.name
            for plan in self.testbed.plan.entries
            if plan.data_centre == child.data_centre
        ]
        is_excused = any(self.was_disturbed(entry, begun_s) for entry in near)
        if after > before and not is_excused:
            subject = f"{name} refused {after - before} messages"
            self.violations.append(
                Violation(promise="a leaving target gets no new work", subject=subject)
            )
        self.leaving_checks += not is_excused

    @contextmanager
    def _cut_off(self, data_centre: str) -> Iterator[None]:
        """Cut the links between a data centre and the others, and its platform."""
        home = {plan.name: plan.data_centre for plan in self.testbed.plan.entries}

        def crosses(entry: str, viewer: str) -> bool:
            return (home[entry] == data_centre) != (viewer == data_centre)

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
            self.testbed.sites[name].path = path
        yield
        for name in names:
            self.testbed.sites[name].path = Reachable()


def find_subject(fault: faults.Fault) -> str:
    """Return what a fault holds, so that two do not undo each other."""
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
