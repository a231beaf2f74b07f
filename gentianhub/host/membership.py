"""A host's view of the cluster: which hosts are live and which host owns each cell."""

from collections.abc import Iterable, Iterator

from gentianhub.capacity import events as ev
from gentianhub.capacity import ownership as ow
from gentianhub.capacity.confirmations import SentHeartbeats
from gentianhub.capacity.evacuations import KnownEvacuations
from gentianhub.capacity.heartbeat_peers import (
    choose_candidates,
    choose_heartbeat_peers,
)
from gentianhub.capacity.jobs import (
    Cell,
    ListedTarget,
    count_cells,
    list_cells,
)
from gentianhub.core import Incarnation, Mailbox, ProcessName
from gentianhub.core.records import define, field, frozen
from gentianhub.host import messages as ms
from gentianhub.host.decision_log import log_decision
from gentianhub.host.encoding import encode_message
from gentianhub.host.links import HostLinks
from gentianhub.host.registry import HostEntry

# Heartbeat intervals in ticks. An owner uses the shorter one for hosts of its own data
# centre, which follow its load. Two lost heartbeats do not make a host count as silent.
OWNER_HEARTBEAT_TICKS = 2
HEARTBEAT_TICKS = 4
# The interval, in ticks, between hosts that have no tasks of each other. With 97 hosts,
# frequent heartbeats to all of them were most of the messages of an idle deployment.
IDLE_HEARTBEAT_TICKS = 20
# Hosts keep the short interval for this long after their last common task, in ticks, so
# that it does not change with each job. A request that an owner declines starts it too.
WORKING_RETENTION_TICKS = 20
# Targets write their entries every 1.5 s. If no new target has appeared for two of
# these intervals, all of them have registered. The second limit, counted from the
# host's start, bounds the wait while targets keep appearing, s.
REGISTRATION_QUIET_S = 3.0
MAX_REGISTRATION_WAIT_S = 8.0
# A registered host that has sent no heartbeat for this long is removed, s.
LOST_HOST_TIMEOUT_S = 20.0
# A host that has just started or resumed takes no other one as lost before it could
# open its links, with up to 0.5 s between attempts, and hear heartbeats, s.
LOSS_NOTICE_S = 1.5
# A host that has just started waits this long for the hosts of its own data centre
# before it opens links to all others, s.
LOCAL_PEER_DISCOVERY_S = 0.5


@frozen(kw_only=True)
class HeartbeatPeerInputs:
    """Inputs to the choice of the hosts to exchange heartbeats with.

    `hosts` are the registered hosts and those with a link: a host that has not been
    able to read the registry since its start knows only the hosts that dialled it.
    """

    hosts: frozenset[ProcessName]
    owners: frozenset[ProcessName]
    is_owner: bool
    has_live_local_peer: bool
    candidates: frozenset[ProcessName] | None


@frozen(kw_only=True)
class HeartbeatRecipients:
    """Hosts that are due for a heartbeat.

    `active` hosts have tasks in common with the sender or may succeed it as owner; the
    `idle` ones get the next heartbeat after a longer interval.
    """

    active: tuple[Incarnation, ...] = ()
    idle: tuple[Incarnation, ...] = ()


