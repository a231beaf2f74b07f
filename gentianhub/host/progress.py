"""How far a host has read what has arrived at its sockets.

A departure of a caller and an owner's heartbeat may be read in any order after a pause
of the process, and one call of the event loop returns a part of the sockets only. So a
host names a heartbeat to its owner, or confirms its own jobs, only once the kernel has
been asked for all connections of callers that had ended by then, and these departures
are handled.
"""

from collections.abc import Callable

from gentianhub.core import Incarnation, Mailbox
from gentianhub.core.records import define, field

# Names no heartbeat: the owner takes the message as one of unknown age.
NO_HEARTBEAT = 2**64 - 1
# A host that is further behind names the last settled heartbeat at once; the
# newest one would have to pass the mailbox a second time.
SETTLED_ANSWER_LAG_S = 0.1


@define(kw_only=True, eq=False)
class DepartureProgress:
    """The last point in time before which all departures have been handled.

    `handled_until_s` is that time, and `heartbeats` are the last ones of each host that
    were handled before it.
    """

    handled_until_s: float = field(init=False, default=float("-inf"))
    heartbeats: dict[Incarnation, int] = field(init=False, factory=dict)
    _lag_s: float = field(init=False, default=0.0)
    _begun_s: float = field(init=False, default=float("-inf"))
    _begun_heartbeats: dict[Incarnation, int] = field(init=False, factory=dict)

    def begin(
        self, begun_s: float, heartbeats: dict[Incarnation, int], now_s: float
    ) -> None:
        """Record what has been handled when a tick that was sent at `begun_s` is."""
        self._begun_s, self._begun_heartbeats = begun_s, heartbeats
        self._lag_s = now_s - begun_s

    def complete(self, begun_s: float) -> None:
        """Record that the departures before the tick have been handled as well."""
        if begun_s == self._begun_s:
            self.handled_until_s = begun_s
            self.heartbeats = self._begun_heartbeats

    def find_heartbeat(self, owner: Incarnation) -> int:
        """Return the number of the heartbeat to name to an owner."""
        return self.heartbeats.get(owner, NO_HEARTBEAT)

    def answers_settled(self) -> bool:
        """Whether answers to owners name the last settled heartbeat, at once."""
        return self._lag_s > SETTLED_ANSWER_LAG_S


def return_behind_departures(
    messages: Mailbox, coordinator: Mailbox, report_departures: Callable[[], bool]
) -> None:
    """Return messages to the coordinator behind all departures that have arrived.

    `report_departures` puts these into the coordinator's mailbox, and returns whether
    it had room. If it has none, the messages are dropped: they would pass a departure.
    """
    for message in messages.iterate_messages():
        waiting = [message, *(messages.get() for _ in range(len(messages)))]
        if report_departures():
            for message in waiting:
                coordinator.try_put(message)
