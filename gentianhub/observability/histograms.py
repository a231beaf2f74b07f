"""Histograms of response times."""

from hdrh.histogram import HdrHistogram

MIN_VALUE_MS = 1
MAX_VALUE_MS = 3_600_000
SIGNIFICANT_FIGURES = 2
PERCENTILES = (50.0, 99.0, 99.9)


def create_response_histogram() -> HdrHistogram:
    """Return an empty histogram of response times in ms."""
    return HdrHistogram(MIN_VALUE_MS, MAX_VALUE_MS, SIGNIFICANT_FIGURES)
