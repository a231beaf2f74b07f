"""The manager greenlet, which owns membership, links and forwarded requests."""

import logging
from collections.abc import Iterable

from gevent.pool import Group, Pool

from gentianhub.core import (
    EntryProcessAddress,
    Incarnation,
    Mailbox,
    Step,
    read_monotonic_s,
)
from gentianhub.core.events import (
    Event,
    LiveProcessesChanged,
    TargetsListed,
    Tick,
)
from gentianhub.core.operations import WatchOperation
from gentianhub.core.records import define, field
from gentianhub.decisions import membership as mb
from gentianhub.decisions.propagation import ChangesRead, PollerRole
from gentianhub.linking.dialling import DialBackoff
from gentianhub.linking.links import Link, LinkContext, dial_link
from gentianhub.settings import Endpoint
from gentianhub.siblings import forwarding as fw
from gentianhub.siblings import manager_messages as mm
from gentianhub.siblings import messages as ms
from gentianhub.siblings.dump import describe_siblings
from gentianhub.siblings.propagation import LeavingTargets, TableSync
from gentianhub.siblings.wire import encode_message

# Longer than the liveness timeout, so that a process that was only paused keeps its
# link and the replies on it.
LINK_SILENCE_TIMEOUT_S = 3.0
IDLE_LINK_TIMEOUT_S = 30.0
# A host list from a poller is adopted only if this process's last read is older.
HOST_LIST_MAX_AGE_S = 2.0

logger = logging.getLogger(__name__)


@define(kw_only=True, eq=False)
class LinkState:
    """An accepted link; times are in seconds on the monotonic clock.

    `watches` are the greenlets that watch jobs for the process at the other end.
    """

    link: Link
    last_received_s: float
    last_used_s: float
    watches: Group = field(init=False, factory=Group)


