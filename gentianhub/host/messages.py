"""Messages between the greenlets of one host."""

from typing import Any

from gentianhub.capacity.evacuations import Evacuations
from gentianhub.capacity.jobs import Cell, ListedTarget
from gentianhub.core import Incarnation
from gentianhub.core.records import frozen
from gentianhub.host.registry import HostEntry
from gentianhub.web import ConnectionEnd


@frozen(kw_only=True)
class ConfigurationRead:
    """The configuration in the store; `content` is in the operator's encoding."""

    content: bytes


@frozen(kw_only=True)
class EvacuationsRead:
    """The evacuated data centres in the store."""

    evacuations: Evacuations


@frozen(kw_only=True)
class HostsRead:
    """The whole registry of hosts; `versions` are those of the rows, by name."""

    hosts: tuple[HostEntry, ...]
    versions: dict[str, int]


@frozen(kw_only=True)
class TargetsRead:
    """All targets of all data centres, as decoded `targets` and as stored `rows`.

    `sent_s` is the monotonic time at which the request for them was sent.
    """

    targets: tuple[ListedTarget, ...]
    rows: tuple[tuple[str, bytes], ...]
    sent_s: float


@frozen(kw_only=True)
class TimerTick:
    """The timer has reached a multiple of its period; `count` is that multiple.

    `sent_s` is the monotonic time at which the tick was put into the mailbox, and
    `late_s` the time since it was due.
    """

    count: int
    sent_s: float
    late_s: float = 0.0


@frozen(kw_only=True)
class AnswerHeartbeat:
    """Tell an owner which jobs are open, and name its heartbeat of this number.

    The coordinator gets it back behind all departures that arrived with the heartbeat.
    """

    owner: Incarnation
    cells: tuple[Cell, ...]
    heartbeat: int


@frozen(kw_only=True)
class DeparturesRead:
    """All departures that had arrived when the tick was sent, at `sent_s`, are read."""

    sent_s: float


@frozen(kw_only=True)
class PollTargets:
    """Read the list of targets now.

    A cell has been taken over, or a target has restarted and may be of another kind.
    """


@frozen(kw_only=True)
class StoreLost:
    """The first of a follower's requests to the store has failed."""

    table: str
    reason: str


@frozen(kw_only=True)
class StoreRegained:
    """A follower's requests to the store succeed again."""

    table: str


@frozen(kw_only=True)
class CallerRequest:
    """A caller's HTTP request; `wait_s` is how long the caller waits for the answer.

    `read_s` is the monotonic time at which it was read.
    """

    method: str
    host: str
    path: str
    body: bytes
    wait_s: float | None
    reply_to: Any
    read_s: float = float("inf")


@frozen(kw_only=True)
class CallerConnectionClosed:
    """The connection of an open request has closed."""

    reply_to: Any
    end: ConnectionEnd


@frozen(kw_only=True)
class StartDrain:
    """Start to drain the host; reply once it has no open job and no task left."""

    reply_to: Any


@frozen(kw_only=True)
class Drained:
    """Reply: no job is open, and no task waits or runs."""


@frozen(kw_only=True)
class InterruptOpenJobs:
    """The process is about to exit; answer every open request."""


@frozen(kw_only=True)
class DescribeHost:
    """Reply with a description of the host's state."""

    reply_to: Any


@frozen(kw_only=True)
class RenderHostMetrics:
    """Reply with the metrics as text."""

    reply_to: Any


@frozen(kw_only=True)
class ResolveLayout:
    """Read a data centre's number of cells from the store.

    If the store has none yet, write `cells`; if `cells` is None, only read.
    """

    data_centre: str
    cells: int | None


@frozen(kw_only=True)
class LayoutRead:
    """The number of cells of this host's data centre."""

    cells: int


@frozen(kw_only=True)
class RemoveHost:
    """Remove a lost host's row from the registry if its version is unchanged."""

    name: str
    version: int


@frozen(kw_only=True)
class RegisterHost:
    """Write this host's row again, because it is missing from the registry."""
