"""The sibling manager greenlet: owns membership, links and forwarded requests."""

import logging
from collections.abc import Iterable

from attrs import define, field
from gevent.pool import Group, Pool

from gentianhub.core import (
    EntryAddress,
    Incarnation,
    Mailbox,
    Step,
    read_monotonic_s,
)
from gentianhub.core.events import (
    Event,
    HomesChanged,
    TargetsSeen,
    Tick,
)
from gentianhub.decisions import membership as mb
from gentianhub.decisions.propagation import ChangesRead, PollDuty
from gentianhub.linking.dialling import DialBook
from gentianhub.linking.links import Link, LinkContext, dial_link
from gentianhub.settings import Endpoint
from gentianhub.siblings import forwarding as fw
from gentianhub.siblings import messages as ms
from gentianhub.siblings import notices as nt
from gentianhub.siblings.dump import describe_siblings
from gentianhub.siblings.sharing import LeavingTargets, TableSharing
from gentianhub.siblings.wire import encode_message

# A silent link is closed later than its process counts as not live, so that one
# that was only paused keeps its link and its replies.
SILENT_LINK_S = 3.0
IDLE_LINK_S = 30.0
# A poller whose own list is older takes the other poller's.
HOST_LIST_FRESH_S = 2.0

logger = logging.getLogger(__name__)


@define(kw_only=True, eq=False)
class LinkState:
    """An accepted link; times are monotonic."""

    link: Link
    heard_s: float
    used_s: float


