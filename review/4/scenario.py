"""A host is killed while workers leave orders unanswered and carry them out late."""

import asyncio
import os
import sys
from pathlib import Path

from review.checks import judge_overlaps
from review.clients import JobShape, hand_in
from review.deployment import Deployment, Shape, open_deployment, run_scenario

ROUNDS = 11
JOBS = 40
JOB = JobShape(widths=(4,), work_ms=2500, deadline_ms=10_000)
LATE_SHARE = 0.5
LATE_S = 2.5
# The platform starts a killed process again after a short delay.
RESTART_S = 1.0


async def play_round(deployment: Deployment, has_trouble: bool) -> None:
    """Hand in jobs at a host that owns no workers, and kill it."""
    zone = deployment.hosts[0].zone
    owner = await deployment.find_owner(zone)
    local = [host for host in deployment.hosts if host.zone == zone]
    (front,) = [host for host in local if host is not owner]
    remote = next(host for host in deployment.hosts if host.zone != zone)
    attempts = (front, remote)
    jobs = [
        asyncio.create_task(hand_in(deployment, JOB, lambda attempt: attempts[attempt]))
        for _ in range(JOBS)
    ]
    await asyncio.sleep(0.6)
    if has_trouble:
        deployment.late_flag.touch()
        deployment.note("late orders begin")
        await asyncio.sleep(0.1)
        deployment.note("kill", host=front.name)
        await front.kill()
        await asyncio.sleep(RESTART_S)
        await front.start()
        await asyncio.sleep(LATE_S - RESTART_S)
        deployment.late_flag.unlink()
        deployment.note("late orders end")
    await asyncio.gather(*jobs)
    await deployment.wait_until_ready()
    await asyncio.sleep(1.0)


async def play() -> int:
    """Play the scenario; return the exit status."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    shape = Shape(
        zones=("olten", "aarau"),
        hosts_per_zone=2,
        workers_per_zone=24,
        worker_options={"late_share": LATE_SHARE},
    )
    async with open_deployment(shape) as deployment:
        await asyncio.sleep(4.0)
        for _ in range(ROUNDS):
            await play_round(deployment, has_trouble)
        events = deployment.read_events()
    summary = [
        f"kills: {sum(e['event'] == 'kill' for e in events)}",
        f"orders left unanswered: {sum(e['event'] == 'unanswered' for e in events)}",
    ]
    return judge_overlaps(Path(__file__).parent, events, summary)


if __name__ == "__main__":
    sys.exit(run_scenario(play))
