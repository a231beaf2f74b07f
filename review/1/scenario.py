"""Both hosts of a zone are killed, the second one shortly after it took over."""

import asyncio
import os
import sys
import time
from pathlib import Path

from review.checks import judge_overlaps
from review.clients import JobShape, hand_in
from review.deployment import Deployment, Host, Shape, open_deployment, run_scenario

ROUNDS = 6
JOBS = 6
JOB = JobShape(widths=(4,), work_ms=4000, deadline_ms=10_000)
SECOND_KILL_S = 0.87
# The platform starts a killed process again after a short delay.
RESTART_S = 1.0
ROUND_S = 9.0


async def kill_and_restart(deployment: Deployment, host: Host) -> None:
    """Kill a host's process, which the platform starts again."""
    deployment.note("kill", host=host.name)
    await host.kill()
    await asyncio.sleep(RESTART_S)
    await host.start()


async def play_round(deployment: Deployment, delay_s: float, has_trouble: bool) -> None:
    """Hand in jobs at the owner of the first zone's workers, and kill it."""
    zone = deployment.hosts[0].zone
    local = [host for host in deployment.hosts if host.zone == zone]
    remote = [host for host in deployment.hosts if host.zone != zone]
    owner = await deployment.find_owner(zone)
    (successor,) = [host for host in local if host is not owner]
    attempts = (owner, remote[0])
    jobs = [
        asyncio.create_task(hand_in(deployment, JOB, lambda attempt: attempts[attempt]))
        for _ in range(JOBS)
    ]
    started_s = time.monotonic()
    await asyncio.sleep(delay_s)
    if has_trouble:
        first = asyncio.create_task(kill_and_restart(deployment, owner))
        await asyncio.sleep(SECOND_KILL_S)
        await asyncio.gather(first, kill_and_restart(deployment, successor))
    await asyncio.gather(*jobs)
    await asyncio.sleep(max(0.0, started_s + ROUND_S - time.monotonic()))
    await deployment.wait_until_ready()
    await asyncio.sleep(3.0)


async def play() -> int:
    """Play the scenario; return the exit status."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    shape = Shape(zones=("olten", "aarau"), hosts_per_zone=2, workers_per_zone=8)
    async with open_deployment(shape) as deployment:
        await asyncio.sleep(4.0)
        for number in range(ROUNDS):
            # The kills meet the renewals of the leases at different phases.
            await play_round(deployment, 0.45 + 0.045 * number, has_trouble)
        events = deployment.read_events()
    return judge_overlaps(
        Path(__file__).parent,
        events,
        [f"kills: {sum(e['event'] == 'kill' for e in events)}"],
    )


if __name__ == "__main__":
    sys.exit(run_scenario(play))
