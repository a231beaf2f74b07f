"""Time-out for the answers of a target to starts, stops and lists of runs.

A target that leaves a command unanswered may still execute it, so the owner has to find
out before the task runs elsewhere. That search starts when the answer is overdue. The
time-out follows the target's usual answer time, as that of a TCP retransmission does
(RFC 6298): a fixed one is either too long for short tasks or too short for a slow host.
"""

from gentianhub.core.records import define, field

# Limits of the time-out, s. A usual answer takes 2 to 10 ms; the lower limit allows for
# a pause of the owner's process.
MIN_TIMEOUT_S = 0.03
MAX_TIMEOUT_S = 0.12
# Gains and factor of RFC 6298.
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATION_FACTOR = 4


@define(kw_only=True, eq=False)
class AnswerTimes:
    """Estimates how long a target's answer may take; all times are in seconds.

    Each time-out in a row doubles the next one, so that an owner that falls behind does
    not add searches for tasks whose answers are only late.
    """

    _mean_s: float | None = field(init=False, default=None)
    _deviation_s: float = field(init=False, default=0.0)
    _backoff: int = field(init=False, default=1)

    @property
    def timeout_s(self) -> float:
        """Time after which an answer is overdue, s."""
        if self._mean_s is None:
            return MAX_TIMEOUT_S
        expected_s = self._mean_s + DEVIATION_FACTOR * self._deviation_s
        return min(MAX_TIMEOUT_S, self._backoff * max(MIN_TIMEOUT_S, expected_s))

    def record_answer(self, elapsed_s: float) -> None:
        """Record the time that an answer has taken.

        More than the longest time-out contains time in which the process did not run.
        """
        elapsed_s = min(elapsed_s, MAX_TIMEOUT_S)
        self._backoff = 1
        if self._mean_s is None:
            self._mean_s, self._deviation_s = elapsed_s, elapsed_s / 2
            return
        error_s = elapsed_s - self._mean_s
        self._deviation_s += DEVIATION_GAIN * (abs(error_s) - self._deviation_s)
        self._mean_s += MEAN_GAIN * error_s

    def record_timeout(self) -> None:
        """Record that an answer has not arrived in time."""
        self._backoff *= 2
