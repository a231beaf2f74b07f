"""The dispatcher greenlet: feeds events to the decisions, carries out effects."""

import logging

import gevent
from attrs import define, field

from gentianhub.core import Mailbox, read_monotonic_s
from gentianhub.core import effects as fx
from gentianhub.core import events as ev
from gentianhub.decisions import Dispatcher
from gentianhub.observability import RenderMetrics
from gentianhub.observability.metrics import Metrics
from gentianhub.siblings import SendSlotMessage, TargetSeenLeaving
from gentianhub.storage.journal import RecordAnswer
from gentianhub.targets import ConnectionClosed, ConnectionEnded, TargetPool

TICK_PERIOD_S = 0.05

logger = logging.getLogger(__name__)


@define(kw_only=True, eq=False)
class DispatcherTask:
    """Owns the dispatcher's state; other greenlets reach it by its mailbox."""

    mailbox: Mailbox
    decisions: Dispatcher
    siblings: Mailbox
    journal: Mailbox
    pool: TargetPool = field(init=False)
    metrics: Metrics = field(init=False, factory=lambda: Metrics())

    def __attrs_post_init__(self):
        self.pool = TargetPool(results=self.mailbox)

    def run(self) -> None:
        """Take messages for ever."""
        for message in self.mailbox.drain_messages():
            self._take_message(message)

    def _take_message(self, message) -> None:
        match message:
            case ConnectionEnded(connection=connection, ended=ended):
                self.pool.release_connection(connection)
                self.metrics.count_outcome(ended.outcome)
                if ended.leaving:
                    self.siblings.offer(TargetSeenLeaving(target=ended.target))
                self._handle_event(ended)
            case ConnectionClosed(connection=connection):
                self.pool.forget_connection(connection)
            case RenderMetrics(reply_to=to):
                to.offer(self.metrics.render_text())
            case ev.TargetsSeen(targets=targets):
                self.pool.set_targets(targets)
                self._handle_event(message)
            case event:
                self._handle_event(event)

    def _handle_event(self, event: ev.Event) -> None:
        for effect in self.decisions.handle(event, read_monotonic_s()):
            self._carry_out(effect)

    def _carry_out(self, effect: fx.Effect) -> None:
        match effect:
            case fx.StartTask():
                self.metrics.tasks_started += 1
                self.pool.send_task(effect)
            case fx.Reply(to=to, message=message):
                to.offer(message)
            case fx.SendToSibling(to=to, message=message):
                # A message lost to a full mailbox is made good by `SlotsHeld`.
                self.siblings.offer(SendSlotMessage(to=to, message=message))
            case fx.JobEnded(job_id=job_id, answer=answer):
                self.metrics.count_job(effect)
                self.journal.offer(RecordAnswer(job_id=job_id, answer=answer))


def run_timer(mailbox: Mailbox) -> None:
    """Send a `Tick` each period; one that finds the mailbox full is dropped."""
    while True:
        gevent.sleep(TICK_PERIOD_S)
        mailbox.offer(ev.Tick())
