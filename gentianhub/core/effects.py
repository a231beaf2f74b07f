"""Effects that the decisions return; the dispatcher greenlet executes them."""

from typing import Any

from gentianhub.core.events import SlotMessage
from gentianhub.core.ids import Incarnation, JobId, TaskId
from gentianhub.core.jobs import Task
from gentianhub.core.outcomes import JobAnswer
from gentianhub.core.records import frozen


@frozen(kw_only=True)
class StartTask:
    """Send a task to a target; `deadline_at_s` is a monotonic time in seconds."""

    task_id: TaskId
    task: Task
    service: str
    target: str
    deadline_at_s: float


@frozen(kw_only=True)
class Reply:
    """Deliver a message to the mailbox of the requesting greenlet."""

    recipient: Any
    message: Any


@frozen(kw_only=True)
class JobEnded:
    """A job has ended; `response_s` is its response time in seconds."""

    job_id: JobId
    service: str
    answer: JobAnswer
    response_s: float


@frozen(kw_only=True)
class SendToSibling:
    """Send a slot message to another entry process."""

    recipient: Incarnation
    message: SlotMessage


Effect = StartTask | Reply | JobEnded | SendToSibling
