"""Assembly of one host's process: its greenlets, its ports and its shutdown."""

import logging
import signal
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import gevent
from gevent.event import Event
from gevent.server import StreamServer

from gentianhub.capacity.leases import describe_unmet_bounds
from gentianhub.core import (
    Incarnation,
    Mailbox,
    MailboxTimeout,
    create_incarnation,
    read_monotonic_s,
    spawn_greenlet,
)
from gentianhub.core.records import define, evolve, field
from gentianhub.host import followers
from gentianhub.host import messages as ms
from gentianhub.host.callers import (
    METRICS_PORT,
    CallerHandler,
    serve_callers,
    serve_operations,
)
from gentianhub.host.client_limits import (
    METRICS,
    READINESS,
    build_connection_table,
    choose_frame_bytes,
    choose_job_bytes,
    choose_max_handshakes,
)
from gentianhub.host.configuration import ConfigurationCache
from gentianhub.host.coordinator import Coordinator
from gentianhub.host.encoding import build_codec
from gentianhub.host.links import HostLinks
from gentianhub.host.progress import return_behind_departures
from gentianhub.host.registry import HostEntry
from gentianhub.linking.frame_memory import FrameMemory
from gentianhub.linking.handshake import Hello
from gentianhub.linking.handshake_limits import PendingHandshakes
from gentianhub.linking.link_events import DialAddress
from gentianhub.linking.links import LinkContext, accept_link
from gentianhub.platform.settings import HostSettings

TICK_S = 0.05
# Interval at which a host records up to when it has handled departures, in ticks.
DEPARTURE_MARK_TICKS = 2
MAILBOX_LIMIT = 20_000
EXIT_CRASHED = 70
# Part of the grace period kept for the exit, s; the rest is for open requests.
EXIT_MARGIN_S = 0.6
# Time for the last responses to be written to callers, s.
FINAL_REPLY_S = 0.1

logger = logging.getLogger(__name__)


