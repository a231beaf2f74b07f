"""Logs as JSON lines, metrics, and state dumps."""

from gentianhub.observability.logs import configure_logging
from gentianhub.observability.messages import RenderMetrics
from gentianhub.observability.metrics import Metrics

__all__ = ["Metrics", "RenderMetrics", "configure_logging"]
