"""Simulated callers that reuse connections, retry, disconnect and cancel."""

import json
import time
from collections.abc import Callable
from random import Random

import gevent
from geventhttpclient import HTTPClient

from gentianhub.core.records import define, field, frozen
from gentianhub.soak.plan import RESEND_DELAY_S, find_data_centre
from gentianhub.soak.testbed import QUEUE_HOST, QUEUE_PREFIX, SoakTestbed
from gentianhub.stand_ins.processes import LOOPBACK
from gentianhub.stand_ins.users_platform import CRASHING_PAYLOAD
from gentianhub.web import HTTP_ERRORS

DEADLINE_S = 3.0
# Hosts check deadlines on a periodic timer, so answers may be this late.
ANSWER_MARGIN_S = 1.0
MAX_ATTEMPTS = 3
MEAN_PAUSE_S = 0.2
DISCONNECT_PROBABILITY = 0.05
# Longest time after which callers leave that come again, and how many of them do.
MAX_DEPARTURE_S = 0.6
RETURN_PROBABILITY = 0.7
CANCEL_PROBABILITY = 0.03


@frozen(kw_only=True)
class Attempt:
    """One submission of a job; `status` is 0 without a complete answer."""

    host: str
    sent_s: float
    ended_s: float
    status: int
    state: str = ""
    has_disconnected: bool = False


@define(kw_only=True, eq=False)
class JobTrace:
    """A job and the answers that its caller received.

    The first task of a crashing job crashes each target that starts it.
    """

    job_id: str
    tasks: int
    is_crashing: bool = False
    attempts: list[Attempt] = field(factory=list)
    cancelled_s: float | None = None


@define(kw_only=True, eq=False)
class Caller:
    """One caller: a greenlet with at most one connection for submissions.

    `crashing_fraction` of its jobs crash targets. It leaves during
    `departing_fraction` of its submissions, and in most cases submits the job again
    through another host. With `changes_data_centre`, its next connection reaches a
    host of another data centre, which has other targets. An extra caller makes no
    further attempt when it has to stop.
    """

    number: int
    seed: int
    testbed: SoakTestbed
    crashing_fraction: float = 0.0
    departing_fraction: float = 0.0
    changes_data_centre: bool = False
    is_extra: bool = False
    traces: list[JobTrace] = field(factory=list)
    random: Random = field(init=False)
    _client: HTTPClient | None = field(init=False, default=None)
    _host: str = field(init=False, default="")

    def __attrs_post_init__(self):
        self.random = Random(f"caller/{self.seed}/{self.number}")

    def run(self, should_stop: Callable[[], bool]) -> None:
        """Submit jobs one after another until `should_stop` returns true."""
        while not should_stop():
            trace = JobTrace(
                job_id=f"{self.number:04x}{len(self.traces):04x}{self.seed:08x}",
                tasks=self.random.randint(1, 5),
                is_crashing=self._draw(self.crashing_fraction),
            )
            self.traces.append(trace)
            self._submit(trace, should_stop)
            gevent.sleep(self.random.uniform(0.0, 2 * MEAN_PAUSE_S))
        self._close()

    def _draw(self, fraction: float) -> bool:
        # Seeds without an option keep their sequence of random numbers.
        return fraction > 0 and self.random.random() < fraction

    def _submit(self, trace: JobTrace, should_stop: Callable[[], bool]) -> None:
        for _ in range(MAX_ATTEMPTS):
            attempt = self._submit_once(trace)
            trace.attempts.append(attempt)
            if attempt.status not in (0, 504) or trace.cancelled_s is not None:
                return
            if attempt.has_disconnected and not self._draw_return():
                return
            if self.is_extra and should_stop():
                return
            gevent.sleep(RESEND_DELAY_S)
            if trace.is_crashing:
                # The job reaches other hosts, which have to know of its crashes.
                self._close()

    def _draw_return(self) -> bool:
        return self.departing_fraction > 0 and self._draw(RETURN_PROBABILITY)

    def _submit_once(self, trace: JobTrace) -> Attempt:
        if self._client is None:
            self._connect()
        if self._draw(self.departing_fraction):
            wait_s = self.random.uniform(0.05, MAX_DEPARTURE_S)
            return self._submit_and_disconnect(trace, wait_s)
        if self.random.random() < DISCONNECT_PROBABILITY:
            return self._submit_and_disconnect(trace, self.random.uniform(0.01, 0.1))
        if self.random.random() < CANCEL_PROBABILITY:
            gevent.spawn_later(self.random.uniform(0.0, 0.2), self._cancel, trace)
        sent_s = time.monotonic()
        status, state = self._send_request(trace, DEADLINE_S + ANSWER_MARGIN_S)
        return Attempt(
            host=self._host,
            sent_s=sent_s,
            ended_s=time.monotonic(),
            status=status,
            state=state,
        )

    def _submit_and_disconnect(self, trace: JobTrace, wait_s: float) -> Attempt:
        """Submit a job and close the connection, in most cases before the answer."""
        host, sent_s = self._host, time.monotonic()
        status, state = self._send_request(trace, wait_s)
        self._close()
        return Attempt(
            host=host,
            sent_s=sent_s,
            ended_s=time.monotonic(),
            status=status,
            state=state,
            has_disconnected=True,
        )

    def _send_request(self, trace: JobTrace, timeout_s: float) -> tuple[int, str]:
        phases = [{"count": trace.tasks, "cpu": 3000, "mem_mb": 16, "estimate_ms": 60}]
        payload = CRASHING_PAYLOAD if trace.is_crashing else "text"
        job = {"spec": payload, "best_effort": True, "phases": phases}
        try:
            with gevent.Timeout(timeout_s, TimeoutError):
                response = self._client.request(
                    "POST",
                    QUEUE_PREFIX + trace.job_id,
                    body=json.dumps(job).encode(),
                    headers={
                        "Host": QUEUE_HOST,
                        "Deadline-Ms": str(round(DEADLINE_S * 1000)),
                    },
                )
                content = json.loads(bytes(response.read()))
        except HTTP_ERRORS:
            self._close()
            return 0, ""
        return response.status_code, content.get("state", "")

    def _cancel(self, trace: JobTrace) -> None:
        address = self.testbed.hosts[self._host].address
        client = HTTPClient(address, self.testbed.ports.callers, network_timeout=1.0)
        try:
            response = client.request(
                "DELETE", QUEUE_PREFIX + trace.job_id, headers={"Host": QUEUE_HOST}
            )
            response.read()
            if response.status_code == 200:
                trace.cancelled_s = time.monotonic()
        except HTTP_ERRORS:
            return
        finally:
            client.close()

    def _connect(self) -> None:
        hosts = list(self.testbed.hosts)
        if self.departing_fraction and self._host:
            hosts.remove(self._host)
        if self.changes_data_centre and self._host:
            last = find_data_centre(self._host)
            hosts = [host for host in hosts if find_data_centre(host) != last]
            # Callers are directed to hosts that respond, if there are any.
            suspended = self.testbed.suspended_hosts
            hosts = [host for host in hosts if host not in suspended] or hosts
        self._host = self.random.choice(hosts)
        self._client = HTTPClient(
            LOOPBACK,
            self.testbed.caller_relays[self._host].port,
            connection_timeout=1.0,
            network_timeout=10.0,
        )

    def _close(self) -> None:
        if self._client is not None:
            self._client.close()
            self._client = None
