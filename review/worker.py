"""A worker as a process of its own, under a supervisor that restarts it.

The supervisor binds the socket and starts one life of the worker after another under
the same id, as an init system does with a service whose socket it holds. Each life
begins with no runs, no fence, a new clock and a new `born`. All events go to a file,
one JSON object a line, with the time of the machine's steady clock.
"""

import asyncio
import json
import os
import signal
import socket
import sys
import time
from random import Random

from attrs import define, field

from review.web import NO_ANSWER, Reply, Request, start_server

HOLD_MAX_MS = 1000
STOP_S = 0.02
MAX_LISTED_ENDS = 500
LATE_S = (2.0, 12.0)
LATE_PATHS = ("/api/run-start", "/api/run-stop")
# Time that a life needs until it serves; connections wait at the socket meanwhile.
START_UP_S = 0.05
CPU_PER_SLOT = 1000


@define(kw_only=True, eq=False)
class Run:
    """A run of a task."""

    task: str
    number: int
    started_s: float
    work_s: float
    cpu: int
    is_stopping: bool = False


@define(kw_only=True, eq=False)
class Worker:
    """One life of a worker.

    `has_told` is set once it has told its `born` to an owner.

    While the file `late_flag` exists, it leaves a share of the starts and stops
    unanswered and carries them out 2 to 12 s later.
    """

    name: str
    born_ms: int
    slots: int
    events: int
    late_share: float = 0.0
    late_flag: str = ""
    random: Random = field(factory=Random)
    started_s: float = field(factory=time.monotonic)
    fence: int = 0
    lease_until_ms: int = 0
    runs: dict[str, Run] = field(factory=dict)
    last_runs: dict[str, int] = field(factory=dict)
    ended: list[list] = field(factory=list)
    end_count: int = 0
    has_told: bool = False
    changed: asyncio.Condition = field(factory=asyncio.Condition)

    def read_clock_ms(self) -> int:
        """Return the worker's clock, which starts with its life."""
        return int((time.monotonic() - self.started_s) * 1000)

    def record(self, kind: str, **values) -> None:
        """Append an event to the file."""
        event = {"t": time.monotonic(), "event": kind, "worker": self.name}
        line = json.dumps(event | {"born": self.born_ms} | values)
        os.write(self.events, line.encode() + b"\n")

    async def handle(self, request: Request) -> Reply:
        """Answer one order, or leave it unanswered and carry it out later."""
        if request.headers.get("target-instance", self.name) != self.name:
            return Reply(status=421, content={})
        body = request.decode()
        is_order = self.late_share and request.path in LATE_PATHS
        is_late_now = is_order and os.path.exists(self.late_flag)
        if is_late_now and self.random.random() < self.late_share:
            delay_s = self.random.uniform(*LATE_S)
            self.record("unanswered", path=request.path, body=body, delay_s=delay_s)
            asyncio.get_running_loop().call_later(
                delay_s, lambda: asyncio.ensure_future(self.execute(request.path, body))
            )
            return NO_ANSWER
        return await self.execute(request.path, body)

    async def execute(self, path: str, body: dict) -> Reply:
        """Carry out one order."""
        if body.get("fence", 0) < self.fence:
            return self._answer(409, reason="fence")
        self.fence = body.get("fence", 0)
        match path:
            case "/api/run-start":
                return self._start(body)
            case "/api/run-stop":
                return self._stop(body)
            case "/api/hold":
                return await self._hold(body)
        return self._answer(404)

    def _answer(self, status: int, **content) -> Reply:
        return Reply(
            status=status, content={"clock_ms": self.read_clock_ms(), **content}
        )

    def _extend(self, until_ms: int) -> None:
        latest_ms = self.read_clock_ms() + HOLD_MAX_MS
        self.lease_until_ms = max(self.lease_until_ms, min(until_ms, latest_ms))

    def _start(self, body: dict) -> Reply:
        task, number = body["task"], body["run"]
        known = self.runs.get(task)
        if known is not None and known.number == number:
            self._extend(body["until_ms"])
            return self._answer(200)
        if body["until_ms"] < self.read_clock_ms():
            return self._answer(409, reason="late")
        self._extend(body["until_ms"])
        if number <= self.last_runs.get(task, 0) or known is not None:
            return self._answer(409, reason="old")
        if len(self.runs) >= self.slots:
            return self._answer(409, reason="room")
        work_s = json.loads(body["spec"])["work_ms"] / 1000
        run = Run(
            task=task,
            number=number,
            started_s=time.monotonic(),
            work_s=work_s,
            cpu=CPU_PER_SLOT,
        )
        self.runs[task] = run
        self.record("start", task=task, run=number, spec=body["spec"])
        loop = asyncio.get_running_loop()
        loop.call_later(work_s, self._end, run, "done")
        return self._answer(200)

    def _stop(self, body: dict) -> Reply:
        task, number = body["task"], body["run"]
        run = self.runs.get(task)
        if run is not None and run.number <= number and not run.is_stopping:
            run.is_stopping = True
            asyncio.get_running_loop().call_later(STOP_S, self._end, run, "stopped")
        self.last_runs[task] = max(self.last_runs.get(task, 0), number)
        return self._answer(200)

    def _end(self, run: Run, how: str) -> None:
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self.last_runs[run.task] = max(self.last_runs.get(run.task, 0), run.number)
        self.end_count += 1
        self.ended.append([self.end_count, run.task, run.number, how, ""])
        self.record("end", task=run.task, run=run.number, how=how)
        asyncio.ensure_future(self._notify())

    async def _notify(self) -> None:
        async with self.changed:
            self.changed.notify_all()

    async def _hold(self, body: dict) -> Reply:
        acknowledged = body.get("acked_upto", 0)
        self.ended = [row for row in self.ended if row[0] > acknowledged]
        if "until_ms" in body:
            self._extend(body["until_ms"])
        if not self.ended and body.get("wait_ms"):
            try:
                async with asyncio.timeout(body["wait_ms"] / 1000), self.changed:
                    await self.changed.wait()
            except TimeoutError:
                pass
        if not self.has_told:
            self.has_told = True
            self.record("told")
        now_s = time.monotonic()
        running = [
            [r.task, r.number, "", int(100 * (now_s - r.started_s) / r.work_s), r.cpu]
            for r in self.runs.values()
        ]
        return self._answer(
            200,
            born=self.born_ms,
            running=running,
            ended=self.ended[:MAX_LISTED_ENDS],
        )

    async def enforce_lease(self) -> None:
        """Kill all runs once the lease has expired."""
        while True:
            remaining_ms = self.lease_until_ms - self.read_clock_ms()
            if remaining_ms < 0:
                for run in list(self.runs.values()):
                    self._end(run, "lapsed")
            await asyncio.sleep(max(remaining_ms, 5) / 1000)

    async def serve(self, sock: socket.socket) -> None:
        """Serve until killed."""
        await start_server(self.handle, sock=sock)
        self.record("born")
        await self.enforce_lease()


