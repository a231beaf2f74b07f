"""Log lines and metrics of the times in which a host did not run or is behind."""

from attrs import define, field

from gentianhub.core import Incarnation
from gentianhub.host import messages as ms
from gentianhub.host.decision_log import log_decision
from gentianhub.host.metrics import HostMetrics

# Pauses of the process that are shorter are not logged, s.
LOGGED_PAUSE_S = 0.2
# Messages that wait longer than this in the mailbox are logged, once a second, s.
LOGGED_MAILBOX_LAG_S = 0.2


@define(kw_only=True, eq=False)
class DelayLog:
    """Records how late the ticks of the timer are sent and handled."""

    local_host: Incarnation
    metrics: HostMetrics
    _lag_logged_s: float = field(init=False, default=float("-inf"))

    def record_tick(
        self, tick: ms.TimerTick, open_jobs: int, waiting: int, now_s: float
    ) -> None:
        """Record a tick; `waiting` messages are behind it in the mailbox."""
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
                waiting=waiting,
            )
