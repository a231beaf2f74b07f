"""Connection greenlets to all targets; used by the dispatcher greenlet alone."""

import logging
from collections import defaultdict

import gevent
from attrs import define, field, frozen

from gentianhub.core import Mailbox, Silence, TargetAddress, Unknown, spawn_task
from gentianhub.core.effects import StartTask
from gentianhub.core.errors import Step
from gentianhub.core.events import TaskEnded
from gentianhub.targets.exchange import Exchange, TargetClient, open_target_client

# Common HTTP servers close idle connections after 5 s or more. Closing first keeps
# a task from being written to a connection that the target is just closing.
IDLE_CLOSE_S = 4.0

logger = logging.getLogger(__name__)


@define(kw_only=True, eq=False)
class TargetConnection:
    """Handle on a connection greenlet; its mailbox holds one task at most."""

    address: TargetAddress
    tasks: Mailbox[StartTask] = field(factory=lambda: Mailbox(limit=1))
    greenlet: gevent.Greenlet | None = None


@frozen(kw_only=True)
class ConnectionEnded:
    """A connection greenlet has a task's outcome and is free again."""

    connection: TargetConnection
    ended: TaskEnded


@frozen(kw_only=True)
class ConnectionClosed:
    """A connection greenlet ended after it was idle."""

    connection: TargetConnection


@define(kw_only=True, eq=False)
class TargetPool:
    """Sends tasks over idle connections and opens new ones as needed.

    Results arrive in `results`, the dispatcher's mailbox.
    """

    results: Mailbox
    _addresses: dict[str, TargetAddress] = field(init=False, factory=dict)
    _idle: dict[str, list[TargetConnection]] = field(
        init=False, factory=lambda: defaultdict(list)
    )

    def set_targets(self, targets: tuple[TargetAddress, ...]) -> None:
        """Use these addresses; close idle connections to others."""
        self._addresses = {target.name: target for target in targets}
        for connections in list(self._idle.values()):
            for connection in [c for c in connections if not self._is_current(c)]:
                self.forget_connection(connection)

    def _is_current(self, connection: TargetConnection) -> bool:
        used, listed = connection.address, self._addresses.get(connection.address.name)
        return listed is not None and (used.host, used.port) == (
            listed.host,
            listed.port,
        )

    def send_task(self, start: StartTask) -> None:
        """Hand a task to a connection greenlet; never blocks."""
        idle = self._idle[start.target]
        address = self._addresses[start.target]
        connection = idle.pop() if idle else self._open_connection(address)
        taken = connection.tasks.offer(start)
        assert taken, f"connection to {start.target} already holds a task"

    def release_connection(self, connection: TargetConnection) -> None:
        """Take a connection back as idle; close one to an earlier address."""
        self._idle[connection.address.name].append(connection)
        if not self._is_current(connection):
            self.forget_connection(connection)

    def forget_connection(self, connection: TargetConnection) -> None:
        """Drop a connection that wants to close, unless it got a task meanwhile."""
        idle = self._idle[connection.address.name]
        if connection in idle:
            idle.remove(connection)
            connection.greenlet.kill(block=False)

    def count_connections(self) -> int:
        """Return the number of idle connections."""
        return sum(map(len, self._idle.values()))

    def _open_connection(self, address: TargetAddress) -> TargetConnection:
        connection = TargetConnection(address=address)
        connection.greenlet = spawn_task(run_connection, connection, self.results)
        return connection


def run_connection(connection: TargetConnection, results: Mailbox) -> None:
    """Run tasks over one connection, one at a time."""
    with open_target_client(connection.address) as client:
        while True:
            match connection.tasks.take(timeout_s=IDLE_CLOSE_S):
                case StartTask() as start:
                    ended = _run_one(client, start)
                    results.put(ConnectionEnded(connection=connection, ended=ended))
                case Silence():
                    results.put(ConnectionClosed(connection=connection))


def _run_one(client: TargetClient, start: StartTask) -> TaskEnded:
    try:
        exchange = client.run_task(start)
    except Exception as error:
        logger.exception(
            "target exchange failed",
            extra={"step": Step.SEND_TASK.value, "peer": start.target},
        )
        client.reset()
        outcome = Unknown(step=Step.SEND_TASK, peer=start.target, reason=repr(error))
        exchange = Exchange(outcome=outcome)
    return TaskEnded(
        task_id=start.task_id,
        target=start.target,
        outcome=exchange.outcome,
        leaving=exchange.leaving,
    )
