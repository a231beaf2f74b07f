"""Communication with the platform: table service, object store and host list."""

from gentianhub.storage.claims import ClaimTask, run_claims, submit_with_key
from gentianhub.storage.client import (
    Conflict,
    PlatformClient,
    VersionedRow,
    open_platform,
)
from gentianhub.storage.journal import JournalTask, flush_journal, run_journal
from gentianhub.storage.lookups import LookupTask, find_answer, run_lookups
from gentianhub.storage.watcher import PlatformPoller, run_watcher

__all__ = [
    "ClaimTask",
    "Conflict",
    "JournalTask",
    "LookupTask",
    "PlatformClient",
    "PlatformPoller",
    "VersionedRow",
    "find_answer",
    "flush_journal",
    "open_platform",
    "run_claims",
    "run_journal",
    "run_lookups",
    "run_watcher",
    "submit_with_key",
]
