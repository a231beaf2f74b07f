"""Fault types and the seeded schedule of faults, which may overlap."""

import heapq
import random
from collections.abc import Iterator

from attrs import frozen


@frozen(kw_only=True)
class KillHost:
    """SIGKILL a host; restart it at the end."""

    host: str


@frozen(kw_only=True)
class PauseHost:
    """SIGSTOP a host; SIGCONT at the end."""

    host: str


@frozen(kw_only=True)
class DrainHost:
    """SIGTERM a host; restart it at the end, after its process has exited."""

    host: str


@frozen(kw_only=True)
class DrainHostsInTurn:
    """Rolling restart: SIGTERM each host after the previous one was restarted."""


@frozen(kw_only=True)
class KillAllHosts:
    """SIGKILL all hosts at once; restart them at the end."""


@frozen(kw_only=True)
class SilenceHost:
    """Hold back all bytes between a host and the others; connections stay open."""

    host: str


@frozen(kw_only=True)
class ResetHost:
    """Close all connections between a host and the others once."""

    host: str


@frozen(kw_only=True)
class DisconnectHost:
    """Close all connections between a host and the others and its callers once."""

    host: str


@frozen(kw_only=True)
class CutHost:
    """Close the connections of `DisconnectHost`; links are refused until the end."""

    host: str


@frozen(kw_only=True)
class SilenceStore:
    """Hold back all bytes between a host and the store."""

    host: str


@frozen(kw_only=True)
class StoreDown:
    """The store answers every call with status 503."""


@frozen(kw_only=True)
class StoreSlow:
    """The store delays every call by `delay_s` seconds."""

    delay_s: float


@frozen(kw_only=True)
class StoreLosesAnswers:
    """The store applies some writes without answering them."""


@frozen(kw_only=True)
class CrashTarget:
    """A target loses its state and connections; it returns under the same name."""

    target: str


@frozen(kw_only=True)
class SilenceTarget:
    """Hold back all bytes between a target and the hosts; the target keeps running."""

    target: str


@frozen(kw_only=True)
class MuteTarget:
    """A target receives requests, but its answers are lost."""

    target: str


@frozen(kw_only=True)
class DelayTarget:
    """Delay all bytes to and from a target by `delay_s` seconds."""

    target: str
    delay_s: float


@frozen(kw_only=True)
class FailTarget:
    """A target fails every run."""

    target: str


@frozen(kw_only=True)
class StallTarget:
    """Runs on a target make no progress."""

    target: str


@frozen(kw_only=True)
class LoseOrders:
    """A target leaves some requests unanswered and executes them seconds later."""

    target: str


@frozen(kw_only=True)
class LeaveTarget:
    """A target is listed as draining; it is ready again at the end."""

    target: str


@frozen(kw_only=True)
class ChangeConfiguration:
    """The operator adds a queue; it is removed at the end."""


@frozen(kw_only=True)
class LapseTargets:
    """The store is down while the rows of some targets expire and some hosts restart.

    When it is back, the other hosts drain. The restarted hosts, whose list of targets
    is incomplete, succeed owners with runs on the missing targets.
    """

    targets: tuple[str, ...]
    restarted: tuple[str, ...]


Fault = (
    KillHost
    | PauseHost
    | DrainHost
    | DrainHostsInTurn
    | KillAllHosts
    | SilenceHost
    | ResetHost
    | DisconnectHost
    | CutHost
    | SilenceStore
    | StoreDown
    | StoreSlow
    | StoreLosesAnswers
    | CrashTarget
    | SilenceTarget
    | MuteTarget
    | DelayTarget
    | FailTarget
    | StallTarget
    | LoseOrders
    | LeaveTarget
    | ChangeConfiguration
    | LapseTargets
)
# Number of entries for `LapseTargets` among the 23 others, in a run with lapses.
LAPSE_WEIGHT = 40
# A series of short faults: the time in which they start, and the longest time until
# the next series.
SERIES_S = 1.0
SERIES_GAP_S = 0.5
MAX_PAUSE_S = 2.0
MAX_DISCONNECTED = 3


@frozen(kw_only=True)
class PlannedFault:
    """A fault, its start time relative to the run and its duration."""

    start_s: float
    fault_duration_s: float
    fault: Fault


