"""Commands for callers: submit, status and cancel."""

import enum
import json
import sys
from pathlib import Path
from typing import Annotated

import typer

from gentianhub.callers.replies import encode_outcome, encode_refusal, encode_result
from gentianhub.client import EntryAddress, JobContent, open_client
from gentianhub.core import (
    JobComplete,
    JobFailed,
    JobId,
    JobPending,
    Refusal,
    RunState,
    Task,
    parse_job_id,
    read_monotonic_s,
)

PROGRESS_PERIOD_S = 2.0


class ExitCode(enum.IntEnum):
    """Exit codes of the commands for callers."""

    COMPLETE = 0
    FAILED = 1
    BAD_REQUEST = 2
    NOT_RUN = 3
    UNKNOWN = 4
    PENDING = 5


Entry = Annotated[
    list[str], typer.Option("--entry", help="HOST:PORT of a caller port; repeatable.")
]
JobIdText = Annotated[str, typer.Argument(metavar="ID", help="Id of the job.")]
WaitS = Annotated[float, typer.Option("--wait-s", min=0, help="Seconds to wait.")]


def submit_job(
    job_file: Annotated[
        Path, typer.Argument(help="JSON file with the job, or - for standard input.")
    ],
    entry: Entry,
    wait_s: WaitS = 60.0,
) -> None:
    """Submit a job, report its progress, and print its answer."""
    job = _read_job(job_file)
    with open_client(_parse_addresses(entry)) as client:
        until_s = read_monotonic_s() + wait_s
        submitted = client.submit_job(job, until_s)
        if isinstance(submitted, Refusal):
            _exit_with_reply(submitted, None)
        print(f"accepted {submitted}", file=sys.stderr)
        _wait_for_job(client, submitted, until_s)


def show_job(job_id: JobIdText, entry: Entry, wait_s: WaitS = 0.0) -> None:
    """Print a job's state or answer."""
    with open_client(_parse_addresses(entry)) as client:
        parsed = _parse_id(job_id)
        _exit_with_reply(client.read_state(parsed, wait_s), parsed)


def cancel_job(job_id: JobIdText, entry: Entry) -> None:
    """Cancel the tasks of a job that have not started, and print its state."""
    with open_client(_parse_addresses(entry)) as client:
        parsed = _parse_id(job_id)
        _exit_with_reply(client.cancel_job(parsed), parsed)


def _wait_for_job(client, job_id: JobId, until_s: float) -> None:
    while True:
        remaining_s = until_s - read_monotonic_s()
        state = client.read_state(job_id, max(0.0, min(PROGRESS_PERIOD_S, remaining_s)))
        if not isinstance(state, JobPending) or remaining_s <= 0:
            _exit_with_reply(state, job_id)
        print(f"waiting: {state.ended_tasks} tasks ended", file=sys.stderr)


def _read_job(path: Path) -> JobContent:
    try:
        text = sys.stdin.read() if str(path) == "-" else path.read_text()
        content = json.loads(text)
        tasks = tuple(
            Task(kind=task["kind"], body=task.get("body", "").encode())
            for task in content["tasks"]
        )
        return JobContent(
            service=content["service"],
            tasks=tasks,
            deadline_s=content["deadline_ms"] / 1000,
            idempotent=content.get("idempotent", False),
        )
    except (OSError, ValueError, KeyError, TypeError) as error:
        _exit_bad_request(f"{path}: not a job: {error!r}")


def _parse_addresses(texts: list[str]) -> tuple[EntryAddress, ...]:
    pairs = [text.rpartition(":") for text in texts]
    for host, _, port in pairs:
        if not host or not port.isdecimal():
            _exit_bad_request(f"--entry {host}:{port}: expected HOST:PORT")
    return tuple(EntryAddress(host=host, port=int(port)) for host, _, port in pairs)


def _parse_id(text: str) -> JobId:
    match parse_job_id(text):
        case Refusal() as refusal:
            _exit_bad_request(f"{refusal.reason}; expected {refusal.expected}")
        case job_id:
            return job_id


def _exit_bad_request(message: str) -> None:
    print(message, file=sys.stderr)
    raise typer.Exit(ExitCode.BAD_REQUEST)


def _exit_with_reply(reply, job_id: JobId | None) -> None:
    match reply:
        case Refusal():
            content = json.loads(encode_refusal(reply).body)
            is_not_run = reply.run is RunState.NOT_RUN
            code = ExitCode.NOT_RUN if is_not_run else ExitCode.UNKNOWN
        case JobComplete(results=results):
            results = [encode_result(result) for result in results]
            content = {"id": str(job_id), "state": "complete", "results": results}
            code = ExitCode.COMPLETE
        case JobFailed(outcomes=outcomes):
            tasks = [encode_outcome(outcome) for outcome in outcomes]
            content = {"id": str(job_id), "state": "failed", "tasks": tasks}
            code = ExitCode.FAILED
        case JobPending(ended_tasks=ended):
            content = {"id": str(job_id), "state": "pending", "ended_tasks": ended}
            code = ExitCode.PENDING
    print(json.dumps(content, indent=2))
    raise typer.Exit(code)
