"""Decoding and validation of callers' HTTP requests."""

import base64
import binascii
import hashlib
import json
from typing import Any

from gentianhub.core import (
    MAX_TASKS_PER_JOB,
    JobRequest,
    Refusal,
    RefusalKind,
    Step,
    Task,
)

MAX_IDS_PER_BLOCK = 1000
MAX_WAIT_MS = 60_000
MAX_DEADLINE_MS = 3_600_000
MAX_NAME_LENGTH = 100


class _MalformedFieldError(Exception):
    """Invalid field of a request; the public functions return its `refusal`."""

    def __init__(self, *, field: str, reason: str, expected: str):
        super().__init__(reason)
        self.refusal = Refusal(
            kind=RefusalKind.MALFORMED,
            step=Step.DECODE_REQUEST,
            peer="caller",
            reason=reason,
            expected=expected,
            field=field,
        )


def decode_job(body: bytes) -> JobRequest | Refusal:
    """Decode a job from a JSON body; return a refusal that names an invalid field."""
    try:
        return _decode_job(body)
    except _MalformedFieldError as error:
        return error.refusal


def decode_id_count(body: bytes) -> int | Refusal:
    """Return the requested number of ids."""
    try:
        count = _load_object(body).get("count")
        return _check_number(count, "count", 1, MAX_IDS_PER_BLOCK, int)
    except _MalformedFieldError as error:
        return error.refusal


def decode_wait_s(text: str | None) -> float | Refusal:
    """Convert the `wait_ms` parameter to seconds."""
    try:
        value = int(text) if text and text.isdecimal() else text or 0
        return _check_number(value, "wait_ms", 0, MAX_WAIT_MS, int) / 1000
    except _MalformedFieldError as error:
        return error.refusal


def _decode_job(body: bytes) -> JobRequest:
    content = _load_object(body)
    _check_fields(content, "", {"service", "tasks", "deadline_ms", "idempotent"})
    tasks = content.get("tasks")
    if not isinstance(tasks, list) or not 1 <= len(tasks) <= MAX_TASKS_PER_JOB:
        raise _MalformedFieldError(
            field="tasks",
            reason="not a list, or a list with too few or too many tasks",
            expected=f"a list of 1 to {MAX_TASKS_PER_JOB} tasks",
        )
    deadline_ms = _check_number(
        content.get("deadline_ms"), "deadline_ms", 1, MAX_DEADLINE_MS, int | float
    )
    idempotent = content.get("idempotent", False)
    if not isinstance(idempotent, bool):
        raise _MalformedFieldError(
            field="idempotent", reason="not a boolean", expected="true or false"
        )
    return JobRequest(
        service=_check_name(content.get("service"), "service"),
        tasks=tuple(_decode_task(task, f"tasks[{i}]") for i, task in enumerate(tasks)),
        deadline_s=deadline_ms / 1000,
        idempotent=idempotent,
        digest=hashlib.sha256(json.dumps(content, sort_keys=True).encode()).hexdigest(),
    )


def _decode_task(content: Any, path: str) -> Task:
    if not isinstance(content, dict):
        raise _MalformedFieldError(
            field=path, reason="not an object", expected="a task object"
        )
    known = {"kind", "body", "body_base64", "declared_run_ms", "declared_bytes"}
    _check_fields(content, path + ".", known)
    run_ms = content.get("declared_run_ms")
    size = content.get("declared_bytes")
    return Task(
        kind=_check_name(content.get("kind"), f"{path}.kind"),
        body=_decode_body(content, path),
        declared_run_ms=run_ms
        if run_ms is None
        else _check_number(run_ms, f"{path}.declared_run_ms", 0, 1e9, int | float),
        declared_bytes=size
        if size is None
        else _check_number(size, f"{path}.declared_bytes", 0, 2**40, int),
    )


def _decode_body(content: dict, path: str) -> bytes:
    if "body_base64" in content:
        try:
            return base64.b64decode(content["body_base64"], validate=True)
        except (binascii.Error, TypeError, ValueError):
            raise _MalformedFieldError(
                field=f"{path}.body_base64",
                reason="invalid base64",
                expected="base64 text",
            ) from None
    body = content.get("body", "")
    if not isinstance(body, str):
        raise _MalformedFieldError(
            field=f"{path}.body", reason="not text", expected="a string"
        )
    try:
        return body.encode()
    except UnicodeEncodeError:
        raise _MalformedFieldError(
            field=f"{path}.body",
            reason="contains a lone surrogate",
            expected="text that can be encoded as UTF-8",
        ) from None


def _load_object(body: bytes) -> dict:
    try:
        content = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise _MalformedFieldError(
            field="", reason=f"invalid JSON: {error}", expected="a JSON object"
        ) from None
    if not isinstance(content, dict):
        raise _MalformedFieldError(
            field="", reason="not an object", expected="a JSON object"
        )
    return content


def _check_fields(content: dict, prefix: str, known: set[str]) -> None:
    for name in content.keys() - known:
        raise _MalformedFieldError(
            field=f"{prefix}{name}",
            reason="unknown field",
            expected="one of: " + ", ".join(sorted(known)),
        )


def _check_name(value: Any, path: str) -> str:
    if not isinstance(value, str) or not 1 <= len(value) <= MAX_NAME_LENGTH:
        raise _MalformedFieldError(
            field=path,
            reason="missing, not a string or of invalid length",
            expected=f"a string of 1 to {MAX_NAME_LENGTH} characters",
        )
    return value


def _check_number(value: Any, path: str, low, high, kind):
    is_number = isinstance(value, kind) and not isinstance(value, bool)
    if not is_number or not low <= value <= high:
        raise _MalformedFieldError(
            field=path,
            reason=f"{value!r:.40} is missing, not a number or out of range",
            expected=f"a number from {low} to {high}",
        )
    return value
