"""Messages between the greenlets of one host."""

from typing import Any

from attrs import frozen

from gentianhub.capacity.jobs import ListedTarget
from gentianhub.host.registry import HostEntry


@frozen(kw_only=True)
class ConfigurationRead:
    """The store has a configuration; `content` is in the operator's encoding."""

    content: bytes


@frozen(kw_only=True)
class HostsRead:
    """The whole register of hosts; `versions` are those of the rows, by name."""

    hosts: tuple[HostEntry, ...]
    versions: dict[str, int]


@frozen(kw_only=True)
class TargetsRead:
    """The whole list of targets of all data centres, decoded and as it was read."""

    targets: tuple[ListedTarget, ...]
    rows: tuple[tuple[str, bytes], ...]


@frozen(kw_only=True)
class StoreLost:
    """A follower's request to the store failed."""

    table: str
    reason: str


@frozen(kw_only=True)
class StoreRegained:
    """A follower's requests to the store succeed again."""

    table: str


@frozen(kw_only=True)
class FrontRequest:
    """A call of a caller, decoded; `body` is a submission's."""

    method: str
    host: str
    path: str
    body: bytes
    wait_s: float | None
    reply_to: Any


@frozen(kw_only=True)
class CallerGone:
    """The connection that a call came on has closed."""

    reply_to: Any


@frozen(kw_only=True)
class BeginDrain:
    """The host is to stop; reply once no call is open and no cell is owned."""

    reply_to: Any


@frozen(kw_only=True)
class Drained:
    """Reply: nothing is left to wait for."""


@frozen(kw_only=True)
class EndOpenJobs:
    """The process ends now; answer every open call."""


@frozen(kw_only=True)
class DescribeHost:
    """Reply with a description of the host's state."""

    reply_to: Any


@frozen(kw_only=True)
class RenderHostMetrics:
    """Reply with the metrics as text."""

    reply_to: Any


@frozen(kw_only=True)
class SettleLayout:
    """Read a data centre's number of cells.

    If there is none yet, write `cells`; with None there only read.
    """

    data_centre: str
    cells: int | None


@frozen(kw_only=True)
class LayoutRead:
    """The number of cells of the own data centre."""

    cells: int


@frozen(kw_only=True)
class RemoveHost:
    """Remove a lost host's row from the register, if it is unchanged."""

    name: str
    version: int


@frozen(kw_only=True)
class RegisterAgain:
    """Write the own host's row once more: it has vanished from the register."""
