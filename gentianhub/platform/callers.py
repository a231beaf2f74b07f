"""Decoding of callers' submissions and encoding of the responses to them."""

import json
import re

from gentianhub.capacity.effects import AnswerCaller, JobVerdict
from gentianhub.capacity.jobs import CapacityJob, JobStep
from gentianhub.platform.content import (
    decode_json,
    decode_resources,
    read_duration_s,
)
from gentianhub.platform.fields import (
    FieldError,
    describe_value,
    read_field,
    read_number,
)
from gentianhub.web import Response

JOB_ID_PATTERN = re.compile(r"[0-9a-f]{16}")
MAX_PAYLOAD_BYTES = 4000
MAX_TASKS = 10_000
DEADLINE_HEADER = "deadline-ms"
JSON_HEADERS = {"Content-Type": "application/json"}
# Fields of a submission or a step that request features which are not implemented.
UNSUPPORTED_JOB_FIELDS = ("times",)
UNSUPPORTED_STEP_FIELDS = (
    "gang",
    "same_rack",
    "long_running",
    "fills",
    "target_ms",
)


def decode_job(body: bytes) -> CapacityJob:
    """Return the job in a submission's body.

    Raises
    ------
    FieldError
        If the body does not describe a job.
    """
    decoded = decode_json(body)
    # On the wire the payload is `spec`, and the steps are `phases`.
    payload = read_field(decoded, "spec", str, "")
    if len(payload.encode()) > MAX_PAYLOAD_BYTES:
        raise FieldError(f"spec: expected at most {MAX_PAYLOAD_BYTES} bytes")
    phases = read_field(decoded, "phases", list)
    # Each step has a task. Decoding all steps of a body of 256 KiB first took 0.8 s.
    if len(phases) > MAX_TASKS:
        raise FieldError(f"phases: expected at most {MAX_TASKS} steps")
    steps = tuple(
        _decode_step(position, phase) for position, phase in enumerate(phases)
    )
    if not steps:
        raise FieldError("phases: expected at least one")
    tasks = sum(step.count for step in steps)
    if tasks > MAX_TASKS:
        raise FieldError(f"phases: expected at most {MAX_TASKS} tasks, got {tasks}")
    is_durable = not read_field(decoded, "best_effort", bool, False)
    unsupported = [name for name in UNSUPPORTED_JOB_FIELDS if decoded.get(name)]
    unsupported += [
        name for phase in phases for name in UNSUPPORTED_STEP_FIELDS if phase.get(name)
    ]
    if is_durable:
        unsupported.append("jobs that are kept")
    return CapacityJob(
        payload=payload,
        steps=steps,
        is_durable=is_durable,
        unsupported=unsupported[0] if unsupported else "",
    )


def _decode_step(position: int, content: object) -> JobStep:
    count = read_number(content, "count", int, 1, MAX_TASKS, 1)
    after = tuple(read_field(content, "after", list, []))
    if not all(type(number) is int and 0 <= number < position for number in after):
        found = describe_value(after)
        raise FieldError(f"after: expected numbers of earlier steps, got {found}")
    return JobStep(
        count=count,
        demand=decode_resources(content),
        estimate_s=read_duration_s(content, "estimate_ms"),
        after=after,
        required_label=read_field(content, "required_label", str, ""),
        data_rack=read_field(content, "data_rack", str, ""),
        # A target is a `server` on the wire.
        max_per_target=read_number(content, "max_per_server", int, 0, MAX_TASKS, 0),
    )


def encode_answer(answer: AnswerCaller) -> Response:
    """Return the final response to a submission."""
    match answer.verdict:
        case JobVerdict.COMPLETED:
            return encode_state(200, "completed")
        case JobVerdict.FAILED:
            return encode_state(200, "failed")
        case JobVerdict.CANCELLED:
            return encode_state(200, "cancelled")
        case JobVerdict.NOT_RUN:
            return encode_error(503, answer.reason, answer.retry_after_s)
        case JobVerdict.INTERRUPTED:
            return encode_error(504, answer.reason)


def encode_state(status: int, state: str) -> Response:
    """Return a response with a job's state."""
    body = json.dumps({"state": state}).encode()
    return Response(status=status, body=body, headers=JSON_HEADERS)


def encode_error(
    status: int, reason: str, retry_after_s: float | None = None
) -> Response:
    """Return a response with the reason why there is no result."""
    headers = dict(JSON_HEADERS)
    if retry_after_s is not None:
        headers["Retry-After"] = str(max(1, round(retry_after_s)))
    body = json.dumps({"error": reason}).encode()
    return Response(status=status, body=body, headers=headers)


def encode_pending_count(count: int) -> Response:
    """Return the response with the number of a route's jobs that have not started."""
    body = json.dumps({"pending": count}).encode()
    return Response(status=200, body=body, headers=JSON_HEADERS)
