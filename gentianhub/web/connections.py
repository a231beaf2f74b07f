"""The connections of a process's clients, and the memory of what they have sent."""

import enum
import logging
import socket
import sys
from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from typing import Any

from gevent import get_hub

from gentianhub.core import read_monotonic_s
from gentianhub.core.records import Factory, define, field
from gentianhub.core.request_limits import RequestLimits

# Memory of a connection apart from what it sends: greenlet, socket, handler and buffer.
CONNECTION_BYTES = 32 * 1024
# Requests up to this size may use the whole budget. The text of a job has 4,000 bytes.
ORDINARY_BYTES = 16 * 1024
# Part of the budget that larger requests may use.
LARGE_SHARE = 0.75
# Part of the budget that the connections of a port may use without their input, so that
# requests have room.
CONNECTION_SHARE = 0.75
# Part of a port's connections that is closed together, so that the cost of choosing
# them is shared.
EVICTED_SHARE = 1 / 32
# Shortest time between two log lines about refusals, s.
LOG_INTERVAL_S = 10.0

DEFAULT_LIMITS = RequestLimits()

logger = logging.getLogger(__name__)


class Phase(enum.Enum):
    """What the server does for a connection."""

    WAITING = "waiting"
    READING = "reading"
    ANSWERING = "answering"
    WRITING = "writing"
    CLOSING = "closing"


class RequestRefused(ValueError):
    """A request is refused before it was read completely.

    Parameters
    ----------
    status : int
        Status of the answer.
    reason : str
        One of a few constant texts, which are counted.
    """

    def __init__(self, status: int, reason: str):
        super().__init__(reason)
        self.status = status
        self.reason = reason


OVER_BUDGET = "over the memory budget"


@define(kw_only=True, eq=False)
class ClientConnection:
    """One connection, owned by the greenlet that handles it.

    `held_bytes` have been read and are not answered. `since_s` and `deadline_s` are
    monotonic times: since when the client has been waited for, that is for a request,
    for the rest of one or to take an answer, and until when it is. `answer_s` is how
    long the last request took until its answer, s. A connection that
    `closes_after_answer` has been replaced by a new one.
    """

    sock: Any
    address: str
    port: str
    table: "ConnectionTable"
    since_s: float
    deadline_s: float = float("inf")
    phase: Phase = Phase.WAITING
    held_bytes: int = 0
    answer_s: float = 0.0
    is_evicted: bool = False
    closes_after_answer: bool = False
    limits: RequestLimits = DEFAULT_LIMITS

    def start_waiting(self) -> None:
        """Wait for the next request."""
        if self.held_bytes:
            self.table.release(self)
        self.limits = self.table.read_limits()
        self.is_evicted = False
        self.phase = Phase.WAITING
        self.since_s = read_monotonic_s()
        self.deadline_s = self.since_s + self.limits.idle_timeout_s

    def receive(self, size: int) -> None:
        """Count bytes that were read.

        Raises
        ------
        RequestRefused
            If there is no room for them.
        """
        if self.phase is Phase.WAITING and size:
            self.phase = Phase.READING
            self.since_s = read_monotonic_s()
            self.deadline_s = self.since_s + self.limits.header_timeout_s
        if self.is_evicted or not self.table.reserve(self, size):
            raise RequestRefused(503, OVER_BUDGET)

    def check(self) -> None:
        """Raise `RequestRefused` if the request was ended for another one."""
        if self.is_evicted:
            raise RequestRefused(503, OVER_BUDGET)

    def start_body(self, timeout_s: float) -> None:
        """Read the body within a time, s."""
        self.deadline_s = read_monotonic_s() + timeout_s

    def start_writing(self, size: int) -> None:
        """Count a large answer until the client has taken it.

        Raises
        ------
        ConnectionAbortedError
            If there is no room for it.
        """
        now_s = read_monotonic_s()
        if self.phase is not Phase.WRITING:
            self.answer_s = now_s - self.since_s
        self.phase = Phase.WRITING
        self.since_s = now_s
        if size > ORDINARY_BYTES and not self.table.reserve(self, size):
            raise ConnectionAbortedError(OVER_BUDGET)


