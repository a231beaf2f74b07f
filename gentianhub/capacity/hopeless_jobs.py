"""Refusal of jobs at their arrival, when no cell could start them in time."""

from gentianhub.capacity.effects import ShedJob
from gentianhub.capacity.routing import LoadView
from gentianhub.capacity.submissions import SubmitCapacityJob
from gentianhub.capacity.tasks import LATE_FACTOR

# A backlog has to exceed the time that a job can wait by this factor and by this time:
# claims are a heartbeat old, estimates are off by 40%, and owners refuse some of the
# jobs that wait.
BACKLOG_FACTOR = 1.5
BACKLOG_MARGIN_S = 0.25
BACKLOG = "no cell can start the job in time"


def is_hopeless(event: SubmitCapacityJob, loads: LoadView) -> bool:
    """Whether each cell's backlog is longer than the job can wait for its start.

    Jobs of the most urgent priority are always sent, since owners start them ahead of
    the backlog. So are all jobs if any cell has idle capacity or an unknown load.
    """
    if not event.rank:
        return False
    backlog_s = loads.find_shortest_backlog_s()
    if backlog_s is None:
        return False
    longest_s = max((step.estimate_s for step in event.job.steps), default=0.0)
    objective_s = event.route.objective_s + event.route.stretch * longest_s
    patience_s = min(event.wait_s, LATE_FACTOR * objective_s) - longest_s
    return backlog_s > BACKLOG_FACTOR * max(0.0, patience_s) + BACKLOG_MARGIN_S


def describe_refusal(event: SubmitCapacityJob, loads: LoadView) -> ShedJob:
    """Return the effect that logs and counts the refusal of a job."""
    inputs = {
        "reason": BACKLOG,
        "route": event.route.name,
        "estimated_wait_s": round(loads.find_shortest_backlog_s() or 0.0, 4),
    }
    return ShedJob(job=event.job_id, priority=event.route.priority, inputs=inputs)
