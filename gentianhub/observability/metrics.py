"""Counters and response-time histograms of one entry process."""

from collections import Counter, defaultdict

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from gentianhub.core import Complete, Failed, JobComplete, NotRun, TaskOutcome, Unknown
from gentianhub.core.effects import JobEnded
from gentianhub.core.records import define, field
from gentianhub.observability.histograms import PERCENTILES, create_response_histogram


@define(kw_only=True, eq=False)
class EntryMetrics:
    """Counters and histograms; only the dispatcher greenlet accesses them."""

    tasks_started: int = 0
    outcomes: Counter = field(factory=Counter)
    jobs: Counter = field(factory=Counter)
    response_ms: dict[str, HdrHistogram] = field(
        factory=lambda: defaultdict(create_response_histogram)
    )

    def count_outcome(self, outcome: TaskOutcome) -> None:
        """Count the outcome of one attempt of a task."""
        match outcome:
            case Complete():
                self.outcomes["complete"] += 1
            case Failed():
                self.outcomes["failed"] += 1
            case NotRun():
                self.outcomes["not_run"] += 1
            case Unknown():
                self.outcomes["unknown"] += 1

    def count_job(self, ended: JobEnded) -> None:
        """Count an answered job and record its response time."""
        is_complete = isinstance(ended.answer, JobComplete)
        self.jobs[(ended.service, "complete" if is_complete else "failed")] += 1
        self.response_ms[ended.service].record_value(round(ended.response_s * 1000))

    def collect(self):
        """Yield metric families; `CollectorRegistry` calls this method by its name."""
        started = CounterMetricFamily(
            "gentianhub_tasks_started", "Tasks sent to targets"
        )
        started.add_metric([], self.tasks_started)
        yield started
        outcomes = CounterMetricFamily(
            "gentianhub_task_attempts", "Attempts by outcome", labels=["outcome"]
        )
        for name, count in self.outcomes.items():
            outcomes.add_metric([name], count)
        yield outcomes
        jobs = CounterMetricFamily(
            "gentianhub_jobs", "Jobs answered", labels=["service", "answer"]
        )
        for labels, count in self.jobs.items():
            jobs.add_metric(list(labels), count)
        yield jobs
        yield self._collect_responses()

    def _collect_responses(self) -> GaugeMetricFamily:
        family = GaugeMetricFamily(
            "gentianhub_response_ms",
            "Response time by service and quantile",
            labels=["service", "quantile"],
        )
        for service, histogram in self.response_ms.items():
            for percentile in PERCENTILES:
                value = histogram.get_value_at_percentile(percentile)
                family.add_metric([service, str(percentile / 100)], value)
        return family

    def render_text(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)
