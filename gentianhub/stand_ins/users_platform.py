"""Stand-ins of the store and the targets of the users' platform.

The target enforces the guarantees of its protocol: fencing tokens, leases on its own
clock, a limit on concurrent runs, and that a run is refused once it or a later
run of the same task was stopped or has ended.
"""

import base64
import json
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from random import Random

import gevent
from gevent.event import Event

from gentianhub.core.records import define, field
from gentianhub.web import (
    BodyError,
    Request,
    Response,
    build_application,
    open_server,
)

MAX_BODY_BYTES = 1_048_576
MAX_CONNECTIONS = 256
# Longest lease that a target grants.
MAX_LEASE_S = 1.0
# Shortest time between two checks of the lease.
MIN_LEASE_CHECK_INTERVAL_S = 0.05
# Payload of jobs whose first task crashes each target that starts it.
CRASHING_PAYLOAD = "crash"
# Outcome of runs that end with a restart of their target from outside.
RESTARTED = "restarted"
# Longer than any client waits, so that the answer counts as lost.
LOST_ANSWER_DELAY_S = 30.0
# Delay after which a target executes a request whose answer is lost.
LATE_REQUEST_DELAY_S = 2.0


def _build_response(status: int, content: dict) -> Response:
    return Response(status=status, body=json.dumps(content).encode())


def _refuse_body(error: BodyError) -> Response:
    return _build_response(error.status, {"error": error.reason})


