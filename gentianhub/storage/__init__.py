"""Communication with the platform: table service, object store and host list."""

from gentianhub.storage.claims import ClaimWorker, run_claims, submit_with_key
from gentianhub.storage.client import (
    Conflict,
    PlatformClient,
    VersionedRow,
    open_platform,
)
from gentianhub.storage.journal import JournalWorker, flush_journal, run_journal
from gentianhub.storage.lookups import LookupWorker, look_up_answer, run_lookups
from gentianhub.storage.watcher import PlatformPoller, run_watcher

__all__ = [
    "ClaimWorker",
    "Conflict",
    "JournalWorker",
    "LookupWorker",
    "PlatformClient",
    "PlatformPoller",
    "VersionedRow",
    "flush_journal",
    "look_up_answer",
    "open_platform",
    "run_claims",
    "run_journal",
    "run_lookups",
    "run_watcher",
    "submit_with_key",
]
