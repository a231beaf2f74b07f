"""Messages inside an entry process that the decisions do not see."""

from attrs import frozen

from gentianhub.core import Mailbox


@frozen(kw_only=True)
class RenderMetrics:
    """Reply with the metrics in the Prometheus text format."""

    reply_to: Mailbox


@frozen(kw_only=True)
class CountOpenJobs:
    """Reply with the number of jobs without an answer."""

    reply_to: Mailbox
