"""The greenlet that owns a host's state: its jobs, its cells and its claims."""

from collections.abc import Callable, Iterator
from typing import Any

from gentianhub.capacity import events as ev
from gentianhub.capacity import ownership as ow
from gentianhub.capacity.cancelled_jobs import CancelledJobs
from gentianhub.capacity.evacuations import Evacuations, KnownEvacuations
from gentianhub.capacity.front import (
    MAX_PAUSE_S,
    MAX_SUSPENSION_S,
    FrontJobRegistry,
)
from gentianhub.capacity.kept_answers import KeptAnswers
from gentianhub.capacity.leases import HOST_SILENCE_TIMEOUT_S
from gentianhub.capacity.submissions import (
    InterruptJobs,
    LoadsReported,
    MachineSuspended,
    OwnersChanged,
)
from gentianhub.capacity.succession import TargetAnnouncements
from gentianhub.core import (
    Incarnation,
    Mailbox,
    read_monotonic_s,
    read_suspended_s,
)
from gentianhub.core.records import define, field
from gentianhub.host import messages as ms
from gentianhub.host.cancellations import Cancellations
from gentianhub.host.cells import OwnedCells
from gentianhub.host.configuration import ConfigurationCache
from gentianhub.host.decision_log import log_decision
from gentianhub.host.delays import DelayLog
from gentianhub.host.evacuations import HostEvacuations
from gentianhub.host.links import HostLinks
from gentianhub.host.membership import HeartbeatRecipients, Membership
from gentianhub.host.metrics import HostMetrics
from gentianhub.host.open_jobs import OpenJobReports
from gentianhub.host.outbox import Outbox
from gentianhub.host.request_handler import RequestHandler
from gentianhub.host.target_list import TargetList
from gentianhub.linking.link_events import (
    DialFailed,
    LinkClosed,
    LinkOpened,
    MessageReceived,
)

# Interval, in ticks, of layout requests and of the removal of silent and lost hosts.
HOUSEKEEPING_TICKS = 20
# Interval, in ticks, at which links are maintained and claims are reconsidered. Changes
# of claims that heartbeats bring are handled at once.
OWNERSHIP_TICKS = 2
# Periods of the timer on hosts without a cell, in ticks. The longer one is for hosts
# that are no candidates and have no open job; they spent half of their processor time
# on the ticks of an owner.
WORKING_PERIOD_TICKS = 2
IDLE_PERIOD_TICKS = 4
# Time after the start of a drain during which jobs on open connections are still
# accepted, s; the load balancer needs it to stop routing to this host.
DRAIN_NOTICE_S = 2.5
# Messages that wait until the departures that had arrived are read.
DEPARTURE_MARK_LIMIT = 64
# A shorter suspension than this is the error of two readings, s.
MIN_SUSPENSION_S = 0.01


