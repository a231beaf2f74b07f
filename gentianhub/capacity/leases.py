"""Durations of the leases on which runs depend.

A target kills all its runs when its lease expires by its own clock, which may be slow.
A caller whose connection broke resubmits its job after `CALLER_RETURN_S`; by then no
run of the first submission may exist. So no lease of a target, of a start or of a
renewal, ends later than `CONFIRMED_LEASE_S` after the last confirmation of any job that
may run there. A stop that is confirmed before then takes at most another `STOP_S`, and
the front host may learn of the departure, and confirm the job until then, as late as
`DEPARTURE_DELAY_S` after the caller counts from it:

    DEPARTURE_DELAY_S + CONFIRMED_LEASE_S + STOP_S <= CALLER_RETURN_S

This bound does not depend on how many hosts are lost or orders are left unanswered.
"""

# A caller whose connection broke submits its job again after this time.
CALLER_RETURN_S = 1.3
# Longest time that a target takes to stop a run.
STOP_S = 0.05
# Time for the network to tell a front host that a caller has left, and for a target to
# end a run whose lease has expired.
DEPARTURE_DELAY_S = 0.1
# Lease granted with each start and renewal.
LEASE_S = 0.8
# Longest lease that a target grants.
MAX_LEASE_S = 1.0
# Fraction by which a target's clock may be slow, as documented by the platform.
CLOCK_DRIFT = 0.02
# Margin for the time of a message in flight and rounding to whole milliseconds.
LEASE_SLACK_S = 0.03
# Long-poll time of a renewal. At this value an idle target costs four calls a second.
RENEWAL_WAIT_S = 0.25
# The same for the shortest leases.
MIN_RENEWAL_WAIT_S = 0.05
# A start that has waited longer than this since its decision is not sent. What is left
# of its lease covers the next renewal and one retry.
START_WAIT_LIMIT_S = 0.35
# A target that has not confirmed a stop for this long is granted no lease until it has,
# so that the run ends with the last lease and its task can be started elsewhere.
STOP_CONFIRMATION_S = 0.3
# A host that has sent no message for this long is considered lost.
HOST_SILENCE_TIMEOUT_S = 0.6
# The same for a host that has announced rare heartbeats, one a second, because neither
# host has tasks of the other. Two of them may be lost.
IDLE_HOST_SILENCE_TIMEOUT_S = 2.6
# Time after a claim until the previous owner, if it lives, has received the claim and
# has sent its last renewal.
HANDOVER_NOTICE_S = 0.1
# A task starts only if its front host has confirmed the job within this time.
START_CONFIRMATION_S = 0.6
# The leases of a target have expired this long after the last confirmation of a job
# that may run there.
CONFIRMED_LEASE_S = CALLER_RETURN_S - STOP_S - DEPARTURE_DELAY_S
# Runs of a job that its front host has not confirmed for this long are stopped. It is
# longer than the silence time-out of a host by the interval of heartbeats, which the
# front host answers; detection and stop take another 0.1 s.
JOB_CONFIRMATION_TIMEOUT_S = 0.8


def describe_unmet_bounds(
    caller_return_s: float, stop_s: float, max_lease_s: float
) -> str:
    """Return why the leases are too long on a platform, or an empty string.

    Its callers come again after `caller_return_s`; its targets stop a run within
    `stop_s` and grant leases of up to `max_lease_s`. All are in seconds.
    """
    if caller_return_s < CALLER_RETURN_S:
        return f"callers come again after {caller_return_s} s, not {CALLER_RETURN_S} s"
    if stop_s > STOP_S:
        return f"a stop takes up to {stop_s} s, not {STOP_S} s"
    if max_lease_s > MAX_LEASE_S:
        return f"a lease lasts up to {max_lease_s} s, not {MAX_LEASE_S} s"
    return ""


def choose_lease_s(confirmed_age_s: float) -> float:
    """Return the longest lease of a target, in seconds; 0 if it may get none.

    The jobs of all runs there were confirmed within `confirmed_age_s`. An owner or a
    front host that is some tenths of a second behind serves its callers with shorter
    leases; without them it would start nothing at all.
    """
    allowed_s = CONFIRMED_LEASE_S - confirmed_age_s - LEASE_SLACK_S
    return max(0.0, min(LEASE_S, allowed_s / (1 + CLOCK_DRIFT)))


def choose_wait_s(lease_s: float) -> float:
    """Return for how long a renewal that grants this lease waits for an end, s.

    The next renewal comes as much sooner as the lease is shorter than usual. It would
    be late otherwise where an owner is some tenths of a second behind.
    """
    if not lease_s:
        return RENEWAL_WAIT_S
    return max(MIN_RENEWAL_WAIT_S, RENEWAL_WAIT_S - (LEASE_S - lease_s))


def bound_lease_expiry(decided_s: float, lease_s: float = LEASE_S) -> float:
    """Return the time at which a lease granted at `decided_s` has expired for certain.

    A lease ends `lease_s` after the decision, however long the order waits.
    """
    return decided_s + lease_s * (1 + CLOCK_DRIFT) + LEASE_SLACK_S
