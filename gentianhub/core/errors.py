"""Errors and refusals; each carries the step and the peer at which it occurred."""

import enum

from gentianhub.core.records import frozen


class Step(enum.Enum):
    """Processing step of a request in an entry process."""

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
    """Category of a refusal; each front end maps it to its own status codes."""

    MALFORMED = "malformed"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    GONE = "gone"
    TIMED_OUT = "timed_out"
    TOO_LARGE = "too_large"
    OVER_LIMIT = "over_limit"
    UNAVAILABLE = "unavailable"


class RunState(enum.Enum):
    """Whether any task of a refused submission may have run."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@frozen(kw_only=True)
class Refusal:
    """Rejection of a request, returned in place of its result."""

    kind: RefusalKind
    step: Step
    peer: str
    reason: str
    expected: str | None = None
    field: str | None = None
    run: RunState = RunState.NOT_RUN
    retry_after_s: float | None = None


class GentianhubError(Exception):
    """Error that aborts an operation; carries the step and the peer."""

    def __init__(self, *, step: Step, peer: str, reason: str):
        super().__init__(f"{step.value} ({peer}): {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason


class PlatformError(GentianhubError):
    """A request to the platform failed; it may still have taken effect."""


class SettingsError(GentianhubError):
    """The settings file cannot be used."""
