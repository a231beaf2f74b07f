"""Liveness of entry processes, by their messages and the platform's host list.

A process is live if it sent a message within `LIVE_TIMEOUT_S`, whether listed or not; a
process that is listed but sent none is not live. The list lags, and the views of
different processes need not agree: the homes and pollers derived from them only decide
which process lends slots and which reads the platform.
"""

from collections.abc import Container, Iterable, Iterator

import xxhash

from gentianhub.core import EntryProcessAddress, Incarnation, ProcessName, TargetAddress
from gentianhub.core.events import LiveProcessesChanged, Tick
from gentianhub.core.records import define, field, frozen

HEARTBEAT_PERIOD_S = 0.25
# Four heartbeats; a busy process may be late with one or two.
LIVE_TIMEOUT_S = 1.0
# Silent peers that are not listed are discarded, so that the number of process names in
# use bounds the memory.
PEER_RETENTION_S = 60.0
POLLERS_PER_DATA_CENTRE = 2
POLLER_KEY = "table"


@frozen(kw_only=True)
class HostList:
    """The platform's host list: all entry processes, and this data centre's targets."""

    processes: tuple[EntryProcessAddress, ...]
    targets: tuple[TargetAddress, ...]


@frozen(kw_only=True)
class PeerIdentified:
    """A process identified itself; `started_ms` is Unix time."""

    incarnation: Incarnation
    started_ms: int
    address: EntryProcessAddress


@frozen(kw_only=True)
class PeerMessageReceived:
    """A message of an identified process arrived."""

    incarnation: Incarnation


@frozen(kw_only=True)
class PeerStopped:
    """Nothing listens at the address of the process any more."""

    name: ProcessName


MembershipEvent = HostList | PeerIdentified | PeerMessageReceived | PeerStopped | Tick


@define(kw_only=True, eq=False)
class Peer:
    """The newest known incarnation of a name and the time of its last message."""

    incarnation: Incarnation
    started_ms: int
    address: EntryProcessAddress
    last_received_s: float
    has_stopped: bool = False


@frozen(kw_only=True)
class OwnerReachable:
    """The owner may be reached at this address."""

    address: EntryProcessAddress


@frozen(kw_only=True)
class OwnerReplaced:
    """The owner was replaced by another incarnation of its name."""

    successor: Incarnation


@frozen(kw_only=True)
class OwnerUnlisted:
    """The owner is neither listed by the platform nor known to run."""


@frozen(kw_only=True)
class OwnerUnknown:
    """No host list was read yet, and the owner is not known to run."""


OwnerLocation = OwnerReachable | OwnerReplaced | OwnerUnlisted | OwnerUnknown


