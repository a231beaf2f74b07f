"""Messages inside an entry process that the decisions do not see."""

from attrs import frozen

from gentianhub.core import Mailbox


@frozen(kw_only=True)
class RenderMetrics:
    """Reply with the metrics in the Prometheus text format."""

    reply_to: Mailbox