def run_life(sock: socket.socket, options: dict) -> None:
    """Run one life of the worker."""
    signal.signal(signal.SIGTERM, signal.SIG_DFL)
    time.sleep(START_UP_S)
    worker = Worker(**options)
    asyncio.run(worker.serve(sock))


def supervise(options: dict, address: tuple[str, int]) -> None:
    """Start lives one after another; print process id and `born` of each."""
    sock = socket.create_server(address, backlog=256)
    events = os.open(options.pop("events"), os.O_WRONLY | os.O_APPEND | os.O_CREAT)
    while True:
        born_ms = time.time_ns() // 1_000_000
        child = os.fork()
        if not child:
            run_life(sock, options | {"events": events, "born_ms": born_ms})
            return
        signal.signal(signal.SIGTERM, lambda *_, pid=child: end_all(pid))
        print(child, born_ms, flush=True)
        os.waitpid(child, 0)
        line = {"t": time.monotonic(), "event": "died", "worker": options["name"]}
        os.write(events, json.dumps(line).encode() + b"\n")


def end_all(child: int) -> None:
    """End the present life and the supervisor."""
    os.kill(child, signal.SIGKILL)
    os._exit(0)


if __name__ == "__main__":
    settings = json.loads(sys.argv[1])
    supervise(settings["options"], tuple(settings["address"]))
