"""Clients that hand in best-effort jobs and send them again as the pages say."""

import asyncio
import json
import os
import time
from collections.abc import Awaitable, Callable

from attrs import frozen

from review.deployment import (
    QUEUE_HOST,
    QUEUE_PREFIX,
    Deployment,
    Host,
)
from review.web import send_request

RESEND_S = 1.3


@frozen(kw_only=True)
class JobShape:
    """A job with one step per entry of `widths`, each after the one before."""

    widths: tuple[int, ...]
    work_ms: int
    deadline_ms: int = 1500
    cpu: int = 1000
    estimate_ms: int | None = None
    required_label: str = ""

    def encode(self) -> dict:
        """Return the body of the submission."""
        label = self.required_label
        steps = [
            {
                "count": width,
                "cpu": self.cpu,
                "mem_mb": 64,
                "estimate_ms": self.estimate_ms or self.work_ms,
                **({"after": [number - 1]} if number else {}),
                **({"required_label": label} if label else {}),
            }
            for number, width in enumerate(self.widths)
        ]
        spec = json.dumps({"work_ms": self.work_ms})
        return {"spec": spec, "phases": steps, "best_effort": True}


async def call(
    deployment: Deployment,
    host: Host,
    method: str,
    job_id: str,
    content: dict | None = None,
    timeout_s: float = 2.0,
) -> tuple[int, dict]:
    """Send one request about a job and record it with its answer."""
    headers = {"Host": QUEUE_HOST, "Deadline-Ms": str(round(timeout_s * 1000))}
    path = f"{QUEUE_PREFIX}{job_id}"
    deployment.note("sent", method=method, job=job_id, host=host.name)
    status, answer = await send_request(
        host.front, method, path, headers, content, timeout_s
    )
    deployment.note(
        "answered",
        method=method,
        job=job_id,
        host=host.name,
        status=status,
        content=answer,
    )
    return status, answer


async def hand_in(
    deployment: Deployment,
    shape: JobShape,
    choose_host: Callable[[int], Host],
    attempts: int = 2,
) -> None:
    """Hand in a job; send it again after no answer, a broken connection, 502 or 504."""
    job_id = os.urandom(8).hex()
    for attempt in range(attempts):
        if attempt:
            await asyncio.sleep(RESEND_S)
        status, _ = await call(
            deployment,
            choose_host(attempt),
            "POST",
            job_id,
            shape.encode(),
            shape.deadline_ms / 1000,
        )
        if status not in (0, 502, 504):
            return


async def repeat(
    action: Callable[[], Awaitable[None]], per_s: float, until_s: float
) -> None:
    """Start an action at a rate until a steady time; wait for all of them."""
    tasks = set()
    next_s = time.monotonic()
    while next_s < until_s:
        await asyncio.sleep(max(0.0, next_s - time.monotonic()))
        tasks.add(asyncio.create_task(action()))
        next_s += 1 / per_s
    await asyncio.gather(*tasks)
