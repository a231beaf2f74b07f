"""Messages about metrics."""

from attrs import frozen

from gentianhub.core import Mailbox


@frozen(kw_only=True)
class RenderMetrics:
    """Reply with the metrics in the Prometheus text format."""

    reply_to: Mailbox
