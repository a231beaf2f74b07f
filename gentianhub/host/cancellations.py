"""Cancellation of jobs on all hosts.

A caller's new connection may reach any host, and the request of a cancelled job may
arrive again at another one. The host that was asked therefore has each host record the
cancel. It passes the question to hosts without a link through others, and answers only
once each host has recorded the cancel or is known to be lost.
"""

from collections.abc import Callable, Iterable, Iterator
from typing import Any

from gentianhub.capacity import events as ev
from gentianhub.capacity.cancelled_jobs import CancelledJobs
from gentianhub.core import Incarnation, ProcessName
from gentianhub.core.records import define, evolve, field, frozen
from gentianhub.host.cancel_relays import CancelRelays
from gentianhub.host.decision_log import log_decision
from gentianhub.host.outbox import Outbox

# Callers expect an answer within 4 s at least; the rest is for the mailbox and the
# network. A lost host is known as such after up to 2.6 s.
ANSWER_TIMEOUT_S = 3.4
# Interval at which other hosts are asked to reach those without a link.
RELAY_INTERVAL_S = 0.4
# Further cancels are answered as not known. Each question may bring two replies over
# one link, which is closed once 256 messages wait in it.
MAX_OPEN_QUESTIONS = 64
# Jobs in one message of the record; one of them takes some 50 bytes.
MAX_JOBS_PER_MESSAGE = 500


@frozen(kw_only=True)
class JobCancelled:
    """The job was open at a host; all hosts have recorded the cancel."""

    reply_to: Any


@frozen(kw_only=True)
class NoSuchJob:
    """The job is open at no host."""

    reply_to: Any


@frozen(kw_only=True)
class NotKnown:
    """A host that may have the job has not recorded the cancel in time."""

    reply_to: Any


CancelOutcome = JobCancelled | NoSuchJob | NotKnown


@define(kw_only=True, eq=False)
class _Question:
    """A question to the other hosts; `settled` have recorded the cancel or are lost.

    `asked` have been asked over their present link.
    """

    message: ev.CancelRequest
    reply_to: Any
    was_open: bool
    deadline_s: float
    relayed_s: float
    settled: set[ProcessName] = field(factory=set)
    asked: set[Incarnation] = field(factory=set)
    relay_attempts: int = 0


