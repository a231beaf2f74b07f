"""Record of the jobs that were cancelled, so that no host starts them again.

A request for a job may arrive again after its cancel: repeated by its caller, as a late
duplicate, or because it lay unread in the socket of a frozen host.
"""

import enum
from collections import OrderedDict
from collections.abc import Iterator

from gentianhub.capacity.events import CancelledJob
from gentianhub.core.records import define, field, frozen

# A request arrives again several seconds after its answer, and may then wait for the
# end of a freeze. Final answers are kept for as long.
CANCEL_RETENTION_S = 10.0
# Bounds the memory: an entry takes 211 bytes.
MAX_CANCELLED_JOBS = 10_000


class Recording(enum.Enum):
    """Result of recording a cancel.

    `FULL` means that the cancel does not hold: the record has no room for it.
    """

    NEW = "new"
    KNOWN = "known"
    FULL = "full"


@frozen(kw_only=True)
class _Entry:
    cancelled_s: float
    was_open: bool


@define(kw_only=True, eq=False)
class CancelledJobs:
    """The jobs that were cancelled within the retention time.

    Parameters
    ----------
    limit : int
        Largest number of jobs. At the limit no further one is recorded, since a dropped
        entry would break an acknowledged cancel.
    """

    limit: int = MAX_CANCELLED_JOBS
    _entries: OrderedDict[str, _Entry] = field(init=False, factory=OrderedDict)

    def __len__(self) -> int:
        return len(self._entries)

    def record(self, job: str, now_s: float, age_s: float = 0.0) -> Recording:
        """Record a cancel that is `age_s` seconds old at the monotonic time `now_s`.

        A later cancel of the same job counts from its own time.
        """
        self._remove_expired(now_s)
        known = self._entries.get(job)
        if known is None and len(self._entries) >= self.limit:
            return Recording.FULL
        cancelled_s = now_s - age_s
        if known is None:
            self._entries[job] = _Entry(cancelled_s=cancelled_s, was_open=False)
            return Recording.NEW
        if cancelled_s > known.cancelled_s:
            entry = _Entry(cancelled_s=cancelled_s, was_open=known.was_open)
            self._entries[job] = entry
            self._entries.move_to_end(job)
        return Recording.KNOWN

    def mark_open(self, job: str) -> None:
        """Record that a recorded job was open when it was cancelled."""
        known = self._entries.get(job)
        if known is not None:
            self._entries[job] = _Entry(cancelled_s=known.cancelled_s, was_open=True)

    def was_open(self, job: str) -> bool:
        """Whether a recorded job was open when it was cancelled."""
        known = self._entries.get(job)
        return known is not None and known.was_open

    def covers(self, cancelled: CancelledJob, now_s: float) -> bool:
        """Whether another host's entry is of no use here: known or too old."""
        is_old = cancelled.age_s >= CANCEL_RETENTION_S
        return is_old or self.holds(cancelled.job, now_s)

    def holds(self, job: str, now_s: float) -> bool:
        """Whether a job was cancelled within the retention time."""
        known = self._entries.get(job)
        return known is not None and now_s < known.cancelled_s + CANCEL_RETENTION_S

    def list_entries(self, now_s: float) -> Iterator[CancelledJob]:
        """Yield the recorded cancels for another host."""
        self._remove_expired(now_s)
        for job, entry in self._entries.items():
            age_s = max(0.0, now_s - entry.cancelled_s)
            yield CancelledJob(job=job, age_s=age_s)

    def _remove_expired(self, now_s: float) -> None:
        """Remove old entries; one of another host may stay behind a newer one."""
        while self._entries:
            oldest = next(iter(self._entries.values()))
            if now_s < oldest.cancelled_s + CANCEL_RETENTION_S:
                return
            self._entries.popitem(last=False)
