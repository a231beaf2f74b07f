"""Observed run times per service and kind.

Declared run times are not used, because they can be wrong by any factor.
"""

import enum
from collections import OrderedDict, deque
from collections.abc import Iterator

from hdrh.histogram import HdrHistogram

from gentianhub.core.records import define, field

SHORT_LIMIT_S = 2.0
# Estimate for a kind without observations in a service without any.
DEFAULT_RUN_S = 0.3
MIN_VALUE_MS = 1
MAX_VALUE_MS = 3_600_000
# One significant figure keeps a kind's window under 2 KB.
SIGNIFICANT_FIGURES = 1
COUNTER_BYTES = 2
WINDOW_COUNT = 256
WINDOW_S = 120.0
MIN_OBSERVATIONS = 4
# A quantile scans the whole histogram, so it is not computed after each observation.
CLASSIFY_PERIOD = 16
LONG_QUANTILE = 75.0
# Callers choose the kinds and may send a new one with each task.
MAX_KINDS = 4096


class RunClass(enum.Enum):
    """Class of a kind by its run time; an unseen kind counts as short."""

    SHORT = "short"
    UNSEEN = "unseen"
    LONG = "long"


def _build_histogram() -> HdrHistogram:
    return HdrHistogram(
        MIN_VALUE_MS, MAX_VALUE_MS, SIGNIFICANT_FIGURES, word_size=COUNTER_BYTES
    )


@define(kw_only=True, eq=False)
class KindTimes:
    """Run times of one kind, in the current window and the previous one.

    A window ends after `WINDOW_COUNT` observations or `WINDOW_S` seconds, so that old
    observations lose their weight.
    """

    window_start_s: float
    current: HdrHistogram = field(init=False, factory=_build_histogram)
    previous: HdrHistogram | None = field(init=False, default=None)
    mean_s: float = field(init=False, default=0.0)
    count: int = field(init=False, default=0)
    run_class: RunClass = field(init=False, default=RunClass.UNSEEN)

    def observe(self, run_s: float, now_s: float) -> None:
        """Add one run."""
        if self._is_window_over(now_s):
            self.previous, self.current = self.current, _build_histogram()
            self.window_start_s = now_s
        run_ms = min(MAX_VALUE_MS, max(MIN_VALUE_MS, round(run_s * 1000)))
        self.current.record_value(run_ms)
        self.count += 1
        weight = max(1 / self.count, 2 / WINDOW_COUNT)
        self.mean_s += (run_s - self.mean_s) * weight
        period = MIN_OBSERVATIONS if self.count < CLASSIFY_PERIOD else CLASSIFY_PERIOD
        if self.count % period == 0:
            self._classify()

    def _is_window_over(self, now_s: float) -> bool:
        is_full = self.current.get_total_count() >= WINDOW_COUNT
        return is_full or now_s > self.window_start_s + WINDOW_S

    def _classify(self) -> None:
        is_long = self.get_quantile_s(LONG_QUANTILE) > SHORT_LIMIT_S
        self.run_class = RunClass.LONG if is_long else RunClass.SHORT

    def get_quantile_s(self, percentile: float) -> float:
        """Return a quantile of the fuller of the two windows, in seconds."""
        return self._select_window().get_value_at_percentile(percentile) / 1000

    def get_fastest_s(self, now_s: float) -> float:
        """Return the fastest run of both windows in seconds, or 0 if they are old.

        Jobs are refused because of this value, and windows end only with new runs.
        Without an expiry, all jobs of a kind could be refused forever.
        """
        if now_s > self.window_start_s + 2 * WINDOW_S:
            return 0.0
        windows = [w for w in (self.current, self.previous) if w is not None]
        fastest = [w.get_min_value() for w in windows if w.get_total_count()]
        return min(fastest) / 1000

    def _select_window(self) -> HdrHistogram:
        current = self.current.get_total_count()
        if self.previous is None or current >= WINDOW_COUNT // 4:
            return self.current
        is_fuller = self.previous.get_total_count() > current
        return self.previous if is_fuller else self.current


@define(kw_only=True, eq=False)
class RunTimeEstimates:
    """Run-time estimates of all kinds; an unseen kind counts as short.

    A kind with few observations becomes long once one of its tasks has run for longer
    than `SHORT_LIMIT_S`.
    """

    _kinds: OrderedDict[tuple[str, str], KindTimes] = field(
        init=False, factory=OrderedDict
    )
    _services: dict[str, float] = field(init=False, factory=dict)
    _watched: dict[tuple[int, int], tuple[str, str]] = field(init=False, factory=dict)
    _starts: deque[tuple[float, tuple[int, int]]] = field(init=False, factory=deque)

    def observe(
        self, service: str, kind: str, run_s: float, now_s: float, speed: float = 1.0
    ) -> None:
        """Add one complete run, scaled to a target of speed 1."""
        work_s = run_s * speed
        self._get_kind((service, kind), now_s).observe(work_s, now_s)
        mean_s = self._services.get(service, work_s)
        self._services[service] = mean_s + (work_s - mean_s) * 2 / WINDOW_COUNT

    def _get_kind(self, key: tuple[str, str], now_s: float) -> KindTimes:
        times = self._kinds.get(key)
        if times is None:
            times = self._kinds[key] = KindTimes(window_start_s=now_s)
            if len(self._kinds) > MAX_KINDS:
                self._kinds.popitem(last=False)
        else:
            self._kinds.move_to_end(key)
        return times

    def expect_s(self, service: str, kind: str) -> float:
        """Return the expected run time in seconds."""
        times = self._kinds.get((service, kind))
        if times is not None and times.count:
            return times.mean_s
        return self._services.get(service, DEFAULT_RUN_S)

    def classify(self, service: str, kind: str) -> RunClass:
        """Return the class of a kind."""
        times = self._kinds.get((service, kind))
        return RunClass.UNSEEN if times is None else times.run_class

    def get_fastest_s(self, service: str, kind: str, now_s: float) -> float:
        """Return the fastest recent run in seconds, or 0 if unknown."""
        times = self._kinds.get((service, kind))
        if times is None or not times.count:
            return 0.0
        return times.get_fastest_s(now_s)

    def watch_start(
        self, task: tuple[int, int], service: str, kind: str, now_s: float
    ) -> None:
        """Watch a started task if its kind has few observations."""
        times = self._kinds.get((service, kind))
        if times is None or times.count < MIN_OBSERVATIONS:
            self._watched[task] = (service, kind)
            self._starts.append((now_s, task))

    def watch_end(self, task: tuple[int, int]) -> None:
        """Stop watching a task."""
        self._watched.pop(task, None)

    def pop_overdue(self, now_s: float) -> Iterator[tuple[int, int]]:
        """Yield watched tasks past the short limit and make their kinds long."""
        while self._starts and self._starts[0][0] + SHORT_LIMIT_S < now_s:
            _, task = self._starts.popleft()
            key = self._watched.pop(task, None)
            if key is None:
                continue
            times = self._get_kind(key, now_s)
            if times.count < MIN_OBSERVATIONS:
                times.run_class = RunClass.LONG
            yield task