def plan_faults(
    seed: int,
    duration_s: float,
    gap_s: float,
    hosts: tuple[str, ...],
    targets: tuple[str, ...],
    with_lapses: bool = False,
    with_departures: bool = False,
) -> Iterator[PlannedFault]:
    """Yield faults in order of their start; they may overlap.

    Parameters
    ----------
    duration_s : float
        Length of the run, s; every fault is scheduled to end before.
    gap_s : float
        Mean time between the starts of two faults, s.
    with_lapses : bool
        Whether `LapseTargets` is among the faults; earlier seeds were drawn without it.
    with_departures : bool
        Whether series of faults that disconnect callers are added.
    """
    planned = _plan_single_faults(seed, duration_s, gap_s, hosts, targets, with_lapses)
    if with_departures:
        series = _plan_series(seed, duration_s, hosts)
        planned = heapq.merge(planned, series, key=lambda planned: planned.start_s)
    yield from planned


def _plan_series(
    seed: int, duration_s: float, hosts: tuple[str, ...]
) -> Iterator[PlannedFault]:
    """Yield short faults: the callers of some hosts leave while another is paused.

    The withdrawal of a job is lost with the link that is closed together with the
    connection of its caller. No link is cut for as long as the loss of a host takes.
    """
    rng = random.Random(f"departures/{seed}")
    start_s = 0.0
    while start_s + SERIES_S + MAX_PAUSE_S < duration_s:
        paused, *others = rng.sample(hosts, len(hosts))
        disconnected = others[: rng.randint(1, min(MAX_DISCONNECTED, len(others)))]
        offsets_s = sorted(rng.uniform(0.0, SERIES_S) for _ in disconnected)
        yield PlannedFault(
            start_s=start_s,
            fault_duration_s=rng.uniform(0.3, MAX_PAUSE_S),
            fault=PauseHost(host=paused),
        )
        for host, offset_s in zip(disconnected, offsets_s, strict=True):
            cut_s, is_cut = rng.uniform(0.1, 0.6), rng.choice((False, True))
            yield PlannedFault(
                start_s=start_s + offset_s,
                fault_duration_s=cut_s if is_cut else 0.0,
                fault=CutHost(host=host) if is_cut else DisconnectHost(host=host),
            )
        start_s += SERIES_S + rng.uniform(0.0, SERIES_GAP_S)


def _plan_single_faults(
    seed: int,
    duration_s: float,
    gap_s: float,
    hosts: tuple[str, ...],
    targets: tuple[str, ...],
    with_lapses: bool,
) -> Iterator[PlannedFault]:
    rng = random.Random(f"soak/{seed}")
    start_s = rng.uniform(0.0, gap_s)
    while True:
        fault_duration_s = rng.uniform(0.3, 5.0)
        if start_s + fault_duration_s >= duration_s:
            return
        fault = _draw_fault(rng, hosts, targets, with_lapses)
        yield PlannedFault(
            start_s=start_s, fault_duration_s=fault_duration_s, fault=fault
        )
        start_s += rng.expovariate(1 / gap_s)


def _draw_fault(
    rng: random.Random,
    hosts: tuple[str, ...],
    targets: tuple[str, ...],
    with_lapses: bool,
) -> Fault:
    host, target = rng.choice(hosts), rng.choice(targets)
    lapses = ()
    if with_lapses:
        lapse = LapseTargets(
            targets=tuple(rng.sample(targets, len(targets) // 2)),
            restarted=hosts[rng.randrange(2) :: 2],
        )
        lapses = (lapse,) * LAPSE_WEIGHT
    return rng.choice(
        (
            KillHost(host=host),
            KillHost(host=host),
            PauseHost(host=host),
            PauseHost(host=host),
            DrainHost(host=host),
            DrainHostsInTurn(),
            KillAllHosts(),
            SilenceHost(host=host),
            SilenceHost(host=host),
            ResetHost(host=host),
            SilenceStore(host=host),
            StoreDown(),
            StoreSlow(delay_s=rng.uniform(0.05, 0.5)),
            StoreLosesAnswers(),
            CrashTarget(target=target),
            SilenceTarget(target=target),
            MuteTarget(target=target),
            DelayTarget(target=target, delay_s=rng.uniform(0.02, 0.3)),
            FailTarget(target=target),
            StallTarget(target=target),
            LoseOrders(target=target),
            LeaveTarget(target=target),
            ChangeConfiguration(),
            *lapses,
        )
    )
