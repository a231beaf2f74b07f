"""A worker is cut off for a moment, and the owner of the workers is killed."""

import asyncio
import os
import sys
import time
from pathlib import Path

from review.checks import judge_overlaps
from review.clients import JobShape, hand_in
from review.deployment import Deployment, Shape, open_deployment, run_scenario

ROUNDS = 9
# Two jobs fill one worker.
JOBS = 2
JOB = JobShape(widths=(4,), work_ms=3000, deadline_ms=10_000)
# Time from the new starts of the tasks to the kill, and from there to the heal, s.
KILL_S = 0.28
HEAL_S = 0.35
NEW_START_TIMEOUT_S = 3.0
# The platform starts a killed process again after a short delay.
RESTART_S = 1.0


async def wait_for_new_starts(deployment: Deployment) -> None:
    """Wait until tasks of the worker that was cut off have started elsewhere."""
    limit_s = time.monotonic() + NEW_START_TIMEOUT_S
    cut_s = max(e["t"] for e in deployment.notes if e["event"] == "cut")
    while time.monotonic() < limit_s:
        events = deployment.read_events()
        if any(e["event"] == "start" and e["t"] > cut_s for e in events):
            return
        await asyncio.sleep(0.01)


async def play_round(deployment: Deployment, delay_s: float, has_trouble: bool) -> None:
    """Hand in jobs at a host that owns no workers; cut their worker, kill the owner."""
    zone = deployment.hosts[0].zone
    owner = await deployment.find_owner(zone)
    local = [host for host in deployment.hosts if host.zone == zone]
    (front,) = [host for host in local if host is not owner]
    jobs = [
        asyncio.create_task(hand_in(deployment, JOB, lambda attempt: front))
        for _ in range(JOBS)
    ]
    await asyncio.sleep(0.4)
    if has_trouble:
        worker = deployment.find_last_starters()[0]
        deployment.note("cut", worker=worker.name)
        worker.gate.cut()
        await wait_for_new_starts(deployment)
        await asyncio.sleep(KILL_S + delay_s)
        deployment.note("kill", host=owner.name)
        await owner.kill()
        await asyncio.sleep(HEAL_S)
        deployment.note("heal", worker=worker.name)
        worker.gate.heal()
        await asyncio.sleep(RESTART_S)
        await owner.start()
    await asyncio.gather(*jobs)
    await deployment.wait_until_ready()
    await asyncio.sleep(2.0)


async def play() -> int:
    """Play the scenario; return the exit status."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    shape = Shape(
        zones=("olten", "aarau"), hosts_per_zone=2, workers_per_zone=12, has_gates=True
    )
    async with open_deployment(shape) as deployment:
        await asyncio.sleep(4.0)
        for number in range(ROUNDS):
            # The kills meet the renewals of the leases at different phases.
            await play_round(deployment, 0.028 * number, has_trouble)
        events = deployment.read_events()
    summary = [
        f"cuts: {sum(e['event'] == 'cut' for e in events)}",
        f"kills: {sum(e['event'] == 'kill' for e in events)}",
    ]
    return judge_overlaps(Path(__file__).parent, events, summary)


if __name__ == "__main__":
    sys.exit(run_scenario(play))
