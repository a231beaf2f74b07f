"""Log lines and metrics of a host that runs late."""

from gentianhub.core import Incarnation, Mailbox
from gentianhub.core.records import define, field
from gentianhub.host.decision_log import log_decision
from gentianhub.host.messages import TimerTick
from gentianhub.host.metrics import HostMetrics

# Pauses of the process that are shorter are not logged, s.
LOGGED_PAUSE_S = 0.2
# Messages that wait longer than this in the mailbox are logged, once a second, s.
LOGGED_MAILBOX_LAG_S = 0.2


@define(kw_only=True, eq=False)
class DelayLog:
    """Records for how long the process did not run, and how long messages waited."""

    local_host: Incarnation
    mailbox: Mailbox
    metrics: HostMetrics
    _lag_logged_s: float = field(init=False, default=float("-inf"))

    def record_tick(self, tick: TimerTick, open_jobs: int, now_s: float) -> None:
        """Record the delays that a tick of the timer tells."""
        if tick.late_s >= LOGGED_PAUSE_S:
            self.metrics.record_pause(tick.late_s)
            log_decision(
                "process paused",
                str(self.local_host),
                late_s=round(tick.late_s, 3),
                open_jobs=open_jobs,
            )
        lag_s = now_s - tick.sent_s
        self.metrics.record_mailbox_lag(lag_s)
        if lag_s > LOGGED_MAILBOX_LAG_S and now_s > self._lag_logged_s + 1.0:
            self._lag_logged_s = now_s
            log_decision(
                "mailbox behind",
                str(self.local_host),
                lag_s=round(lag_s, 3),
                waiting=len(self.mailbox),
            )