@define(kw_only=True, eq=False)
class SiblingManager:
    """Owns the state that one process keeps about its siblings.

    Other greenlets reach it through the mailbox `context.manager_mailbox`.

    Parameters
    ----------
    context : LinkContext
        The process's own greeting and the mailboxes of manager and dispatcher.
    poller : Mailbox
        Receives `PollerRole`.
    seeds : tuple of Endpoint
        Addresses to connect to besides the listed ones, so that siblings are found
        while the platform does not answer.
    """

    context: LinkContext
    poller: Mailbox
    seeds: tuple[Endpoint, ...] = ()
    started_s: float = field(factory=read_monotonic_s)
    membership: mb.Membership = field(init=False)
    table_sync: TableSync = field(init=False, factory=lambda: TableSync())
    leaving: LeavingTargets = field(init=False, factory=lambda: LeavingTargets())
    forwards: fw.ForwardTracker = field(init=False, factory=lambda: fw.ForwardTracker())
    dial_backoff: DialBackoff = field(init=False, factory=lambda: DialBackoff())
    links: dict[Incarnation, LinkState] = field(init=False, factory=dict)
    hosts: mb.HostList | None = field(init=False, default=None)
    _hosts_read_s: float = field(init=False, default=float("-inf"))
    _last_sent_role: PollerRole | None = field(init=False, default=None)
    _heartbeat: ms.Heartbeat | None = field(init=False, default=None)
    _heartbeat_body: bytes = field(init=False, default=b"")
    _dial_greenlets: Group = field(init=False, factory=Group)
    _forward_pool: Pool = field(
        init=False, factory=lambda: Pool(fw.MAX_SERVED_FORWARDS)
    )

    def __attrs_post_init__(self):
        self.membership = mb.Membership(
            own_incarnation=self.own_incarnation, started_s=self.started_s
        )

    @property
    def own_incarnation(self) -> Incarnation:
        """The process that this manager belongs to."""
        return self.context.hello.sender

    def run(self) -> None:
        """Handle messages until killed; then close dialled links and stop serving."""
        try:
            for manager_message in self.context.manager_mailbox.iterate_messages():
                self._handle_safely(manager_message)
        finally:
            self._forward_pool.kill(block=False)
            self._dial_greenlets.kill(block=False)

    def _handle_safely(self, manager_message) -> None:
        """Handle a message and log any exception.

        The greenlet must survive, since without it no sibling can be reached.
        """
        try:
            self._handle_manager_message(manager_message, read_monotonic_s())
        except Exception:
            logger.exception(
                "cannot handle message: %.200r",
                manager_message,
                extra={
                    "step": Step.SIBLING_LINK.value,
                    "peer": str(self.own_incarnation),
                },
            )

    def _handle_manager_message(self, manager_message, now_s: float) -> None:
        match manager_message:
            case mm.MessageReceived(link=link, message=message):
                self._handle_message(link, message, now_s)
            case mm.SendSlotMessage(recipient=recipient, message=message):
                if (state := self.links.get(recipient)) is not None:
                    state.link.send(encode_message(message))
            case mm.Forward():
                self._handle_forward(manager_message, now_s)
            case Tick():
                self._handle_tick(now_s)
            case mm.LinkOpened(link=link):
                self._add_link(link, now_s)
            case mm.LinkClosed(link=link, reason=reason):
                self._remove_link(link, reason, now_s)
            case mm.DialFailed():
                self._handle_dial_failure(manager_message, now_s)
            case mb.HostList():
                self._handle_host_list(manager_message, now_s)
            case ChangesRead(changes=changes, table=table):
                list(self.table_sync.history.adopt_changes(changes))
                list(self.table_sync.history.adopt_table(table))
            case mm.TargetLeaving(target=target):
                self.leaving.record_target(target, now_s)
            case mm.DescribeSiblings(reply_to=to):
                to.try_put(describe_siblings(self, now_s))

    def _handle_message(self, link: Link, message, now_s: float) -> None:
        state = self.links.get(link.incarnation)
        if state is None or state.link is not link:
            return
        state.last_received_s = now_s
        self._update_membership(
            mb.PeerMessageReceived(incarnation=link.incarnation), now_s
        )
        match message:
            case ms.Heartbeat(table_version=version, leaving=leaving):
                self.table_sync.request_table(link, version, now_s)
                self._notify_dispatcher(self.leaving.record_reports(leaving, now_s))
            case ms.ForwardRequest():
                state.last_used_s = now_s
                self._serve_request(message, state)
            case ms.ForwardReply():
                state.last_used_s = now_s
                self.forwards.deliver_reply(message, link.incarnation)
            case ms.TableRequest(after=after):
                self.table_sync.send_table(link, after)
            case ms.TableDeltas():
                self._notify_dispatcher(self.table_sync.adopt_deltas(message))
            case mb.HostList():
                self._adopt_hosts(message, link, now_s)

    def _notify_dispatcher(self, events: Iterable[Event]) -> None:
        """Send events to the dispatcher."""
        for event in events:
            self.context.dispatcher_mailbox.put(event)

    def _update_membership(self, event: mb.MembershipEvent, now_s: float) -> None:
        """Apply an event to the membership; announce a change of the live set."""
        for change in self.membership.handle(event, now_s):
            self._announce_live_processes(change)

    def _announce_live_processes(self, change: LiveProcessesChanged) -> None:
        logger.info("live processes: %s", ", ".join(map(str, change.processes)))
        self.context.dispatcher_mailbox.put(change)

    # Links

    def _add_link(self, link: Link, now_s: float) -> None:
        identified = mb.PeerIdentified(
            incarnation=link.incarnation,
            started_ms=link.peer.started_ms,
            address=EntryProcessAddress(
                name=link.incarnation.name, host=link.peer.host, port=link.peer.port
            ),
        )
        current = self.links.get(link.incarnation)
        if self.membership.is_superseded(identified, now_s):
            logger.warning(
                "link refused: a later incarnation of this process is live",
                extra={
                    "step": Step.SIBLING_LINK.value,
                    "peer": str(link.incarnation),
                },
            )
            link.accepted.try_put(False)
            return
        if current is not None and not _is_preferred(link, current.link):
            link.accepted.try_put(False)
            return
        if current is not None:
            current.link.close()
            current.watches.kill(block=False)
            self.forwards.refuse_sent_to(link.incarnation, now_s, min_age_s=0.0)
        self.links[link.incarnation] = LinkState(
            link=link, last_received_s=now_s, last_used_s=now_s
        )
        link.accepted.try_put(True)
        self._update_membership(identified, now_s)
        if self.hosts is not None and self._is_in_own_data_centre(link.incarnation):
            link.send(encode_message(self.hosts))
        self._send_waiting_forwards(link, now_s)

    def _send_waiting_forwards(self, link: Link, now_s: float) -> None:
        for forward in self.forwards.pop_waiting(link.incarnation.name):
            self._handle_forward(forward, now_s)

    def _remove_link(self, link: Link, reason: str, now_s: float) -> None:
        state = self.links.get(link.incarnation)
        is_current = state is not None and state.link is link
        if link.dial_address is not None:
            if is_current:
                self.dial_backoff.reset(link.dial_address)
            self.dial_backoff.record_failure(link.dial_address, now_s)
        if is_current:
            logger.info("link to %s closed: %s", link.incarnation, reason)
            del self.links[link.incarnation]
            state.watches.kill(block=False)
            self.forwards.refuse_sent_to(link.incarnation, now_s, min_age_s=0.0)

    def _handle_dial_failure(self, failed: mm.DialFailed, now_s: float) -> None:
        name = failed.dial_address.name
        self.dial_backoff.record_failure(failed.dial_address, now_s)
        logger.debug("cannot connect to %s: %s", failed.dial_address, failed.reason)
        is_linked = any(incarnation.name == name for incarnation in self.links)
        if failed.is_peer_gone and name is not None and not is_linked:
            self._update_membership(mb.PeerStopped(name=name), now_s)
            for forward in self.forwards.pop_waiting(name):
                fw.refuse_gone(forward, failed.reason)

    def _dial(self, dial_address: mm.DialAddress) -> None:
        self.dial_backoff.record_attempt(dial_address)
        self._dial_greenlets.spawn(dial_link, dial_address, self.context)

    def _dial_siblings(self, now_s: float) -> None:
        linked = {incarnation.name for incarnation in self.links}
        dial_addresses = {
            _build_dial_address(address)
            for address in self.membership.find_dial_addresses()
            if address.name not in linked
        }
        dial_addresses |= set(self._find_unlinked_seeds())
        for dial_address in dial_addresses:
            if self.dial_backoff.is_due(dial_address, now_s):
                self._dial(dial_address)
        self.dial_backoff.retain(dial_addresses)

    def _find_unlinked_seeds(self):
        """Yield the seeds to which no link is open."""
        hellos = [state.link.peer for state in self.links.values()]
        linked = {(hello.host, hello.port) for hello in (*hellos, self.context.hello)}
        for seed in self.seeds:
            if seed.as_host_and_port() not in linked:
                yield mm.DialAddress(name=None, host=seed.host, port=seed.port)

    # Time

    def _handle_tick(self, now_s: float) -> None:
        self._update_membership(Tick(), now_s)
        self.forwards.expire(now_s)
        self._send_heartbeats(now_s)
        for state in list(self.links.values()):
            self._check_link(state, now_s)
        self._dial_siblings(now_s)
        self._send_poller_role(now_s)

    def _send_heartbeats(self, now_s: float) -> None:
        heartbeat = ms.Heartbeat(
            table_version=self.table_sync.history.table.version,
            leaving=self.leaving.list_observed(now_s),
        )
        if heartbeat != self._heartbeat:
            self._heartbeat = heartbeat
            self._heartbeat_body = encode_message(heartbeat)
        for state in self.links.values():
            state.link.send(self._heartbeat_body)

    def _check_link(self, state: LinkState, now_s: float) -> None:
        incarnation = state.link.incarnation
        if not self.membership.is_live(incarnation, now_s):
            self.forwards.refuse_sent_to(incarnation, now_s, fw.UNREACHABLE_TIMEOUT_S)
        is_idle = now_s - state.last_used_s >= IDLE_LINK_TIMEOUT_S
        is_own_dial = state.link.dial_address is not None
        if now_s - state.last_received_s >= LINK_SILENCE_TIMEOUT_S:
            state.link.close()
        elif is_idle and is_own_dial and not self._is_in_own_data_centre(incarnation):
            state.link.close()

    def _send_poller_role(self, now_s: float) -> None:
        table = self.table_sync.history.table
        role = PollerRole(is_poller=self.membership.is_poller(now_s), table=table)
        last_sent = self._last_sent_role
        is_changed = (
            last_sent is None
            or last_sent.is_poller != role.is_poller
            or last_sent.table.version != table.version
        )
        if is_changed and self.poller.try_put(role):
            self._last_sent_role = role

    # Forwarded requests

    def _handle_forward(self, forward: mm.Forward, now_s: float) -> None:
        state = self.links.get(forward.owner)
        if len(self.forwards) >= fw.MAX_OPEN_FORWARDS:
            fw.refuse_overload(forward)
        elif state is not None:
            state.last_used_s = now_s
            self.forwards.send_request(forward, state.link, now_s)
        else:
            self._dial_owner(forward, now_s)

    def _dial_owner(self, forward: mm.Forward, now_s: float) -> None:
        match self.membership.locate_owner(forward.owner, self.links):
            case mb.OwnerReplaced(successor=successor):
                fw.refuse_gone(forward, f"replaced by {successor}")
            case mb.OwnerUnlisted():
                fw.refuse_gone(forward, "not in the platform's host list")
            case mb.OwnerUnknown():
                fw.refuse_unreachable(forward)
            case mb.OwnerReachable(address=address):
                self.forwards.queue_for_link(forward, now_s)
                dial_address = _build_dial_address(address)
                if not self.dial_backoff.is_in_use(dial_address):
                    self._dial(dial_address)

    def _serve_request(self, request: ms.ForwardRequest, state: LinkState) -> None:
        if self._forward_pool.full():
            reply = fw.build_overload_reply(request, self.own_incarnation)
            state.link.send(encode_message(reply))
            return
        dispatcher = self.context.dispatcher_mailbox
        served = self._forward_pool.spawn(
            fw.serve_forward, dispatcher, request, state.link
        )
        match request.operation:
            case WatchOperation():
                state.watches.add(served)

    # Table and host list

    def _handle_host_list(self, hosts: mb.HostList, now_s: float) -> None:
        """Adopt the platform's list; send a change to siblings in the data centre."""
        self._hosts_read_s = now_s
        if hosts != self.hosts:
            self._set_hosts(hosts, now_s)
            body = encode_message(hosts)
            for state in self.links.values():
                if self._is_in_own_data_centre(state.link.incarnation):
                    state.link.send(body)

    def _adopt_hosts(self, hosts: mb.HostList, link: Link, now_s: float) -> None:
        pollers = mb.select_pollers(self.membership.find_live_incarnations(now_s))
        is_due = self.hosts is None or (
            link.incarnation in pollers
            and now_s - self._hosts_read_s >= HOST_LIST_MAX_AGE_S
        )
        if (
            is_due
            and self._is_in_own_data_centre(link.incarnation)
            and hosts != self.hosts
        ):
            self._set_hosts(hosts, now_s)

    def _set_hosts(self, hosts: mb.HostList, now_s: float) -> None:
        self.hosts = hosts
        self.context.dispatcher_mailbox.put(TargetsListed(targets=hosts.targets))
        self._update_membership(hosts, now_s)
        self._dial_siblings(now_s)

    def _is_in_own_data_centre(self, incarnation: Incarnation) -> bool:
        return incarnation.name.data_centre == self.own_incarnation.name.data_centre


def _is_preferred(new: Link, current: Link) -> bool:
    """Whether a second link to an incarnation replaces the first.

    Both ends apply this rule, so that they keep the same link if both dialled.
    """
    return new.dialled_by == current.dialled_by or new.dialled_by < current.dialled_by


def _build_dial_address(address: EntryProcessAddress) -> mm.DialAddress:
    return mm.DialAddress(name=address.name, host=address.host, port=address.port)
