"""Clock for code that does I/O; decisions get times as arguments."""

import time

# The steady clock leaves out the time for which the machine was suspended, and what was
# confirmed before would count as recent. Other systems than Linux have no such clock.
_BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def read_monotonic_s() -> float:
    """Return the monotonic time in s.

    It advances while the process is paused and while the machine is suspended. Timers
    of the event loop go by the steady clock, and end late by the time of a suspension.
    """
    return time.clock_gettime(_BOOT_CLOCK)


def read_suspended_s() -> float:
    """Return for how long the machine has been suspended since it started, s."""
    return time.clock_gettime(_BOOT_CLOCK) - time.clock_gettime(time.CLOCK_MONOTONIC)
