"""Dispatcher greenlet, which passes events to the decisions and executes effects."""

import logging

import gevent

from gentianhub.core import Mailbox, read_monotonic_s
from gentianhub.core import effects as fx
from gentianhub.core import events as ev
from gentianhub.core.records import define, field
from gentianhub.decisions import Dispatcher
from gentianhub.observability import RenderMetrics
from gentianhub.observability.metrics import EntryMetrics
from gentianhub.siblings import SendSlotMessage, TargetLeaving
from gentianhub.storage.journal import RecordAnswer
from gentianhub.targets import ConnectionIdle, ConnectionReleased, TargetPool

TICK_PERIOD_S = 0.05

logger = logging.getLogger(__name__)


@define(kw_only=True, eq=False)
class DispatcherTask:
    """Owner of the dispatcher's state; other greenlets send messages to its mailbox."""

    mailbox: Mailbox
    dispatcher: Dispatcher
    siblings: Mailbox
    journal: Mailbox
    pool: TargetPool = field(init=False)
    metrics: EntryMetrics = field(init=False, factory=lambda: EntryMetrics())

    def __attrs_post_init__(self):
        self.pool = TargetPool(results=self.mailbox)

    def run(self) -> None:
        """Handle messages until killed."""
        for message in self.mailbox.iterate_messages():
            self._handle_message(message)

    def _handle_message(self, message) -> None:
        match message:
            case ConnectionReleased(connection=connection, attempt_ended=attempt_ended):
                self.pool.release_connection(connection)
                self.metrics.count_outcome(attempt_ended.outcome)
                if attempt_ended.leaving:
                    self.siblings.try_put(TargetLeaving(target=attempt_ended.target))
                self._handle_event(attempt_ended)
            case ConnectionIdle(connection=connection):
                self.pool.close_idle_connection(connection)
            case RenderMetrics(reply_to=to):
                to.try_put(self.metrics.render_text())
            case ev.TargetsListed(targets=targets):
                self.pool.set_targets(targets)
                self._handle_event(message)
            case event:
                self._handle_event(event)

    def _handle_event(self, event: ev.Event) -> None:
        for effect in self.dispatcher.handle(event, read_monotonic_s()):
            self._execute_effect(effect)

    def _execute_effect(self, effect: fx.Effect) -> None:
        match effect:
            case fx.StartTask():
                self.metrics.tasks_started += 1
                self.pool.send_task(effect)
            case fx.Reply(recipient=recipient, message=message):
                recipient.try_put(message)
            case fx.SendToSibling(recipient=recipient, message=message):
                # A later `SlotsHeld` corrects for a message dropped on a full mailbox.
                self.siblings.try_put(
                    SendSlotMessage(recipient=recipient, message=message)
                )
            case fx.JobEnded(job_id=job_id, answer=answer):
                self.metrics.count_job(effect)
                self.journal.try_put(RecordAnswer(job_id=job_id, answer=answer))


def run_timer(mailbox: Mailbox) -> None:
    """Send a `Tick` every `TICK_PERIOD_S`; a tick is dropped if the mailbox is full."""
    while True:
        gevent.sleep(TICK_PERIOD_S)
        mailbox.try_put(ev.Tick())
