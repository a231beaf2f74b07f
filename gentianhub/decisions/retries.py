"""Retries of tasks whose attempt certainly did not run."""

import random

from gentianhub.core.records import define, field, frozen

MAX_ATTEMPTS = 8
BASE_DELAY_S = 0.02
MAX_DELAY_S = 1.0
BUDGET_FRACTION = 0.1
# Retries that a service may make without any first try, so that a service with little
# traffic can retry at all.
MIN_BUDGET = 10.0
BUDGET_HALF_LIFE_S = 10.0


@frozen(kw_only=True)
class RetryPolicy:
    """Limits of retries; benchmarks set `has_backoff` and `has_budget`.

    Without back-off every retry waits `BASE_DELAY_S`. The budget is off by default
    because it improved no measured load, and because tasks wait for it until their
    deadline when targets are down (docs/targets.md).
    """

    max_attempts: int = MAX_ATTEMPTS
    has_backoff: bool = True
    has_budget: bool = False


@frozen(kw_only=True)
class RetryAt:
    """The task may be queued again at `due_s` (monotonic)."""

    due_s: float


@frozen(kw_only=True)
class NoRetry:
    """The task ends as not run."""

    reason: str


RetryDecision = RetryAt | NoRetry


@define(kw_only=True, eq=False)
class RetryBudget:
    """First tries and retries of one service, with exponential decay."""

    first_tries: float = 0.0
    retries: float = 0.0
    updated_s: float = 0.0

    def decay(self, now_s: float) -> None:
        """Decay the counts to the current time."""
        factor = 0.5 ** ((now_s - self.updated_s) / BUDGET_HALF_LIFE_S)
        self.first_tries *= factor
        self.retries *= factor
        self.updated_s = now_s

    def allows_retry(self) -> bool:
        """Return whether one more retry is within the budget."""
        return self.retries + 1 <= MIN_BUDGET + BUDGET_FRACTION * self.first_tries


@define(kw_only=True, eq=False)
class Retries:
    """Decides on retries and counts them against each service's budget."""

    policy: RetryPolicy = field(factory=lambda: RetryPolicy())
    rng: random.Random = field(factory=random.Random)
    _budgets: dict[str, RetryBudget] = field(init=False, factory=dict)

    def count_first_try(self, service: str, now_s: float) -> None:
        """Add a first try to the service's budget."""
        self._find_budget(service, now_s).first_tries += 1

    def decide(
        self, attempts: int, deadline_at_s: float, now_s: float
    ) -> RetryDecision:
        """Return when the task is tried again after `attempts` attempts, or why not."""
        due_s = now_s + self._draw_delay_s(attempts)
        if attempts >= self.policy.max_attempts:
            return NoRetry(reason=f"after {attempts} attempts")
        if due_s >= deadline_at_s:
            return NoRetry(reason="no time for a retry before the job's deadline")
        return RetryAt(due_s=due_s)

    def release(self, service: str, now_s: float) -> RetryAt | None:
        """Charge a retry that is due to the budget, or return when to try again.

        A task waits for the budget instead of failing, because waiting sends no
        message; the job's deadline bounds the wait.
        """
        budget = self._find_budget(service, now_s)
        if self.policy.has_budget and not budget.allows_retry():
            return RetryAt(due_s=now_s + MAX_DELAY_S * self.rng.uniform(0.5, 1.0))
        budget.retries += 1
        return None

    def _draw_delay_s(self, attempts: int) -> float:
        if not self.policy.has_backoff:
            return BASE_DELAY_S
        ceiling_s = min(MAX_DELAY_S, BASE_DELAY_S * 2 ** (attempts - 1))
        # Half of the delay is random, so that tasks refused together are not retried
        # together.
        return ceiling_s * self.rng.uniform(0.5, 1.0)

    def _find_budget(self, service: str, now_s: float) -> RetryBudget:
        budget = self._budgets.setdefault(service, RetryBudget())
        budget.decay(now_s)
        return budget
