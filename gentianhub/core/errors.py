"""Errors and refusals; each carries the step and the peer at which it arose."""

import enum

from attrs import frozen


class Step(enum.Enum):
    """Step of a request's way through an entry process."""

    DECODE_REQUEST = "decode_request"
    ADMIT_JOB = "admit_job"
    CLAIM_KEY = "claim_key"
    FORWARD_REQUEST = "forward_request"
    WAIT_FOR_SLOT = "wait_for_slot"
    CONNECT_TARGET = "connect_target"
    SEND_TASK = "send_task"
    AWAIT_REPLY = "await_reply"
    FIND_JOB = "find_job"
    DRAIN = "drain"
    READ_PLATFORM = "read_platform"
    WRITE_PLATFORM = "write_platform"
    READ_SETTINGS = "read_settings"
    SIBLING_LINK = "sibling_link"


class RefusalKind(enum.Enum):
    """Reason class of a refusal; front ends map it to their own status."""

    MALFORMED = "malformed"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    GONE = "gone"
    TIMED_OUT = "timed_out"
    TOO_LARGE = "too_large"
    OVER_LIMIT = "over_limit"
    UNAVAILABLE = "unavailable"


class RunState(enum.Enum):
    """What is certain about a refused submission's tasks."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@frozen(kw_only=True)
class Refusal:
    """Sentinel value returned in place of the result that was asked for."""

    kind: RefusalKind
    step: Step
    peer: str
    reason: str
    expected: str | None = None
    field: str | None = None
    run: RunState = RunState.NOT_RUN
    retry_after_s: float | None = None


class GentianhubError(Exception):
    """Error that ends an operation; carries the step and the peer."""

    def __init__(self, *, step: Step, peer: str, reason: str):
        super().__init__(f"{step.value} ({peer}): {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason


class PlatformError(GentianhubError):
    """A request to the platform failed; its effect may be unknown."""


class SettingsError(GentianhubError):
    """The settings file cannot be used."""