@define(kw_only=True, eq=False)
class Coordinator:
    """Owns the state of one host; other greenlets send messages to its mailbox.

    Parameters
    ----------
    local_host : Incarnation
        This run of the host's process.
    registry_commands : Mailbox
        Receives commands for the registry of hosts.
    target_polls : Mailbox
        Receives requests to read the list of targets from the store now.
    departure_marks : Mailbox
        Receives messages that come back behind all departures that had arrived.
    read_suspended_s : callable
        Returns for how long this machine has been suspended since it started, s.
    bounds_evacuations : bool
        Whether the platform bounds the time of starts after an evacuation.
    """

    local_host: Incarnation
    mailbox: Mailbox
    registry_commands: Mailbox
    target_polls: Mailbox
    links: HostLinks
    departure_marks: Mailbox = field(
        factory=lambda: Mailbox(limit=DEPARTURE_MARK_LIMIT)
    )
    started_s: float = field(factory=read_monotonic_s)
    read_suspended_s: Callable[[], float] = read_suspended_s
    bounds_evacuations: bool = True
    metrics: HostMetrics = field(init=False, factory=lambda: HostMetrics())
    configuration: ConfigurationCache = field(factory=lambda: ConfigurationCache())
    evacuations: HostEvacuations = field(init=False)
    outbox: Outbox = field(init=False)
    requests: RequestHandler = field(init=False)
    cells: OwnedCells = field(init=False)
    membership: Membership = field(init=False)
    open_jobs: OpenJobReports = field(init=False)
    announcements: TargetAnnouncements = field(
        init=False, factory=lambda: TargetAnnouncements()
    )
    is_draining: bool = field(init=False, default=False)
    _drain_reply_to: Any = field(init=False, default=None)
    _drain_started_s: float = field(init=False, default=0.0)
    _delays: DelayLog = field(init=False)
    _handled_s: float = field(init=False, default=float("inf"))
    _tick_count: int = field(init=False, default=0)
    _suspended_s: float = field(init=False)
    _target_list: TargetList = field(init=False, factory=lambda: TargetList())

    def __attrs_post_init__(self):
        self._suspended_s = self.read_suspended_s()
        self.outbox = Outbox(local_host=self.local_host, links=self.links)
        self._delays = DelayLog(
            local_host=self.local_host, mailbox=self.mailbox, metrics=self.metrics
        )
        cancelled_jobs = CancelledJobs()
        known = KnownEvacuations(
            started_s=self.started_s, is_bounded=self.bounds_evacuations
        )
        self.evacuations = HostEvacuations(known=known, metrics=self.metrics)
        self.requests = RequestHandler(
            job_registry=FrontJobRegistry(
                data_centre=self.local_host.name.data_centre,
                started_s=self.started_s,
                evacuations=known,
                kept_answers=KeptAnswers(cancelled_jobs=cancelled_jobs),
            ),
            outbox=self.outbox,
            configuration=self.configuration,
            metrics=self.metrics,
            cancellations=Cancellations(
                local_host=self.local_host,
                outbox=self.outbox,
                record=cancelled_jobs,
                find_hosts=lambda: self.membership.find_hosts(),
                find_lost=lambda names, now_s: self.membership.find_lost(names, now_s),
                find_linked=self.links.find_linked,
                find_owners=self._find_other_owners,
                has_room=lambda peer: self.links.has_room(peer),
            ),
            cancel_in_cells=lambda job, now_s: self.cells.cancel_job(job, now_s),
            find_heard_heartbeat=lambda owner: self.open_jobs.progress.find_heartbeat(
                owner
            ),
        )
        self.cells = OwnedCells(
            answers=self.mailbox,
            outbox=self.outbox,
            metrics=self.metrics,
            find_successors=lambda: self.membership.find_successors(),
            find_other_owners=self._find_other_owners,
            read_targets=self._read_targets,
            evacuations=known,
            list_priorities=self.configuration.list_priorities,
            cancelled_jobs=cancelled_jobs,
        )
        self.membership = Membership(
            local_host=self.local_host,
            links=self.links,
            registry_commands=self.registry_commands,
            started_s=self.started_s,
            evacuations=known,
        )
        self.open_jobs = OpenJobReports(
            local_host=self.local_host,
            job_registry=self.requests.job_registry,
            outbox=self.outbox,
            departure_marks=self.departure_marks,
            sent_heartbeats=self.membership.sent_heartbeats,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the host serves new callers."""
        return (
            self.configuration.current is not None
            and bool(self.requests.job_registry.owners)
            and not self.is_draining
        )

    def run(self) -> None:
        """Handle messages until killed."""
        for message in self.mailbox.iterate_messages():
            now_s = read_monotonic_s()
            if now_s > self._handled_s + MIN_SUSPENSION_S:
                self._record_suspension(now_s)
            self._record_pause(now_s)
            self._handle_message(message, now_s)
            for own_message in self.outbox.pop_own_messages():
                self._handle_host_message(self.local_host, own_message, now_s)
            awaited = self.cells.pop_awaited_hosts() - {self.local_host}
            if awaited:
                self._send_heartbeats_now(tuple(awaited), now_s)

    def _record_pause(self, now_s: float) -> None:
        """Note a time in which this host, which ticks more often, has not run."""
        if now_s > self._handled_s + HOST_SILENCE_TIMEOUT_S:
            self.membership.ownership.record_pause(now_s)
            self.evacuations.known.record_pause(now_s - self._handled_s, now_s)
        if now_s > self._handled_s + MAX_PAUSE_S:
            self.open_jobs.record_freeze(now_s)
        self._handled_s = now_s

    def _handle_message(self, message, now_s: float) -> None:
        match message:
            case ms.CallerRequest():
                self._report_own_loads(now_s)
                self.requests.handle_request(message, now_s)
            case ms.CallerConnectionClosed(reply_to=reply_to, end=end):
                self.requests.handle_disconnect(reply_to, end, now_s)
            case ev.RunsReported() | ev.RenewalMissed() | ev.TargetSilent():
                self.cells.handle_answer(message.target, message, now_s)
            case ev.StartAnswered() | ev.StopAnswered():
                self.cells.handle_answer(message.target, message, now_s)
            case ev.FencedByTarget(target=target, term=term):
                self._handle_fencing(target, term, now_s)
            case MessageReceived(link=link, message=content):
                if self.links.record_received(link, now_s):
                    self._handle_host_message(link.incarnation, content, now_s)
            case ms.TimerTick(count=count, sent_s=sent_s):
                open_jobs = len(self.requests.job_registry.jobs)
                self._delays.record_tick(message, open_jobs, now_s)
                heard = self.membership.list_heard_heartbeats()
                self.open_jobs.progress.begin(sent_s, heard, now_s)
                self._handle_tick(count, now_s)
            case ms.DeparturesRead(sent_s=sent_s):
                self.open_jobs.progress.complete(sent_s)
            case ms.AnswerHeartbeat(owner=owner, cells=cells, heartbeat=number):
                self.open_jobs.send(owner, cells, number)
            case LinkOpened(link=link):
                self._open_link(link, now_s)
            case LinkClosed(link=link, reason=reason):
                if self.links.close(link):
                    log_decision(
                        "link lost",
                        str(link.incarnation),
                        reason=reason,
                        unsent=len(link.outgoing_queue),
                    )
            case DialFailed(dial_address=dial_address):
                self.links.dial_backoff.record_failure(dial_address, now_s)
            case ms.ConfigurationRead(content=content):
                self.configuration.adopt(content, "store")
            case ms.EvacuationsRead(evacuations=evacuations):
                self._adopt_evacuations(evacuations, "store", now_s)
            case ms.HostsRead(hosts=hosts, versions=versions):
                self.membership.update_hosts(hosts, versions)
            case ms.TargetsRead(targets=targets, rows=rows, sent_s=sent_s):
                self._update_targets(targets, rows, now_s, sent_s)
            case ms.LayoutRead(cells=cells):
                self.membership.adopt_layout(cells, "store")
            case ms.StoreLost(table=table, reason=reason):
                log_decision("store lost", table, reason=reason)
                self._target_list.record_store(table, is_lost=True)
            case ms.StoreRegained(table=table):
                log_decision("store regained", table)
                self._target_list.record_store(table, is_lost=False)
            case ms.StartDrain(reply_to=reply_to):
                self._start_drain(reply_to, now_s)
            case ms.InterruptOpenJobs():
                interrupted = InterruptJobs(reason="the host stops")
                self.requests.handle_event(interrupted, now_s)
            case ms.DescribeHost(reply_to=reply_to):
                reply_to.try_put(self.describe_state(now_s))
            case ms.RenderHostMetrics(reply_to=reply_to):
                reply_to.try_put(self.metrics.render_text())

    def _update_targets(
        self, targets, rows, now_s: float, read_s: float | None = None
    ) -> None:
        self._target_list.targets, self._target_list.rows = targets, rows
        self.membership.ownership.has_targets = True
        self.membership.request_layout(targets, now_s)
        # A successor would not know targets that a draining owner adds.
        self.cells.update_targets(targets, now_s, read_s, may_add=not self.is_draining)

    def _handle_fencing(self, target: str, term: int, now_s: float) -> None:
        scheduler = self.cells.find_scheduler(target)
        if scheduler is None or scheduler.term != term:
            return
        log_decision("fenced", target, term=term)
        ownership = self.membership.ownership
        self._apply_ownership_changes(
            ownership.handle_fencing(scheduler.cell, now_s), now_s
        )

    # Claims

    def _apply_ownership_changes(self, changes: Iterator, now_s: float) -> None:
        for change in changes:
            match change:
                case ow.CellClaimed():
                    self._acquire_cell(change, now_s)
                case ow.CellLost(cell=cell, reason=reason):
                    log_decision("cell lost", str(cell), reason=reason)
                    self.cells.release(cell)
            self._send_heartbeats_now(self.links.find_linked(), now_s)
        own_claims = self.cells.build_claims(now_s)
        owners = self.membership.find_owners(own_claims, now_s)
        self.requests.handle_event(OwnersChanged(owners=owners), now_s)

    def _acquire_cell(self, claimed: ow.CellClaimed, now_s: float) -> None:
        handover = self.announcements.build_handover(
            claimed.cell, claimed.predecessor_term, claimed.is_predecessor_draining
        )
        log_decision(
            "cell taken",
            str(claimed.cell),
            term=claimed.term,
            cores=self.membership.ownership.cores.get(self.local_host.name),
            predecessor_term=claimed.predecessor_term,
            handover=handover.kind.value,
            announced=len(handover.targets),
        )
        self._read_targets()
        self.cells.acquire(claimed.cell, claimed.term, now_s, handover)

    def _read_targets(self) -> None:
        self.target_polls.try_put(ms.PollTargets())

    def _find_other_owners(self) -> tuple[Incarnation, ...]:
        owners = {known.owner for known in self.requests.job_registry.owners.values()}
        return tuple(owners - {self.local_host})

    def _report_own_loads(self, now_s: float) -> None:
        if self.cells:
            claims = tuple(self.cells.build_claims(now_s))
            report = LoadsReported(owner=self.local_host, claims=claims)
            self.requests.handle_event(report, now_s)

    def _send_heartbeats_now(
        self, peers: tuple[Incarnation, ...], now_s: float
    ) -> None:
        """Send heartbeats out of turn."""
        recipients = self.membership.split_peers(peers, bool(self.cells))
        self._send_heartbeats(recipients, now_s)

    def _send_heartbeats(self, recipients: HeartbeatRecipients, now_s: float) -> None:
        if not (recipients.active or recipients.idle):
            return
        claims = tuple(self.cells.build_claims(now_s))
        version = self.configuration.version
        unconfirmed = self.cells.find_unconfirmed_hosts(now_s)
        for peers, is_idle in ((recipients.active, False), (recipients.idle, True)):
            for is_asked in (False, True):
                self.membership.send_heartbeats(
                    tuple(peer for peer in peers if (peer in unconfirmed) == is_asked),
                    claims,
                    version,
                    now_s,
                    is_idle=is_idle,
                    requests_open_jobs=is_asked,
                )

    def _send_due_heartbeats(self, now_s: float) -> None:
        owners = self.requests.job_registry.collect_working_owners()
        for owner in owners:
            self.membership.ownership.expect_message(owner, now_s)
        recipients = self.membership.find_heartbeat_recipients(
            self._tick_count,
            bool(self.cells),
            owners | self.cells.collect_front_hosts(),
        )
        self._send_heartbeats(recipients, now_s)

    # Messages from other hosts

    def _handle_host_message(self, sender: Incarnation, message, now_s: float) -> None:
        match message:
            case ev.HostHeartbeat():
                self._handle_heartbeat(sender, message, now_s)
            case ev.RunTasks() | ev.CancelTasks():
                self.membership.ownership.record_message(sender, now_s)
                self._handle_task_request(message, sender, now_s)
            case ev.OpenJobs():
                self.membership.ownership.record_answer(sender, now_s)
                self._handle_task_request(message, sender, now_s)
            case ev.TasksEnded():
                self.requests.handle_event(message, now_s)
            case ev.CancelRequest() | ev.CancelReply() | ev.CancelledJobs():
                self.requests.handle_cancel_message(message, sender, now_s)
            case ev.ConfigurationOffer(content=content):
                self.configuration.adopt(content, str(sender))
            case ev.ConfigurationRequest():
                self.outbox.send_all(sender, self.configuration.build_offers())
            case ev.CellTargets():
                self.announcements.record(message)
            case ev.TargetLosses():
                self.cells.record_losses(message, now_s)
            case ev.TargetsRequest(data_centre=data_centre):
                if self.cells:
                    offers = self._target_list.build_offers(data_centre)
                    self.outbox.send_all(sender, offers)
            case ev.TargetsOffer():
                self._adopt_targets(message, sender, now_s)
            case _:
                kind = type(message).__name__
                log_decision("message not used", str(sender), kind=kind)

    def _handle_task_request(
        self,
        request: ev.RunTasks | ev.CancelTasks | ev.OpenJobs,
        sender: Incarnation,
        now_s: float,
    ) -> None:
        match request:
            case ev.CancelTasks():
                confirmed_s = now_s
            case ev.RunTasks() | ev.OpenJobs():
                confirmed_s = self.open_jobs.find_confirmed_s(sender, request, now_s)
        self.cells.handle_task_request(request, sender, now_s, confirmed_s)

    def _handle_heartbeat(
        self, sender: Incarnation, heartbeat: ev.HostHeartbeat, now_s: float
    ) -> None:
        self._adopt_evacuations(heartbeat.evacuations, str(sender), now_s)
        if self.membership.handle_heartbeat(sender, heartbeat, now_s):
            self._apply_ownership_changes(
                self.membership.ownership.update_claims(now_s), now_s
            )
        elif heartbeat.claims:
            self.requests.handle_event(
                LoadsReported(owner=sender, claims=heartbeat.claims), now_s
            )
        if heartbeat.lacks_targets and self._target_list.rows:
            self.links.send(sender, ev.TargetsOffer(rows=self._target_list.rows))
        if heartbeat.requests_open_jobs:
            self.open_jobs.answer_heartbeat(sender, heartbeat)
        version = heartbeat.configuration_version
        if self.configuration.should_request(version, now_s):
            log_decision("configuration requested", str(sender), version=version)
            request = ev.ConfigurationRequest(known_version=self.configuration.version)
            self.links.send(sender, request)

    def _adopt_evacuations(
        self, evacuations: Evacuations, source: str, now_s: float
    ) -> None:
        """Adopt a newer state; an owner tells all hosts, with its loads, at once.

        Front hosts learn of it before its tasks are handed back to them.
        """
        if self.evacuations.adopt(evacuations, source) and self.cells:
            self._send_heartbeats_now(self.links.find_linked(), now_s)

    def _request_targets(self, now_s: float) -> None:
        """Request the list of targets of an owner that can probably read it."""
        if not self.cells:
            return
        peer = self._target_list.choose_peer(self._find_other_owners(), now_s)
        if peer is not None:
            log_decision("targets requested", str(peer))
            data_centre = self.local_host.name.data_centre
            self.links.send(peer, ev.TargetsRequest(data_centre=data_centre))

    def _adopt_targets(
        self, offer: ev.TargetsOffer, sender: Incarnation, now_s: float
    ) -> None:
        """Adopt an offered list unless this host can read a newer one itself."""
        target_list = self._target_list
        if target_list.adopt_offer(offer, self.membership.ownership.has_targets):
            log_decision("targets offered", str(sender), count=len(offer.rows))
            self._update_targets(target_list.targets, target_list.rows, now_s)

    def _open_link(self, link, now_s: float) -> None:
        replaced = self.links.open(link, now_s)
        peer = link.incarnation
        log_decision("link opened", str(peer), replaced=len(replaced))
        for other in self.membership.remove_replaced(peer):
            self.cells.remove_front_host(other, now_s)
        # Orders and claims follow a heartbeat, so that they follow the record too.
        self.requests.cancellations.handle_link(peer, now_s)
        # A draining heartbeat tells that the announcement before it is complete.
        self.cells.announce_targets(peer)
        self.cells.announce_losses(peer, now_s)
        self._send_heartbeats_now((peer,), now_s)
        job_registry = self.requests.job_registry
        for cell, cell_owner in list(job_registry.owners.items()):
            if cell_owner.owner == peer:
                for effect in job_registry.resend_requests(cell, now_s):
                    self.requests.execute_effect(effect, now_s)

    # Timer and drain

    def _record_suspension(self, now_s: float) -> None:
        """Log a suspension of the machine, and end the jobs that may have no caller."""
        earlier_s, self._suspended_s = self._suspended_s, self.read_suspended_s()
        suspended_s = self._suspended_s - earlier_s
        if suspended_s < MIN_SUSPENSION_S:
            return
        self.metrics.suspended_s += suspended_s
        log_decision(
            "machine suspended",
            str(self.local_host),
            suspended_s=round(suspended_s, 3),
            open_jobs=len(self.requests.job_registry.jobs),
        )
        if suspended_s > MAX_SUSPENSION_S:
            self.requests.resumed_s = now_s
        self.requests.handle_event(MachineSuspended(suspended_s=suspended_s), now_s)

    @property
    def timer_period_ticks(self) -> int:
        """Period of the timer, in ticks."""
        if self.cells or not self.is_ready:
            return 1
        if self.requests.job_registry.jobs or self.membership.is_candidate:
            return WORKING_PERIOD_TICKS
        return IDLE_PERIOD_TICKS

    def _handle_tick(self, count: int, now_s: float) -> None:
        self._tick_count = count
        is_owner = bool(self.cells)
        for peer in self.membership.find_silent(now_s):
            self.cells.remove_front_host(peer, now_s)
        self.open_jobs.confirm_own(self.cells.list_cells())
        self.cells.handle_tick(now_s)
        if self._tick_count % OWNERSHIP_TICKS == 0:
            self.membership.maintain_links(
                self.requests.job_registry.owners.values(), is_owner, now_s
            )
            self._apply_ownership_changes(
                self.membership.ownership.update_claims(now_s), now_s
            )
        self.requests.handle_event(ev.Tick(), now_s)
        self.requests.advance_cancels(now_s)
        self._send_due_heartbeats(now_s)
        self._request_targets(now_s)
        if self._tick_count % HOUSEKEEPING_TICKS == 0:
            self.membership.request_layout(self.cells.targets, now_s)
            self.membership.ownership.remove_expired_peers(now_s)
            self.membership.remove_lost_hosts(is_owner, now_s)
            if self.membership.ownership.has_targets:
                hosts = (self.local_host.name, *self.links.hosts)
                self.evacuations.log_unknown(hosts, self.cells.targets)
        self._check_drained(now_s)

    def _start_drain(self, reply_to: Any, now_s: float) -> None:
        open_jobs = len(self.requests.job_registry.jobs)
        log_decision("draining", str(self.local_host), open_jobs=open_jobs)
        self.is_draining = True
        self.membership.ownership.is_draining = True
        self._drain_reply_to = reply_to
        self._drain_started_s = now_s
        self._send_heartbeats_now(self.links.find_linked(), now_s)

    def _check_drained(self, now_s: float) -> None:
        """Report the drain as done after the notice period, once no work is left."""
        if (
            self._drain_reply_to is None
            or now_s < self._drain_started_s + DRAIN_NOTICE_S
        ):
            return
        # A job accepted from now on might not end before the process exits.
        self.requests.rejects_jobs = True
        if not self.requests.job_registry.jobs and not self.cells.has_work():
            self._drain_reply_to.try_put(ms.Drained())
            self._drain_reply_to = None

    def describe_state(self, now_s: float) -> dict:
        """Return the host's state for the `/dump` endpoint."""
        return {
            "host": str(self.local_host),
            "configuration": self.configuration.version,
            "evacuated": sorted(self.evacuations.known.current.data_centres),
            "draining": self.is_draining,
            "links": [str(peer) for peer in self.links.find_linked()],
            "targets": self.cells.describe_targets(now_s),
            **self.requests.describe_state(),
        }
