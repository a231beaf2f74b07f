"""Connections to targets, and the greenlets that own them."""

import logging

import gevent

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity.answer_times import AnswerTimes
from gentianhub.capacity.jobs import ListedTarget
from gentianhub.core import Mailbox, spawn_greenlet
from gentianhub.core.records import define, field
from gentianhub.platform.targets import TargetClient, TargetClock

# Most commands that wait for a connection; a target runs only a few tasks at a time.
COMMAND_QUEUE_LIMIT = 512
# Most connections for starts, stops and listings. An unanswered request blocks its
# connection until the request times out, so others must be available.
MAX_COMMAND_CONNECTIONS = 3
# A lost answer to a list would delay the next one until the pending lease renewal ends.
LIST_ATTEMPTS = 2
# Delay before the next lease renewal of a target that did not answer, s.
UNRESPONSIVE_DELAY_S = 0.2

logger = logging.getLogger(__name__)


@define(kw_only=True, eq=False)
class TargetConnections:
    """The connections to one target; answers go to the coordinator's mailbox."""

    target: ListedTarget
    answers: Mailbox
    clock: TargetClock = field(factory=lambda: TargetClock())
    answer_times: AnswerTimes = field(factory=lambda: AnswerTimes())
    renewals: Mailbox = field(factory=lambda: Mailbox(limit=4))
    commands: Mailbox = field(factory=lambda: Mailbox(limit=COMMAND_QUEUE_LIMIT))
    _greenlets: list[gevent.Greenlet] = field(init=False, factory=list)

    def __attrs_post_init__(self):
        self._greenlets.append(spawn_greenlet(run_renewals, self))

    def create_client(self) -> TargetClient:
        """Return a client with a connection of its own."""
        return TargetClient(
            target=self.target, clock=self.clock, answer_times=self.answer_times
        )

    def renew(self, renewal: fx.RenewLease) -> None:
        """Queue a lease renewal."""
        self.renewals.try_put(renewal)

    def enqueue(self, command: fx.StartRun | fx.StopRun | fx.ListRuns) -> bool:
        """Queue a start, a stop or a listing of runs; return whether there was room."""
        is_busy = len(self.commands) > 0 or len(self._greenlets) == 1
        if is_busy and len(self._greenlets) <= MAX_COMMAND_CONNECTIONS:
            self._greenlets.append(spawn_greenlet(run_orders, self))
        return self.commands.try_put(command)

    def close(self) -> None:
        """Kill the greenlets, which close their connections."""
        gevent.killall(self._greenlets, block=False)


def run_renewals(connections: TargetConnections) -> None:
    """Send the queued lease renewals to the target, one at a time."""
    client = connections.create_client()
    try:
        for renewal in connections.renewals.iterate_messages():
            match client.renew(renewal):
                case ev.RunsReported() as report:
                    connections.answers.put(report)
                case ev.TargetSilent() as silent if not renewal.is_retry:
                    _forget_broken_clock(connections, silent)
                    connections.answers.put(
                        ev.RenewalMissed(
                            target=silent.target,
                            reason=silent.reason,
                            is_broken=silent.is_broken,
                        )
                    )
                case failure:
                    _forget_broken_clock(connections, failure)
                    connections.answers.put(failure)
                    gevent.sleep(UNRESPONSIVE_DELAY_S)
    finally:
        client.close()


def _forget_broken_clock(
    connections: TargetConnections, failure: ev.TargetSilent | ev.FencedByTarget
) -> None:
    """Forget the clock of a target that may have restarted, with a new clock."""
    match failure:
        case ev.TargetSilent(is_broken=True):
            connections.clock.forget()


def run_orders(connections: TargetConnections) -> None:
    """Send the queued starts, stops and listings to the target, one at a time."""
    client = connections.create_client()
    try:
        for command in connections.commands.iterate_messages():
            match command:
                case fx.StartRun():
                    connections.answers.put(client.start(command))
                case fx.StopRun():
                    connections.answers.put(client.stop(command))
                case fx.ListRuns():
                    _list_runs(client, command, connections)
    finally:
        client.close()


def _list_runs(
    client: TargetClient, query: fx.ListRuns, connections: TargetConnections
) -> None:
    """Request a target's runs, once more if the first request is not answered."""
    for _ in range(LIST_ATTEMPTS):
        match client.list_runs(query):
            case ev.RunsReported() as report:
                connections.answers.put(report)
                return
            case failure:
                # The pending lease renewal will report the same failure.
                logger.info(
                    "look failed",
                    extra={"id": failure.target, "outcome": repr(failure)},
                )


@define(kw_only=True, eq=False)
class TargetConnectionMap:
    """The connections to each target; used only by the coordinator's greenlet."""

    answers: Mailbox
    _connections: dict[str, TargetConnections] = field(init=False, factory=dict)

    def get_connections(self, target: ListedTarget) -> TargetConnections:
        """Return the connections to a target; replace them if it has moved."""
        connections = self._connections.get(target.name)
        if connections is not None and connections.target.address != target.address:
            connections.close()
            connections = None
        if connections is None:
            connections = TargetConnections(target=target, answers=self.answers)
            self._connections[target.name] = connections
        return connections

    def close_target(self, name: str) -> None:
        """Close the connections to a target."""
        connections = self._connections.pop(name, None)
        if connections is not None:
            connections.close()

    def close(self) -> None:
        """Close all connections."""
        for name in list(self._connections):
            self.close_target(name)
