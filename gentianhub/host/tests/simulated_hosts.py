"""Hosts with their real coordinators, in simulated time and without sockets.

Links, targets and clocks are simulated, so that a test decides when a message arrives,
how far a host is behind, when it is suspended, and when a run ends.
"""

import enum
import json
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from unittest import mock

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity.tests.builders import build_host, build_target
from gentianhub.core import Incarnation, Mailbox
from gentianhub.host import messages as ms
from gentianhub.host.coordinator import Coordinator
from gentianhub.host.encoding import build_codec
from gentianhub.host.links import HostLinks
from gentianhub.host.process import DEPARTURE_MARK_TICKS, TICK_S
from gentianhub.linking.handshake import Hello
from gentianhub.linking.link_events import LinkClosed, LinkOpened, MessageReceived
from gentianhub.linking.links import Link, LinkContext
from gentianhub.web import ConnectionEnd

STOP_S = 0.05
# A long objective lets a task wait in the queue for as long as its caller waits.
OBJECTIVE_MS = 20_000
CONFIGURATION = json.dumps(
    {
        "version": 1,
        "routes": [
            {
                "name": "queue",
                "host": "queue.example",
                "prefix": "/queue/",
                "service": "order-desk",
                "timeout_ms": 30_000,
                "slo_ms": OBJECTIVE_MS,
                "stretch": 1.6,
                "max_attempts": 2,
            }
        ],
    }
).encode()


class Clock(enum.Enum):
    """Which clock of a machine the coordinators read.

    Both advance alike, but the steady one stands still while the machine is suspended.
    """

    BOOT = "CLOCK_BOOTTIME"
    STEADY = "CLOCK_MONOTONIC"


class _FiniteMailbox(Mailbox):
    """Mailbox whose consumer returns when it is empty."""

    def iterate_messages(self):
        while len(self):
            yield self.get()


class SimulatedTargets:
    """Targets that accept all commands; runs last until the test ends them.

    All runs of a target also end with its last lease.
    """

    def __init__(self, host: "SimulatedHost"):
        self.host = host
        self.starts: list[tuple[float, str]] = []
        self._lease_ends_s: dict[str, float] = {}
        self.running: dict[tuple[str, object], tuple[int, float]] = {}
        self._ends: dict[str, list[ev.EndReport]] = {}
        self._pending_renewals: dict[str, float] = {}

    def get_connections(self, target):
        return self

    def close_target(self, name: str) -> None:
        """Keep the runs: closing a connection does not end them."""

    def renew(self, renewal: fx.RenewLease) -> None:
        self._extend_lease(renewal)
        due_s = self.host.world.now_s + renewal.wait_s
        self._pending_renewals[renewal.target.name] = due_s

    def _extend_lease(self, order: fx.StartRun | fx.RenewLease | fx.ListRuns) -> None:
        """Extend a lease, which counts from the decision by the clock of the owner."""
        if order.lease_s:
            remaining_s = order.decided_s + order.lease_s - self.host.read_clock_s()
            end_s = self.host.world.now_s + remaining_s
            name = order.target.name
            self._lease_ends_s[name] = max(self._lease_ends_s.get(name, 0.0), end_s)

    def enqueue(self, command) -> bool:
        now_s = self.host.world.now_s
        match command:
            case fx.StartRun(target=target, key=key, run=run):
                self._extend_lease(command)
                self.starts.append((now_s, key.job))
                self.running[target.name, key] = (run, float("inf"))
                answer = ev.StartAnswered(
                    target=target.name,
                    key=key,
                    run=run,
                    verdict=ev.StartVerdict.STARTED,
                    sent_s=self.host.read_clock_s(),
                )
                self.host.receive(answer)
            case fx.StopRun(target=target, key=key, run=run):
                if (target.name, key) in self.running:
                    self.running[target.name, key] = (run, now_s + STOP_S)
                answer = ev.StopAnswered(
                    target=target.name, key=key, run=run, is_confirmed=True
                )
                self.host.receive(answer)
            case fx.ListRuns(target=target):
                self._extend_lease(command)
                self._report(target.name, is_renewal=False)
        return True

    def end_job(self, job: str) -> None:
        """End all runs of a job as done."""
        for (target, key), (run, _) in list(self.running.items()):
            if key.job == job:
                self._end(target, key, run, ev.RunEnd.DONE)

    def count_running(self, job: str) -> int:
        return sum(key.job == job for _, key in self.running)

    def advance(self) -> None:
        """End the stopped and the lapsed runs; answer renewals that waited enough."""
        now_s = self.host.world.now_s
        for (target, key), (run, end_s) in list(self.running.items()):
            if now_s >= end_s:
                self._end(target, key, run, ev.RunEnd.STOPPED)
            elif now_s >= self._lease_ends_s[target]:
                self._end(target, key, run, ev.RunEnd.LEASE_EXPIRED)
        for target, due_s in list(self._pending_renewals.items()):
            if self.host.world.now_s >= due_s:
                del self._pending_renewals[target]
                self._report(target, is_renewal=True)

    def _end(self, target: str, key, run: int, end: ev.RunEnd) -> None:
        del self.running[target, key]
        if target in self._pending_renewals:
            self._pending_renewals[target] = self.host.world.now_s
        ends = self._ends.setdefault(target, [])
        ends.append(ev.EndReport(number=len(ends) + 1, key=key, run=run, end=end))

    def _report(self, target: str, is_renewal: bool) -> None:
        running = tuple(
            ev.RunReport(key=key, run=run, percent=int(self.host.world.now_s * 1000))
            for (name, key), (run, _) in self.running.items()
            if name == target
        )
        report = ev.RunsReported(
            target=target,
            incarnation=1,
            sent_s=self.host.read_clock_s(),
            running=running,
            ended=tuple(self._ends.get(target, ())),
            is_renewal=is_renewal,
        )
        self.host.receive(report)


