"""Pool of connection greenlets to the targets, used only by the dispatcher greenlet."""

import logging
from collections import defaultdict

import gevent

from gentianhub.core import (
    Mailbox,
    MailboxTimeout,
    TargetAddress,
    Unknown,
    spawn_greenlet,
)
from gentianhub.core.effects import StartTask
from gentianhub.core.errors import Step
from gentianhub.core.events import AttemptEnded
from gentianhub.core.records import define, field, frozen
from gentianhub.targets.exchange import AttemptResult, TargetClient, open_target_client

# Common HTTP servers close idle connections after 5 s or more. A shorter timeout on
# this side avoids sending a task over a connection that the target is closing.
IDLE_TIMEOUT_S = 4.0

logger = logging.getLogger(__name__)


@define(kw_only=True, eq=False)
class TargetConnection:
    """Handle of a connection greenlet, whose mailbox holds at most one task."""

    address: TargetAddress
    tasks: Mailbox[StartTask] = field(factory=lambda: Mailbox(limit=1))
    greenlet: gevent.Greenlet | None = None


@frozen(kw_only=True)
class ConnectionReleased:
    """An attempt has an outcome, and its connection is idle again."""

    connection: TargetConnection
    attempt_ended: AttemptEnded


@frozen(kw_only=True)
class ConnectionIdle:
    """A connection was idle for `IDLE_TIMEOUT_S` and can be closed."""

    connection: TargetConnection


@define(kw_only=True, eq=False)
class TargetPool:
    """Sends tasks over idle connections and opens new ones on demand.

    `results` is the dispatcher's mailbox, which receives the results of attempts.
    """

    results: Mailbox
    _addresses: dict[str, TargetAddress] = field(init=False, factory=dict)
    _idle: dict[str, list[TargetConnection]] = field(
        init=False, factory=lambda: defaultdict(list)
    )

    def set_targets(self, targets: tuple[TargetAddress, ...]) -> None:
        """Replace the target addresses; close idle connections to any other address."""
        self._addresses = {target.name: target for target in targets}
        for connections in list(self._idle.values()):
            for connection in [
                c for c in connections if not self._has_current_address(c)
            ]:
                self.close_idle_connection(connection)

    def _has_current_address(self, connection: TargetConnection) -> bool:
        used, listed = connection.address, self._addresses.get(connection.address.name)
        return listed is not None and (used.host, used.port) == (
            listed.host,
            listed.port,
        )

    def send_task(self, start: StartTask) -> None:
        """Pass a task to a connection greenlet without blocking."""
        idle = self._idle[start.target]
        address = self._addresses[start.target]
        connection = idle.pop() if idle else self._open_connection(address)
        is_queued = connection.tasks.try_put(start)
        assert is_queued, f"connection to {start.target} already has a queued task"

    def release_connection(self, connection: TargetConnection) -> None:
        """Mark a connection as idle; close it if the target's address has changed."""
        self._idle[connection.address.name].append(connection)
        if not self._has_current_address(connection):
            self.close_idle_connection(connection)

    def close_idle_connection(self, connection: TargetConnection) -> None:
        """Close a connection unless it was given a task in the meantime."""
        idle = self._idle[connection.address.name]
        if connection in idle:
            idle.remove(connection)
            connection.greenlet.kill(block=False)

    def count_idle_connections(self) -> int:
        """Return the number of idle connections."""
        return sum(map(len, self._idle.values()))

    def _open_connection(self, address: TargetAddress) -> TargetConnection:
        connection = TargetConnection(address=address)
        connection.greenlet = spawn_greenlet(run_connection, connection, self.results)
        return connection


def run_connection(connection: TargetConnection, results: Mailbox) -> None:
    """Run tasks over one connection, one after another."""
    with open_target_client(connection.address) as client:
        while True:
            match connection.tasks.get(timeout_s=IDLE_TIMEOUT_S):
                case StartTask() as start:
                    attempt_ended = _run_attempt(client, start)
                    results.put(
                        ConnectionReleased(
                            connection=connection, attempt_ended=attempt_ended
                        )
                    )
                case MailboxTimeout():
                    results.put(ConnectionIdle(connection=connection))


def _run_attempt(client: TargetClient, start: StartTask) -> AttemptEnded:
    try:
        result = client.run_task(start)
    except Exception as error:
        logger.exception(
            "HTTP exchange with the target failed unexpectedly",
            extra={"step": Step.SEND_TASK.value, "peer": start.target},
        )
        client.reset()
        outcome = Unknown(step=Step.SEND_TASK, peer=start.target, reason=repr(error))
        result = AttemptResult(outcome=outcome)
    return AttemptEnded(
        task_id=start.task_id,
        target=start.target,
        outcome=result.outcome,
        leaving=result.leaving,
    )
