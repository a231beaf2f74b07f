"""Simulated callers that submit, resubmit, cancel and record the answers."""

import json
import random
from collections.abc import Callable

import gevent

from gentianhub.client import (
    Client,
    EntryAddress,
    JobContent,
    Refusal,
    Task,
    open_client,
)
from gentianhub.core import read_monotonic_s
from gentianhub.core.records import define, field
from gentianhub.fault_run.audit import JobTrace

MAX_RUN_MS = 300
JOB_DEADLINE_S = 4.0
ANSWER_TIMEOUT_S = 60.0
MEAN_PAUSE_S = 0.05


@define(kw_only=True, eq=False)
class CallerTask:
    """One caller: a greenlet with its own connections and random generator."""

    number: int
    seed: int
    addresses: tuple[EntryAddress, ...]
    traces: list[JobTrace] = field(factory=list)

    def run(self, should_stop: Callable[[], bool]) -> None:
        """Submit jobs until `should_stop` returns true; wait for each answer."""
        rng = random.Random(f"{self.seed}/{self.number}")
        while not should_stop():
            self._run_job(rng)
            gevent.sleep(rng.expovariate(1 / MEAN_PAUSE_S))

    def _run_job(self, rng: random.Random) -> None:
        trace = self._draw_trace(rng)
        self.traces.append(trace)
        content = JobContent(
            service=rng.choice(("checks", "reports")),
            tasks=tuple(Task(kind="mixed", body=body) for body in trace.bodies),
            deadline_s=JOB_DEADLINE_S,
            idempotent=trace.idempotent,
        )
        first, second = rng.sample(self.addresses, 2)
        with (
            open_client((first, second)) as client,
            open_client((second,)) as second_client,
        ):
            match rng.choice(("run", "resubmit", "cancel")):
                case "run":
                    trace.answers.append(client.run_job(content, ANSWER_TIMEOUT_S))
                case "resubmit":
                    self._resubmit(client, second_client, content, trace)
                case "cancel":
                    self._cancel(client, content, trace)

    def _draw_trace(self, rng: random.Random) -> JobTrace:
        marker = f"c{self.number}-j{len(self.traces)}"
        count = rng.choice((1, 1, 2, 5, 12, 30))
        bodies = tuple(
            json.dumps(
                {"marker": f"{marker}/{index}", "run_ms": rng.uniform(5, MAX_RUN_MS)}
            ).encode()
            for index in range(count)
        )
        return JobTrace(marker=marker, bodies=bodies, idempotent=rng.random() < 0.2)

    def _resubmit(
        self,
        client: Client,
        second_client: Client,
        content: JobContent,
        trace: JobTrace,
    ) -> None:
        """Submit one job id to two entry processes and wait for the answer of each."""
        until_s = read_monotonic_s() + ANSWER_TIMEOUT_S
        job_id = client.submit_job(content, until_s)
        if isinstance(job_id, Refusal):
            trace.answers.append(job_id)
            return
        resubmitted = second_client.submit_job(content, until_s, job_id)
        if isinstance(resubmitted, Refusal):
            trace.answers.append(resubmitted)
        for reader in (second_client, client):
            trace.answers.append(reader.wait_for_answer(job_id, until_s))

    def _cancel(self, client: Client, content: JobContent, trace: JobTrace) -> None:
        until_s = read_monotonic_s() + ANSWER_TIMEOUT_S
        job_id = client.submit_job(content, until_s)
        if isinstance(job_id, Refusal):
            trace.answers.append(job_id)
            return
        client.cancel_job(job_id)
        trace.answers.append(client.wait_for_answer(job_id, until_s))
