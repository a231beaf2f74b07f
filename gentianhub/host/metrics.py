"""Counters of one host, served on its metrics address."""

from collections import Counter, defaultdict
from collections.abc import Callable

from hdrh.histogram import HdrHistogram

from gentianhub.capacity.effects import JobVerdict
from gentianhub.capacity.events import TaskEnd
from gentianhub.core.records import define, field
from gentianhub.observability.histograms import create_response_histogram


@define(kw_only=True, eq=False)
class HostMetrics:
    """Counters owned by the coordinator; read through `render_text`.

    `read_client_bytes` returns the memory that is counted for clients.
    """

    starts: int = 0
    stops: Counter = field(factory=Counter)
    start_answers: Counter = field(factory=Counter)
    submissions: Counter = field(factory=Counter)
    answers: Counter = field(factory=Counter)
    ends: Counter = field(factory=Counter)
    losses: Counter = field(factory=Counter)
    cancels: Counter = field(factory=Counter)
    unrecorded_cancels: int = 0
    departures: Counter = field(factory=Counter)
    refusals: Counter = field(factory=Counter)
    shed_jobs: Counter = field(factory=Counter)
    longest_mailbox_lag_s: float = 0.0
    longest_pause_s: float = 0.0
    suspended_s: float = 0.0
    evacuations: int = 0
    read_client_bytes: Callable[[], int] = lambda: 0
    response_ms: dict[str, HdrHistogram] = field(
        factory=lambda: defaultdict(create_response_histogram)
    )

    def count_submission(self, route: str) -> None:
        """Count a job that a caller has submitted."""
        self.submissions[route] += 1

    def count_answer(self, verdict: JobVerdict, response_s: float) -> None:
        """Count a caller's final answer and the time it took, s."""
        self.answers[verdict.value] += 1
        self.response_ms[verdict.value].record_value(round(response_s * 1000))

    def count_end(self, end: TaskEnd) -> None:
        """Count a report of ended tasks."""
        self.ends[end.value] += 1

    def record_mailbox_lag(self, lag_s: float) -> None:
        """Record how long a message has waited in the coordinator's mailbox, s."""
        self.longest_mailbox_lag_s = max(self.longest_mailbox_lag_s, lag_s)

    def record_pause(self, paused_s: float) -> None:
        """Record for how long the process did not run, s."""
        self.longest_pause_s = max(self.longest_pause_s, paused_s)

    def render_text(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        # The library imports web servers, which takes time at each start of a host.
        from gentianhub.host.exposition import render_metrics

        return render_metrics(self)
