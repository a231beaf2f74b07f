"""Jobs and tasks that front hosts have sent to a cell."""

from collections.abc import Iterable, Iterator

from gentianhub.capacity.events import RunTasks, TaskEnd
from gentianhub.capacity.jobs import JobStep, TaskKey
from gentianhub.capacity.worth import JobWorth
from gentianhub.core import Incarnation
from gentianhub.core.records import define, field

# An answer later than this multiple of its objective is of no use to the caller, so a
# task that would end later is dropped. 1.5 left more jobs of a load peak without an
# answer.
LATE_FACTOR = 3.0


@define(kw_only=True, eq=False)
class CellJob:
    """The tasks of one job that one front host has sent to a cell.

    `possible_runs` counts the runs that have started or may have started; a start that
    a target has provably not executed is none. `is_withdrawn` is set if the front host
    has cancelled the job, so that a later request is a new submission. `confirmed_s` is
    the last time, on this host's clock, at which the front host is known to have had
    the job open, and `submitted_s` the earliest time at which its caller may have
    submitted it. `is_trial` is set once a task has started that was expected to end too
    late. `worth` is that to its caller, if routes have more than one priority.
    """

    front_host: Incarnation
    name: str
    possible_runs: int = 0
    is_late: bool = False
    is_cancelled: bool = False
    is_withdrawn: bool = False
    is_trial: bool = False
    changed_s: float = 0.0
    confirmed_s: float = float("-inf")
    submitted_s: float = float("-inf")
    worth: JobWorth | None = None
    tasks: dict[TaskKey, "CellTask"] = field(factory=dict)

    @property
    def has_started(self) -> bool:
        """Whether a task of the job may have run."""
        return self.possible_runs > 0

    @property
    def rank(self) -> int:
        """Rank of the job in an overload; work that has begun is finished first."""
        return 0 if self.worth is None or self.has_started else self.worth.rank

    def has_open_tasks(self) -> bool:
        """Whether a task of the job has not ended."""
        return any(task.end is None for task in self.tasks.values())

    def is_finished(self) -> bool:
        """Whether no task of the job waits or runs any more."""
        tasks = self.tasks.values()
        has_ended = self.is_cancelled or all(task.end for task in tasks)
        return has_ended and not any(task.target for task in tasks)


@define(kw_only=True, eq=False)
class CellTask:
    """A task; `target` is the target it runs on and `end` its outcome.

    A start after `objective_start_s` is likely to miss the latency objective; after
    `cutoff_start_s` the task is no longer started. Waiting tasks are sorted by
    `sort_key_s`, the time by which the task should be considered for a start. All times
    are monotonic. `is_repeat` is set if an earlier owner may have started the task.
    """

    key: TaskKey
    job: CellJob
    request: RunTasks
    objective_start_s: float
    cutoff_start_s: float
    sort_key_s: float
    expected_s: float
    is_repeat: bool = False
    target: str | None = None
    end: TaskEnd | None = None
    is_blocked: bool = False
    last_run: int = 0
    failures: int = 0
    avoided: frozenset[str] = frozenset()

    @property
    def step(self) -> JobStep:
        """The step that the task belongs to."""
        return self.request.step

    @property
    def is_waiting(self) -> bool:
        """Whether the task may be started."""
        return self.target is None and self.end is None and not self.is_blocked

    @property
    def last_end_s(self) -> float:
        """Monotonic time after which the end of the task is of no use, in seconds."""
        return self.cutoff_start_s + self.expected_s

    def is_too_late(self, now_s: float) -> bool:
        """Whether it is too late for a start to be of use to the caller."""
        return now_s > self.cutoff_start_s

    def avoid(self, target: str) -> None:
        """Add a target to those that are used only if no other one is available."""
        self.avoided = self.avoided | {target}


def hand_back_tasks(
    jobs: Iterable[CellJob], now_s: float
) -> Iterator[tuple[list[CellTask], TaskEnd]]:
    """End the waiting tasks of an evacuated cell; yield those of one end and step.

    Those that have failed are not handed back: another cell would not know of it, and
    would run them more often than the route allows.
    """
    for job in jobs:
        groups: dict[tuple[int, TaskEnd], list[CellTask]] = {}
        for task in job.tasks.values():
            if task.is_waiting:
                task.end = TaskEnd.EXPIRED if task.failures else TaskEnd.EVACUATED
                job.changed_s = now_s
                groups.setdefault((task.key.step, task.end), []).append(task)
        yield from ((tasks, end) for (_, end), tasks in groups.items())
