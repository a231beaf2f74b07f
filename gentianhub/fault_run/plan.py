"""Faults and the seeded plan in which they come, two at a time among them."""

import random
from collections.abc import Iterator

from attrs import frozen


@frozen(kw_only=True)
class KillEntry:
    """SIGKILL an entry process; start another on the same address."""

    entry: str


@frozen(kw_only=True)
class PauseEntry:
    """SIGSTOP an entry process, SIGCONT at the end."""

    entry: str


@frozen(kw_only=True)
class DrainEntry:
    """SIGTERM an entry process, start another once it has ended."""

    entry: str


@frozen(kw_only=True)
class KillTarget:
    """SIGKILL a target; start another on the same address."""

    target: str


@frozen(kw_only=True)
class PauseTarget:
    """SIGSTOP a target, SIGCONT at the end."""

    target: str


@frozen(kw_only=True)
class FailTarget:
    """A target fails every task at once."""

    target: str


@frozen(kw_only=True)
class LeaveTarget:
    """A target says that it leaves, and comes back at the end."""

    target: str


@frozen(kw_only=True)
class CutEntryLinks:
    """Links that siblings open to an entry process are cut."""

    entry: str


@frozen(kw_only=True)
class CutDataCentre:
    """A data centre is cut off from the others and from the platform."""

    data_centre: str


@frozen(kw_only=True)
class PlatformOutage:
    """The platform answers nothing to any data centre."""


@frozen(kw_only=True)
class SlowPlatform:
    """The platform answers late."""

    delay_s: float


@frozen(kw_only=True)
class DropReplies:
    """Writes take effect but their replies are lost."""

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
    """A fault, when it begins and how long it lasts, in seconds."""

    at_s: float
    lasts_s: float
    fault: Fault


@frozen(kw_only=True)
class FaultPlan:
    """What the faults are drawn from; `gap_s` is the mean time between them."""

    seed: int
    duration_s: float
    gap_s: float
    entries: tuple[str, ...]
    targets: tuple[str, ...]
    data_centres: tuple[str, ...]


def plan_faults(plan: FaultPlan) -> Iterator[PlannedFault]:
    """Yield faults in the order in which they begin."""
    draw = random.Random(plan.seed)
    at_s = 0.0
    while (at_s := at_s + draw.expovariate(1 / plan.gap_s)) < plan.duration_s:
        yield PlannedFault(
            at_s=at_s, lasts_s=draw.uniform(0.5, 6.0), fault=_draw_fault(draw, plan)
        )
        if draw.random() < 0.3:
            yield PlannedFault(
                at_s=at_s, lasts_s=draw.uniform(0.5, 6.0), fault=_draw_fault(draw, plan)
            )


def _draw_fault(draw: random.Random, plan: FaultPlan) -> Fault:
    entry = draw.choice(plan.entries)
    target = draw.choice(plan.targets)
    return draw.choice(
        (
            KillEntry(entry=entry),
            PauseEntry(entry=entry),
            DrainEntry(entry=entry),
            KillTarget(target=target),
            PauseTarget(target=target),
            FailTarget(target=target),
            LeaveTarget(target=target),
            CutEntryLinks(entry=entry),
            CutDataCentre(data_centre=draw.choice(plan.data_centres)),
            PlatformOutage(),
            SlowPlatform(delay_s=draw.uniform(0.2, 1.5)),
            DropReplies(count=draw.randint(1, 3)),
        )
    )