class SimulatedHost:
    """A coordinator with its mailbox; `speed` below 1 lets it fall behind.

    While its machine is suspended the host handles and sends nothing, and its timer
    does not tick. What arrives meanwhile waits.
    """

    def __init__(self, world: "SimulatedDeployment", incarnation: Incarnation):
        self.world = world
        self.incarnation = incarnation
        self.hello = Hello(sender=incarnation, started_ms=0, host="h", port=1)
        self.mailbox = _FiniteMailbox(limit=20_000)
        self.codec = build_codec()
        self.is_suspended = False
        self._suspended_at_s = 0.0
        self.time_suspended_s = 0.0
        context = LinkContext(
            hello=self.hello,
            codec=self.codec,
            manager_mailbox=self.mailbox,
            dispatcher_mailbox=self.mailbox,
        )
        self.coordinator = Coordinator(
            local_host=incarnation,
            mailbox=self.mailbox,
            registry_commands=Mailbox(limit=100),
            target_polls=Mailbox(limit=1),
            links=HostLinks(local_host=incarnation.name, context=context),
            started_s=self.read_clock_s(),
            read_suspended_s=lambda: self.time_suspended_s,
        )
        self.targets = SimulatedTargets(self)
        self.coordinator.cells.connections = self.targets
        self.speed = 1.0
        self._slow_since_s = 0.0
        self._arrived: deque[tuple[float, object]] = deque()

    def read_clock_s(self) -> float:
        """Return the reading of the clock that the coordinators of the world read."""
        match self.world.clock:
            case Clock.BOOT:
                return self.world.now_s
            case Clock.STEADY:
                now_s = self._suspended_at_s if self.is_suspended else self.world.now_s
                return now_s - self.time_suspended_s

    def suspend(self) -> None:
        """Suspend the host's machine."""
        self.is_suspended, self._suspended_at_s = True, self.world.now_s

    def resume(self, is_first: Callable[[object], bool] = lambda _: False) -> None:
        """Let the machine go on, and handle what has arrived meanwhile.

        The sockets are read in any order. The messages for which `is_first` holds are
        handled before the others.
        """
        self.time_suspended_s += self.world.now_s - self._suspended_at_s
        self.is_suspended = False
        waiting = [message for _, message in self._arrived]
        self._arrived.clear()
        for message in sorted(waiting, key=lambda m: not is_first(m)):
            self.receive(message)

    def receive(self, message) -> None:
        """Put a message into the mailbox, behind those that arrived before."""
        self._arrived.append((self.world.now_s, message))

    def slow_down(self, speed: float) -> None:
        self.speed, self._slow_since_s = speed, self.world.now_s

    def handle_messages(self) -> None:
        """Handle the messages whose turn has come, as one batch."""
        if self.is_suspended:
            return
        while self._arrived and self._compute_turn_s() <= self.world.now_s + 1e-9:
            while self._arrived and self._compute_turn_s() <= self.world.now_s + 1e-9:
                self.mailbox.put(self._arrived.popleft()[1])
            with self.world.run_on(self):
                self.coordinator.run()
            # All that has arrived is read before these come back.
            while len(self.coordinator.departure_marks):
                self.receive(self.coordinator.departure_marks.get())

    def has_waiting_end(self) -> bool:
        """Whether the report of an ended run waits in the mailbox."""
        return any(
            isinstance(message, ev.RunsReported) and message.ended
            for _, message in self._arrived
        )

    def _compute_turn_s(self) -> float:
        arrived_s = self._arrived[0][0]
        behind_s = max(0.0, arrived_s - self._slow_since_s) / self.speed
        return max(arrived_s, self._slow_since_s + behind_s)

    def submit(self, job: str, cores: int = 27) -> Mailbox:
        """Submit a job of one task; return the mailbox for the answer."""
        body = {
            "spec": "text",
            "best_effort": True,
            "phases": [{"count": 1, "cpu": cores * 1000, "mem_mb": 1}],
        }
        return self._request("POST", job, json.dumps(body).encode())

    def cancel(self, job: str) -> Mailbox:
        """Cancel a job; return the mailbox for the answer."""
        return self._request("DELETE", job)

    def _request(self, method: str, job: str, body: bytes = b"") -> Mailbox:
        replies = Mailbox(limit=2)
        request = ms.CallerRequest(
            method=method,
            host="queue.example",
            path=f"/queue/{job}",
            body=body,
            wait_s=20.0,
            reply_to=replies,
            read_s=self.read_clock_s(),
        )
        self.receive(request)
        return replies

    def leave(self, reply_to: Mailbox) -> None:
        """Close the connection of a caller."""
        closed = ms.CallerConnectionClosed(reply_to=reply_to, end=ConnectionEnd.CLOSED)
        self.receive(closed)


