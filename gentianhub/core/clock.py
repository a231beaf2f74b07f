"""Clocks for the shell; decisions get times as arguments."""

import time


def read_monotonic_s() -> float:
    """Return seconds on the monotonic clock, which runs on while paused."""
    return time.monotonic()
