"""Reports about tasks that a cell's owner sends to front hosts."""

from gentianhub.capacity.effects import LogDecision, SendToFront
from gentianhub.capacity.events import RunTasks, TaskEnd, TasksEnded
from gentianhub.capacity.jobs import Cell
from gentianhub.capacity.tasks import CellJob, CellTask
from gentianhub.core import Incarnation
from gentianhub.core.records import frozen


@frozen(kw_only=True)
class Reporter:
    """Builds the reports of the owner of a cell."""

    cell: Cell
    term: int

    def build_end_report(self, tasks: list[CellTask], end: TaskEnd) -> SendToFront:
        """Return the report about tasks of one step with the same outcome."""
        first = tasks[0]
        message = TasksEnded(
            cell=self.cell,
            term=self.term,
            job=first.key.job,
            step_number=first.key.step,
            indexes=tuple(task.key.index for task in tasks),
            end=end,
            has_started=first.job.has_started,
        )
        return SendToFront(front_host=first.job.front_host, message=message)

    def build_refusal(
        self,
        request: RunTasks,
        front_host: Incarnation,
        end: TaskEnd,
        has_started: bool,
    ) -> SendToFront:
        """Return the refusal of all tasks of a request."""
        message = TasksEnded(
            cell=self.cell,
            term=self.term,
            job=request.job,
            step_number=request.step_number,
            indexes=request.indexes,
            end=end,
            has_started=has_started,
        )
        return SendToFront(front_host=front_host, message=message)

    def build_cancel_confirmation(
        self, name: str, front_host: Incarnation, job: CellJob | None
    ) -> SendToFront:
        """Return the confirmation that no more tasks of a job will be started."""
        message = TasksEnded(
            cell=self.cell,
            term=self.term,
            job=name,
            step_number=0,
            indexes=(),
            end=TaskEnd.CANCELLED,
            has_started=job is not None and job.has_started,
        )
        return SendToFront(front_host=front_host, message=message)

    def log_withdrawal(self, job: CellJob, reason: str) -> LogDecision:
        """Return the log line of a job whose tasks are withdrawn."""
        inputs = {
            "cell": str(self.cell),
            "front_host": str(job.front_host),
            "reason": reason,
            "waiting": sum(task.is_waiting for task in job.tasks.values()),
            "running": sum(task.target is not None for task in job.tasks.values()),
        }
        return LogDecision(decision="tasks withdrawn", subject=job.name, inputs=inputs)
