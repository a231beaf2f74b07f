"""Counters of one host, served on its metrics address."""

from collections import Counter, defaultdict

from attrs import define, field
from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from gentianhub.capacity.effects import JobVerdict
from gentianhub.capacity.events import TaskEnd
from gentianhub.observability.histograms import PERCENTILES, create_response_histogram


@define(kw_only=True, eq=False)
class HostMetrics:
    """Counters owned by the coordinator; read through `render_text`."""

    starts: int = 0
    stops: int = 0
    start_answers: Counter = field(factory=Counter)
    submissions: Counter = field(factory=Counter)
    answers: Counter = field(factory=Counter)
    ends: Counter = field(factory=Counter)
    losses: Counter = field(factory=Counter)
    longest_mailbox_lag_s: float = 0.0
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

    def collect(self):
        """Yield metric families in the form that prometheus_client renders."""
        yield _build_family("starts", "Runs started", "kind", {"start": self.starts})
        yield _build_family(
            "start_answers", "Answers to starts", "verdict", self.start_answers
        )
        yield _build_family("stops", "Runs stopped", "kind", {"stop": self.stops})
        yield _build_family("jobs", "Jobs submitted", "route", self.submissions)
        yield _build_family("answers", "Answers to callers", "verdict", self.answers)
        yield _build_family("task_reports", "Reports of tasks", "end", self.ends)
        yield _build_family(
            "target_losses", "Losses of targets", "outcome", self.losses
        )
        yield GaugeMetricFamily(
            "gentianhub_host_longest_mailbox_lag_s",
            "Longest wait of a message in the coordinator's mailbox",
            value=self.longest_mailbox_lag_s,
        )
        yield self._collect_responses()

    def _collect_responses(self) -> GaugeMetricFamily:
        family = GaugeMetricFamily(
            "gentianhub_host_response_ms",
            "Response time by verdict and quantile",
            labels=["verdict", "quantile"],
        )
        for verdict, histogram in self.response_ms.items():
            for percentile in PERCENTILES:
                value = histogram.get_value_at_percentile(percentile)
                family.add_metric([verdict, str(percentile / 100)], value)
        return family

    def render_text(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)


def _build_family(name: str, text: str, label: str, counts) -> CounterMetricFamily:
    family = CounterMetricFamily(f"gentianhub_host_{name}", text, labels=[label])
    for value, count in counts.items():
        family.add_metric([value], count)
    return family
