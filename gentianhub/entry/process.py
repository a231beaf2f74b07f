"""Greenlets, ports and shutdown of one entry process."""

import logging
import signal
from collections.abc import Iterator
from contextlib import contextmanager

import gevent
from gevent.event import Event

from gentianhub.callers import CallerHandler, serve_callers
from gentianhub.core import (
    Incarnation,
    JobComplete,
    JobFailed,
    JobRequest,
    Mailbox,
    MailboxTimeout,
    ProcessName,
    Refusal,
    RefusalKind,
    create_incarnation,
    spawn_greenlet,
)
from gentianhub.core.events import Drained, DrainStarted, DrainTimedOut
from gentianhub.core.operations import (
    Operation,
    SubmitOperation,
    WatchOperation,
    perform_operation,
)
from gentianhub.core.records import define, field
from gentianhub.decisions import Dispatcher
from gentianhub.entry.dispatcher import DispatcherTask, run_timer
from gentianhub.operators import OperatorHandler, serve_operators
from gentianhub.settings import HostSettings, ProcessSettings
from gentianhub.siblings import forward_operation, get_named_owner, open_sibling_links
from gentianhub.storage import PlatformPoller, run_watcher
from gentianhub.storage.claims import (
    ClaimWorker,
    build_draining_refusal,
    run_claims,
    submit_with_key,
)
from gentianhub.storage.journal import (
    AnswerDelivered,
    JournalWorker,
    flush_journal,
    run_journal,
)
from gentianhub.storage.lookups import LookupWorker, look_up_answer, run_lookups

EXIT_CRASHED = 70
# The load balancer must see a failing health check before the port closes.
HEALTH_CHECK_GRACE_S = 0.5

logger = logging.getLogger(__name__)


@define(kw_only=True, eq=False)
class EntryProcess:
    """One entry process, assembled from its settings."""

    host: HostSettings
    process: ProcessSettings
    incarnation: Incarnation = field(init=False)
    mailbox: Mailbox = field(init=False)
    siblings: Mailbox = field(init=False)
    _drain_requested: Event = field(init=False, factory=Event)
    _has_crashed: bool = field(init=False, default=False)
    _claims: ClaimWorker = field(init=False, factory=lambda: ClaimWorker())
    _lookups: LookupWorker = field(init=False, factory=lambda: LookupWorker())
    _journal: JournalWorker = field(init=False)

    def __attrs_post_init__(self):
        name = ProcessName(data_centre=self.host.data_centre, process=self.process.name)
        self.incarnation = create_incarnation(name)
        self.mailbox = Mailbox(limit=self.host.limits.dispatcher_mailbox)
        self.siblings = Mailbox(limit=self.host.limits.siblings_mailbox)
        self._journal = JournalWorker(owner=self.incarnation)

    def perform(self, operation: Operation):
        """Perform an operation at the owner of its job and return the reply."""
        match operation:
            case SubmitOperation(request=request, key=str() as key):
                return self._submit_with_key(key, request)
        owner = get_named_owner(operation)
        if owner is not None and owner != self.incarnation:
            reply = forward_operation(self.siblings, owner, operation)
            return self._look_up_answer(operation, reply)
        reply = perform_operation(self.mailbox, operation)
        match operation, reply:
            case WatchOperation(job_id=job_id), JobComplete() | JobFailed():
                self._journal.mailbox.try_put(AnswerDelivered(job_id=job_id))
        return reply

    def _look_up_answer(self, operation: Operation, reply):
        """Return the answer of a lost owner's job from the journal, if it is there."""
        match operation, reply:
            case WatchOperation(job_id=job_id), Refusal(kind=RefusalKind.GONE):
                found = look_up_answer(self._lookups.mailbox, job_id)
                return reply if isinstance(found, Refusal) else found
            case _:
                return reply

    def _submit_with_key(self, key: str, request: JobRequest):
        if self._drain_requested.is_set():
            return build_draining_refusal(str(self.incarnation))
        return submit_with_key(
            key, request, claims=self._claims.mailbox, perform=self.perform
        )

    def start_drain(self) -> None:
        """Start a graceful shutdown."""
        self._drain_requested.set()

    def run(self) -> None:
        """Serve until a drain is requested, then wait for accepted jobs to end."""
        gevent.signal_handler(signal.SIGTERM, self.start_drain)
        gevent.signal_handler(signal.SIGINT, self.start_drain)
        with self._run_greenlets(), self._serve_ports():
            logger.info("serving", extra={"incarnation": str(self.incarnation)})
            self._drain_requested.wait()
            if self._has_crashed:
                raise SystemExit(EXIT_CRASHED)
            self._finish_jobs()

    @contextmanager
    def _run_greenlets(self) -> Iterator[None]:
        dispatcher = DispatcherTask(
            mailbox=self.mailbox,
            dispatcher=Dispatcher(owner=self.incarnation),
            siblings=self.siblings,
            journal=self._journal.mailbox,
        )
        poller = PlatformPoller(
            data_centre=self.host.data_centre,
            dispatcher=self.mailbox,
            siblings=self.siblings,
        )
        platform = self.host.platform.as_host_and_port()
        greenlets = [
            spawn_greenlet(dispatcher.run),
            spawn_greenlet(run_timer, self.mailbox),
            spawn_greenlet(run_watcher, poller, *platform),
            spawn_greenlet(run_claims, self._claims, *platform),
            spawn_greenlet(run_journal, self._journal, *platform),
            spawn_greenlet(run_lookups, self._lookups, *platform),
        ]
        for greenlet in greenlets:
            greenlet.link_exception(self._report_crash)
        siblings = open_sibling_links(
            own_incarnation=self.incarnation,
            address=self.process.siblings,
            seeds=self.host.siblings,
            mailbox=self.siblings,
            dispatcher=self.mailbox,
            poller=poller.poller_roles,
        )
        try:
            with siblings:
                yield
        finally:
            gevent.killall(greenlets)

    @contextmanager
    def _serve_ports(self) -> Iterator[None]:
        callers = CallerHandler(
            perform=self.perform, is_healthy=lambda: not self._drain_requested.is_set()
        )
        operators = OperatorHandler(
            dispatcher=self.mailbox,
            siblings=self.siblings,
            start_drain=self.start_drain,
        )
        limits = self.host.limits
        with (
            serve_operators(self.process.operators.as_host_and_port(), operators),
            serve_callers(
                self.process.callers.as_host_and_port(),
                callers,
                limits.caller_connections,
            ),
        ):
            yield

    def _finish_jobs(self) -> None:
        logger.info("draining")
        replies = Mailbox(limit=1)
        self.mailbox.put(DrainStarted(reply_to=replies))
        gevent.sleep(HEALTH_CHECK_GRACE_S)
        match replies.get(timeout_s=self.host.limits.drain_s):
            case MailboxTimeout(waited_s=waited_s):
                logger.warning(
                    "drain limit reached after %s s; remaining jobs are ended", waited_s
                )
                self.mailbox.put(DrainTimedOut())
                replies.get()
            case Drained():
                logger.info("every job has ended")
        unwritten = flush_journal(self._journal.mailbox)
        logger.info("stopped", extra={"unwritten_answers": unwritten})

    def _report_crash(self, greenlet: gevent.Greenlet) -> None:
        """Stop immediately: after a failed assertion the state cannot be trusted."""
        logger.critical("greenlet %s failed: %r", greenlet.name, greenlet.exception)
        self._has_crashed = True
        self._drain_requested.set()
