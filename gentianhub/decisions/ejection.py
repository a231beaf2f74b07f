"""Ejection of failing targets by a statistical test, with probes and a limit."""

import heapq
import math
import random
from collections import deque
from collections.abc import Callable

from gentianhub.core import TaskId
from gentianhub.core.records import define, field

WINDOW_REPLIES = 20
# A healthy target is ejected by chance once in this many replies.
REPLIES_PER_FALSE_EJECTION = 1e6
# Lower bound of the expected failure rate, so that the first few failures after a long
# time without any do not count as impossible.
MIN_EXPECTED_FRACTION = 0.01
FIRST_PROBE_S = 0.5
# A probe that was refused or did not connect costs one message.
MAX_REFUSED_PROBE_S = 5.0
# A probe that runs and fails makes its whole job fail.
MAX_FAILED_PROBE_S = 30.0
PROBE_SUCCESSES = 3
MAX_EJECTED_FRACTION = 0.5


@define(kw_only=True, eq=False)
class RecentReplies:
    """The last replies of a target; True stands for a failure."""

    replies: deque[bool] = field(factory=lambda: deque(maxlen=WINDOW_REPLIES))
    failures: int = 0
    failures_in_row: int = 0

    def add(self, failed: bool) -> None:
        """Add a reply; the oldest one is dropped if the window is full."""
        if len(self.replies) == WINDOW_REPLIES:
            self.failures -= self.replies[0]
        self.replies.append(failed)
        self.failures += failed
        self.failures_in_row = self.failures_in_row + 1 if failed else 0


@define(kw_only=True, eq=False)
class Ejection:
    """An ejected target, which gets one probe task at a time."""

    reason: str
    since_s: float
    max_probe_s: float
    probe_at_s: float = math.inf
    failed_probes: int = 0
    successes: int = 0
    probe: TaskId | None = None


