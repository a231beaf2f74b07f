"""The arithmetic of the leases under which runs live.

A target kills everything that runs on it once its lease has passed on its own clock,
which may be slow. A caller whose connection broke submits again after 1.3 s; by then
no run of the first submission may be alive. The longest way there: a front host falls
silent, its owner needs `HOST_SILENCE_S` to notice, and a stop takes 50 ms; or the
owner is lost as well, and the lease passes after `LEASE_S` times the drift.
"""

# Granted with each start and renewal, s; under the platform's longest lease of 1 s.
LEASE_S = 0.8
# A target's clock may be slow by this share, from the platform's pages.
CLOCK_DRIFT = 0.02
# Slack for a message in flight and rounding to whole milliseconds, s.
LEASE_SLACK_S = 0.03
# A renewal waits this long for an end: an idle target costs four calls a second.
RENEWAL_WAIT_S = 0.25
# A host that was not heard for this long is taken as gone, s.
HOST_SILENCE_S = 0.6


def bound_lapse(sent_s: float) -> float:
    """Return when a lease granted by a message sent at `sent_s` has surely passed."""
    return sent_s + LEASE_S * (1 + CLOCK_DRIFT) + LEASE_SLACK_S
