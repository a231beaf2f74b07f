"""Final results of jobs, for submissions that arrive again."""

from collections import OrderedDict

from attrs import define, field, frozen

from gentianhub.capacity import effects as fx

# A submission that is repeated within this time of its answer gets the same answer.
ANSWER_RETENTION_S = 10.0
MAX_KEPT_ANSWERS = 5000


@frozen(kw_only=True)
class KeptAnswer:
    """The final result of a job; `answered_s` is the monotonic time of the answer."""

    verdict: fx.JobVerdict
    answered_s: float


@define(kw_only=True, eq=False)
class KeptAnswers:
    """The latest final results, bounded in number and in time."""

    _answers: OrderedDict[str, KeptAnswer] = field(init=False, factory=OrderedDict)

    def store(self, job_id: str, verdict: fx.JobVerdict, now_s: float) -> None:
        """Keep the result of a job, and drop the oldest ones beyond the bound."""
        self._answers[job_id] = KeptAnswer(verdict=verdict, answered_s=now_s)
        while len(self._answers) > MAX_KEPT_ANSWERS:
            self._answers.popitem(last=False)

    def find(self, job_id: str, now_s: float) -> fx.JobVerdict | None:
        """Return the result of a job that was answered a short time ago, or None."""
        kept = self._answers.get(job_id)
        if kept is None or now_s >= kept.answered_s + ANSWER_RETENTION_S:
            return None
        return kept.verdict
