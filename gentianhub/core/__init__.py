"""Types shared by all packages: ids, jobs, outcomes, messages and mailboxes."""

from gentianhub.core.clock import read_monotonic_s, read_suspended_s
from gentianhub.core.errors import (
    GentianhubError,
    PlatformError,
    Refusal,
    RefusalKind,
    RunState,
    SettingsError,
    Step,
)
from gentianhub.core.ids import (
    Incarnation,
    JobId,
    ProcessName,
    TaskId,
    create_incarnation,
    parse_job_id,
)
from gentianhub.core.jobs import MAX_TASKS_PER_JOB, Job, JobRequest, Task
from gentianhub.core.mailbox import Mailbox, MailboxTimeout, spawn_greenlet
from gentianhub.core.outcomes import (
    Complete,
    Failed,
    JobAnswer,
    JobComplete,
    JobFailed,
    JobPending,
    JobState,
    NotRun,
    TaskOutcome,
    Unknown,
)
from gentianhub.core.sockets import send_message
from gentianhub.core.table import (
    EntryProcessAddress,
    ServiceRow,
    Table,
    TargetAddress,
    TargetRow,
    TeamRow,
)

__all__ = [
    "MAX_TASKS_PER_JOB",
    "Complete",
    "EntryProcessAddress",
    "Failed",
    "GentianhubError",
    "Incarnation",
    "Job",
    "JobAnswer",
    "JobComplete",
    "JobFailed",
    "JobId",
    "JobPending",
    "JobRequest",
    "JobState",
    "Mailbox",
    "MailboxTimeout",
    "NotRun",
    "PlatformError",
    "ProcessName",
    "Refusal",
    "RefusalKind",
    "RunState",
    "ServiceRow",
    "SettingsError",
    "Step",
    "Table",
    "TargetAddress",
    "TargetRow",
    "Task",
    "TaskId",
    "TaskOutcome",
    "TeamRow",
    "Unknown",
    "create_incarnation",
    "parse_job_id",
    "read_monotonic_s",
    "read_suspended_s",
    "send_message",
    "spawn_greenlet",
]
