"""Peer: the platform, with its table service, object store and host list."""

from gentianhub.platform.client import (
    Conflict,
    PlatformClient,
    VersionedRow,
    open_platform,
)
from gentianhub.platform.watcher import PlatformWatcher, run_watcher

__all__ = [
    "Conflict",
    "PlatformClient",
    "PlatformWatcher",
    "VersionedRow",
    "open_platform",
    "run_watcher",
]
