"""Links to the other hosts, owned by the coordinator."""

import logging
from collections.abc import Callable

from gevent.pool import Group

from gentianhub.core import Incarnation, Mailbox, ProcessName
from gentianhub.core.records import define, field
from gentianhub.host.encoding import encode_message
from gentianhub.host.registry import HostEntry
from gentianhub.linking.dialling import DialBackoff
from gentianhub.linking.link_events import DialAddress
from gentianhub.linking.links import Link, LinkContext, dial_link

# A link is closed and dialled again this long after its host counts as silent, s. An
# open connection can stop delivering data permanently while new ones work.
LINK_SILENCE_MARGIN_S = 0.2
# A link that has received a message within this time is kept when the other host dials
# as well, s.
RECENT_TRAFFIC_S = 0.3
# Longest delay before an unreachable host is dialled again, s; until the link is back,
# other hosts treat it as lost.
MAX_DIAL_DELAY_S = 0.5

logger = logging.getLogger(__name__)


@define(kw_only=True, eq=False)
class LinkState:
    """An accepted link; `last_received_s` is monotonic."""

    link: Link
    last_received_s: float


@define(kw_only=True, eq=False)
class HostLinks:
    """One link to each heartbeat peer, and to each host that has chosen this one.

    If two hosts have chosen each other, both dial, so that a new host is connected at
    once. Of two links opened at the same time, the one dialled by the host with the
    smaller name is kept.
    """

    local_host: ProcessName
    context: LinkContext
    seeds: tuple[DialAddress, ...] = ()
    links: dict[Incarnation, LinkState] = field(init=False, factory=dict)
    hosts: dict[ProcessName, HostEntry] = field(init=False, factory=dict)
    dial_backoff: DialBackoff = field(
        init=False, factory=lambda: DialBackoff(max_delay_s=MAX_DIAL_DELAY_S)
    )
    _dial_greenlets: Group = field(init=False, factory=Group)

    @property
    def coordinator(self) -> Mailbox:
        """Mailbox that receives the events of links."""
        return self.context.manager_mailbox

    def set_hosts(self, hosts: tuple[HostEntry, ...]) -> None:
        """Update the registry of hosts."""
        named = {
            ProcessName(data_centre=host.data_centre, process=host.name): host
            for host in hosts
        }
        self.hosts = {
            name: host for name, host in named.items() if name != self.local_host
        }

    def open(self, link: Link, now_s: float) -> list[Link]:
        """Accept a new link; return links to the same host that it replaces."""
        if link.dial_address is not None:
            self.dial_backoff.reset(link.dial_address)
        if link.incarnation.name == self.local_host:
            link.accepted.try_put(False)
            return []
        if self._is_redundant(link, now_s):
            link.accepted.try_put(False)
            return []
        replaced = [
            state.link
            for peer, state in self.links.items()
            if peer.name == link.incarnation.name
        ]
        for other in replaced:
            self.links.pop(other.incarnation, None)
            other.close()
        self.links[link.incarnation] = LinkState(link=link, last_received_s=now_s)
        link.accepted.try_put(True)
        return replaced

    def _is_redundant(self, link: Link, now_s: float) -> bool:
        state = self.links.get(link.incarnation)
        return (
            state is not None
            and state.link.dialled_by < link.dialled_by
            and now_s < state.last_received_s + RECENT_TRAFFIC_S
        )

    def close(self, link: Link) -> bool:
        """Remove a link that has ended; return whether it was in use."""
        if link.dial_address is not None:
            self.dial_backoff.reset(link.dial_address)
        state = self.links.get(link.incarnation)
        if state is None or state.link is not link:
            return False
        del self.links[link.incarnation]
        return True

    def record_received(self, link: Link, now_s: float) -> bool:
        """Record that a message has arrived; return whether the link is in use."""
        state = self.links.get(link.incarnation)
        if state is None or state.link is not link:
            return False
        state.last_received_s = now_s
        return True

    def send(self, to: Incarnation, message) -> bool:
        """Send a message; return whether a link has queued it."""
        state = self.links.get(to)
        return state is not None and state.link.send(encode_message(message))

    def has_room(self, to: Incarnation) -> bool:
        """Whether there is a link, and less than half of its queue is full."""
        state = self.links.get(to)
        if state is None:
            return False
        queue = state.link.outgoing_queue
        return len(queue) < queue.limit // 2

    def send_encoded(self, to: Incarnation, body: bytes) -> None:
        """Send a message that is already encoded."""
        state = self.links.get(to)
        if state is not None:
            state.link.send(body)

    def find_linked(self) -> tuple[Incarnation, ...]:
        """Return the hosts with a link."""
        return tuple(self.links)

    def maintain(
        self,
        now_s: float,
        heartbeat_peers: frozenset[ProcessName],
        find_silence_timeout_s: Callable[[Incarnation], float],
    ) -> None:
        """Close silent links and dial the heartbeat peers without a link.

        `find_silence_timeout_s` returns the time without a message, in seconds, after
        which a host counts as silent.
        """
        for peer, state in list(self.links.items()):
            timeout_s = find_silence_timeout_s(peer) + LINK_SILENCE_MARGIN_S
            if now_s > state.last_received_s + timeout_s:
                state.link.close()
        linked = {peer.name for peer in self.links}
        addresses = [
            DialAddress(name=name, host=host.address, port=host.port)
            for name, host in self.hosts.items()
            if name in heartbeat_peers and name not in linked
        ]
        if not self.hosts and not linked:
            addresses += self.seeds
        self.dial_backoff.retain(set(addresses))
        for address in addresses:
            if self.dial_backoff.is_due(address, now_s):
                self.dial_backoff.record_attempt(address)
                self._dial_greenlets.spawn(dial_link, address, self.context)

    def end(self) -> None:
        """Close all links."""
        self._dial_greenlets.kill(block=False)
        for state in self.links.values():
            state.link.close()