@define(kw_only=True, eq=False)
class StoreStandIn:
    """In-memory store of tables that are not partitioned.

    Parameters
    ----------
    is_down : bool
        Whether every call is answered with status 503.
    delay_s : float
        Delay before each call is handled.
    loss_probability : float
        Probability that a write takes effect but is not answered in time.
    """

    rows: dict[tuple[str, str], tuple[int, bytes]] = field(factory=dict)
    version: int = 0
    is_down: bool = False
    delay_s: float = 0.0
    loss_probability: float = 0.0
    random: Random = field(factory=Random)
    _removed: dict[tuple[str, str], int] = field(init=False, factory=dict)
    _changed: Event = field(init=False, factory=Event)

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write one row and notify followers."""
        self.version += 1
        self.rows[(table, key)] = (self.version, value)
        self._removed.pop((table, key), None)
        self._changed.set()
        self._changed.clear()

    def remove(self, table: str, key: str) -> None:
        """Remove one row, if present, and notify followers."""
        if self.rows.pop((table, key), None) is not None:
            self.version += 1
            self._removed[(table, key)] = self.version
            self._changed.set()
            self._changed.clear()

    def handle(self, request: Request) -> Response:
        """Return the response to one call of the store."""
        if self.is_down:
            return _build_response(503, {})
        gevent.sleep(self.delay_s)
        match request.segments:
            case ("api", "rows-get"):
                rows = self._encode_rows(request.query["table"], after=0)
                return self._answer_rows(rows)
            case ("api", "rows-feed"):
                return self._wait_for_changes(request.query)
            case ("api", "rows-tx"):
                answer = self._transact(json.loads(request.body))
                if self.random.random() < self.loss_probability:
                    gevent.sleep(LOST_ANSWER_DELAY_S)
                return answer
            case _:
                return _build_response(404, {})

    def _answer_rows(self, rows: list[dict]) -> Response:
        return _build_response(200, {"rows": rows, "ver": self.version})

    def _encode_rows(self, table: str, after: int) -> list[dict]:
        present = [
            {
                "table": table,
                "part": "",
                "key": key,
                "value": base64.b64encode(value).decode(),
                "ver": version,
            }
            for (row_table, key), (version, value) in sorted(self.rows.items())
            if row_table == table and version > after
        ]
        removed = [
            {"table": table, "part": "", "key": key, "ver": version, "deleted": True}
            for (row_table, key), version in sorted(self._removed.items())
            if row_table == table and version > after > 0
        ]
        return present + removed

    def _wait_for_changes(self, query) -> Response:
        table, after = query["table"], int(query["after"])
        until_s = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while not self._encode_rows(table, after) and time.monotonic() < until_s:
            self._changed.wait(timeout=until_s - time.monotonic())
        return self._answer_rows(self._encode_rows(table, after))

    def _transact(self, changes: dict) -> Response:
        for row in changes["if_rev"]:
            known = self.rows.get((row["table"], row["key"]), (0, b""))
            if known[0] != row["ver"]:
                rows = self._encode_rows(row["table"], after=0)
                found = [other for other in rows if other["key"] == row["key"]]
                return _build_response(412, {"rows": found})
        for row in changes["set_keys"]:
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in changes["remove"]:
            self.remove(row["table"], row["key"])
        return _build_response(200, {"ver": self.version})


@define(kw_only=True, eq=False)
class RunRecord:
    """A run of a task as the target recorded it, on the monotonic clock.

    `outcome` is empty until the run has ended.
    """

    task: str
    run: int
    started_s: float
    ended_s: float = float("inf")
    outcome: str = ""


@define(kw_only=True, eq=False)
class LeasedTargetStandIn:
    """A target of the users' platform; `records` lists the runs that it started.

    Parameters
    ----------
    run_s : float
        Run time of each task.
    room : int
        Highest number of concurrent runs.
    fails, stalls : bool
        Whether each run fails immediately, or never ends by itself.
    loss_probability : float
        Probability that a request gets no answer in time and is executed late.
    born_ms : int
        Start time that identifies the target's incarnation; a restart increments it.
    on_crash : callable
        Called when a task crashes the target.
    """

    name: str
    run_s: float = 0.05
    room: int = 3
    fails: bool = False
    stalls: bool = False
    loss_probability: float = 0.0
    born_ms: int = 1
    on_crash: Callable[[], None] = lambda: None
    random: Random = field(factory=Random)
    records: list[RunRecord] = field(init=False, factory=list)
    _started_s: float = field(init=False, factory=time.monotonic)
    _fence: int = field(init=False, default=0)
    _lease_until_ms: int = field(init=False, default=0)
    _running: dict[str, tuple[RunRecord, gevent.Greenlet]] = field(
        init=False, factory=dict
    )
    _last_runs: dict[str, int] = field(init=False, factory=dict)
    _ended: list[list] = field(init=False, factory=list)
    _end_count: int = field(init=False, default=0)
    _changed: Event = field(init=False, factory=Event)

    def read_clock_ms(self) -> int:
        """Return the time of the target's clock, which starts with its life."""
        return round((time.monotonic() - self._started_s) * 1000)

    def count_starts(self) -> dict[str, int]:
        """Return the number of started runs of each task."""
        return dict(Counter(record.task for record in self.records))

    def encode_row(
        self, host: str, port: int, data_centre: str, state: str = "ready"
    ) -> bytes:
        """Return the content of the target's row in the store."""
        entry = {
            "service": "desk",
            "address": f"{host}:{port}",
            "zone": data_centre,
            "state": state,
            "born": self.born_ms,
            "capacity": {"cpu": 3000 * self.room, "mem_mb": 4096},
            "labels": ["a"],
        }
        return json.dumps(entry).encode()

    def restart(self, outcome: str = "crashed") -> None:
        """End all runs with an outcome and discard all state, as after a crash."""
        for task in list(self._running):
            self._end(task, outcome)
        self.born_ms += 1
        self._started_s = time.monotonic()
        self._fence = self._lease_until_ms = self._end_count = 0
        self._last_runs.clear()
        self._ended.clear()

    def handle(self, request: Request) -> Response:
        """Return the response to one request to the target."""
        if self.random.random() < self.loss_probability:
            gevent.spawn_later(
                LATE_REQUEST_DELAY_S, self._execute_late, request, self.born_ms
            )
            gevent.sleep(LOST_ANSWER_DELAY_S)
        return self._execute(request)

    def _execute_late(self, request: Request, born_ms: int) -> None:
        """Execute a request late; it is lost with the life that has received it."""
        if born_ms == self.born_ms:
            self._execute(request)

    def _execute(self, request: Request) -> Response:
        body = json.loads(request.body)
        if body.get("fence", 0) < self._fence:
            return self._refuse("fence")
        self._fence = body.get("fence", 0)
        match request.segments:
            case ("api", "run-start"):
                return self._start(body)
            case ("api", "run-stop"):
                self._last_runs[body["task"]] = body["run"]
                self._end(body["task"], "stopped")
                return self._answer({})
            case ("api", "hold"):
                return self._hold(body)
            case _:
                return _build_response(404, {})

    def _answer(self, content: dict) -> Response:
        return _build_response(200, {"clock_ms": self.read_clock_ms()} | content)

    def _refuse(self, reason: str) -> Response:
        content = {"clock_ms": self.read_clock_ms(), "reason": reason}
        return _build_response(409, content)

    def _extend(self, until_ms: int) -> None:
        latest_ms = self.read_clock_ms() + round(MAX_LEASE_S * 1000)
        self._lease_until_ms = max(self._lease_until_ms, min(until_ms, latest_ms))

    def _start(self, body: dict) -> Response:
        task, run = body["task"], body["run"]
        if body["until_ms"] < self.read_clock_ms():
            return self._refuse("late")
        self._extend(body["until_ms"])
        if run <= self._last_runs.get(task, 0):
            return self._refuse("old")
        if len(self._running) >= self.room:
            return self._refuse("room")
        record = RunRecord(task=task, run=run, started_s=time.monotonic())
        self.records.append(record)
        self._running[task] = (record, gevent.spawn(self._run, task))
        if body["spec"] == CRASHING_PAYLOAD and task.endswith(".0"):
            self.restart()
            self.on_crash()
        return self._answer({})

    def _run(self, task: str) -> None:
        if self.fails:
            self._end(task, "failed")
        elif not self.stalls:
            gevent.sleep(self.run_s)
            self._end(task, "done")

    def _end(self, task: str, outcome: str) -> None:
        if task not in self._running:
            return
        record, greenlet = self._running.pop(task)
        record.outcome, record.ended_s = outcome, time.monotonic()
        if outcome == "lapsed":
            # The run ended when its lease expired, not when the expiry was detected.
            lease_end_s = self._started_s + self._lease_until_ms / 1000
            record.ended_s = min(record.ended_s, lease_end_s)
        self._last_runs[task] = record.run
        self._end_count += 1
        self._ended.append([self._end_count, task, record.run, outcome, ""])
        self._changed.set()
        self._changed.clear()
        if outcome not in ("done", "failed"):
            greenlet.kill(block=False)

    def enforce_lease(self) -> None:
        """Kill the runs whenever the lease has expired; never returns."""
        while True:
            remaining_ms = self._lease_until_ms - self.read_clock_ms()
            if remaining_ms < 0:
                for task in list(self._running):
                    self._end(task, "lapsed")
            # A lease is never shortened; the check at its expiry detects an extension.
            gevent.sleep(max(remaining_ms / 1000, MIN_LEASE_CHECK_INTERVAL_S))

    def _hold(self, body: dict) -> Response:
        acknowledged = body["acked_upto"]
        self._ended = [end for end in self._ended if end[0] > acknowledged]
        if "until_ms" in body:
            self._extend(body["until_ms"])
        if not self._ended and body.get("wait_ms"):
            self._changed.wait(timeout=body["wait_ms"] / 1000)
        running = [
            [task, record.run, "", self._estimate_percent(record)]
            for task, (record, _) in self._running.items()
        ]
        content = {"born": self.born_ms, "running": running, "ended": self._ended}
        return self._answer(content)

    def _estimate_percent(self, record: RunRecord) -> int:
        if self.stalls:
            return 0
        return min(99, int(100 * (time.monotonic() - record.started_s) / self.run_s))


@contextmanager
def serve_stand_in(address: tuple[str, int], stand_in) -> Iterator[None]:
    """Serve a store or a target on an address."""
    application = build_application(stand_in.handle, _refuse_body, MAX_BODY_BYTES)
    with open_server(address, application, MAX_CONNECTIONS, 0.1):
        yield


@contextmanager
def serve_targets(
    store: StoreStandIn,
    targets: dict[tuple[str, int], LeasedTargetStandIn],
    data_centre: str,
) -> Iterator[None]:
    """Serve targets and register them in the store.

    `targets` maps the host and port of each target to the target.
    """
    with ExitStack() as stack:
        for (host, port), target in targets.items():
            stack.enter_context(serve_stand_in((host, port), target))
            lease_greenlet = gevent.spawn(target.enforce_lease)
            stack.callback(lease_greenlet.kill)
            store.put(
                "servers", target.name, target.encode_row(host, port, data_centre)
            )
        yield
