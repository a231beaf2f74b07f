"""Evacuated data centres, on whose targets no run may start.

States are compared by the version of the store at which they were read. The store has
one counter, so that a state with a greater version is at least as new, also if a data
centre is missing from it because its row was removed.
"""

from gentianhub.core.records import define, field, frozen

# An owner that knows no state starts nothing for this long after the start of its
# process, s. Two attempts to read it may time out meanwhile. Mostly it is known much
# sooner; a store that can't be read must not stop the service for longer.
MAX_UNKNOWN_S = 3.5
# After a pause of a host that is longer than this, its state may be older than the 5 s
# within which starts have to end, s.
MAX_PAUSE_S = 3.0
# Such a host starts nothing for this long, s. It reads the table again at once, or a
# tenth of a second or two later if its connection to the store has closed meanwhile.
PAUSE_NOTICE_S = 0.5


@frozen(kw_only=True)
class Evacuations:
    """The evacuated data centres at a version of the store; at version 0 unknown."""

    version: int = 0
    data_centres: frozenset[str] = frozenset()


UNKNOWN = Evacuations()


@frozen(kw_only=True)
class EvacuationChanges:
    """Data centres whose evacuation has begun or ended."""

    begun: frozenset[str] = frozenset()
    ended: frozenset[str] = frozenset()

    def __bool__(self) -> bool:
        return bool(self.begun or self.ended)


@define(kw_only=True, eq=False)
class KnownEvacuations:
    """The newest state that a host has read or heard of.

    Parameters
    ----------
    started_s : float
        Monotonic time at which the process started, in seconds.
    is_bounded : bool
        Whether the platform bounds the time of starts after an evacuation. Only then
        do starts wait for a state that is unknown, or that a pause has made old.
    """

    started_s: float = float("-inf")
    is_bounded: bool = True
    current: Evacuations = field(init=False, factory=lambda: Evacuations())
    _resumed_s: float = field(init=False, default=float("-inf"))
    _has_known_any: bool = field(init=False, default=False)

    @property
    def announced(self) -> Evacuations:
        """The state for other hosts.

        Where starts do not wait for it, nothing is told before the first evacuation.
        """
        is_of_use = self.is_bounded or self._has_known_any
        return self.current if is_of_use else UNKNOWN

    def adopt(self, other: Evacuations) -> EvacuationChanges:
        """Keep a state if it is newer; return what has changed with it."""
        if other.version <= self.current.version:
            return EvacuationChanges()
        earlier, self.current = self.current.data_centres, other
        self._has_known_any = self._has_known_any or bool(other.data_centres)
        return EvacuationChanges(
            begun=other.data_centres - earlier, ended=earlier - other.data_centres
        )

    def record_pause(self, paused_s: float, now_s: float) -> None:
        """Record that this host runs again after a time in which it has not run."""
        if paused_s > MAX_PAUSE_S:
            self._resumed_s = now_s

    def is_evacuated(self, data_centre: str) -> bool:
        """Whether a data centre is known to be evacuated."""
        return data_centre in self.current.data_centres

    def allows_starts(self, data_centre: str, now_s: float) -> bool:
        """Whether runs may start in a data centre."""
        if self.is_bounded and self._is_uncertain(now_s):
            return False
        return not self.is_evacuated(data_centre)

    def _is_uncertain(self, now_s: float) -> bool:
        is_unknown = not self.current.version
        return (is_unknown and now_s < self.started_s + MAX_UNKNOWN_S) or (
            now_s < self._resumed_s + PAUSE_NOTICE_S
        )
