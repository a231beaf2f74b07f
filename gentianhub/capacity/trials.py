"""Trials of jobs whose expected run time leaves no time before their deadline.

Expected run times are corrected by runs only. Without trials, an owner that expects too
much would refuse all jobs of a route, start none and expect the same forever.
"""

from gentianhub.capacity.tasks import CellJob, CellTask
from gentianhub.core.records import define, field

# A trial begins only if no task of the route was started for this long. Otherwise the
# ends of other runs are about to correct the expectation.
TRIAL_INTERVAL_S = 1.0
# Fraction of its time after which a job that has not started is no longer tried. It is
# late because it has waited, which tells nothing about the expected run time.
MAX_WAITED_FRACTION = 0.25


@define(kw_only=True, eq=False)
class RouteTrials:
    """The trials of one cell; at most one job of each route is on trial at a time.

    A trial takes capacity that no other waiting task can use now. Jobs that can't end
    in time by the estimates of their callers, or that have waited, are not tried.
    """

    _started_s: dict[str, float] = field(init=False, factory=dict)
    _jobs: dict[str, CellJob] = field(init=False, factory=dict)

    def record_start(self, task: CellTask, now_s: float) -> None:
        """Record the start of a task; one that is expected to end late is on trial."""
        route = task.request.route
        self._started_s[route] = now_s
        if task.is_too_late(now_s):
            task.job.is_trial = True
            self._jobs[route] = task.job

    def may_start(self, task: CellTask, now_s: float) -> bool:
        """Whether a task may start that is expected to end too late."""
        if now_s + task.step.estimate_s > task.last_end_s:
            return False
        if task.job.is_trial:
            return True
        submitted_s = task.job.submitted_s
        if now_s - submitted_s > MAX_WAITED_FRACTION * (task.last_end_s - submitted_s):
            return False
        route = task.request.route
        trial = self._jobs.get(route)
        if trial is not None and not trial.is_finished():
            return False
        return now_s > self._started_s.get(route, float("-inf")) + TRIAL_INTERVAL_S
