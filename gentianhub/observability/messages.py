"""Messages that request metrics from the greenlet that owns them."""

from gentianhub.core import Mailbox
from gentianhub.core.records import frozen


@frozen(kw_only=True)
class RenderMetrics:
    """Request: reply with the metrics in the Prometheus text format."""

    reply_to: Mailbox