@define(kw_only=True, eq=False)
class Membership:
    """Heartbeats, the registry of hosts and the layout of cells.

    Parameters
    ----------
    registry_commands : Mailbox
        Receives commands for the rows in the store.
    evacuations : KnownEvacuations
        The evacuated data centres, which heartbeats tell.
    """

    local_host: Incarnation
    links: HostLinks
    registry_commands: Mailbox
    started_s: float
    evacuations: KnownEvacuations = field(factory=lambda: KnownEvacuations())
    ownership: ow.Ownership = field(init=False)
    heartbeat_peers: frozenset[ProcessName] = field(init=False, default=frozenset())
    _heartbeat_peer_inputs: HeartbeatPeerInputs | None = field(init=False, default=None)
    sent_heartbeats: SentHeartbeats = field(
        init=False, factory=lambda: SentHeartbeats()
    )
    _heartbeat_count: int = field(init=False, default=0)
    _working_until: dict[Incarnation, int] = field(init=False, factory=dict)
    _active_peers: set[Incarnation] = field(init=False, factory=set)
    _target_count: int = field(init=False, default=0)
    _last_target_added_s: float = field(init=False, default=float("-inf"))
    _absent_since_s: dict[str, float] = field(init=False, factory=dict)
    _row_versions: dict[str, int] = field(init=False, factory=dict)

    def __attrs_post_init__(self):
        self.ownership = ow.Ownership(
            local_host=self.local_host,
            cells=(),
            started_s=self.started_s,
            has_targets=False,
        )

    @property
    def data_centre(self) -> str:
        """Data centre of this host."""
        return self.local_host.name.data_centre

    @property
    def is_candidate(self) -> bool:
        """Whether this host is preferred as owner of a cell."""
        candidates = self.ownership.candidates
        return candidates is None or self.local_host.name in candidates

    def handle_heartbeat(
        self, sender: Incarnation, heartbeat: ev.HostHeartbeat, now_s: float
    ) -> bool:
        """Record a heartbeat; return whether claims or live hosts have changed."""
        for claim in heartbeat.claims:
            if claim.cell.data_centre == self.data_centre:
                self.adopt_layout(claim.cell.count, str(sender))
        if not self.ownership.is_live(sender, now_s):
            log_decision("host live", str(sender))
        return self.ownership.handle_heartbeat(sender, heartbeat, now_s)

    def send_heartbeats(
        self,
        peers: tuple[Incarnation, ...],
        claims: tuple[ev.CellClaim, ...],
        version: int,
        now_s: float,
        is_idle: bool = False,
        requests_open_jobs: bool = False,
    ) -> None:
        """Send a heartbeat with the claims and the configuration's version."""
        if not peers:
            return
        self._heartbeat_count += 1
        self.sent_heartbeats.record(self._heartbeat_count, now_s)
        heartbeat = ev.HostHeartbeat(
            number=self._heartbeat_count,
            claims=claims,
            configuration_version=version,
            is_draining=self.ownership.is_draining,
            lacks_targets=not self.ownership.has_targets,
            can_own=self.ownership.can_own,
            is_idle=is_idle,
            requests_open_jobs=requests_open_jobs,
            evacuations=self.evacuations.announced,
        )
        body = encode_message(heartbeat)
        for peer in peers:
            self.links.send_encoded(peer, body)
        if is_idle:
            self._active_peers.difference_update(peers)
        else:
            self._active_peers.update(peers)

    def find_heartbeat_recipients(
        self, tick: int, is_owner: bool, working_peers: frozenset[Incarnation]
    ) -> HeartbeatRecipients:
        """Return the linked hosts that are due for a heartbeat.

        `working_peers` have tasks of this host or sent tasks to it. A host whose
        interval changes is due at once.
        """
        is_due = tick % HEARTBEAT_TICKS == 0
        is_due_locally = is_due or (is_owner and tick % OWNER_HEARTBEAT_TICKS == 0)
        is_due_when_idle = tick % IDLE_HEARTBEAT_TICKS == 0
        added = self._update_working_peers(tick, working_peers)
        if not is_due_locally and added is None:
            return HeartbeatRecipients()
        linked = self.links.find_linked()
        current = self.split_peers(
            (
                peer
                for peer in linked
                if peer.name in self.heartbeat_peers or peer in self._working_until
            ),
            is_owner,
        )
        self._active_peers &= set(linked)
        active = (
            peer
            for peer in current.active
            if is_due
            or peer in (added or ())
            or (is_due_locally and peer.name.data_centre == self.data_centre)
        )
        idle = (
            peer
            for peer in current.idle
            if is_due_when_idle or peer in self._active_peers
        )
        return HeartbeatRecipients(active=tuple(active), idle=tuple(idle))

    def _update_working_peers(
        self, tick: int, working_peers: frozenset[Incarnation]
    ) -> frozenset[Incarnation] | None:
        """Record the hosts with common tasks.

        Returns the added ones, or None if none has been added or removed.
        """
        added = working_peers - self._working_until.keys()
        until = tick + WORKING_RETENTION_TICKS
        self._working_until.update(dict.fromkeys(working_peers, until))
        expired = [p for p, last in self._working_until.items() if last <= tick]
        for peer in expired:
            del self._working_until[peer]
        return added if added or expired else None

    def split_peers(
        self, peers: Iterable[Incarnation], is_owner: bool
    ) -> HeartbeatRecipients:
        """Split hosts by the interval at which they get heartbeats.

        A heartbeat out of turn has to announce the interval as well: its receiver takes
        this host as lost if the next one does not follow in time.
        """
        active, idle = [], []
        for peer in peers:
            is_active = peer in self._working_until or (
                peer.name in self.heartbeat_peers and self._may_succeed(peer, is_owner)
            )
            (active if is_active else idle).append(peer)
        return HeartbeatRecipients(active=tuple(active), idle=tuple(idle))

    def _may_succeed(self, peer: Incarnation, is_owner: bool) -> bool:
        """Whether a silence of one of the two hosts lets the other one claim a cell."""
        candidates = self.ownership.candidates
        if peer.name.data_centre != self.data_centre:
            return False
        if candidates is None:
            return True
        return peer.name in candidates and (is_owner or self.is_candidate)

    def find_successors(self) -> tuple[Incarnation, ...]:
        """Return the linked hosts that may succeed this one as owner of a cell."""
        candidates = self.ownership.candidates
        return tuple(
            peer
            for peer in self.links.find_linked()
            if peer.name.data_centre == self.data_centre
            and (candidates is None or peer.name in candidates)
        )

    def maintain_links(
        self, owners: Iterable[ow.CellOwner], is_owner: bool, now_s: float
    ) -> None:
        """Choose the hosts to exchange heartbeats with, and maintain the links."""
        linked = {peer.name for peer in self.links.find_linked()}
        inputs = HeartbeatPeerInputs(
            hosts=frozenset(self.links.hosts) | linked,
            owners=frozenset(cell_owner.owner.name for cell_owner in owners),
            is_owner=is_owner,
            has_live_local_peer=self._has_live_local_peer(now_s),
            candidates=self.ownership.candidates,
        )
        if inputs != self._heartbeat_peer_inputs:
            self._heartbeat_peer_inputs = inputs
            self.heartbeat_peers = choose_heartbeat_peers(
                self.local_host.name,
                inputs.hosts,
                inputs.owners,
                inputs.candidates,
                is_owner,
                inputs.has_live_local_peer,
            )
        self.links.maintain(
            now_s, self.heartbeat_peers, self.ownership.find_silence_timeout_s
        )

    def _has_live_local_peer(self, now_s: float) -> bool:
        if now_s < self.started_s + LOCAL_PEER_DISCOVERY_S:
            return bool(self.ownership.expected_local_hosts)
        return any(
            peer.name.data_centre == self.data_centre
            and self.ownership.is_live(peer, now_s)
            for peer in self.ownership.peers
        )

    def find_silent(self, now_s: float) -> Iterator[Incarnation]:
        """Yield the hosts that have become silent since the last call."""
        for peer, peer_state in list(self.ownership.peers.items()):
            if peer_state.is_reported_silent or self.ownership.is_live(peer, now_s):
                continue
            peer_state.is_reported_silent = True
            if peer.name in self.heartbeat_peers:
                log_decision("host silent", str(peer))
            yield peer

    def find_hosts(self) -> frozenset[ProcessName] | None:
        """Return all other hosts; None without the registry and without links."""
        linked = {peer.name for peer in self.links.find_linked()}
        if self.ownership.expected_local_hosts is None and not linked:
            return None
        return frozenset(self.links.hosts) | linked

    def find_lost(
        self, names: Iterable[ProcessName], now_s: float
    ) -> frozenset[ProcessName]:
        """Return the hosts that this host should hear, but neither hears nor reaches.

        If it hears none at all, it may itself be cut off.
        """
        live = {
            peer.name
            for peer in self.ownership.peers
            if self.ownership.is_live(peer, now_s)
        }
        if not live or now_s < self.ownership.runs_since_s + LOSS_NOTICE_S:
            return frozenset()
        reached = live | {peer.name for peer in self.links.find_linked()}
        return frozenset(names) & self.heartbeat_peers - reached

    def list_heard_heartbeats(self) -> dict[Incarnation, int]:
        """Return the number of the last heartbeat of each host."""
        return {
            peer: known.heartbeat.number
            for peer, known in self.ownership.peers.items()
            if known.heartbeat.number
        }

    def remove_replaced(self, peer: Incarnation) -> Iterator[Incarnation]:
        """Drop and yield the earlier incarnations of a host that has a new link."""
        for other in list(self.ownership.peers):
            if other.name == peer.name and other != peer:
                self.ownership.remove_peer(other)
                yield other

    def update_hosts(
        self, hosts: tuple[HostEntry, ...], versions: dict[str, int]
    ) -> None:
        """Update the registry of hosts and the versions of its rows."""
        self.links.set_hosts(hosts)
        for host in hosts:
            name = ProcessName(data_centre=host.data_centre, process=host.name)
            self.ownership.cores[name] = host.cores
        self._row_versions = versions
        self.ownership.expected_hosts = len(self.links.hosts)
        self.ownership.expected_local_hosts = len(self._find_local_peers())
        self._choose_candidates()
        if self.local_host.name.process not in versions:
            self.registry_commands.try_put(ms.RegisterHost())

    def _find_local_peers(self) -> list[ProcessName]:
        """Return the other registered hosts of this data centre."""
        return [
            name for name in self.links.hosts if name.data_centre == self.data_centre
        ]

    def _choose_candidates(self) -> None:
        """Choose the candidates, once the registry has been read.

        A host without it would be the only candidate that it knows.
        """
        if self.ownership.expected_local_hosts is None:
            return
        self.ownership.candidates = choose_candidates(
            [self.local_host.name, *self._find_local_peers()],
            self.ownership.cores,
            len(self.ownership.cells),
        )

    def request_layout(self, targets: tuple[ListedTarget, ...], now_s: float) -> None:
        """Request the number of cells while it is unknown.

        A new number is written only once every target has had time to register. A
        number written too early gave a data centre of 59 targets a single owner.
        """
        if self.ownership.cells or not self.ownership.has_targets:
            return
        count = sum(t.data_centre == self.data_centre for t in targets)
        if count > self._target_count:
            self._target_count, self._last_target_added_s = count, now_s
        if count:
            is_due = (
                now_s > self._last_target_added_s + REGISTRATION_QUIET_S
                or now_s > self.started_s + MAX_REGISTRATION_WAIT_S
            )
            cells = count_cells(count) if is_due else None
            command = ms.ResolveLayout(data_centre=self.data_centre, cells=cells)
            self.registry_commands.try_put(command)

    def adopt_layout(self, cells: int, source: str) -> None:
        """Set the number of cells of this data centre, once."""
        if self.ownership.cells:
            return
        self.ownership.cells = list_cells(self.data_centre, cells)
        self._choose_candidates()
        log_decision("layout adopted", self.data_centre, cells=cells, source=source)

    def remove_lost_hosts(self, is_owner: bool, now_s: float) -> None:
        """Remove hosts that stay silent from the registry; only owners do this.

        Other hosts do not exchange heartbeats with every host.
        """
        live = {
            peer.name.process
            for peer in self.ownership.peers
            if self.ownership.is_live(peer, now_s)
        }
        if not is_owner or not live:
            self._absent_since_s = {}
            return
        absent = {name.process for name in self.links.hosts} - live
        self._absent_since_s = {
            name: self._absent_since_s.get(name, now_s) for name in absent
        }
        for name, since_s in self._absent_since_s.items():
            version = self._row_versions.get(name)
            if now_s > since_s + LOST_HOST_TIMEOUT_S and version is not None:
                self._absent_since_s[name] = now_s
                log_decision("host removed", name, silent_s=round(now_s - since_s, 1))
                self.registry_commands.try_put(
                    ms.RemoveHost(name=name, version=version)
                )

    def find_owners(
        self, own_claims: Iterable[ev.CellClaim], now_s: float
    ) -> dict[Cell, ow.CellOwner]:
        """Return the live owner of each cell, this host included."""
        owners = self.ownership.find_owners(now_s)
        for claim in own_claims:
            cell_owner = owners.get(claim.cell)
            if cell_owner is None or cell_owner.claim.term <= claim.term:
                owners[claim.cell] = ow.CellOwner(owner=self.local_host, claim=claim)
        return owners
