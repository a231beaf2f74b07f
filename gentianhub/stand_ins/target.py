"""Stand-in for a target that simulates each task by a wait."""

import json
from collections import Counter
from pathlib import Path

import gevent

from gentianhub.core.records import define, field
from gentianhub.web import (
    BodyError,
    Request,
    Response,
    build_application,
    open_server,
)

MAX_BODY_BYTES = 16 * 1024 * 1024


@define(kw_only=True, eq=False)
class TargetStandIn:
    """Runs up to `slots` tasks concurrently and refuses others as not run.

    The body of a task is JSON with `run_ms`; the task takes `run_ms / speed`
    milliseconds. Starts are counted by task id, and appended to `starts_file` if it
    is set, so that tests can check that no task starts twice.
    """

    name: str
    slots: int = 8
    speed: float = 1.0
    fails: bool = False
    is_leaving: bool = False
    running: int = 0
    refused: int = 0
    starts: Counter = field(factory=Counter)
    starts_file: Path | None = None

    def handle(self, request: Request) -> Response:
        """Return the response to one request."""
        match (request.method, *request.segments):
            case ("POST", "run"):
                return self._run(request)
            case ("GET", "starts"):
                return self._describe_starts()
            case ("POST", "faults"):
                return self._set_faults(json.loads(request.body))
            case _:
                return Response(status=404)

    def _run(self, request: Request) -> Response:
        headers = {"Gentianhub-Leaving": "1"} if self.is_leaving else {}
        if self.running >= self.slots or self.is_leaving:
            self.refused += 1
            headers["Gentianhub-Not-Run"] = "1"
            return Response(status=503, headers=headers)
        self._record_start(request)
        if self.fails:
            return Response(status=500, headers=headers)
        self.running += 1
        try:
            gevent.sleep(json.loads(request.body).get("run_ms", 0) / 1000 / self.speed)
        finally:
            self.running -= 1
        return Response(status=200, body=request.body, headers=headers)

    def _record_start(self, request: Request) -> None:
        """Count a start; the file preserves it if this process is killed."""
        task = request.headers["gentianhub-task"]
        self.starts[task] += 1
        if self.starts_file is not None:
            with self.starts_file.open("a") as lines:
                lines.write(f"{task} {request.body.decode()}\n")

    def _describe_starts(self) -> Response:
        content = {
            "target": self.name,
            "starts": self.starts,
            "refused": self.refused,
            "running": self.running,
        }
        return Response(status=200, body=json.dumps(content).encode())

    def _set_faults(self, content: dict) -> Response:
        self.fails = content.get("fails", self.fails)
        self.is_leaving = content.get("is_leaving", self.is_leaving)
        self.speed = content.get("speed", self.speed)
        return Response(status=200)


def _refuse_body(error: BodyError) -> Response:
    return Response(status=error.status)


def serve_target(stand_in: TargetStandIn, address: tuple[str, int]):
    """Return a context that serves the stand-in target."""
    application = build_application(stand_in.handle, _refuse_body, MAX_BODY_BYTES)
    return open_server(address, application, max_connections=64)
