"""Fault types and the seeded schedule of faults, which may overlap."""

import heapq
import random
from collections.abc import Iterator

from gentianhub.core.records import frozen


@frozen(kw_only=True)
class KillHost:
    """SIGKILL a host; restart it at the end."""

    host: str


@frozen(kw_only=True)
class PauseHost:
    """SIGSTOP a host; SIGCONT at the end."""

    host: str


@frozen(kw_only=True)
class SuspendHost:
    """SIGSTOP a host; its steady clock leaves out the time until SIGCONT."""

    host: str


@frozen(kw_only=True)
class ThrottleHost:
    """Let a host run for `running_s` of each 0.1 s, as under a processor quota."""

    host: str
    running_s: float


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
class DisconnectCallers:
    """Close all connections between a host and its callers once."""

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
class RestartTarget:
    """A target crashes; its next life serves connections that wait meanwhile."""

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
    | SuspendHost
    | ThrottleHost
    | DrainHost
    | DrainHostsInTurn
    | KillAllHosts
    | SilenceHost
    | ResetHost
    | DisconnectHost
    | DisconnectCallers
    | CutHost
    | SilenceStore
    | StoreDown
    | StoreSlow
    | StoreLosesAnswers
    | CrashTarget
    | RestartTarget
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
# Delay after which a caller resubmits a job without an answer.
RESEND_DELAY_S = 1.3
# Number of entries for `LapseTargets` among the 23 others, in a run with lapses.
LAPSE_WEIGHT = 40
# Losses that follow one another: the time that a series of them takes, the delay of the
# second loss, and the time until a lost host is started again.
LOSS_SERIES_S = 4.0
SECOND_LOSS_S = (0.4, 1.1)
HOST_LOSS_S = 1.0
DRAIN_PROBABILITY = 0.25
RESTARTS_IN_SERIES = 12
# A target is cut off for longer than its leases, and the owner lost before it is back.
CUT_S = (1.2, 2.4)
LOSS_IN_CUT_S = (0.9, 1.7)
# A series of short faults: the time in which they start, and the longest time until
# the next series.
SERIES_S = 1.0
SERIES_GAP_S = 0.5
MAX_PAUSE_S = 2.0
MAX_DISCONNECTED = 3
# Suspended and throttled hosts: the time before their first series, the longest time
# that a series takes, and the time into it after which callers elsewhere leave.
FIRST_SUSPENSION_S = 1.0
SUSPENSION_SERIES_S = 3.0
DEPARTURE_S = (0.3, 1.2)
MAX_SUSPENSION_S = 2.5
# Time from the return of these callers until the hosts of a data centre are resumed.
RESUME_MARGIN_S = (-0.2, 0.6)
SINGLE_SUSPENSION_PROBABILITY = 0.2
SINGLE_SUSPENSION_S = (0.3, 2.8)
# Time for which a host has a quota, and for which it runs in each tenth of a second.
QUOTA_S = (0.5, 3.0)
QUOTA_RUNNING_S = (0.02, 0.05)


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
    with_losses: bool = False,
    with_suspensions: bool = False,
    with_quotas: bool = False,
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
    with_losses : bool
        Whether series of losses of hosts and targets are added.
    with_suspensions, with_quotas : bool
        Whether series of suspended or throttled hosts are added.
    """
    planned = _plan_single_faults(seed, duration_s, gap_s, hosts, targets, with_lapses)
    if with_departures:
        series = _plan_series(seed, duration_s, hosts)
        planned = heapq.merge(planned, series, key=lambda planned: planned.start_s)
    if with_losses:
        losses = _plan_losses(seed, duration_s, hosts, targets)
        planned = heapq.merge(planned, losses, key=lambda planned: planned.start_s)
    if with_suspensions or with_quotas:
        series = _plan_suspensions(
            seed, duration_s, hosts, with_suspensions, with_quotas
        )
        planned = heapq.merge(planned, series, key=lambda planned: planned.start_s)
    yield from planned


def _plan_suspensions(
    seed: int,
    duration_s: float,
    hosts: tuple[str, ...],
    with_suspensions: bool,
    with_quotas: bool,
) -> Iterator[PlannedFault]:
    """Yield series in which hosts of one data centre are suspended or throttled.

    Meanwhile the callers of another data centre leave. The withdrawals of tasks that
    they have in the first one find no link to it after the first 0.8 s.
    """
    rng = random.Random(f"suspensions/{seed}")
    kinds = (_draw_suspensions,) * 3 * with_suspensions + (_draw_quotas,) * with_quotas
    start_s = FIRST_SUSPENSION_S
    while start_s + SUSPENSION_SERIES_S < duration_s:
        data_centres = sorted({find_data_centre(host) for host in hosts})
        held, left = rng.sample(data_centres, 2)
        departure_s = rng.uniform(*DEPARTURE_S)
        series = list(rng.choice(kinds)(rng, _select(hosts, held), departure_s))
        series += [
            (departure_s, 0.0, DisconnectCallers(host=host))
            for host in _select(hosts, left)
        ]
        for offset_s, fault_duration_s, fault in series:
            yield PlannedFault(
                start_s=start_s + offset_s,
                fault_duration_s=fault_duration_s,
                fault=fault,
            )
        start_s += SUSPENSION_SERIES_S + rng.uniform(0.0, SERIES_GAP_S)


def _draw_suspensions(
    rng: random.Random, hosts: list[str], departure_s: float
) -> Iterator[tuple[float, float, Fault]]:
    """Yield offsets, durations and suspensions of all or one of the hosts, s.

    All of them are resumed about when the callers that left come again.
    """
    if rng.random() < SINGLE_SUSPENSION_PROBABILITY:
        fault_duration_s = rng.uniform(*SINGLE_SUSPENSION_S)
        yield 0.0, fault_duration_s, SuspendHost(host=rng.choice(hosts))
        return
    resumed_s = departure_s + RESEND_DELAY_S + rng.uniform(*RESUME_MARGIN_S)
    fault_duration_s = min(resumed_s, MAX_SUSPENSION_S)
    for host in hosts:
        yield 0.0, fault_duration_s, SuspendHost(host=host)


def _draw_quotas(
    rng: random.Random, hosts: list[str], _departure_s: float
) -> Iterator[tuple[float, float, Fault]]:
    """Yield offsets, durations and quotas of some of the hosts, s."""
    running_s = rng.uniform(*QUOTA_RUNNING_S)
    for host in rng.sample(hosts, rng.randint(1, len(hosts))):
        fault_duration_s = rng.uniform(*QUOTA_S)
        yield 0.0, fault_duration_s, ThrottleHost(host=host, running_s=running_s)


def _plan_losses(
    seed: int, duration_s: float, hosts: tuple[str, ...], targets: tuple[str, ...]
) -> Iterator[PlannedFault]:
    """Yield losses of hosts and targets that follow one another, in series."""
    rng = random.Random(f"losses/{seed}")
    start_s = 0.0
    while start_s + LOSS_SERIES_S < duration_s:
        series = sorted(_draw_losses(rng, hosts, targets), key=lambda item: item[0])
        for offset_s, fault_duration_s, fault in series:
            yield PlannedFault(
                start_s=start_s + offset_s,
                fault_duration_s=fault_duration_s,
                fault=fault,
            )
        start_s += LOSS_SERIES_S + rng.uniform(0.0, SERIES_GAP_S)


def _draw_losses(
    rng: random.Random, hosts: tuple[str, ...], targets: tuple[str, ...]
) -> Iterator[tuple[float, float, Fault]]:
    """Yield offsets, durations and faults of one series of losses, s.

    They meet in one data centre, whose cell has one owner.
    """
    data_centre = find_data_centre(rng.choice(hosts))
    first, second = rng.sample(_select(hosts, data_centre), 2)
    local_targets = _select(targets, data_centre)
    match rng.randrange(4):
        case 0:
            yield 0.0, HOST_LOSS_S, _draw_host_loss(rng, first)
            later_s = rng.uniform(*SECOND_LOSS_S)
            yield later_s, HOST_LOSS_S, _draw_host_loss(rng, second)
        case 1:
            for target in rng.sample(local_targets, max(1, len(local_targets) // 2)):
                yield 0.0, rng.uniform(*CUT_S), SilenceTarget(target=target)
            yield rng.uniform(*LOSS_IN_CUT_S), HOST_LOSS_S, KillHost(host=first)
        case 2:
            for target in local_targets:
                yield 0.0, rng.uniform(1.5, 3.0), LoseOrders(target=target)
            later_s = rng.uniform(0.0, 1.0)
            yield later_s, HOST_LOSS_S, _draw_host_loss(rng, second)
        case 3:
            for _ in range(RESTARTS_IN_SERIES):
                offset_s = rng.uniform(0.0, LOSS_SERIES_S - 1.0)
                yield offset_s, 0.0, RestartTarget(target=rng.choice(targets))


def find_data_centre(name: str) -> str:
    """Return the data centre of a host or target, which its name begins with."""
    return name.rpartition("-")[0]


def _select(names: tuple[str, ...], data_centre: str) -> list[str]:
    return [name for name in names if find_data_centre(name) == data_centre]


def _draw_host_loss(rng: random.Random, host: str) -> KillHost | DrainHost:
    is_drained = rng.random() < DRAIN_PROBABILITY
    return DrainHost(host=host) if is_drained else KillHost(host=host)


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
