"""Messages that request metrics from the greenlet that owns them."""

from attrs import frozen

from gentianhub.core import Mailbox


@frozen(kw_only=True)
class RenderMetrics:
    """Request: reply with the metrics in the Prometheus text format."""

    reply_to: Mailbox
