"""Runs one host whose steady clock leaves out the time of simulated suspensions.

    python -m gentianhub.stand_ins.suspendable_host FILE

A suspended machine does not run, and its steady clock does not count that time;
`CLOCK_BOOTTIME` and the time of day do. A test stops the process by SIGSTOP instead,
and adds the length of the stop to the offset in FILE before SIGCONT. `time.monotonic`
and `time.clock_gettime(time.CLOCK_MONOTONIC)` are less by that offset. The timers of
gevent read the clock of the system: those that come due during a stop fire after it at
once, while after a suspension they would fire later by its length.
"""

import os
import struct
import sys
import time
from pathlib import Path

from gentianhub.host.__main__ import run

_OFFSET = struct.Struct("d")


def add_suspension(file: Path, suspended_s: float) -> None:
    """Add to the time that the clock of a stopped process leaves out, in s."""
    offset_s = _OFFSET.unpack(file.read_bytes())[0] if file.exists() else 0.0
    file.write_bytes(_OFFSET.pack(offset_s + suspended_s))


def replace_steady_clock(file: Path) -> None:
    """Subtract the offset in a file from this process's readings of the steady clock.

    The file is read at each reading, so that the first one after a stop has the
    offset.
    """
    descriptor = os.open(file, os.O_RDONLY)
    read_clock = time.clock_gettime

    def read_steady_s() -> float:
        (offset_s,) = _OFFSET.unpack(os.pread(descriptor, _OFFSET.size, 0))
        return read_clock(time.CLOCK_MONOTONIC) - offset_s

    def read_clock_s(clock: int) -> float:
        return read_steady_s() if clock == time.CLOCK_MONOTONIC else read_clock(clock)

    time.monotonic, time.clock_gettime = read_steady_s, read_clock_s


if __name__ == "__main__":
    replace_steady_clock(Path(sys.argv[1]))
    sys.exit(run())
