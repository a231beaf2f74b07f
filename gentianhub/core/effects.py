"""Effects that the decisions ask for; the dispatcher greenlet carries them out."""

from typing import Any

from attrs import frozen

from gentianhub.core.events import SlotMessage
from gentianhub.core.ids import Incarnation, JobId, TaskId
from gentianhub.core.jobs import Task
from gentianhub.core.outcomes import JobAnswer


@frozen(kw_only=True)
class StartTask:
    """Send a task to a target; `deadline_at_s` is on the monotonic clock."""

    task_id: TaskId
    task: Task
    service: str
    target: str
    deadline_at_s: float


@frozen(kw_only=True)
class Reply:
    """Deliver a message to the greenlet that asked."""

    to: Any
    message: Any


@frozen(kw_only=True)
class JobEnded:
    """A job has its answer; times are in seconds."""

    job_id: JobId
    service: str
    answer: JobAnswer
    response_s: float


@frozen(kw_only=True)
class SendToSibling:
    """Send a slot message to another entry process."""

    to: Incarnation
    message: SlotMessage


Effect = StartTask | Reply | JobEnded | SendToSibling
