"""Limits of a host's clients, from the limits of its machine."""

from collections.abc import Callable

from gentianhub.core.request_limits import RequestLimits
from gentianhub.web import ConnectionTable

# Names of the HTTP ports in the table of connections.
CALLERS, READINESS, METRICS = "callers", "readiness", "metrics"
# Memory of the process itself: 43 MB at rest, 60 to 100 MB under load.
PROCESS_MB = 100
# Part of the remaining memory that clients may fill; Python and its allocator need
# the rest.
CLIENT_SHARE = 0.75
# Smallest budget, for machines that have less memory than the process needs.
MIN_BUDGET_MB = 16
# Part of the machine's memory for the open jobs of callers.
JOB_SHARE = 0.15
# Smallest memory for open jobs; it has room for the largest job that is accepted.
MIN_JOB_MB = 16
# Part of the machine's memory for frames of links that are not complete.
FRAME_SHARE = 0.1
# Smallest memory for them. A configuration of 1,330 routes takes 30 KB.
MIN_FRAME_MB = 8
# Most concurrent connections of callers.
MAX_CALLERS = 2000
MAX_OPERATIONS_CONNECTIONS = 64
MAX_HANDSHAKES = 256


def choose_budget_bytes(memory_mb: float) -> int:
    """Return the memory for what clients send, of a machine with `memory_mb`."""
    budget_mb = max(MIN_BUDGET_MB, (memory_mb - PROCESS_MB) * CLIENT_SHARE)
    return int(budget_mb * 2**20)


def choose_job_bytes(memory_mb: float) -> int:
    """Return the memory for open jobs, of a machine with `memory_mb`."""
    return int(max(MIN_JOB_MB, memory_mb * JOB_SHARE) * 2**20)


def choose_frame_bytes(memory_mb: float) -> int:
    """Return the memory for incomplete frames, of a machine with `memory_mb`."""
    return int(max(MIN_FRAME_MB, memory_mb * FRAME_SHARE) * 2**20)


def choose_max_connections(max_fds: int) -> dict[str, int]:
    """Return the most connections by HTTP port, of a machine with `max_fds`."""
    operations = max(4, min(MAX_OPERATIONS_CONNECTIONS, max_fds // 16))
    return {
        CALLERS: max(8, min(MAX_CALLERS, max_fds // 2)),
        READINESS: operations,
        METRICS: operations,
    }


def choose_max_handshakes(max_fds: int) -> int:
    """Return the most connections of the link port that have sent no greeting."""
    return max(8, min(MAX_HANDSHAKES, max_fds // 8))


def build_connection_table(
    memory_mb: float,
    max_fds: int,
    read_limits: Callable[[], RequestLimits],
    refusals,
) -> ConnectionTable:
    """Return the table of connections of a host's process."""
    return ConnectionTable(
        max_bytes=choose_budget_bytes(memory_mb),
        max_connections=choose_max_connections(max_fds),
        interruptible_ports=frozenset((READINESS, METRICS)),
        read_limits=read_limits,
        refusals=refusals,
    )
