"""Log lines for decisions about requests and changes in a host's view of others."""

import logging

from gentianhub.capacity.effects import ShedJob
from gentianhub.host.metrics import HostMetrics

logger = logging.getLogger("gentianhub.host")


def log_decision(decision: str, subject: str, **inputs) -> None:
    """Log a decision, its subject, and the inputs to it.

    Parameters
    ----------
    decision : str
        The decision's kind, as docs/OPERATIONS.md lists it.
    subject : str
        Id of the job, task, target, cell or host.
    inputs
        Values that the decision depends on, their ages or versions, and the outcome.
    """
    logger.info(decision, extra={"id": subject, **inputs})


def record_shed_job(shed: ShedJob, metrics: HostMetrics) -> None:
    """Log and count a job that is refused because of overload."""
    metrics.shed_jobs[str(shed.priority)] += 1
    log_decision("job shed", shed.job, priority=shed.priority, **shed.inputs)