@define(kw_only=True, eq=False)
class Cancellations:
    """The questions of this host to others, and its answers to theirs.

    Parameters
    ----------
    record : CancelledJobs
        The cancelled jobs that this host knows of.
    find_hosts : callable
        Returns all other hosts that may have a job; None if they are not known.
    find_lost : callable
        Returns which of the named hosts this host knows to be lost at a monotonic time.
    find_linked : callable
        Returns the hosts with a link.
    find_owners : callable
        Returns the owners of all cells.
    has_room : callable
        Returns whether the link to a host has room for a question.
    """

    local_host: Incarnation
    outbox: Outbox
    record: CancelledJobs = field(factory=lambda: CancelledJobs())
    find_hosts: Callable[[], frozenset[ProcessName] | None] = frozenset
    find_lost: Callable[[Iterable[ProcessName], float], frozenset[ProcessName]] = (
        lambda names, now_s: frozenset()
    )
    find_linked: Callable[[], Iterable[Incarnation]] = tuple
    find_owners: Callable[[], Iterable[Incarnation]] = tuple
    has_room: Callable[[Incarnation], bool] = lambda peer: True
    _relays: CancelRelays = field(init=False)
    _open: dict[int, _Question] = field(init=False, factory=dict)
    _count: int = field(init=False, default=0)

    def __attrs_post_init__(self):
        self._relays = CancelRelays(
            outbox=self.outbox,
            find_linked=self.find_linked,
            find_lost=self.find_lost,
            has_room=self.has_room,
        )

    def ask(
        self, job: str, was_open: bool, reply_to: Any, now_s: float
    ) -> Iterator[CancelOutcome]:
        """Have all other hosts cancel a job; yield the outcome if there are none."""
        if len(self._open) >= MAX_OPEN_QUESTIONS:
            log_decision("cancel not answered", job, reason="too many questions")
            yield NotKnown(reply_to=reply_to)
            return
        self._count += 1
        question = _Question(
            message=ev.CancelRequest(
                job=job, asked_by=self.local_host, number=self._count
            ),
            reply_to=reply_to,
            was_open=was_open,
            deadline_s=now_s + ANSWER_TIMEOUT_S,
            relayed_s=now_s,
        )
        self._open[self._count] = question
        self._ask_linked(question)
        log_decision("cancel passed on", job, hosts=len(question.asked))
        self._ask_relays(question)
        yield from self._end_if_known(question)

    def _list_awaited(self, question: _Question) -> frozenset[ProcessName] | None:
        """Return the hosts that may not have recorded a cancel; None if unknown."""
        hosts = self.find_hosts()
        return None if hosts is None else hosts - question.settled

    def _end_if_known(self, question: _Question) -> Iterator[CancelOutcome]:
        awaited = self._list_awaited(question)
        if awaited is None or awaited:
            return
        del self._open[question.message.number]
        outcome = JobCancelled if question.was_open else NoSuchJob
        yield outcome(reply_to=question.reply_to)

    def _ask_linked(self, question: _Question) -> None:
        """Ask the linked hosts that have not been asked over their present link."""
        for peer in self.find_linked():
            if peer in question.asked or peer.name in question.settled:
                continue
            if self.has_room(peer) and self.outbox.send(peer, question.message):
                question.asked.add(peer)

    def _ask_relays(self, question: _Question) -> None:
        """Ask other hosts to pass a question to the hosts without a link."""
        awaited = self._list_awaited(question) or frozenset()
        linked = {peer.name for peer in self.find_linked()}
        names_by_relay: dict[Incarnation, list[ProcessName]] = {}
        for name in sorted(awaited - linked):
            relays = self._rank_relays(name)
            if relays:
                relay = relays[question.relay_attempts % len(relays)]
                names_by_relay.setdefault(relay, []).append(name)
        for relay, names in names_by_relay.items():
            if self.has_room(relay):
                message = evolve(question.message, pass_on_to=tuple(names))
                self.outbox.send(relay, message)
        question.relay_attempts += 1

    def _rank_relays(self, name: ProcessName) -> list[Incarnation]:
        """Return the linked hosts that may have a link to a host, the likeliest first.

        A host elsewhere can't tell a cut between data centres from a loss, so that it
        is asked only if no host of the data centre has a link.
        """
        owners = set(self.find_owners())
        linked = sorted(self.find_linked(), key=lambda peer: (peer not in owners, peer))
        local = [p for p in linked if p.name.data_centre == name.data_centre]
        return local or [peer for peer in linked if peer in owners]

    def answer(
        self,
        request: ev.CancelRequest,
        sender: Incarnation,
        was_open: bool,
        now_s: float,
    ) -> None:
        """Answer another host's question, or pass it on to the hosts that it names."""
        if request.pass_on_to:
            self._relays.pass_on(request, was_open, now_s)
            return
        reply = ev.CancelReply(
            asked_by=request.asked_by, number=request.number, was_open=was_open
        )
        self.outbox.send(sender, reply)

    def handle_reply(
        self, reply: ev.CancelReply, sender: Incarnation
    ) -> Iterator[CancelOutcome]:
        """Yield the outcome of a question once it is known; collect others' replies."""
        if reply.asked_by != self.local_host:
            self._relays.collect(reply, sender)
            return
        question = self._open.get(reply.number)
        if question is None:
            return
        question.was_open = question.was_open or reply.was_open
        question.settled |= {sender.name, *reply.recorded, *reply.lost}
        yield from self._end_if_known(question)

    def handle_link(self, peer: Incarnation, now_s: float) -> None:
        """Ask a newly linked host what is open, and tell it the record.

        The questions come first: a job that the record has cancelled is no longer open.
        """
        for question in self._open.values():
            question.asked.discard(peer)
            self._ask_linked(question)
        jobs = tuple(self.record.list_entries(now_s))
        for start in range(0, len(jobs), MAX_JOBS_PER_MESSAGE):
            part = jobs[start : start + MAX_JOBS_PER_MESSAGE]
            self.outbox.send(peer, ev.CancelledJobs(jobs=part))

    def handle_tick(self, now_s: float) -> Iterator[CancelOutcome]:
        """Ask again, and yield the outcome of questions that are known or overdue."""
        self._relays.handle_tick(now_s)
        for number, question in list(self._open.items()):
            awaited = self._list_awaited(question)
            if awaited:
                question.settled |= self.find_lost(awaited, now_s)
            yield from self._end_if_known(question)
            if number not in self._open:
                continue
            if now_s >= question.deadline_s:
                del self._open[number]
                self._log_unknown(question)
                yield NotKnown(reply_to=question.reply_to)
                continue
            self._ask_linked(question)
            if now_s >= question.relayed_s + RELAY_INTERVAL_S:
                question.relayed_s = now_s
                self._ask_relays(question)

    def _log_unknown(self, question: _Question) -> None:
        awaited = self._list_awaited(question)
        log_decision(
            "cancel not answered",
            question.message.job,
            hosts=None if awaited is None else len(awaited),
            first=None if not awaited else str(min(awaited)),
        )
