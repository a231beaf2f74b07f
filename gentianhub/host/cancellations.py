"""Cancellation of jobs that are open at another host than the one that was asked.

A caller's new connection may reach any host. Only the front host of a job can cancel
it. The host that was asked passes the request on to the owners of all cells and to the
hosts of its data centre, and an owner to the front host that has sent it tasks of the
job. "No such job" is answered only once all of them have said so.
"""

from collections.abc import Callable, Iterable, Iterator
from typing import Any

from attrs import define, evolve, field, frozen

from gentianhub.capacity import events as ev
from gentianhub.core import Incarnation
from gentianhub.host.decision_log import log_decision
from gentianhub.host.outbox import Outbox

# Two messages there and back, between regions and behind a mailbox that is not empty.
REPLY_TIMEOUT_S = 1.0


@frozen(kw_only=True)
class JobCancelled:
    """The job was open at a host, which has cancelled it."""

    reply_to: Any


@frozen(kw_only=True)
class NoSuchJob:
    """The job is open at no host."""

    reply_to: Any


@frozen(kw_only=True)
class NotKnown:
    """A host that may have the job open has not answered in time."""

    reply_to: Any


CancelOutcome = JobCancelled | NoSuchJob | NotKnown


@define(kw_only=True, eq=False)
class _OpenRequest:
    job: str
    reply_to: Any
    deadline_s: float
    awaited: set[Incarnation]


@define(kw_only=True, eq=False)
class Cancellations:
    """The requests to cancel jobs of other hosts that this host has sent.

    Parameters
    ----------
    find_linked : callable
        Returns the hosts with a link.
    find_owners : callable
        Returns the owners of all cells.
    find_front_host : callable
        Returns the front host that has sent this host, as an owner, tasks of a job.
    """

    local_host: Incarnation
    outbox: Outbox
    find_linked: Callable[[], Iterable[Incarnation]] = tuple
    find_owners: Callable[[], Iterable[Incarnation]] = tuple
    find_front_host: Callable[[str], Incarnation | None] = lambda job: None
    _open: dict[int, _OpenRequest] = field(init=False, factory=dict)
    _count: int = field(init=False, default=0)

    def send(self, job: str, reply_to: Any, now_s: float) -> Iterator[CancelOutcome]:
        """Ask other hosts to cancel a job; yield the outcome if there are none."""
        self._count += 1
        message = ev.CancelRequest(
            job=job, asked_by=self.local_host, number=self._count
        )
        awaited = {
            peer for peer in self._find_asked(job) if self.outbox.send(peer, message)
        }
        log_decision("cancel passed on", job, hosts=len(awaited))
        if not awaited:
            yield NoSuchJob(reply_to=reply_to)
            return
        self._open[self._count] = _OpenRequest(
            job=job,
            reply_to=reply_to,
            deadline_s=now_s + REPLY_TIMEOUT_S,
            awaited=awaited,
        )

    def _find_asked(self, job: str) -> set[Incarnation]:
        """Return the linked hosts that may have a job open or know its front host.

        An owner has a link to each host, but asks no more hosts than any other one.
        """
        owners = {*self.find_owners(), self.find_front_host(job)}
        data_centre = self.local_host.name.data_centre
        return {
            peer
            for peer in self.find_linked()
            if peer in owners or peer.name.data_centre == data_centre
        }

    def answer(self, request: ev.CancelRequest, sender: Incarnation, was_open: bool):
        """Answer a request, or pass it on to the front host that has the job open.

        `was_open` is whether the job was open here; it has been cancelled then.
        """
        front_host = self.find_front_host(request.job)
        is_elsewhere = front_host not in (None, self.local_host, request.asked_by)
        if not was_open and not request.is_passed_on and is_elsewhere:
            passed_on = evolve(request, is_passed_on=True)
            if self.outbox.send(front_host, passed_on):
                return
        reply = ev.CancelReply(
            asked_by=request.asked_by, number=request.number, was_open=was_open
        )
        self.outbox.send(sender, reply)

    def handle_reply(
        self, reply: ev.CancelReply, sender: Incarnation
    ) -> Iterator[CancelOutcome]:
        """Yield the outcome of a request once it is known; pass others' replies on."""
        if reply.asked_by != self.local_host:
            self.outbox.send(reply.asked_by, reply)
            return
        request = self._open.get(reply.number)
        if request is None:
            return
        request.awaited.discard(sender)
        if reply.was_open or not request.awaited:
            del self._open[reply.number]
            reply_to = request.reply_to
            outcome = JobCancelled if reply.was_open else NoSuchJob
            yield outcome(reply_to=reply_to)

    def end_overdue(self, now_s: float) -> Iterator[CancelOutcome]:
        """Yield the outcome of requests that some host has not answered in time.

        A host that has no link any more is lost, and its jobs with it.
        """
        linked = set(self.find_linked())
        for number, request in list(self._open.items()):
            if now_s < request.deadline_s:
                continue
            del self._open[number]
            silent = request.awaited & linked
            log_decision("cancel not answered", request.job, hosts=len(silent))
            reply_to = request.reply_to
            yield (
                NotKnown(reply_to=reply_to) if silent else NoSuchJob(reply_to=reply_to)
            )
