"""Fault types and the seeded schedule of faults, some of them in pairs."""

import random
from collections.abc import Iterator

from gentianhub.core.records import frozen


@frozen(kw_only=True)
class KillEntry:
    """SIGKILL an entry process; restart it on the same address at the end."""

    entry: str


@frozen(kw_only=True)
class PauseEntry:
    """SIGSTOP an entry process; SIGCONT at the end."""

    entry: str


@frozen(kw_only=True)
class DrainEntry:
    """SIGTERM an entry process; restart it at the end, after it has exited."""

    entry: str


@frozen(kw_only=True)
class KillTarget:
    """SIGKILL a target; restart it on the same address at the end."""

    target: str


@frozen(kw_only=True)
class PauseTarget:
    """SIGSTOP a target; SIGCONT at the end."""

    target: str


@frozen(kw_only=True)
class FailTarget:
    """A target fails every task immediately."""

    target: str


@frozen(kw_only=True)
class LeaveTarget:
    """A target announces that it is leaving; it is available again at the end."""

    target: str


@frozen(kw_only=True)
class CutEntryLinks:
    """Close the links that siblings open to an entry process, and refuse new ones."""

    entry: str


@frozen(kw_only=True)
class CutDataCentre:
    """Cut a data centre off from the others and from the platform."""

    data_centre: str


@frozen(kw_only=True)
class PlatformOutage:
    """The platform is unreachable from every data centre."""


@frozen(kw_only=True)
class SlowPlatform:
    """Delay every request to the platform by `delay_s` seconds."""

    delay_s: float


@frozen(kw_only=True)
class DropReplies:
    """The next `count` writes to the platform take effect, but fail for the caller."""

    count: int


Fault = (
    KillEntry
    | PauseEntry
    | DrainEntry
    | KillTarget
    | PauseTarget
    | FailTarget
    | LeaveTarget
    | CutEntryLinks
    | CutDataCentre
    | PlatformOutage
    | SlowPlatform
    | DropReplies
)


@frozen(kw_only=True)
class PlannedFault:
    """A fault, its start time relative to the run and its duration."""

    start_s: float
    fault_duration_s: float
    fault: Fault


@frozen(kw_only=True)
class FaultPlan:
    """Parameters of the schedule; `gap_s` is the mean time between faults."""

    seed: int
    duration_s: float
    gap_s: float
    entries: tuple[str, ...]
    targets: tuple[str, ...]
    data_centres: tuple[str, ...]


def plan_faults(plan: FaultPlan) -> Iterator[PlannedFault]:
    """Yield faults in order of their start."""
    rng = random.Random(plan.seed)
    start_s = 0.0
    while (start_s := start_s + rng.expovariate(1 / plan.gap_s)) < plan.duration_s:
        yield PlannedFault(
            start_s=start_s,
            fault_duration_s=rng.uniform(0.5, 6.0),
            fault=_draw_fault(rng, plan),
        )
        if rng.random() < 0.3:
            yield PlannedFault(
                start_s=start_s,
                fault_duration_s=rng.uniform(0.5, 6.0),
                fault=_draw_fault(rng, plan),
            )


def _draw_fault(rng: random.Random, plan: FaultPlan) -> Fault:
    entry = rng.choice(plan.entries)
    target = rng.choice(plan.targets)
    return rng.choice(
        (
            KillEntry(entry=entry),
            PauseEntry(entry=entry),
            DrainEntry(entry=entry),
            KillTarget(target=target),
            PauseTarget(target=target),
            FailTarget(target=target),
            LeaveTarget(target=target),
            CutEntryLinks(entry=entry),
            CutDataCentre(data_centre=rng.choice(plan.data_centres)),
            PlatformOutage(),
            SlowPlatform(delay_s=rng.uniform(0.2, 1.5)),
            DropReplies(count=rng.randint(1, 3)),
        )
    )