@define(kw_only=True, eq=False)
class Membership:
    """One process's view of all entry processes.

    After its start a process waits for `LIVE_TIMEOUT_S`, or until all listed processes
    of its data centre are live, before it announces the live processes: with itself as
    the only home it would use slots that others have lent.
    """

    own_incarnation: Incarnation
    started_s: float
    listed: dict[ProcessName, EntryProcessAddress] = field(init=False, factory=dict)
    peers: dict[ProcessName, Peer] = field(init=False, factory=dict)
    _announced: tuple[Incarnation, ...] = field(init=False, default=())

    def handle(
        self, event: MembershipEvent, now_s: float
    ) -> Iterator[LiveProcessesChanged]:
        """Handle an event; yield the live set of the data centre if it changed."""
        match event:
            case HostList(processes=processes):
                self.listed = {process.name: process for process in processes}
                self._remove_lost_peers(now_s)
            case PeerIdentified():
                self._add_peer(event, now_s)
            case PeerMessageReceived(incarnation=incarnation):
                was_live = self.is_live(incarnation, now_s)
                self._record_contact(incarnation, now_s)
                # Sorting the live set for each heartbeat would take time quadratic in
                # the number of processes.
                if was_live:
                    return
            case PeerStopped(name=name) if name in self.peers:
                self.peers[name].has_stopped = True
        yield from self._announce_live_processes(now_s)

    def is_superseded(self, event: PeerIdentified, now_s: float) -> bool:
        """Whether a live process of the same name started later.

        The start times are wall-clock times of two hosts, so they count only
        while the later process lives.
        """
        peer = self.peers.get(event.incarnation.name)
        return (
            event.incarnation.name == self.own_incarnation.name
            or peer is not None
            and peer.incarnation != event.incarnation
            and event.started_ms < peer.started_ms
            and self._is_live(peer, now_s)
        )

    def is_live(self, incarnation: Incarnation, now_s: float) -> bool:
        """Whether this incarnation sent a message within `LIVE_TIMEOUT_S`."""
        peer = self.peers.get(incarnation.name)
        return (
            peer is not None
            and peer.incarnation == incarnation
            and self._is_live(peer, now_s)
        )

    def find_live_incarnations(self, now_s: float) -> Iterator[Incarnation]:
        """Yield the live incarnations of this data centre, this process first."""
        yield self.own_incarnation
        for peer in self.peers.values():
            if self._is_in_own_data_centre(peer.incarnation.name) and self._is_live(
                peer, now_s
            ):
                yield peer.incarnation

    def locate_owner(
        self, owner: Incarnation, connected: Container[Incarnation]
    ) -> OwnerLocation:
        """Return where the owner of a job may be reached, if anywhere.

        Another incarnation of its name replaces it only while it is connected: one
        that was connected earlier may itself have been replaced by the owner.
        """
        peer = self.peers.get(owner.name)
        if owner.name == self.own_incarnation.name:
            return OwnerReplaced(successor=self.own_incarnation)
        is_other = peer is not None and peer.incarnation != owner
        if is_other and peer.incarnation in connected:
            return OwnerReplaced(successor=peer.incarnation)
        if owner.name in self.listed:
            return OwnerReachable(address=self.listed[owner.name])
        if peer is not None and not peer.has_stopped:
            return OwnerReachable(address=peer.address)
        return OwnerUnlisted() if self.listed else OwnerUnknown()

    def find_dial_addresses(self) -> Iterator[EntryProcessAddress]:
        """Yield the listed siblings that this process dials and keeps linked.

        Of each pair, the process with the smaller name dials. A process that is not
        listed yet dials all, because the others cannot know it.
        """
        dials_all = self.own_incarnation.name not in self.listed
        for name, address in self.listed.items():
            if self._is_in_own_data_centre(name) and (
                dials_all or self.own_incarnation.name < name
            ):
                if name != self.own_incarnation.name:
                    yield address

    def is_poller(self, now_s: float) -> bool:
        """Whether this process reads the platform for its data centre."""
        return self.own_incarnation in select_pollers(
            self.find_live_incarnations(now_s)
        )

    def _add_peer(self, event: PeerIdentified, now_s: float) -> None:
        if not self.is_superseded(event, now_s):
            self.peers[event.incarnation.name] = Peer(
                incarnation=event.incarnation,
                started_ms=event.started_ms,
                address=event.address,
                last_received_s=now_s,
            )

    def _remove_lost_peers(self, now_s: float) -> None:
        self.peers = {
            name: peer
            for name, peer in self.peers.items()
            if name in self.listed or now_s - peer.last_received_s < PEER_RETENTION_S
        }

    def _record_contact(self, incarnation: Incarnation, now_s: float) -> None:
        peer = self.peers.get(incarnation.name)
        if peer is not None and peer.incarnation == incarnation:
            peer.last_received_s = now_s

    def _announce_live_processes(self, now_s: float) -> Iterator[LiveProcessesChanged]:
        live = tuple(self.find_live_incarnations(now_s))
        if live != self._announced and (
            self._announced or self._is_discovery_done(now_s)
        ):
            self._announced = live
            yield LiveProcessesChanged(processes=tuple(sorted(live)))

    def _is_discovery_done(self, now_s: float) -> bool:
        local_names = {
            name for name in self.listed if self._is_in_own_data_centre(name)
        }
        live = {incarnation.name for incarnation in self.find_live_incarnations(now_s)}
        are_all_live = bool(local_names) and local_names <= live
        return are_all_live or now_s >= self.started_s + LIVE_TIMEOUT_S

    def _is_in_own_data_centre(self, name: ProcessName) -> bool:
        return name.data_centre == self.own_incarnation.name.data_centre

    def _is_live(self, peer: Peer, now_s: float) -> bool:
        return not peer.has_stopped and now_s - peer.last_received_s < LIVE_TIMEOUT_S


def select_pollers(live: Iterable[Incarnation]) -> list[Incarnation]:
    """Return the processes that rank first in rendezvous hashing."""
    return sorted(live, key=_rank_poller, reverse=True)[:POLLERS_PER_DATA_CENTRE]


def _rank_poller(incarnation: Incarnation) -> int:
    key = f"{POLLER_KEY}/{incarnation.name}"
    return xxhash.xxh3_64_intdigest(key.encode())