class SimulatedLink:
    """The two ends of one connection; messages are held while `is_held` is set."""

    def __init__(self, first: SimulatedHost, second: SimulatedHost):
        self.is_held = False
        self.ends = (
            (first, Link(peer=second.hello, dialled_by=first.incarnation.name)),
            (second, Link(peer=first.hello, dialled_by=first.incarnation.name)),
        )
        for host, link in self.ends:
            host.receive(LinkOpened(link=link))

    def transfer(self) -> None:
        """Deliver the queued messages in both directions."""
        if self.is_held:
            return
        (first, first_link), (second, second_link) = self.ends
        for sender, link, receiver, receiving_link in (
            (first, first_link, second, second_link),
            (second, second_link, first, first_link),
        ):
            while not sender.is_suspended and len(link.outgoing_queue):
                message = receiver.codec.decode(link.outgoing_queue.get())
                receiver.receive(MessageReceived(link=receiving_link, message=message))

    def drop_messages(self) -> None:
        for _, link in self.ends:
            while len(link.outgoing_queue):
                link.outgoing_queue.get()

    def close(self, host: SimulatedHost) -> None:
        """Let one host see the end of the connection."""
        for end, link in self.ends:
            if end is host:
                host.receive(LinkClosed(link=link, reason="reset"))


