"""Workers crash and start again under their ids while jobs are handed in."""

import asyncio
import os
import sys
import time
from itertools import cycle
from pathlib import Path

from review.checks import judge_overlaps
from review.clients import JobShape, hand_in, repeat
from review.deployment import Shape, open_deployment, run_scenario

LENGTH_S = 48.0
CRASH_INTERVAL_S = 3.0
JOBS_PER_S = 60.0
JOB = JobShape(widths=(1,), work_ms=50)


async def crash_workers(deployment, until_s: float) -> None:
    """Kill the worker that started a task last; it starts again under its id."""
    while time.monotonic() < until_s:
        await asyncio.sleep(CRASH_INTERVAL_S)
        worker = deployment.find_last_starters()[0]
        born = worker.born_ms
        killed_s = worker.crash()
        deployment.notes.append(
            {"t": killed_s, "event": "crash", "worker": worker.name, "born": born}
        )


async def play() -> int:
    """Play the scenario; return the exit status."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    shape = Shape(zones=("olten",), hosts_per_zone=2, workers_per_zone=24)
    async with open_deployment(shape) as deployment:
        await asyncio.sleep(4.0)
        until_s = time.monotonic() + LENGTH_S
        hosts = cycle(deployment.hosts)

        async def submit() -> None:
            await hand_in(deployment, JOB, lambda attempt: next(hosts))

        actions = [repeat(submit, JOBS_PER_S, until_s)]
        if has_trouble:
            actions.append(crash_workers(deployment, until_s))
        await asyncio.gather(*actions)
        await asyncio.sleep(1.0)
        events = deployment.read_events()
    return judge_overlaps(
        Path(__file__).parent,
        events,
        [f"crashes: {sum(e['event'] == 'crash' for e in events)}"],
    )


if __name__ == "__main__":
    sys.exit(run_scenario(play))
