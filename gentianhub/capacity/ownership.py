"""Election of the owner of each cell, without a coordination service.

Owners claim their cells in the heartbeats that hosts exchange. The claim with the
highest term wins. The term is also the fencing token that targets compare: if two
hosts both consider themselves the owner, the targets accept calls only from the one
with the higher term. The store is not involved, so its outages stop no work.
"""

import hashlib
import time
from collections.abc import Iterator

from gentianhub.capacity.events import CellClaim, HostHeartbeat
from gentianhub.capacity.jobs import Cell
from gentianhub.capacity.leases import (
    HOST_SILENCE_TIMEOUT_S,
    IDLE_HOST_SILENCE_TIMEOUT_S,
)
from gentianhub.core import Incarnation, ProcessName
from gentianhub.core.records import define, field, frozen

# A host that starts without the host register waits this long for claims of others. One
# that has the register waits up to the maximum for all hosts of its data centre.
SETTLING_S = 0.5
MAX_SETTLING_S = 1.5
# The low bits of a term hold part of the host's token, so that two hosts never have
# equal terms: targets would accept calls from both. Terms stay below 2**53.
TOKEN_BITS = 20
# Time after which all hosts have told that they are able to own a cell, once this host
# is. They learn the cells within a short time, and heartbeats may be a second apart.
# Until then, live candidates and larger hosts count as able.
ABILITY_NOTICE_S = 1.5
# A host without the host register claims a cell that it would leave to another host if
# none has claimed it within this time. Claims take one tick and a heartbeat.
UNREGISTERED_CLAIM_DELAY_S = 1.0
# A host that receives no heartbeats claims nothing for this long, because it is more
# likely to be partitioned from the others than to be the only one left.
ISOLATION_TIMEOUT_S = 2.0
# A host that targets fence off, without having received a claim of another owner, is
# partitioned from that owner. It does not claim the cell for this time.
FENCED_PAUSE_S = 5.0
# Hosts that stopped responding are kept in the list of peers for this time.
SILENT_PEER_RETENTION_S = 30.0
# Lower bound on the size of a host when cells are distributed by size, in cores.
MIN_CORES = 0.1
# Number of times that a fenced host raises its term within the pause before it releases
# the cell. Each raise skips some periods, in case the other owner's clock is ahead.
MAX_TERM_RAISES = 1
TERM_RAISE_PERIODS = 5


@frozen(kw_only=True)
class CellClaimed:
    """The local host owns the cell from now on.

    `predecessor_term` is the highest term that was received before; the owner that had
    it is either silent or draining.
    """

    cell: Cell
    term: int
    predecessor_term: int = 0
    is_predecessor_draining: bool = False


@frozen(kw_only=True)
class CellLost:
    """The local host lost the cell to another host, or was fenced by targets."""

    cell: Cell
    reason: str


@frozen(kw_only=True)
class CellOwner:
    """The live owner of a cell and its last claim."""

    owner: Incarnation
    claim: CellClaim


@define(kw_only=True, eq=False)
class Peer:
    """Another host.

    `last_received_s` is the monotonic time of its last message. `is_reported_silent` is
    set once the silence of the host has been reported. `is_idle` is set if its next
    heartbeat is due only after the longer interval.
    """

    last_received_s: float
    heartbeat: HostHeartbeat
    is_reported_silent: bool = False
    is_idle: bool = False

    @property
    def silence_timeout_s(self) -> float:
        """Time without a message after which the host counts as lost, s."""
        return IDLE_HOST_SILENCE_TIMEOUT_S if self.is_idle else HOST_SILENCE_TIMEOUT_S