@define(kw_only=True, eq=False)
class HostProcess:
    """One host, assembled from its settings."""

    settings: HostSettings
    local_host: Incarnation = field(init=False)
    mailbox: Mailbox = field(init=False, factory=lambda: Mailbox(limit=MAILBOX_LIMIT))
    registry_commands: Mailbox = field(init=False, factory=lambda: Mailbox(limit=16))
    coordinator: Coordinator = field(init=False)
    callers: CallerHandler = field(init=False)
    _stop: Event = field(init=False, factory=Event)
    _has_crashed: bool = field(init=False, default=False)

    def __attrs_post_init__(self):
        self.local_host = create_incarnation(self.settings.name)
        self.coordinator = Coordinator(
            local_host=self.local_host,
            mailbox=self.mailbox,
            registry_commands=self.registry_commands,
            target_polls=Mailbox(limit=1),
            links=self._build_links(),
            bounds_evacuations=self.settings.evacuate_s is not None,
            configuration=ConfigurationCache(sheds_load=self.settings.sheds_load),
        )
        self.coordinator.requests.memory.max_bytes = choose_job_bytes(
            self.settings.memory_mb
        )
        self.callers = CallerHandler(
            coordinator=self.mailbox, is_draining=lambda: self.coordinator.is_draining
        )

    def _build_links(self) -> HostLinks:
        link_address = self.settings.link_address
        hello = Hello(
            sender=self.local_host,
            started_ms=followers.read_unix_ms(),
            host=link_address.host,
            port=link_address.port,
        )
        context = LinkContext(
            hello=hello,
            codec=build_codec(),
            manager_mailbox=self.mailbox,
            dispatcher_mailbox=self.mailbox,
            handshakes=PendingHandshakes(
                max_sockets=choose_max_handshakes(self.settings.max_fds)
            ),
            frame_memory=FrameMemory(
                max_bytes=choose_frame_bytes(self.settings.memory_mb)
            ),
        )
        seeds = tuple(
            DialAddress(name=None, host=seed.host, port=seed.port)
            for seed in self.settings.seeds
            if seed != link_address
        )
        return HostLinks(local_host=self.local_host.name, context=context, seeds=seeds)

    def run(self) -> None:
        """Serve until SIGTERM, then wait for open requests to end."""
        gevent.signal_handler(signal.SIGTERM, self._stop.set)
        gevent.signal_handler(signal.SIGINT, self._stop.set)
        gevent.signal_handler(signal.SIGHUP, self._log_reload_request)
        with self._run_greenlets(), self._serve_ports():
            logger.info("started", extra={"id": str(self.local_host)})
            self._check_bounds()
            self._stop.wait()
            if self._has_crashed:
                raise SystemExit(EXIT_CRASHED)
            self._drain()
        logger.info("stopped", extra={"id": str(self.local_host)})

    def _check_bounds(self) -> None:
        """Log an error if runs may outlast the return of their callers here."""
        reason = describe_unmet_bounds(
            self.settings.caller_return_s,
            self.settings.stop_s,
            self.settings.max_lease_s,
        )
        if reason:
            logger.error(
                "leases too long for the platform",
                extra={"id": str(self.local_host), "reason": reason},
            )

    def _log_reload_request(self) -> None:
        """Log that SIGHUP has no effect: all settings are fixed while the host runs."""
        logger.info(
            "SIGHUP ignored: no setting can be reloaded",
            extra={"id": self.local_host.token},
        )

    @contextmanager
    def _run_greenlets(self) -> Iterator[None]:
        store = self.settings.store
        entry = HostEntry(
            data_centre=self.local_host.name.data_centre,
            name=self.local_host.name.process,
            address=self.settings.link_address.host,
            port=self.settings.link_address.port,
            started_ms=followers.read_unix_ms(),
            cores=self.settings.cores,
        )
        self.coordinator.membership.ownership.cores[self.local_host.name] = (
            self.settings.cores
        )
        greenlets = [
            spawn_greenlet(self.coordinator.run),
            spawn_greenlet(
                run_timer,
                self.mailbox,
                lambda: self.coordinator.timer_period_ticks,
                self.coordinator.departure_marks,
            ),
            spawn_greenlet(
                return_behind_departures,
                self.coordinator.departure_marks,
                self.mailbox,
                self.callers.watches.report_ended,
            ),
            spawn_greenlet(
                followers.follow_configuration,
                store,
                self.mailbox,
                lambda: self.coordinator.membership.is_candidate,
            ),
            spawn_greenlet(followers.follow_hosts, store, self.mailbox, entry.name),
            spawn_greenlet(
                followers.follow_targets,
                store,
                self.mailbox,
                self._choose_poll_interval_s,
                self.coordinator.target_polls,
            ),
            spawn_greenlet(
                followers.keep_register,
                entry,
                store,
                self.registry_commands,
                self.mailbox,
            ),
        ]
        for greenlet in greenlets:
            greenlet.link_exception(self._report_crash)
        try:
            yield
        finally:
            gevent.killall(greenlets)
            self.coordinator.cells.connections.close()
            self.coordinator.links.end()

    def _choose_poll_interval_s(self) -> float:
        return followers.choose_poll_interval_s(
            is_owner=bool(self.coordinator.cells),
            has_layout=bool(self.coordinator.membership.ownership.cells),
        )

    @contextmanager
    def _serve_ports(self) -> Iterator[None]:
        context = self.coordinator.links.context
        link_server = StreamServer(
            self.settings.link_address.as_host_and_port(),
            lambda sock, _: accept_link(sock, context),
        )
        link_server.start()
        connections = build_connection_table(
            self.settings.memory_mb,
            self.settings.max_fds,
            lambda: self.coordinator.configuration.limits,
            self.coordinator.metrics.refusals,
        )
        self.coordinator.metrics.read_client_bytes = lambda: connections.held_bytes
        try:
            with (
                serve_operations(
                    self.settings.readiness_address,
                    self.mailbox,
                    lambda: self.coordinator.is_ready,
                    connections,
                    READINESS,
                ),
                serve_operations(
                    evolve(self.settings.readiness_address, port=METRICS_PORT),
                    self.mailbox,
                    lambda: self.coordinator.is_ready,
                    connections,
                    METRICS,
                ),
                serve_callers(self.settings.caller_address, self.callers, connections),
            ):
                yield
        finally:
            link_server.stop(timeout=0)

    def _drain(self) -> None:
        replies = Mailbox(limit=1)
        self.mailbox.put(ms.StartDrain(reply_to=replies))
        match replies.get(timeout_s=self.settings.grace_s - EXIT_MARGIN_S):
            case MailboxTimeout(waited_s=waited_s):
                logger.warning(
                    "requests still open at the end of the grace period",
                    extra={"waited_s": waited_s},
                )
                self.mailbox.put(ms.InterruptOpenJobs())
                # The greenlets of the callers' connections write the responses.
                gevent.sleep(FINAL_REPLY_S)
            case ms.Drained():
                logger.info("all requests have ended")

    def _report_crash(self, greenlet: gevent.Greenlet) -> None:
        """Stop the process; after an unhandled exception its state may be invalid."""
        logger.critical("greenlet %s failed: %r", greenlet.name, greenlet.exception)
        self._has_crashed = True
        self._stop.set()


def run_timer(
    mailbox: Mailbox, choose_period_ticks: Callable[[], int], departure_marks: Mailbox
) -> None:
    """Send a `TimerTick` every few multiples of `TICK_S`; drop it if there is no room.

    An `DeparturesRead` goes to `departure_marks` with every second multiple.

    `choose_period_ticks` returns the number of multiples. Counts are aligned to it, so
    that intervals which it divides are kept when it changes.
    """
    count = 0
    while True:
        period = choose_period_ticks()
        steps = period - count % period
        due_s = read_monotonic_s() + steps * TICK_S
        gevent.sleep(steps * TICK_S)
        count += steps
        sent_s = read_monotonic_s()
        tick = ms.TimerTick(count=count, sent_s=sent_s, late_s=sent_s - due_s)
        is_sent = mailbox.try_put(tick)
        if is_sent and count % DEPARTURE_MARK_TICKS == 0:
            departure_marks.try_put(ms.DeparturesRead(sent_s=sent_s))
