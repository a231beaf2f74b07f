"""Final answers that a repeated submission of a job gets without another run."""

from collections import OrderedDict

from gentianhub.capacity.cancelled_jobs import CancelledJobs
from gentianhub.capacity.effects import JobVerdict
from gentianhub.core.records import define, field, frozen

# A submission that is repeated within this time of its answer gets the same answer.
ANSWER_RETENTION_S = 10.0
MAX_KEPT_ANSWERS = 5000


@frozen(kw_only=True)
class _KeptAnswer:
    verdict: JobVerdict
    answered_s: float


@define(kw_only=True, eq=False)
class KeptAnswers:
    """The final answers of a front host's ended jobs, and of cancelled jobs.

    Parameters
    ----------
    cancelled_jobs : CancelledJobs
        The jobs that were cancelled, through this host or another one.
    """

    cancelled_jobs: CancelledJobs = field(factory=lambda: CancelledJobs())
    _answers: OrderedDict[str, _KeptAnswer] = field(init=False, factory=OrderedDict)

    def store(self, job: str, verdict: JobVerdict, now_s: float) -> None:
        """Keep the answer of a job; drop the oldest answers beyond the limit."""
        self._answers[job] = _KeptAnswer(verdict=verdict, answered_s=now_s)
        while len(self._answers) > MAX_KEPT_ANSWERS:
            self._answers.popitem(last=False)

    def find(self, job: str, now_s: float) -> JobVerdict | None:
        """Return the final answer of a job, or None if it may run."""
        kept = self._answers.get(job)
        if kept is not None and now_s < kept.answered_s + ANSWER_RETENTION_S:
            return kept.verdict
        if self.cancelled_jobs.holds(job, now_s):
            return JobVerdict.CANCELLED
        return None