@define(kw_only=True, eq=False)
class SiblingManager:
    """Owns what one process knows of the others; reached by its mailbox.

    Parameters
    ----------
    context : LinkContext
        The process's own greeting and the mailboxes of manager and dispatcher.
    watcher : Mailbox
        Takes `PollDuty`.
    seeds : tuple of Endpoint
        Addresses to ask when the platform gives none.
    """

    context: LinkContext
    watcher: Mailbox
    seeds: tuple[Endpoint, ...] = ()
    started_s: float = field(factory=read_monotonic_s)
    membership: mb.Membership = field(init=False)
    tables: TableSharing = field(init=False, factory=lambda: TableSharing())
    leaving: LeavingTargets = field(init=False, factory=lambda: LeavingTargets())
    forwards: fw.ForwardBook = field(init=False, factory=lambda: fw.ForwardBook())
    dials: DialBook = field(init=False, factory=lambda: DialBook())
    links: dict[Incarnation, LinkState] = field(init=False, factory=dict)
    hosts: mb.HostList | None = field(init=False, default=None)
    _hosts_read_s: float = field(init=False, default=float("-inf"))
    _told_duty: PollDuty | None = field(init=False, default=None)
    _heartbeat: ms.Heartbeat | None = field(init=False, default=None)
    _heartbeat_body: bytes = field(init=False, default=b"")
    _dialling: Group = field(init=False, factory=Group)
    _serving: Pool = field(init=False, factory=lambda: Pool(fw.MAX_SERVED_FORWARDS))

    def __attrs_post_init__(self):
        self.membership = mb.Membership(own=self.own, started_s=self.started_s)

    @property
    def own(self) -> Incarnation:
        """The process that this manager belongs to."""
        return self.context.hello.sender

    def run(self) -> None:
        """Take messages for ever; end all links when killed."""
        try:
            for notice in self.context.manager.drain_messages():
                self._take_safely(notice)
        finally:
            self._serving.kill(block=False)
            self._dialling.kill(block=False)

    def _take_safely(self, notice) -> None:
        """Log a fault with one message; without a manager no sibling is reached."""
        try:
            self._take_notice(notice, read_monotonic_s())
        except Exception:
            logger.exception(
                "message not handled: %.200r",
                notice,
                extra={"step": Step.SIBLING_LINK.value, "peer": str(self.own)},
            )

    def _take_notice(self, notice, now_s: float) -> None:
        match notice:
            case nt.MessageReceived(link=link, message=message):
                self._take_message(link, message, now_s)
            case nt.SendSlotMessage(to=to, message=message):
                if (state := self.links.get(to)) is not None:
                    state.link.send(encode_message(message))
            case nt.Forward():
                self._take_forward(notice, now_s)
            case Tick():
                self._pass_time(now_s)
            case nt.LinkOpened(link=link):
                self._open_link(link, now_s)
            case nt.LinkClosed(link=link, reason=reason):
                self._close_link(link, reason, now_s)
            case nt.DialFailed():
                self._fail_dial(notice, now_s)
            case mb.HostList():
                self._read_hosts(notice, now_s)
            case ChangesRead(changes=changes, table=table):
                list(self.tables.history.adopt_changes(changes))
                list(self.tables.history.adopt_table(table))
            case nt.TargetSeenLeaving(target=target):
                self.leaving.see_target(target, now_s)
            case nt.DescribeSiblings(reply_to=to):
                to.offer(describe_siblings(self, now_s))

    def _take_message(self, link: Link, message, now_s: float) -> None:
        state = self.links.get(link.incarnation)
        if state is None or state.link is not link:
            return
        state.heard_s = now_s
        self._see(mb.PeerHeard(incarnation=link.incarnation), now_s)
        match message:
            case ms.Heartbeat(table_version=version, leaving=leaving):
                self.tables.request_table(link, version, now_s)
                self._tell(self.leaving.take_news(leaving, now_s))
            case ms.ForwardRequest():
                state.used_s = now_s
                self._serve_request(message, link)
            case ms.ForwardReply():
                state.used_s = now_s
                self.forwards.deliver_reply(message, link.incarnation)
            case ms.TableRequest(after=after):
                self.tables.send_table(link, after)
            case ms.TableDeltas():
                self._tell(self.tables.adopt_deltas(message))
            case mb.HostList():
                self._adopt_hosts(message, link, now_s)

    def _tell(self, events: Iterable[Event]) -> None:
        """Pass events on to the dispatcher."""
        for event in events:
            self.context.dispatcher.put(event)

    def _see(self, event: mb.MembershipEvent, now_s: float) -> None:
        """Feed the membership; pass a change of homes on."""
        for change in self.membership.handle(event, now_s):
            self._announce_homes(change)

    def _announce_homes(self, change: HomesChanged) -> None:
        logger.info("live processes: %s", ", ".join(map(str, change.processes)))
        self.context.dispatcher.put(change)

    # Links

    def _open_link(self, link: Link, now_s: float) -> None:
        introduced = mb.PeerIntroduced(
            incarnation=link.incarnation,
            started_ms=link.peer.started_ms,
            address=EntryAddress(
                name=link.incarnation.name, host=link.peer.host, port=link.peer.port
            ),
        )
        current = self.links.get(link.incarnation)
        if self.membership.is_superseded(introduced, now_s):
            logger.warning(
                "link refused: a later process of this name lives",
                extra={
                    "step": Step.SIBLING_LINK.value,
                    "peer": str(link.incarnation),
                },
            )
            link.verdict.offer(False)
            return
        if current is not None and not _is_preferred(link, current.link):
            link.verdict.offer(False)
            return
        if current is not None:
            current.link.close()
            self.forwards.fail_owner(link.incarnation, now_s, min_age_s=0.0)
        self.links[link.incarnation] = LinkState(link=link, heard_s=now_s, used_s=now_s)
        link.verdict.offer(True)
        self._see(introduced, now_s)
        if self.hosts is not None and self._is_near(link.incarnation):
            link.send(encode_message(self.hosts))
        self._send_waiting(link, now_s)

    def _send_waiting(self, link: Link, now_s: float) -> None:
        for forward in self.forwards.take_waiting(link.incarnation.name):
            self._take_forward(forward, now_s)

    def _close_link(self, link: Link, reason: str, now_s: float) -> None:
        state = self.links.get(link.incarnation)
        is_current = state is not None and state.link is link
        if link.target is not None:
            if is_current:
                self.dials.end(link.target)
            self.dials.fail(link.target, now_s)
        if is_current:
            logger.info("link to %s ended: %s", link.incarnation, reason)
            del self.links[link.incarnation]
            self.forwards.fail_owner(link.incarnation, now_s, min_age_s=0.0)

    def _fail_dial(self, failed: nt.DialFailed, now_s: float) -> None:
        name = failed.target.name
        self.dials.fail(failed.target, now_s)
        logger.debug("no link to %s: %s", failed.target, failed.reason)
        is_linked = any(incarnation.name == name for incarnation in self.links)
        if failed.has_ended and name is not None and not is_linked:
            self._see(mb.PeerEnded(name=name), now_s)
            for forward in self.forwards.take_waiting(name):
                fw.refuse_gone(forward, failed.reason)

    def _dial(self, target: nt.DialTarget) -> None:
        self.dials.begin(target)
        self._dialling.spawn(dial_link, target, self.context)

    def _dial_siblings(self, now_s: float) -> None:
        linked = {incarnation.name for incarnation in self.links}
        wanted = {
            _build_target(address)
            for address in self.membership.find_dialled()
            if address.name not in linked
        }
        wanted |= set(self._find_seeds())
        for target in wanted:
            if self.dials.may_dial(target, now_s):
                self._dial(target)
        self.dials.keep_only(wanted)

    def _find_seeds(self):
        """Yield the seeds to which no link is open."""
        hellos = [state.link.peer for state in self.links.values()]
        linked = {(hello.host, hello.port) for hello in (*hellos, self.context.hello)}
        for seed in self.seeds:
            if seed.as_pair() not in linked:
                yield nt.DialTarget(name=None, host=seed.host, port=seed.port)

    # Time

    def _pass_time(self, now_s: float) -> None:
        self._see(Tick(), now_s)
        self.forwards.expire(now_s)
        self._send_heartbeats(now_s)
        for state in list(self.links.values()):
            self._check_link(state, now_s)
        self._dial_siblings(now_s)
        self._tell_duty(now_s)

    def _send_heartbeats(self, now_s: float) -> None:
        heartbeat = ms.Heartbeat(
            table_version=self.tables.history.table.version,
            leaving=self.leaving.list_own(now_s),
        )
        if heartbeat != self._heartbeat:
            self._heartbeat = heartbeat
            self._heartbeat_body = encode_message(heartbeat)
        for state in self.links.values():
            state.link.send(self._heartbeat_body)

    def _check_link(self, state: LinkState, now_s: float) -> None:
        incarnation = state.link.incarnation
        if not self.membership.is_live(incarnation, now_s):
            self.forwards.fail_owner(incarnation, now_s, fw.REACH_TIMEOUT_S)
        is_idle = now_s - state.used_s >= IDLE_LINK_S
        is_own_dial = state.link.target is not None
        if now_s - state.heard_s >= SILENT_LINK_S:
            state.link.close()
        elif is_idle and is_own_dial and not self._is_near(incarnation):
            state.link.close()

    def _tell_duty(self, now_s: float) -> None:
        table = self.tables.history.table
        duty = PollDuty(is_poller=self.membership.is_poller(now_s), table=table)
        told = self._told_duty
        is_news = (
            told is None
            or told.is_poller != duty.is_poller
            or told.table.version != table.version
        )
        if is_news and self.watcher.offer(duty):
            self._told_duty = duty

    # Forwarded requests

    def _take_forward(self, forward: nt.Forward, now_s: float) -> None:
        state = self.links.get(forward.owner)
        if len(self.forwards) >= fw.MAX_OPEN_FORWARDS:
            fw.refuse_overload(forward)
        elif state is not None:
            state.used_s = now_s
            self.forwards.send_request(forward, state.link, now_s)
        else:
            self._find_owner(forward, now_s)

    def _find_owner(self, forward: nt.Forward, now_s: float) -> None:
        match self.membership.locate_owner(forward.owner, self.links):
            case mb.OwnerReplaced(by=by):
                fw.refuse_gone(forward, f"{by} runs in its place")
            case mb.OwnerUnlisted():
                fw.refuse_gone(forward, "the platform does not list it")
            case mb.OwnerUnfindable():
                fw.refuse_unreachable(forward)
            case mb.OwnerKnown(address=address):
                self.forwards.wait_for_link(forward, now_s)
                target = _build_target(address)
                if not self.dials.is_dialling(target):
                    self._dial(target)

    def _serve_request(self, request: ms.ForwardRequest, link: Link) -> None:
        if self._serving.full():
            link.send(encode_message(fw.build_overload_reply(request, self.own)))
        else:
            dispatcher = self.context.dispatcher
            self._serving.spawn(fw.serve_forward, dispatcher, request, link)

    # Table and host list

    def _read_hosts(self, hosts: mb.HostList, now_s: float) -> None:
        """Take the platform's list; pass a change on to all near siblings."""
        self._hosts_read_s = now_s
        if hosts != self.hosts:
            self._set_hosts(hosts, now_s)
            body = encode_message(hosts)
            for state in self.links.values():
                if self._is_near(state.link.incarnation):
                    state.link.send(body)

    def _adopt_hosts(self, hosts: mb.HostList, link: Link, now_s: float) -> None:
        pollers = mb.select_pollers(self.membership.find_live(now_s))
        is_due = self.hosts is None or (
            link.incarnation in pollers
            and now_s - self._hosts_read_s >= HOST_LIST_FRESH_S
        )
        if is_due and self._is_near(link.incarnation) and hosts != self.hosts:
            self._set_hosts(hosts, now_s)

    def _set_hosts(self, hosts: mb.HostList, now_s: float) -> None:
        self.hosts = hosts
        self.context.dispatcher.put(TargetsSeen(targets=hosts.targets))
        self._see(hosts, now_s)
        self._dial_siblings(now_s)

    def _is_near(self, incarnation: Incarnation) -> bool:
        return incarnation.name.data_centre == self.own.name.data_centre


def _is_preferred(new: Link, current: Link) -> bool:
    """Whether a second link to an incarnation replaces the first.

    Both ends apply this rule, so that they keep the same one if both dialled.
    """
    return new.dialler == current.dialler or new.dialler < current.dialler


def _build_target(address: EntryAddress) -> nt.DialTarget:
    return nt.DialTarget(name=address.name, host=address.host, port=address.port)
