"""Confirmation of open jobs between a front host and the owners of cells.

The front host's side answers the owners that ask for its open jobs. The owner's side
dates what front hosts say, by the heartbeats that they name.
"""

from collections.abc import Iterable

from gentianhub.capacity import events as ev
from gentianhub.capacity.confirmations import SentHeartbeats
from gentianhub.capacity.front import FrontJobRegistry
from gentianhub.capacity.jobs import Cell
from gentianhub.core import Incarnation, Mailbox
from gentianhub.core.records import define, field
from gentianhub.host import messages as ms
from gentianhub.host.outbox import Outbox
from gentianhub.host.progress import DepartureProgress

# After a freeze, this host's own orders wait this long for the other hosts' records of
# cancelled jobs, which arrive with new links. These are dialled within 0.5 s.
RECORD_WAIT_S = 0.5


@define(kw_only=True, eq=False)
class OpenJobReports:
    """Tells owners which jobs are open, and dates what other front hosts tell.

    Parameters
    ----------
    departure_marks : Mailbox
        Receives messages that come back behind all departures that had arrived.
    sent_heartbeats : SentHeartbeats
        The heartbeats of this host, which front hosts name.
    """

    local_host: Incarnation
    job_registry: FrontJobRegistry
    outbox: Outbox
    departure_marks: Mailbox
    sent_heartbeats: SentHeartbeats
    progress: DepartureProgress = field(factory=lambda: DepartureProgress())
    _frozen_until_s: float = field(init=False, default=float("-inf"))

    def record_freeze(self, now_s: float) -> None:
        """Record that this host has just resumed after a freeze.

        Requests of cancelled jobs may lie unread in its sockets.
        """
        self._frozen_until_s = now_s + RECORD_WAIT_S

    def find_confirmed_s(
        self,
        front_host: Incarnation,
        request: ev.RunTasks | ev.OpenJobs,
        now_s: float,
    ) -> float:
        """Return when a front host is known to have had the named jobs open.

        The time is monotonic. This host's own departures of callers wait in its mailbox
        like any message.
        """
        if front_host == self.local_host:
            if now_s < self._frozen_until_s:
                return float("-inf")
            return self.progress.handled_until_s
        return self.sent_heartbeats.find_confirmed_s(request.heard_heartbeat)

    def answer_heartbeat(self, owner: Incarnation, heartbeat: ev.HostHeartbeat) -> None:
        """Tell an owner which jobs are open, once its heartbeat may be named."""
        cells = tuple(claim.cell for claim in heartbeat.claims)
        if self.progress.answers_settled():
            self.send(owner, cells, self.progress.find_heartbeat(owner))
            return
        answer = ms.AnswerHeartbeat(
            owner=owner, cells=cells, heartbeat=heartbeat.number
        )
        # An owner whose question is dropped at a full mailbox asks again.
        self.departure_marks.try_put(answer)

    def confirm_own(self, cells: Iterable[Cell]) -> None:
        """Tell this host, as an owner, which of its own jobs are open."""
        self.send(self.local_host, cells, heard_heartbeat=0)

    def send(
        self, owner: Incarnation, cells: Iterable[Cell], heard_heartbeat: int
    ) -> None:
        """Send the open jobs in the cells that are known to belong to the owner."""
        for cell in cells:
            known = self.job_registry.owners.get(cell)
            if known is not None and known.owner == owner:
                message = ev.OpenJobs(
                    cell=cell,
                    jobs=self.job_registry.list_open_jobs(cell),
                    heard_heartbeat=heard_heartbeat,
                )
                self.outbox.send(owner, message)
