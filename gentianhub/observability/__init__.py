"""JSON-lines logging and metrics."""

from gentianhub.observability.logs import configure_logging
from gentianhub.observability.messages import RenderMetrics
from gentianhub.observability.stream import (
    LineWriter,
    QueueingHandler,
    open_line_writer,
)

__all__ = [
    "LineWriter",
    "QueueingHandler",
    "RenderMetrics",
    "configure_logging",
    "open_line_writer",
]