class SimulatedDeployment:
    """Two owners of one cell each, and two front hosts without targets of their own.

    Each cell has one target that runs one task at a time. Use it in a context, in which
    the coordinators read the simulated clock of their host.

    Parameters
    ----------
    clock : Clock
        The clock that the coordinators read.
    """

    def __init__(self, clock: Clock = Clock.BOOT):
        self.clock = clock
        self.now_s = 100.0
        self._host_at_work: SimulatedHost | None = None
        self._tick = 0
        self._step = 0
        self.owners = (
            SimulatedHost(self, build_host("o1", "a", data_centre="olten")),
            SimulatedHost(self, build_host("o2", "b", data_centre="bern")),
        )
        self.fronts = (
            SimulatedHost(self, build_host("f1", "c", data_centre="aarau")),
            SimulatedHost(self, build_host("f2", "d", data_centre="aarau")),
        )
        self.hosts = (*self.owners, *self.fronts)
        self.links: dict[tuple[SimulatedHost, SimulatedHost], SimulatedLink] = {}
        self._clock = mock.patch(
            "gentianhub.host.coordinator.read_monotonic_s", self._read_clock_s
        )

    def _read_clock_s(self) -> float:
        """Return the reading of the host at work, s.

        A test that runs a coordinator itself suspends no host.
        """
        host = self._host_at_work
        return self.now_s if host is None else host.read_clock_s()

    @contextmanager
    def run_on(self, host: SimulatedHost) -> Iterator[None]:
        """Let coordinators read the clock of a host in the block."""
        self._host_at_work = host
        yield
        self._host_at_work = None

    def __enter__(self) -> "SimulatedDeployment":
        self._clock.start()
        targets = (
            build_target("t1", cores=32, data_centre="olten", host="10.0.0.1"),
            build_target("t2", cores=32, data_centre="bern", host="10.0.0.2"),
        )
        for host in self.hosts:
            host.receive(ms.ConfigurationRead(content=CONFIGURATION))
            sent_s = host.read_clock_s()
            read = ms.TargetsRead(targets=targets, rows=(), sent_s=sent_s)
            host.receive(read)
        for owner in self.owners:
            owner.receive(ms.LayoutRead(cells=1))
        for number, first in enumerate(self.hosts):
            for second in self.hosts[number + 1 :]:
                self.open_link(first, second)
        self.run(4.0)
        return self

    def __exit__(self, *_) -> None:
        self._clock.stop()

    def open_link(self, first: SimulatedHost, second: SimulatedHost) -> None:
        self.links[first, second] = SimulatedLink(first, second)

    def find_link(self, host: SimulatedHost, other: SimulatedHost) -> SimulatedLink:
        return self.links.get((host, other)) or self.links[other, host]

    def run(self, duration_s: float) -> None:
        """Advance the clock in steps of a fifth of a tick."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s - 1e-9:
            self.now_s += TICK_S / 5
            self._step += 1
            if self._step % 5 == 0:
                self._tick += 1
                for host in self.hosts:
                    if host.is_suspended:
                        continue
                    sent_s = host.read_clock_s()
                    host.receive(ms.TimerTick(count=self._tick, sent_s=sent_s))
                    if self._tick % DEPARTURE_MARK_TICKS == 0:
                        mark = ms.DeparturesRead(sent_s=sent_s)
                        host.coordinator.departure_marks.try_put(mark)
            for host in self.hosts:
                host.targets.advance()
            self._settle()

    def _settle(self) -> None:
        """Handle and deliver what is due now, replies to it included."""
        for _ in range(4):
            for host in self.hosts:
                host.handle_messages()
            for link in self.links.values():
                link.transfer()

    def list_starts(self, job: str) -> list[float]:
        """Return the times at which runs of a job have started, s."""
        return [
            start_s
            for owner in self.owners
            for start_s, name in owner.targets.starts
            if name == job
        ]

    def count_running(self, job: str) -> int:
        """Return the number of runs of a job that exist now, on all targets."""
        return sum(owner.targets.count_running(job) for owner in self.owners)

    def end_job(self, job: str) -> None:
        for owner in self.owners:
            owner.targets.end_job(job)
