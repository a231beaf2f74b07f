"""Encoding of replies to callers as HTTP responses."""

import base64
import json
import math

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
    TaskOutcome,
    Unknown,
)
from gentianhub.decisions import IdBlock, JobAccepted
from gentianhub.web import Response

_STATUS_BY_KIND = {
    RefusalKind.MALFORMED: 400,
    RefusalKind.NOT_FOUND: 404,
    RefusalKind.TIMED_OUT: 408,
    RefusalKind.CONFLICT: 409,
    RefusalKind.GONE: 410,
    RefusalKind.TOO_LARGE: 413,
    RefusalKind.OVER_LIMIT: 429,
    RefusalKind.UNAVAILABLE: 503,
}


def encode_reply(reply, job_id: JobId | None = None) -> Response:
    """Return the HTTP response for a reply of the dispatcher."""
    match reply:
        case Refusal():
            return encode_refusal(reply)
        case JobAccepted(job_id=accepted_id, known=known):
            return _build_response(202, {"id": str(accepted_id), "known": known})
        case IdBlock(owner=owner, first=first, count=count):
            block = {"prefix": str(owner), "first": first, "count": count}
            return _build_response(200, block)
        case JobPending(started_tasks=started, ended_tasks=ended):
            state = "running" if started else "queued"
            return _build_response(
                200, {"id": str(job_id), "state": state, "ended_tasks": ended}
            )
        case JobComplete(results=results):
            content = {"id": str(job_id), "state": "complete"}
            encoded = [encode_result(result) for result in results]
            return _build_response(200, content | {"results": encoded})
        case JobFailed(outcomes=outcomes):
            content = {"id": str(job_id), "state": "failed"}
            encoded = [encode_outcome(outcome) for outcome in outcomes]
            return _build_response(200, content | {"tasks": encoded})


def encode_result(result: bytes) -> dict:
    """Return one result as text, or as base64 if it is not valid UTF-8."""
    try:
        return {"body": result.decode()}
    except UnicodeDecodeError:
        return {"body_base64": base64.b64encode(result).decode()}


def encode_outcome(outcome: TaskOutcome) -> dict:
    """Return a task's outcome without its result."""
    match outcome:
        case Complete():
            return {"outcome": "ran"}
        case Failed(step=step, peer=peer, reason=reason):
            name = "failed"
        case NotRun(step=step, peer=peer, reason=reason):
            name = "not_run"
        case Unknown(step=step, peer=peer, reason=reason):
            name = "unknown"
    return {"outcome": name, "step": step.value, "peer": peer, "reason": reason}


def encode_refusal(refusal: Refusal) -> Response:
    """Return an error response; its `run` says whether any task may have run."""
    content = {
        "step": refusal.step.value,
        "peer": refusal.peer,
        "reason": refusal.reason,
        "expected": refusal.expected,
        "field": refusal.field,
        "run": refusal.run.value,
    }
    headers = {}
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = str(math.ceil(refusal.retry_after_s))
        content["retry_after_ms"] = round(refusal.retry_after_s * 1000)
    return _build_response(_STATUS_BY_KIND[refusal.kind], {"error": content}, headers)


def _build_response(status: int, content: dict, headers: dict | None = None):
    return Response(
        status=status,
        body=json.dumps(content).encode(),
        headers={"Content-Type": "application/json", **(headers or {})},
    )
