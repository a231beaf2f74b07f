"""JSON encoding and decoding for the caller port's HTTP interface."""

import base64

from gentianhub.core import (
    Complete,
    Failed,
    JobComplete,
    JobFailed,
    JobId,
    JobPending,
    NotRun,
    Refusal,
    RefusalKind,
    RunState,
    Step,
    Task,
    TaskOutcome,
    Unknown,
    parse_job_id,
)

_KIND_BY_STATUS = {
    400: RefusalKind.MALFORMED,
    404: RefusalKind.NOT_FOUND,
    408: RefusalKind.TIMED_OUT,
    409: RefusalKind.CONFLICT,
    410: RefusalKind.GONE,
    413: RefusalKind.TOO_LARGE,
    429: RefusalKind.OVER_LIMIT,
    503: RefusalKind.UNAVAILABLE,
}


def encode_task(task: Task) -> dict:
    """Return the JSON content of a task."""
    hints = {
        "declared_run_ms": task.declared_run_ms,
        "declared_bytes": task.declared_bytes,
    }
    return {
        "kind": task.kind,
        "body_base64": base64.b64encode(task.body).decode(),
        **{name: value for name, value in hints.items() if value is not None},
    }


def decode_accepted(content: dict) -> JobId | Refusal:
    """Return the id from the reply to an accepted submission."""
    return parse_job_id(content["id"])


def decode_state(content: dict) -> JobComplete | JobFailed | JobPending:
    """Return a job's state, which is its answer if it has ended."""
    match content:
        case {"state": "complete", "results": results}:
            return JobComplete(results=tuple(map(_decode_result, results)))
        case {"state": "failed", "tasks": tasks}:
            return JobFailed(outcomes=tuple(map(_decode_outcome, tasks)))
        case {"state": state, "ended_tasks": ended}:
            started = max(ended, 1) if state == "running" else 0
            return JobPending(ended_tasks=ended, started_tasks=started)


def decode_refusal(status: int, content: dict) -> Refusal:
    """Return the refusal from an error reply."""
    error = content["error"]
    retry_after_ms = error.get("retry_after_ms")
    return Refusal(
        kind=_KIND_BY_STATUS.get(status, RefusalKind.UNAVAILABLE),
        step=Step(error["step"]),
        peer=error["peer"],
        reason=error["reason"],
        expected=error["expected"],
        field=error["field"],
        run=RunState(error["run"]),
        retry_after_s=None if retry_after_ms is None else retry_after_ms / 1000,
    )


def _decode_result(content: dict) -> bytes:
    match content:
        case {"body": text}:
            return text.encode()
        case {"body_base64": text}:
            return base64.b64decode(text)


def _decode_outcome(content: dict) -> TaskOutcome:
    if content["outcome"] == "ran":
        return Complete(result=b"", run_s=0.0)
    classes = {"failed": Failed, "not_run": NotRun, "unknown": Unknown}
    return classes[content["outcome"]](
        step=Step(content["step"]), peer=content["peer"], reason=content["reason"]
    )
