"""Compares the answers to callers with the starts recorded by targets."""

import json
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path

from gentianhub.client import JobComplete, JobFailed, Refusal
from gentianhub.core import JobAnswer, NotRun, RunState, Unknown
from gentianhub.core.records import define, field, frozen


@frozen(kw_only=True)
class StartRecord:
    """One start at a target: the id of the task and the marker in its body."""

    task: str
    marker: str


@define(kw_only=True, eq=False)
class JobTrace:
    """A job as a caller submitted it, and every answer that it got."""

    marker: str
    bodies: tuple[bytes, ...]
    idempotent: bool
    answers: list[JobAnswer | Refusal] = field(factory=list)


@frozen(kw_only=True)
class Violation:
    """A violated guarantee, and the job or process that shows it."""

    guarantee: str
    subject: str


def read_starts(paths: Iterable[Path]) -> Iterator[StartRecord]:
    """Yield the starts that targets wrote to their files."""
    for path in paths:
        for line in path.read_text().splitlines():
            task, _, body = line.partition(" ")
            yield StartRecord(task=task, marker=json.loads(body)["marker"])


def audit_run(
    traces: Iterable[JobTrace], starts: Iterable[StartRecord]
) -> Iterator[Violation]:
    """Yield every violated guarantee."""
    starts = list(starts)
    by_task = Counter(start.task for start in starts)
    by_marker = Counter(start.marker for start in starts)
    for task, count in by_task.items():
        if count > 1:
            yield Violation(guarantee="a task starts at most once", subject=task)
    for trace in traces:
        yield from _audit_job(trace, by_marker)


def _audit_job(trace: JobTrace, starts: Counter) -> Iterator[Violation]:
    counts = [starts[f"{trace.marker}/{index}"] for index in range(len(trace.bodies))]
    if not trace.answers:
        yield Violation(guarantee="each caller is answered", subject=trace.marker)
    if not trace.idempotent and max(counts) > 1:
        yield Violation(
            guarantee="a non-idempotent job runs at most once", subject=trace.marker
        )
    for answer in trace.answers:
        yield from _audit_answer(trace, answer, counts)


def _audit_answer(
    trace: JobTrace, answer: JobAnswer | Refusal, counts: list[int]
) -> Iterator[Violation]:
    match answer:
        case JobComplete(results=results):
            if results != trace.bodies:
                yield Violation(
                    guarantee="an answer is whole and its own", subject=trace.marker
                )
            if min(counts) < 1:
                yield Violation(
                    guarantee="a complete job ran whole", subject=trace.marker
                )
        case JobFailed(outcomes=outcomes):
            if len(outcomes) != len(counts):
                yield Violation(
                    guarantee="a failure covers every task", subject=trace.marker
                )
            for outcome, count in zip(outcomes, counts, strict=False):
                if isinstance(outcome, NotRun) and count and not trace.idempotent:
                    yield Violation(
                        guarantee="not run is true",
                        subject=f"{trace.marker}: {outcome}",
                    )
        case Refusal(run=RunState.NOT_RUN):
            if max(counts) and not trace.idempotent:
                yield Violation(
                    guarantee="not run is true", subject=f"{trace.marker}: {answer}"
                )


def classify_answer(answer: JobAnswer | Refusal) -> str:
    """Return the class in which the report counts an answer."""
    match answer:
        case JobComplete():
            return "complete"
        case JobFailed(outcomes=outcomes):
            is_unknown = any(isinstance(outcome, Unknown) for outcome in outcomes)
            return "failed, some unknown" if is_unknown else "failed, all certain"
        case Refusal(run=RunState.NOT_RUN):
            return "refused, not run"
        case Refusal(kind=kind):
            return f"unknown ({kind.value})"