@define(kw_only=True, eq=False)
class Ejections:
    """Recent replies of all targets and those that are ejected.

    Parameters
    ----------
    rng : random.Random
        Randomises probe times, so that entry processes do not probe together.
    is_on : bool
        False disables ejection, for benchmarks.
    """

    rng: random.Random = field(factory=random.Random)
    is_enabled: bool = True
    target_count: int = 0
    _recent: dict[str, RecentReplies] = field(init=False, factory=dict)
    _ejected: dict[str, Ejection] = field(init=False, factory=dict)
    _ejection_counts: dict[str, int] = field(init=False, factory=dict)
    _probes: list[tuple[float, str]] = field(init=False, factory=list)
    _replies: int = field(init=False, default=0)
    _failures: int = field(init=False, default=0)

    def is_ejected(self, target: str) -> bool:
        """Return whether a target is ejected."""
        return target in self._ejected

    def record_success(self, target: str, task_id: TaskId, now_s: float) -> None:
        """Record a successful reply; enough successful probes reinstate a target."""
        ejection = self._ejected.get(target)
        if ejection is None:
            self._add_reply(target, failed=False)
            if len(self._recent[target].replies) == WINDOW_REPLIES:
                self._ejection_counts.pop(target, None)
        elif ejection.probe == task_id:
            ejection.probe = None
            ejection.successes += 1
            if ejection.successes >= PROBE_SUCCESSES:
                del self._ejected[target]
            else:
                self._schedule_probe(target, now_s)

    def record_failure(
        self, target: str, task_id: TaskId, reason: str, now_s: float
    ) -> None:
        """Record a failed reply or a broken exchange."""
        if self._record_probe_failure(target, task_id, now_s):
            return
        self._add_reply(target, failed=True)
        if self._has_evidence(target):
            self._eject(target, reason, MAX_FAILED_PROBE_S, now_s)

    def record_refusal(
        self, target: str, task_id: TaskId, reason: str, now_s: float
    ) -> None:
        """Record the refusal of the only task sent to a target."""
        if self._record_probe_failure(target, task_id, now_s):
            return
        self._add_reply(target, failed=True)
        if self._has_evidence(target):
            self._eject(target, reason, MAX_REFUSED_PROBE_S, now_s)

    def record_connect_failure(
        self, target: str, task_id: TaskId, reason: str, now_s: float
    ) -> None:
        """Record a failure to connect, which is sufficient evidence for an ejection."""
        if not self._record_probe_failure(target, task_id, now_s):
            self._eject(target, reason, MAX_REFUSED_PROBE_S, now_s)

    def record_inconclusive_probe(
        self, target: str, task_id: TaskId, now_s: float
    ) -> None:
        """Record a probe that ended without evidence about the target."""
        ejection = self._ejected.get(target)
        if ejection is not None and ejection.probe == task_id:
            ejection.probe = None
            self._schedule_probe(target, now_s + FIRST_PROBE_S)

    def begin_probe(self, target: str, task_id: TaskId) -> None:
        """Record the task that probes an ejected target."""
        self._ejected[target].probe = task_id

    def find_due_probe(
        self, now_s: float, is_usable: Callable[[str], bool]
    ) -> str | None:
        """Return an ejected target that may get a probe now, or None."""
        while self._probes and self._probes[0][0] <= now_s:
            due_s, target = self._probes[0]
            ejection = self._ejected.get(target)
            is_scheduled = ejection is not None and ejection.probe_at_s == due_s
            if not is_scheduled or ejection.probe is not None:
                heapq.heappop(self._probes)
            elif is_usable(target):
                return target
            else:
                heapq.heappop(self._probes)
                self._schedule_probe(target, now_s + FIRST_PROBE_S)
        return None

    def _schedule_probe(self, target: str, due_s: float) -> None:
        self._ejected[target].probe_at_s = due_s
        heapq.heappush(self._probes, (due_s, target))

    def remove_target(self, target: str) -> None:
        """Discard the state of a target that has left the host list."""
        self._ejected.pop(target, None)
        self._ejection_counts.pop(target, None)
        self._remove_replies(target)

    def describe(self, now_s: float) -> dict[str, str]:
        """Return the reason for each ejected target."""
        return {
            target: f"{ejection.reason}; ejected for {now_s - ejection.since_s:.1f} s, "
            f"failed probes: {ejection.failed_probes}"
            for target, ejection in self._ejected.items()
        }

    def _add_reply(self, target: str, *, failed: bool) -> None:
        recent = self._recent.setdefault(target, RecentReplies())
        self._replies -= len(recent.replies)
        self._failures -= recent.failures
        recent.add(failed)
        self._replies += len(recent.replies)
        self._failures += recent.failures

    def _remove_replies(self, target: str) -> None:
        recent = self._recent.pop(target, None)
        if recent is not None:
            self._replies -= len(recent.replies)
            self._failures -= recent.failures

    def _has_evidence(self, target: str) -> bool:
        """Return whether the failures are improbable at the others' failure rate.

        A service whose tasks fail on every target raises the failure rate of all of
        them, so that it causes no ejection.
        """
        recent = self._recent[target]
        others = self._replies - len(recent.replies)
        failures = self._failures - recent.failures
        expected = max(MIN_EXPECTED_FRACTION, failures / others if others else 0.0)
        return _is_improbable(
            recent.failures, len(recent.replies), expected
        ) or _is_improbable(recent.failures_in_row, recent.failures_in_row, expected)

    def _eject(
        self, target: str, reason: str, max_probe_s: float, now_s: float
    ) -> None:
        max_ejected = int(self.target_count * MAX_EJECTED_FRACTION)
        if (
            not self.is_enabled
            or target in self._ejected
            or len(self._ejected) >= max_ejected
        ):
            return
        self._remove_replies(target)
        previous_ejections = self._ejection_counts.get(target, 0)
        self._ejection_counts[target] = previous_ejections + 1
        self._ejected[target] = Ejection(
            reason=reason,
            since_s=now_s,
            max_probe_s=max_probe_s,
            failed_probes=previous_ejections,
        )
        self._schedule_probe(
            target, now_s + self._draw_wait_s(previous_ejections, max_probe_s)
        )

    def _record_probe_failure(self, target: str, task_id: TaskId, now_s: float) -> bool:
        """Record a failed probe, if it is one; return whether the target is ejected."""
        ejection = self._ejected.get(target)
        if ejection is not None and ejection.probe == task_id:
            ejection.probe = None
            ejection.successes = 0
            ejection.failed_probes += 1
            wait_s = self._draw_wait_s(ejection.failed_probes, ejection.max_probe_s)
            self._schedule_probe(target, now_s + wait_s)
        return ejection is not None

    def _draw_wait_s(self, failed_probes: int, max_probe_s: float) -> float:
        wait_s = min(max_probe_s, FIRST_PROBE_S * 2 ** min(failed_probes, 16))
        return wait_s * self.rng.uniform(0.75, 1.25)


def _is_improbable(failures: int, replies: int, expected: float) -> bool:
    """Return whether a failure rate is improbable, by the Chernoff bound."""
    if not replies or failures / replies <= expected:
        return False
    rate = failures / replies
    exponent = rate * math.log(rate / expected)
    if rate < 1:
        exponent += (1 - rate) * math.log((1 - rate) / (1 - expected))
    return replies * exponent >= math.log(REPLIES_PER_FALSE_EJECTION) - 1e-9
