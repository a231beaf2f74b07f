"""Monotonic clock for code that does I/O; decisions get times as arguments."""

import time


def read_monotonic_s() -> float:
    """Return the monotonic time in s; it advances while the process is paused."""
    return time.monotonic()
