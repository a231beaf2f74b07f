"""Ejection of targets whose runs fail or stall, and their return to use."""

from gentianhub.core.records import define, field

# Number of different jobs that have to fail on a target, without a success in between,
# to eject it. The failures of a single job may be the fault of that job.
FAILURES_BEFORE_EJECTION = 2
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 4.0


@define(kw_only=True, eq=False)
class TargetHealth:
    """Health of one target, judged by the outcomes of its runs."""

    _failed_jobs: list[str] = field(init=False, factory=list)
    _ejections: int = field(init=False, default=0)
    _ejected_until_s: float = field(init=False, default=float("-inf"))

    @property
    def is_suspect(self) -> bool:
        """Whether no run has succeeded on the target since it was last ejected."""
        return self._ejections > 0

    def is_ejected(self, now_s: float) -> bool:
        """Whether the target is currently excluded from placement."""
        return now_s < self._ejected_until_s

    def record_success(self) -> None:
        """Record a successful run, which clears earlier failures and ejections."""
        self._failed_jobs.clear()
        self._ejections = 0

    def record_failure(self, job: str, now_s: float) -> bool:
        """Record a failed run of a job; return whether it ejects the target."""
        if job not in self._failed_jobs:
            self._failed_jobs.append(job)
        if len(self._failed_jobs) < FAILURES_BEFORE_EJECTION and not self.is_suspect:
            return False
        return self._eject(now_s)

    def record_stall(self, now_s: float) -> bool:
        """Eject the target after a stalled run; return False if it already is."""
        return self._eject(now_s)

    def _eject(self, now_s: float) -> bool:
        if self.is_ejected(now_s):
            return False
        duration_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**self._ejections)
        self._ejected_until_s = now_s + duration_s
        self._ejections += 1
        self._failed_jobs.clear()
        return True
