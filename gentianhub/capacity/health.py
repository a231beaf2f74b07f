"""When a target's own results take it out of use, and how it comes back."""

from attrs import define, field

# Failures of this many different jobs in a row, with no success between, eject a
# target. One job alone may be one that can never be done.
EJECTING_FAILURES = 2
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 4.0


@define(kw_only=True, eq=False)
class TargetHealth:
    """Evidence about one target from the runs that it was given."""

    _failed_jobs: list[str] = field(init=False, factory=list)
    _ejections: int = field(init=False, default=0)
    _ejected_until_s: float = field(init=False, default=float("-inf"))

    @property
    def is_suspect(self) -> bool:
        """Whether the target has not succeeded since it was last ejected."""
        return self._ejections > 0

    def is_ejected(self, now_s: float) -> bool:
        """Whether the target gets no task at present."""
        return now_s < self._ejected_until_s

    def note_success(self) -> None:
        """Trust the target again."""
        self._failed_jobs.clear()
        self._ejections = 0

    def note_failure(self, job: str, now_s: float) -> bool:
        """Count a failed run; return whether that ejects the target."""
        if job not in self._failed_jobs:
            self._failed_jobs.append(job)
        if len(self._failed_jobs) < EJECTING_FAILURES and not self.is_suspect:
            return False
        return self._eject(now_s)

    def note_stall(self, now_s: float) -> bool:
        """Eject a target on which a run makes no progress."""
        return self._eject(now_s)

    def _eject(self, now_s: float) -> bool:
        if self.is_ejected(now_s):
            return False
        lasting_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**self._ejections)
        self._ejected_until_s = now_s + lasting_s
        self._ejections += 1
        self._failed_jobs.clear()
        return True
