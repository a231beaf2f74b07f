"""Counters of a host in the Prometheus text format."""

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from gentianhub.core.records import frozen
from gentianhub.observability.histograms import PERCENTILES

if TYPE_CHECKING:
    from gentianhub.host.metrics import HostMetrics


@frozen(kw_only=True)
class HostCollector:
    """Collector of a host's counters for prometheus_client."""

    metrics: "HostMetrics"

    def collect(self):
        """Yield metric families in the form that prometheus_client renders."""
        metrics = self.metrics
        yield _build_family("starts", "Runs started", "kind", {"start": metrics.starts})
        yield _build_family(
            "start_answers", "Answers to starts", "verdict", metrics.start_answers
        )
        yield _build_family(
            "stops", "Runs stopped", "kind", {"stop": metrics.stops.total()}
        )
        yield _build_family("jobs", "Jobs submitted", "route", metrics.submissions)
        yield _build_family("answers", "Answers to callers", "verdict", metrics.answers)
        yield _build_family("task_reports", "Reports of tasks", "end", metrics.ends)
        yield _build_family(
            "target_losses", "Losses of targets", "outcome", metrics.losses
        )
        yield _build_family(
            "cancels", "Answers to cancellations", "outcome", metrics.cancels
        )
        yield CounterMetricFamily(
            "gentianhub_host_unrecorded_cancels",
            "Cancellations for which the record had no room",
            value=metrics.unrecorded_cancels,
        )
        yield _build_family(
            "stops_by_reason", "Runs stopped, by reason", "reason", metrics.stops
        )
        yield _build_family(
            "departures", "Callers that have left", "end", metrics.departures
        )
        yield _build_family(
            "refused_requests",
            "Requests refused and connections closed before a request was complete",
            "reason",
            metrics.refusals,
        )
        yield _build_family(
            "shed_jobs",
            "Jobs refused because of overload",
            "priority",
            metrics.shed_jobs,
        )
        yield GaugeMetricFamily(
            "gentianhub_host_suspended_s",
            "Time for which the machine was suspended since the host started",
            value=metrics.suspended_s,
        )
        yield GaugeMetricFamily(
            "gentianhub_host_longest_pause_s",
            "Longest time for which the process did not run",
            value=metrics.longest_pause_s,
        )
        yield GaugeMetricFamily(
            "gentianhub_host_longest_mailbox_lag_s",
            "Longest wait of a message in the coordinator's mailbox",
            value=metrics.longest_mailbox_lag_s,
        )
        yield GaugeMetricFamily(
            "gentianhub_host_evacuations",
            "Data centres that this host takes for evacuated",
            value=metrics.evacuations,
        )
        yield GaugeMetricFamily(
            "gentianhub_host_client_bytes",
            "Memory counted for connections of clients and what they have sent",
            value=metrics.read_client_bytes(),
        )
        yield self._collect_responses()

    def _collect_responses(self) -> GaugeMetricFamily:
        family = GaugeMetricFamily(
            "gentianhub_host_response_ms",
            "Response time by verdict and quantile",
            labels=["verdict", "quantile"],
        )
        for verdict, histogram in self.metrics.response_ms.items():
            for percentile in PERCENTILES:
                value = histogram.get_value_at_percentile(percentile)
                family.add_metric([verdict, str(percentile / 100)], value)
        return family


def render_metrics(metrics: "HostMetrics") -> bytes:
    """Return the metrics in the Prometheus text format."""
    registry = CollectorRegistry()
    registry.register(HostCollector(metrics=metrics))
    return generate_latest(registry)


def _build_family(name: str, text: str, label: str, counts) -> CounterMetricFamily:
    family = CounterMetricFamily(f"gentianhub_host_{name}", text, labels=[label])
    for value, count in counts.items():
        family.add_metric([value], count)
    return family
