"""Ids of processes, jobs and tasks.

A job id contains its owner, the process incarnation that issued it. Only the owner
may start the job's tasks, and any entry process can find it from the id alone.
"""

import re
import secrets

from attrs import validators

from gentianhub.core.errors import Refusal, RefusalKind, Step
from gentianhub.core.records import field, frozen

INCARNATION_BYTES = 8
MAX_JOB_SEQUENCE = 2**53

PROCESS_NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,30}")
_JOB_ID_PATTERN = re.compile(
    r"(?P<data_centre>[a-z0-9][a-z0-9-]{0,30})"
    r"\.(?P<process>[a-z0-9][a-z0-9-]{0,30})"
    r"\.(?P<incarnation>[0-9a-f]{16})"
    r"\.(?P<sequence>[1-9][0-9]{0,15})"
)

_valid_name = validators.matches_re(PROCESS_NAME_PATTERN, func=re.fullmatch)


@frozen(kw_only=True, order=True, cache_hash=True)
class ProcessName:
    """Name of an entry process, unique across all data centres."""

    data_centre: str = field(validator=_valid_name)
    process: str = field(validator=_valid_name)

    def __str__(self) -> str:
        return f"{self.data_centre}.{self.process}"


@frozen(kw_only=True, order=True, cache_hash=True)
class Incarnation:
    """One run of an entry process, with a fencing token against earlier runs."""

    name: ProcessName
    token: str

    def __str__(self) -> str:
        return f"{self.name}.{self.token}"


@frozen(kw_only=True, order=True)
class JobId:
    """Id of a job, issued by its owner."""

    owner: Incarnation
    sequence: int

    def __str__(self) -> str:
        return f"{self.owner}.{self.sequence}"


@frozen(kw_only=True, order=True)
class TaskId:
    """Id of one task: its job and its zero-based index in the job."""

    job_id: JobId
    index: int

    def __str__(self) -> str:
        return f"{self.job_id}/{self.index}"


def create_incarnation(name: ProcessName) -> Incarnation:
    """Return a new incarnation of the process with a random token."""
    return Incarnation(name=name, token=secrets.token_hex(INCARNATION_BYTES))


def parse_job_id(text: str) -> JobId | Refusal:
    """Parse a job id; return a refusal if `text` is not a valid one."""
    match = _JOB_ID_PATTERN.fullmatch(text)
    if match is None or int(match["sequence"]) > MAX_JOB_SEQUENCE:
        return Refusal(
            kind=RefusalKind.MALFORMED,
            step=Step.DECODE_REQUEST,
            peer="caller",
            reason=f"{text[:80]!r} is not a job id",
            expected="DATA_CENTRE.PROCESS.INCARNATION.SEQUENCE as issued",
            field="id",
        )
    name = ProcessName(data_centre=match["data_centre"], process=match["process"])
    return JobId(
        owner=Incarnation(name=name, token=match["incarnation"]),
        sequence=int(match["sequence"]),
    )
