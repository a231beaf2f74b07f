"""What the targets of a cell tell a new owner about the earlier runs of a task.

The runs of a task are numbered in the order of their starts, so that of two facts about
a task the one about the higher run is the later one, whichever target tells it, and
whenever.
"""

from collections.abc import Iterable

from gentianhub.capacity.events import EndReport, RunEnd
from gentianhub.capacity.jobs import TaskKey
from gentianhub.capacity.targets import TargetState
from gentianhub.core.records import frozen


@frozen(kw_only=True)
class NoRunKnown:
    """No target has told anything about a run of the task."""


@frozen(kw_only=True)
class RunAtWork:
    """A target lists a run of the task as running."""

    target: TargetState


@frozen(kw_only=True)
class RunOver:
    """The latest known run of the task has ended."""

    end: EndReport


EarlierRun = NoRunKnown | RunAtWork | RunOver


def find_earlier_run(key: TaskKey, targets: Iterable[TargetState]) -> EarlierRun:
    """Return what is known of the latest run of a task.

    A run that is at work has to end before the next one starts, whatever is known of
    others. A task that is done stays done.
    """
    at_work: TargetState | None = None
    last_end: EndReport | None = None
    for target in targets:
        if key in target.orphans and (
            at_work is None or target.orphans[key] > at_work.orphans[key]
        ):
            at_work = target
        end = target.unclaimed_ends.get(key)
        if end is not None and (last_end is None or _is_later(end, last_end)):
            last_end = end
    if last_end is not None and (last_end.end is RunEnd.DONE or at_work is None):
        return RunOver(end=last_end)
    return RunAtWork(target=at_work) if at_work is not None else NoRunKnown()


def _is_later(end: EndReport, other: EndReport) -> bool:
    is_done, is_other_done = end.end is RunEnd.DONE, other.end is RunEnd.DONE
    return (is_done, end.run) > (is_other_done, other.run)