@define(kw_only=True, eq=False)
class Ownership:
    """Tracks the claims of all hosts and decides when this host claims a cell.

    Parameters
    ----------
    local_host : Incarnation
        This host.
    cells : tuple of Cell
        The cells of this host's data centre; empty until their number is known.
    started_s : float
        Monotonic time at which the process started, in seconds.
    has_targets : bool
        Whether the list of targets is known; without it an owner can start no task.
    cores : dict
        Processor time of each registered host, in cores.
    expected_hosts, expected_local_hosts : int
        Number of other registered hosts, overall and in this host's data centre; None
        if unknown.
    candidates : frozenset of ProcessName
        Hosts of this data centre that are preferred as owners; None for all.
    """

    local_host: Incarnation
    cells: tuple[Cell, ...]
    started_s: float
    is_draining: bool = False
    has_targets: bool = True
    cores: dict[ProcessName, float] = field(factory=dict)
    expected_hosts: int = 0
    expected_local_hosts: int | None = None
    candidates: frozenset[ProcessName] | None = None
    peers: dict[Incarnation, Peer] = field(init=False, factory=dict)
    terms: dict[Cell, int] = field(init=False, factory=dict)
    _highest_terms: dict[Cell, int] = field(init=False, factory=dict)
    _paused_until_s: dict[Cell, float] = field(init=False, factory=dict)
    _raise_times: dict[Cell, list[float]] = field(init=False, factory=dict)
    _free_since_s: dict[Cell, float] = field(init=False, factory=dict)
    _last_received_s: float = field(init=False)
    _able_since_s: float | None = field(init=False, default=None)
    _resumed_s: float = field(init=False, default=float("-inf"))

    def __attrs_post_init__(self):
        self._last_received_s = self.started_s

    @property
    def can_own(self) -> bool:
        """Whether the lists of targets and cells, needed for a claim, are known."""
        return self.has_targets and bool(self.cells)

    def handle_heartbeat(
        self, peer: Incarnation, heartbeat: HostHeartbeat, now_s: float
    ) -> bool:
        """Record a heartbeat; return whether it changes who may own which cell."""
        known = self.peers.get(peer)
        is_change = (
            known is None
            or not self.is_live(peer, now_s)
            or known.heartbeat.is_draining != heartbeat.is_draining
            or known.heartbeat.can_own != heartbeat.can_own
            or _list_terms(known.heartbeat) != _list_terms(heartbeat)
        )
        self.peers[peer] = Peer(
            last_received_s=now_s, heartbeat=heartbeat, is_idle=heartbeat.is_idle
        )
        self._last_received_s = now_s
        for claim in heartbeat.claims:
            highest = max(self._highest_terms.get(claim.cell, 0), claim.term)
            self._highest_terms[claim.cell] = highest
        return is_change

    def record_message(self, peer: Incarnation, now_s: float) -> None:
        """Record that a host is live because another message of it has arrived.

        A host may fail after it sent its first tasks to a new owner and before its
        first heartbeat; its tasks have to be stopped then as well. Requests of this
        host to itself are ignored, since it sends itself no heartbeats.
        """
        if peer == self.local_host:
            return
        known = self.peers.get(peer)
        if known is None:
            heartbeat = HostHeartbeat(number=0, claims=(), configuration_version=0)
            known = self.peers[peer] = Peer(last_received_s=now_s, heartbeat=heartbeat)
        known.last_received_s, known.is_reported_silent = now_s, False
        known.is_idle = False

    def record_answer(self, peer: Incarnation, now_s: float) -> None:
        """Record that a known host is live, as it has answered with its open jobs.

        Unlike a request for tasks, it announces no frequent heartbeats.
        """
        known = self.peers.get(peer)
        if known is not None:
            known.last_received_s, known.is_reported_silent = now_s, False

    def expect_message(self, peer: Incarnation, now_s: float) -> None:
        """Expect frequent heartbeats of an owner from now on, as it is sent tasks."""
        known = self.peers.get(peer)
        if known is not None and known.is_idle:
            known.is_idle = False
            known.last_received_s = now_s

    def record_pause(self, now_s: float) -> None:
        """Record that this host runs again after a time in which it has not run.

        Messages of all hosts may wait in its sockets; it claims nothing before it has
        had the time to hear them.
        """
        self._resumed_s = now_s

    @property
    def runs_since_s(self) -> float:
        """Monotonic time since which this host has run without a long pause, s."""
        return max(self.started_s, self._resumed_s)

    def find_silence_timeout_s(self, peer: Incarnation) -> float:
        """Return the time without a message after which a host counts as lost, s."""
        known = self.peers.get(peer)
        return known.silence_timeout_s if known else HOST_SILENCE_TIMEOUT_S

    def remove_peer(self, peer: Incarnation) -> None:
        """Remove a host that has announced its stop or has been replaced."""
        self.peers.pop(peer, None)

    def remove_expired_peers(self, now_s: float) -> None:
        """Remove hosts whose retention time after the last message has passed."""
        for peer, known in list(self.peers.items()):
            if (
                known.is_reported_silent
                and now_s > known.last_received_s + SILENT_PEER_RETENTION_S
            ):
                del self.peers[peer]

    def is_live(self, peer: Incarnation, now_s: float) -> bool:
        """Whether a host has sent a message within the silence time-out."""
        known = self.peers.get(peer)
        return (
            known is not None
            and now_s - known.last_received_s <= known.silence_timeout_s
        )

    def find_owners(self, now_s: float) -> dict[Cell, CellOwner]:
        """Return the owner of each cell that is claimed by another live host."""
        owners: dict[Cell, CellOwner] = {}
        for peer, known in self.peers.items():
            if not self.is_live(peer, now_s):
                continue
            for claim in known.heartbeat.claims:
                best = owners.get(claim.cell)
                rank = (claim.term, str(peer))
                if best is None or rank > (best.claim.term, str(best.owner)):
                    owners[claim.cell] = CellOwner(owner=peer, claim=claim)
        return owners

    def update_claims(self, now_s: float) -> Iterator[CellClaimed | CellLost]:
        """Yield the cells that this host claims or loses."""
        if self.can_own and self._able_since_s is None:
            self._able_since_s = now_s
        owners = self.find_owners(now_s)
        for cell in self.cells:
            other = owners.get(cell)
            term = self.terms.get(cell)
            if term is None and self._is_free(other):
                self._free_since_s.setdefault(cell, now_s)
            else:
                self._free_since_s.pop(cell, None)
            if term is not None and other is not None:
                if (other.claim.term, str(other.owner)) > (term, str(self.local_host)):
                    del self.terms[cell]
                    yield CellLost(cell=cell, reason=f"{other.owner} has claimed it")
            elif term is None and self._should_claim(cell, other, now_s):
                yield self._claim_cell(cell, is_predecessor_draining=other is not None)

    def _is_free(self, other: CellOwner | None) -> bool:
        """Whether a cell with this other owner, or none, may be claimed."""
        return other is None or self.peers[other.owner].heartbeat.is_draining

    def _should_claim(self, cell: Cell, other: CellOwner | None, now_s: float) -> bool:
        if self.is_draining or not self.has_targets:
            return False
        if now_s < self._paused_until_s.get(cell, 0.0):
            return False
        if now_s < self._resumed_s + HOST_SILENCE_TIMEOUT_S:
            return False
        if not self._is_free(other):
            return False
        if not self._has_waited_for_claims(now_s):
            return False
        is_isolated = self.expected_hosts > 0 and not self._count_live(now_s)
        if is_isolated and now_s < self._last_received_s + ISOLATION_TIMEOUT_S:
            return False
        return self._is_preferred_owner(cell, now_s) or self._is_left_free(cell, now_s)

    def _is_left_free(self, cell: Cell, now_s: float) -> bool:
        """Whether the hosts that this one would leave a cell to do not claim it.

        A host that does not know the candidates does not know the sizes of the others
        either, and they may leave the cell to this host.
        """
        return (
            self.candidates is None
            and now_s >= self._free_since_s[cell] + UNREGISTERED_CLAIM_DELAY_S
        )

    def _has_waited_for_claims(self, now_s: float) -> bool:
        live_names = {
            peer.name
            for peer in self.peers
            if peer.name.data_centre == self.local_host.name.data_centre
            and self.is_live(peer, now_s)
        }
        if self.expected_local_hosts is None:
            settling_s = SETTLING_S
        elif self._are_claimants_live(live_names):
            # Any existing claim has been received. A host that is no candidate owns a
            # cell only if no candidate was live, and dials the candidates at once.
            settling_s = 0.0
        else:
            settling_s = MAX_SETTLING_S
        return now_s >= self.started_s + settling_s

    def _are_claimants_live(self, live_names: set[ProcessName]) -> bool:
        """Whether all local hosts are live, or this host and all other candidates."""
        if len(live_names) >= self.expected_local_hosts:
            return True
        local_name = self.local_host.name
        return (
            self.candidates is not None
            and local_name in self.candidates
            and self.candidates - {local_name} <= live_names
        )

    def _count_live(self, now_s: float) -> int:
        return sum(self.is_live(peer, now_s) for peer in self.peers)

    def _may_own_soon(self, peer: Incarnation, now_s: float) -> bool:
        """Whether a preferred host may become able to own cells at any moment.

        Of simultaneous claims the highest term wins, whatever the size of its host.
        """
        if now_s >= self._able_since_s + ABILITY_NOTICE_S:
            return False
        return self._rank_size(peer) > self._rank_size(self.local_host)

    def _rank_size(self, host: Incarnation) -> tuple[bool, float]:
        is_candidate = self.candidates is None or host.name in self.candidates
        return is_candidate, self._find_cores(host)

    def _is_preferred_owner(self, cell: Cell, now_s: float) -> bool:
        candidates = [self.local_host] + [
            peer
            for peer, known in self.peers.items()
            if peer.name.data_centre == cell.data_centre
            and self.is_live(peer, now_s)
            and (known.heartbeat.can_own or self._may_own_soon(peer, now_s))
            and not known.heartbeat.is_draining
        ]
        candidates = self._prefer_candidates(candidates)
        return (
            self.local_host in candidates
            and self._choose_owner(cell, candidates, now_s) == self.local_host
        )

    def _prefer_candidates(self, hosts: list[Incarnation]) -> list[Incarnation]:
        """Drop hosts that are not candidates, unless no candidate is left."""
        if self.candidates is None:
            return hosts
        return [host for host in hosts if host.name in self.candidates] or hosts

    def _choose_owner(
        self, cell: Cell, candidates: list[Incarnation], now_s: float
    ) -> Incarnation:
        """Return the host that should own a cell without a live owner.

        Cells without an owner are assigned in order, each to the host with the fewest
        cells for its size. Hosts that see the same live hosts come to the same result.
        """
        owners = self.find_owners(now_s)
        owned = dict.fromkeys(candidates, 0)
        for known in owners.values():
            if known.owner in owned:
                owned[known.owner] += 1
        owned[self.local_host] += len(self.terms)
        for free in self.cells:
            if free in self.terms or (
                free in owners
                and not self.peers[owners[free].owner].heartbeat.is_draining
            ):
                continue
            chosen = min(
                candidates,
                key=lambda host: (
                    (owned[host] + 1) / self._find_cores(host),
                    rank_host(free, host),
                ),
            )
            if free == cell:
                return chosen
            owned[chosen] += 1
        return self.local_host

    def _find_cores(self, host: Incarnation) -> float:
        return max(MIN_CORES, self.cores.get(host.name, 1.0))

    def _claim_cell(
        self, cell: Cell, is_predecessor_draining: bool = False
    ) -> CellClaimed:
        # Terms are derived from the wall clock, so that they still increase after all
        # hosts have lost their state. Targets compare terms only, never times.
        predecessor_term = self._highest_terms.get(cell, 0)
        period = max(int(time.time()), (predecessor_term >> TOKEN_BITS) + 1)
        token = int(self.local_host.token, 16) % 2**TOKEN_BITS
        term = period << TOKEN_BITS | token
        self._highest_terms[cell] = term
        self.terms[cell] = term
        return CellClaimed(
            cell=cell,
            term=term,
            predecessor_term=predecessor_term,
            is_predecessor_draining=is_predecessor_draining,
        )

    def handle_fencing(
        self, cell: Cell, now_s: float
    ) -> Iterator[CellClaimed | CellLost]:
        """Handle a refusal by a target that has seen a higher term than this host's."""
        if cell not in self.terms:
            return
        recent = [
            at for at in self._raise_times.get(cell, []) if at > now_s - FENCED_PAUSE_S
        ]
        del self.terms[cell]
        is_cut_off = self.expected_hosts > 0 and not self._count_live(now_s)
        if is_cut_off or len(recent) >= MAX_TERM_RAISES:
            self._paused_until_s[cell] = now_s + FENCED_PAUSE_S
            yield CellLost(cell=cell, reason="targets have seen a higher term")
            return
        self._raise_times[cell] = [*recent, now_s]
        self._highest_terms[cell] = self._highest_terms.get(cell, 0) + (
            TERM_RAISE_PERIODS << TOKEN_BITS
        )
        yield self._claim_cell(cell)


def _list_terms(heartbeat: HostHeartbeat) -> list[tuple[Cell, int]]:
    return [(claim.cell, claim.term) for claim in heartbeat.claims]


def rank_host(cell: Cell, host: Incarnation) -> bytes:
    """Return the rendezvous hash of a host for a cell; the smallest is preferred."""
    text = f"{cell.data_centre}/{cell.index}|{host.name}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
