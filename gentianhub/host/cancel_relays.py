"""Questions about cancels that a host passes on for hosts without a link.

The replies are collected, so that the host that asks gets one message for many hosts: a
link is closed once 256 messages wait in it.
"""

from collections.abc import Callable, Iterable

from gentianhub.capacity import events as ev
from gentianhub.core import Incarnation, ProcessName
from gentianhub.core.records import define, evolve, field
from gentianhub.host.outbox import Outbox

# Replies that arrive later than this after the question are dropped, s. The host that
# asks repeats the question before.
REPLY_WAIT_S = 1.0


@define(kw_only=True, eq=False)
class _RelayedQuestion:
    asked_s: float
    awaited: set[ProcessName]
    lost: tuple[ProcessName, ...]
    was_open: bool
    recorded: list[ProcessName] = field(factory=list)
    is_reported: bool = False


@define(kw_only=True, eq=False)
class CancelRelays:
    """The questions that this host has passed on, by the host that asks and its number.

    Parameters
    ----------
    find_linked : callable
        Returns the hosts with a link.
    find_lost : callable
        Returns which of the named hosts this host knows to be lost at a monotonic time.
    has_room : callable
        Returns whether the link to a host has room for a question.
    """

    outbox: Outbox
    find_linked: Callable[[], Iterable[Incarnation]]
    find_lost: Callable[[Iterable[ProcessName], float], frozenset[ProcessName]]
    has_room: Callable[[Incarnation], bool]
    _questions: dict[tuple[Incarnation, int], _RelayedQuestion] = field(
        init=False, factory=dict
    )

    def pass_on(self, request: ev.CancelRequest, was_open: bool, now_s: float) -> None:
        """Ask the linked ones of the hosts that a question names."""
        passed_on = evolve(request, is_passed_on=True, pass_on_to=())
        question = _RelayedQuestion(
            asked_s=now_s,
            awaited=set(),
            lost=tuple(sorted(self.find_lost(request.pass_on_to, now_s))),
            was_open=was_open,
        )
        for peer in self.find_linked():
            if peer.name in request.pass_on_to and self.has_room(peer):
                question.awaited.add(peer.name)
                self.outbox.send(peer, passed_on)
        key = (request.asked_by, request.number)
        self._questions[key] = question
        self._report_if_complete(key, question)

    def collect(self, reply: ev.CancelReply, sender: Incarnation) -> None:
        """Collect the reply of a host that was asked for another one."""
        key = (reply.asked_by, reply.number)
        question = self._questions.get(key)
        if question is None or sender.name not in question.awaited:
            return
        question.awaited.discard(sender.name)
        question.recorded.append(sender.name)
        question.was_open = question.was_open or reply.was_open
        question.is_reported = False
        self._report_if_complete(key, question)

    def handle_tick(self, now_s: float) -> None:
        """Report what is known of incomplete questions, and drop the old ones."""
        for key, question in list(self._questions.items()):
            if not question.is_reported:
                self._report(key, question)
            if now_s > question.asked_s + REPLY_WAIT_S:
                del self._questions[key]

    def _report_if_complete(
        self, key: tuple[Incarnation, int], question: _RelayedQuestion
    ) -> None:
        if not question.awaited:
            del self._questions[key]
            self._report(key, question)

    def _report(self, key: tuple[Incarnation, int], question: _RelayedQuestion) -> None:
        question.is_reported = True
        asked_by, number = key
        reply = ev.CancelReply(
            asked_by=asked_by,
            number=number,
            was_open=question.was_open,
            recorded=tuple(question.recorded),
            lost=question.lost,
        )
        self.outbox.send(asked_by, reply)
