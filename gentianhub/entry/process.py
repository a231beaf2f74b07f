"""One entry process: its greenlets, its ports and its shutdown."""

import logging
import signal
from collections.abc import Iterator
from contextlib import contextmanager

import gevent
from attrs import define, field
from gevent.event import Event

from gentianhub.callers import CallerPort, serve_callers
from gentianhub.core import (
    Incarnation,
    Mailbox,
    ProcessName,
    draw_incarnation,
    spawn_task,
)
from gentianhub.core.events import DrainBegun
from gentianhub.core.operations import Operation, perform_operation
from gentianhub.decisions import Dispatcher
from gentianhub.entry.dispatcher import DispatcherTask, run_timer
from gentianhub.entry.messages import CountOpenJobs
from gentianhub.operators import OperatorPort, serve_operators
from gentianhub.platform import PlatformWatcher, run_watcher
from gentianhub.settings import HostSettings, ProcessSettings
from gentianhub.siblings import find_owner, forward_operation, open_siblings

DRAIN_CHECK_S = 0.1
# The load balancer must see the failing health check before the port closes.
BALANCER_NOTICE_S = 0.5

logger = logging.getLogger(__name__)


@define(kw_only=True, eq=False)
class EntryProcess:
    """One entry process, assembled from its settings."""

    host: HostSettings
    process: ProcessSettings
    incarnation: Incarnation = field(init=False)
    mailbox: Mailbox = field(init=False)
    siblings: Mailbox = field(init=False)
    _drain: Event = field(init=False, factory=Event)

    def __attrs_post_init__(self):
        name = ProcessName(data_centre=self.host.data_centre, process=self.process.name)
        self.incarnation = draw_incarnation(name)
        self.mailbox = Mailbox(limit=self.host.limits.dispatcher_mailbox)
        self.siblings = Mailbox(limit=self.host.limits.siblings_mailbox)

    def perform(self, operation: Operation):
        """Carry an operation to the owner of its job."""
        owner = find_owner(operation)
        if owner is None or owner == self.incarnation:
            return perform_operation(self.mailbox, operation)
        return forward_operation(self.siblings, owner, operation)

    def begin_drain(self) -> None:
        """Begin a graceful shutdown."""
        self._drain.set()

    def run(self) -> None:
        """Serve until a drain is asked for, then let accepted jobs end."""
        gevent.signal_handler(signal.SIGTERM, self.begin_drain)
        gevent.signal_handler(signal.SIGINT, self.begin_drain)
        with self._run_tasks(), self._serve_ports():
            logger.info("serving", extra={"incarnation": str(self.incarnation)})
            self._drain.wait()
            self._finish_jobs()

    @contextmanager
    def _run_tasks(self) -> Iterator[None]:
        dispatcher = DispatcherTask(
            mailbox=self.mailbox,
            decisions=Dispatcher(owner=self.incarnation),
            siblings=self.siblings,
        )
        watcher = PlatformWatcher(
            data_centre=self.host.data_centre,
            dispatcher=self.mailbox,
            siblings=self.siblings,
        )
        tasks = [
            spawn_task(dispatcher.run),
            spawn_task(run_timer, self.mailbox),
            spawn_task(run_watcher, watcher, *self.host.platform.as_pair()),
        ]
        siblings = open_siblings(
            own=self.incarnation,
            address=self.process.siblings,
            seeds=self.host.siblings,
            mailbox=self.siblings,
            dispatcher=self.mailbox,
            watcher=watcher.duties,
        )
        try:
            with siblings:
                yield
        finally:
            gevent.killall(tasks)

    @contextmanager
    def _serve_ports(self) -> Iterator[None]:
        callers = CallerPort(
            perform=self.perform, is_healthy=lambda: not self._drain.is_set()
        )
        operators = OperatorPort(
            dispatcher=self.mailbox,
            siblings=self.siblings,
            begin_drain=self.begin_drain,
        )
        limits = self.host.limits
        with (
            serve_operators(self.process.operators.as_pair(), operators),
            serve_callers(
                self.process.callers.as_pair(), callers, limits.caller_connections
            ),
        ):
            yield

    def _finish_jobs(self) -> None:
        logger.info("draining")
        self.mailbox.put(DrainBegun())
        gevent.sleep(BALANCER_NOTICE_S)
        with gevent.Timeout(self.host.limits.drain_s, False):
            while self._count_open_jobs():
                gevent.sleep(DRAIN_CHECK_S)
        logger.info("stopped", extra={"open_jobs": self._count_open_jobs()})

    def _count_open_jobs(self) -> int:
        replies = Mailbox(limit=1)
        self.mailbox.put(CountOpenJobs(reply_to=replies))
        return replies.take()
