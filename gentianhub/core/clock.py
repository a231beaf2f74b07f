"""Clock for code that does I/O; decisions get times as arguments."""

import time

# The steady clock leaves out the time for which the machine was suspended, and what was
# confirmed before would count as recent. Other systems than Linux have no such clock.
_BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
# Both clocks are read again if it took longer than this: a process that was frozen
# between two readings would take the time for a suspension.
MAX_READING_S = 0.001
MAX_READINGS = 5


def read_monotonic_s() -> float:
    """Return the monotonic time in s.

    It advances while the process is paused and while the machine is suspended. Timers
    of the event loop go by the steady clock, and end late by the time of a suspension.
    """
    return time.clock_gettime(_BOOT_CLOCK)


def read_suspended_s() -> float:
    """Return for how long the machine has been suspended since it started, s."""
    for _ in range(MAX_READINGS):
        before_s = time.clock_gettime(time.CLOCK_MONOTONIC)
        boot_s = time.clock_gettime(_BOOT_CLOCK)
        steady_s = time.clock_gettime(time.CLOCK_MONOTONIC)
        if steady_s < before_s + MAX_READING_S:
            break
    return boot_s - steady_s
