"""Callers of the run: they submit, resubmit, cancel and wait, and keep traces."""

import json
import random
from collections.abc import Callable

import gevent
from attrs import define, field

from gentianhub.client import (
    Client,
    EntryAddress,
    JobContent,
    Refusal,
    Task,
    open_client,
)
from gentianhub.core import read_monotonic_s
from gentianhub.fault_run.audit import JobTrace

MAX_RUN_MS = 300
JOB_DEADLINE_S = 4.0
WAIT_S = 60.0
MEAN_PAUSE_S = 0.05


@define(kw_only=True, eq=False)
class CallerTask:
    """One caller: a greenlet with connections and a seeded generator of its own."""

    number: int
    seed: int
    addresses: tuple[EntryAddress, ...]
    traces: list[JobTrace] = field(factory=list)

    def run(self, is_over: Callable[[], bool]) -> None:
        """Submit jobs until `is_over`; wait for the answer of each."""
        draw = random.Random(f"{self.seed}/{self.number}")
        while not is_over():
            self._run_job(draw)
            gevent.sleep(draw.expovariate(1 / MEAN_PAUSE_S))

    def _run_job(self, draw: random.Random) -> None:
        trace = self._draw_trace(draw)
        self.traces.append(trace)
        content = JobContent(
            service=draw.choice(("checks", "reports")),
            tasks=tuple(Task(kind="mixed", body=body) for body in trace.bodies),
            deadline_s=JOB_DEADLINE_S,
            idempotent=trace.idempotent,
        )
        near, far = draw.sample(self.addresses, 2)
        with open_client((near, far)) as client, open_client((far,)) as other:
            match draw.choice(("run", "resubmit", "cancel")):
                case "run":
                    trace.answers.append(client.run_job(content, WAIT_S))
                case "resubmit":
                    self._resubmit(client, other, content, trace)
                case "cancel":
                    self._cancel(client, content, trace)

    def _draw_trace(self, draw: random.Random) -> JobTrace:
        marker = f"c{self.number}-j{len(self.traces)}"
        count = draw.choice((1, 1, 2, 5, 12, 30))
        bodies = tuple(
            json.dumps(
                {"marker": f"{marker}/{index}", "run_ms": draw.uniform(5, MAX_RUN_MS)}
            ).encode()
            for index in range(count)
        )
        return JobTrace(marker=marker, bodies=bodies, idempotent=draw.random() < 0.2)

    def _resubmit(
        self, client: Client, other: Client, content: JobContent, trace: JobTrace
    ) -> None:
        """Submit under one id through two entry processes, wait through both."""
        until_s = read_monotonic_s() + WAIT_S
        job_id = client.submit_job(content, until_s)
        if isinstance(job_id, Refusal):
            trace.answers.append(job_id)
            return
        again = other.submit_job(content, until_s, job_id)
        if isinstance(again, Refusal):
            trace.answers.append(again)
        for reader in (other, client):
            trace.answers.append(reader.wait_for_answer(job_id, until_s))

    def _cancel(self, client: Client, content: JobContent, trace: JobTrace) -> None:
        until_s = read_monotonic_s() + WAIT_S
        job_id = client.submit_job(content, until_s)
        if isinstance(job_id, Refusal):
            trace.answers.append(job_id)
            return
        client.cancel_job(job_id)
        trace.answers.append(client.wait_for_answer(job_id, until_s))