@define(kw_only=True, eq=False)
class ConnectionTable:
    """All connections of the HTTP ports of a process.

    Parameters
    ----------
    max_bytes : int
        Memory for all connections and for what was read from them and is not answered.
    max_connections : Mapping[str, int]
        Most connections by port; a port that is not named has no limit here.
    interruptible_ports : frozenset[str]
        Ports whose requests may be ended while they are handled, as they change
        nothing.
    read_limits : callable
        Returns the present limits of a request.
    refusals : Counter
        Refused requests and closed connections by reason.

    Attributes
    ----------
    held_bytes : int
        Memory of all connections, and of what was read from them and is not dropped.
    ending_bytes : int
        Part of it that belongs to requests which were ended for others, and that their
        owners have yet to drop.
    """

    max_bytes: int = sys.maxsize
    max_connections: Mapping[str, int] = Factory(dict)
    interruptible_ports: frozenset[str] = frozenset()
    read_limits: Callable[[], RequestLimits] = RequestLimits
    refusals: Counter = field(factory=Counter)
    held_bytes: int = field(init=False, default=0)
    ending_bytes: int = field(init=False, default=0)
    _connections: dict[ClientConnection, None] = field(init=False, factory=dict)
    _counts: Counter = field(init=False, factory=Counter)
    _logged_s: float = field(init=False, default=float("-inf"))
    _logged: Counter = field(init=False, factory=Counter)

    @contextmanager
    def admit(self, sock, address: str, port: str) -> Iterator[ClientConnection | None]:
        """Keep a connection until the end of the block; None if there is no room."""
        limit = self.max_connections.get(port, sys.maxsize)
        if not self._make_room_for_connection(port, limit):
            self.record_refusal("too many connections")
            yield None
            return
        connection = ClientConnection(
            sock=sock,
            address=address,
            port=port,
            table=self,
            since_s=read_monotonic_s(),
        )
        self._connections[connection] = None
        self._counts[port] += 1
        self.held_bytes += CONNECTION_BYTES
        try:
            yield connection
        finally:
            self.release(connection)
            self._remove(connection)

    def _remove(self, connection: ClientConnection) -> None:
        """Forget a connection, unless it was closed for another one."""
        if connection in self._connections:
            del self._connections[connection]
            self._counts[connection.port] -= 1
            self.held_bytes -= CONNECTION_BYTES

    def reserve(self, connection: ClientConnection, size: int) -> bool:
        """Count bytes of a connection; return whether there is room for them.

        Bytes without room stay counted until the caller has dropped them.
        """
        self._count(connection, size)
        if self.held_bytes <= self.max_bytes * LARGE_SHARE:
            return True
        return self._make_room_for_bytes(connection)

    def release(self, connection: ClientConnection, size: int | None = None) -> None:
        """Stop counting bytes of a connection, or all of them."""
        size = connection.held_bytes if size is None else size
        self._count(connection, -min(size, connection.held_bytes))

    def _count(self, connection: ClientConnection, size: int) -> None:
        connection.held_bytes += size
        self.held_bytes += size
        if connection.is_evicted:
            self.ending_bytes += size

    def record_refusal(self, reason: str) -> None:
        """Count a refusal; log the counts from time to time."""
        self.refusals[reason] += 1
        now_s = read_monotonic_s()
        if now_s < self._logged_s + LOG_INTERVAL_S:
            return
        counts = self.refusals - self._logged
        self._logged_s, self._logged = now_s, self.refusals.copy()
        logger.warning(
            "requests refused",
            extra={
                "counts": dict(counts),
                "connections": len(self._connections),
                "held_bytes": self.held_bytes,
            },
        )

    def _make_room_for_bytes(self, connection: ClientConnection) -> bool:
        """End the largest requests that are being read until the bytes fit.

        For an ordinary one, connections without a request end before others like it.
        """
        is_ordinary = connection.held_bytes <= ORDINARY_BYTES
        limit = self.max_bytes if is_ordinary else self.max_bytes * LARGE_SHARE
        while self.held_bytes - self.ending_bytes > limit:
            victim = self._find_largest(connection)
            if is_ordinary and victim.held_bytes <= ORDINARY_BYTES:
                if self._close_oldest(self._find_idle()):
                    continue
            if victim is connection:
                return False
            self._end_request(victim)
        return True

    def _find_idle(self) -> list[ClientConnection]:
        """Return the connections that have no request."""
        idle = (Phase.WAITING, Phase.CLOSING)
        return [c for c in self._connections if c.phase in idle]

    def _find_largest(self, requester: ClientConnection) -> ClientConnection:
        """Return the largest request of the address that holds most."""
        candidates = [
            connection
            for connection in self._connections
            if connection.held_bytes
            and not connection.is_evicted
            and connection.phase in (Phase.READING, Phase.WRITING)
        ]
        if requester not in candidates:
            candidates.append(requester)
        totals: Counter = Counter()
        for candidate in candidates:
            totals[candidate.address] += candidate.held_bytes
        return max(
            candidates,
            key=lambda candidate: (totals[candidate.address], candidate.held_bytes),
        )

    def _end_request(self, connection: ClientConnection) -> None:
        """Make the owner of a connection give up its request.

        Its bytes stay counted until the owner has dropped them.
        """
        connection.is_evicted = True
        self.ending_bytes += connection.held_bytes
        if connection.phase is Phase.WRITING:
            self._shut_down(connection)
        else:
            # Wakes the owner if it waits for input; otherwise its next read ends it.
            get_hub().cancel_wait(
                connection.sock._read_event, RequestRefused(503, OVER_BUDGET)
            )

    def _make_room_for_connection(self, port: str, limit: int) -> bool:
        """Close connections that wait longest, if a port or the memory is full."""
        is_port_full = self._counts[port] >= limit
        taken = CONNECTION_BYTES * (self._counts[port] + 1)
        held_bytes = self.held_bytes - self.ending_bytes + CONNECTION_BYTES
        is_memory_full = (
            taken > self.max_bytes * CONNECTION_SHARE or held_bytes > self.max_bytes
        )
        if not is_port_full and not is_memory_full:
            return True
        candidates = [
            connection
            for connection in self._connections
            if self._may_close(connection)
            and (connection.port == port or not is_port_full)
        ]
        return self._close_oldest(candidates) or self._replace_handled(port, limit)

    def _replace_handled(self, port: str, limit: int) -> bool:
        """Let a connection end after its answer, so that a new one may replace it.

        Return whether it may. Only a few may be replaced before they have ended.
        """
        candidates = [
            connection
            for connection in self._connections
            if connection.port == port and not connection.closes_after_answer
        ]
        held_bytes = self.held_bytes - self.ending_bytes + CONNECTION_BYTES
        limit = min(limit, int(self.max_bytes * CONNECTION_SHARE / CONNECTION_BYTES))
        has_room = self._counts[port] < limit + int(limit * EVICTED_SHARE)
        if not candidates or not has_room or held_bytes > self.max_bytes:
            return False
        _sort_by_age(candidates)[0].closes_after_answer = True
        self.record_refusal("closed for a new connection")
        return True

    def _close_oldest(self, candidates: list[ClientConnection]) -> bool:
        """Close those that wait longest, of the address that has most.

        Return whether there were any.
        """
        if not candidates:
            return False
        oldest = _sort_by_age(candidates)
        for connection in oldest[: 1 + int(len(oldest) * EVICTED_SHARE)]:
            self._remove(connection)
            self._shut_down(connection)
            self.record_refusal("closed for a new connection")
        return True

    def _may_close(self, connection: ClientConnection) -> bool:
        """Whether no request is being handled that may change anything."""
        return (
            connection.phase is not Phase.ANSWERING
            or connection.port in self.interruptible_ports
        )

    def _shut_down(self, connection: ClientConnection) -> None:
        """End a connection; its owner closes the socket."""
        if not connection.is_evicted:
            connection.is_evicted = True
            self.ending_bytes += connection.held_bytes
        try:
            connection.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The client has ended it.
            return


def _sort_by_age(connections: list[ClientConnection]) -> list[ClientConnection]:
    """Return those of the address that has most, the one that waits longest first."""
    counts = Counter(connection.address for connection in connections)
    ((address, _),) = counts.most_common(1)
    return sorted(
        (connection for connection in connections if connection.address == address),
        key=lambda connection: connection.since_s,
    )
