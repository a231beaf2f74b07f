"""Histograms of response times."""

from hdrh.histogram import HdrHistogram

LOWEST_MS = 1
HIGHEST_MS = 3_600_000
SIGNIFICANT_FIGURES = 2
QUANTILES = (50.0, 99.0, 99.9)


def build_histogram() -> HdrHistogram:
    """Return an empty histogram of response times in ms."""
    return HdrHistogram(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_FIGURES)
