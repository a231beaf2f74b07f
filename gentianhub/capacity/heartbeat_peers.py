"""Choice of the hosts with which a host keeps links and exchanges heartbeats.

With links between all hosts, heartbeats were more than half of the messages of 40
hosts, and their number grows quadratically. A front host needs heartbeats of the
owners that it sends tasks to, and an owner those of the front hosts that it serves. In
each data centre a few candidates, which are linked to all hosts there, are ready to
take cells over.
"""

import hashlib
from collections.abc import Iterable, Mapping

from gentianhub.core import ProcessName

# Number of hosts of a data centre that may own its cells: a minimum, and per cell.
# Other hosts claim a cell while no candidate is live.
MIN_CANDIDATES = 4
CANDIDATES_PER_CELL = 2
# Number of owners in each other data centre that a host may send tasks to.
OWNERS_PER_REMOTE_DATA_CENTRE = 2


def choose_candidates(
    local_hosts: Iterable[ProcessName], cores: Mapping[ProcessName, float], cells: int
) -> frozenset[ProcessName]:
    """Return the hosts of one data centre that may own its cells, the largest ones.

    Parameters
    ----------
    local_hosts : iterable of ProcessName
        The registered hosts of the data centre.
    cores : mapping
        Processor time of each host, in cores.
    cells : int
        Number of cells of the data centre.
    """
    ranked = sorted(
        local_hosts, key=lambda name: (-cores.get(name, 1.0), _rank(str(name)))
    )
    return frozenset(ranked[: max(MIN_CANDIDATES, CANDIDATES_PER_CELL * cells)])


def choose_heartbeat_peers(
    local_host: ProcessName,
    hosts: Iterable[ProcessName],
    owners: Iterable[ProcessName],
    candidates: frozenset[ProcessName] | None,
    is_owner: bool,
    has_live_local_peer: bool,
) -> frozenset[ProcessName]:
    """Return the hosts with which a host exchanges heartbeats.

    Parameters
    ----------
    hosts : iterable of ProcessName
        The hosts that are registered or linked.
    owners : iterable of ProcessName
        The known owners of cells.
    candidates : frozenset of ProcessName or None
        Hosts of the same data centre that may own its cells; None if the host register
        has not been read.
    is_owner : bool
        Whether the host owns a cell.
    has_live_local_peer : bool
        Whether another host of the same data centre is live. A host without one keeps
        links with all others, to find out whether it is partitioned.
    """
    others = frozenset(hosts) - {local_host}
    if not has_live_local_peer:
        return others
    local_hosts = {
        name for name in others if name.data_centre == local_host.data_centre
    }
    known = others & frozenset(owners)
    peers = set(known)
    if is_owner or candidates is None or local_host in candidates:
        peers |= local_hosts
    else:
        peers |= local_hosts & candidates
    if is_owner:
        # Front hosts elsewhere do not know all owners of this data centre, so its
        # owners choose the front hosts to serve.
        local_owners = {name for name in known if name in local_hosts} | {local_host}
        peers |= {
            name
            for name in others - local_hosts
            if local_host in _choose_remote_owners(name, local_owners)
        }
    return frozenset(peers)


def _choose_remote_owners(
    front_host: ProcessName, owners: Iterable[ProcessName]
) -> list[ProcessName]:
    """Return the owners of one data centre that serve a host of another one."""
    return sorted(owners, key=lambda owner: _rank(f"{front_host}|{owner}"))[
        :OWNERS_PER_REMOTE_DATA_CENTRE
    ]


def _rank(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
