"""Monotonic clock for code that does I/O; decisions get times as arguments."""

import time

# Counts the time of a suspension, unlike the steady clock. Other systems than Linux
# have only the latter.
_BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def read_monotonic_s() -> float:
    """Return the monotonic time in s; it advances while the process is paused."""
    return time.monotonic()


def read_suspended_s() -> float:
    """Return for how long the machine has been suspended since it started, s."""
    return time.clock_gettime(_BOOT_CLOCK) - time.clock_gettime(time.CLOCK_MONOTONIC)
