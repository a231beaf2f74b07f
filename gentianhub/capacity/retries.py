"""When the caller of a refused job may submit it again."""

import math
import zlib

# Retry-After of a refusal, s, if all routes have the same priority. The spread by job
# id keeps refused callers from retrying at the same time.
RETRY_AFTER_S = 1
RETRY_SPREAD_S = 3
# Upper bound, s. Callers wait about 1.5 s for an answer, so that a backlog that lasts
# longer than this comes from a loss of capacity, whose end can't be predicted.
MAX_RETRY_AFTER_S = 10


def choose_retry_after_s(job_id: str, rank: int | None, drain_s: float) -> int:
    """Return the delay after which a refused job may be submitted again, whole s.

    Parameters
    ----------
    job_id : str
        The job; its hash spreads the callers of one refused burst.
    rank : int or None
        Rank of the job's priority, 0 for the most urgent one; None if all routes have
        the same priority.
    drain_s : float
        Time in which the work that waits now will have been done, s.
    """
    digest = zlib.crc32(job_id.encode())
    if rank is None:
        return RETRY_AFTER_S + digest % RETRY_SPREAD_S
    # Each rank returns in a window of its own, after those of the more urgent ranks. A
    # longer backlog comes with more refused callers, and needs wider windows.
    first_s = max(1, math.ceil(min(drain_s, MAX_RETRY_AFTER_S)))
    delay_s = first_s + rank * (first_s + 1) + digest % (first_s + 1)
    return min(MAX_RETRY_AFTER_S, delay_s)
