"""Checks of the rules over the recorded events."""

import json
from collections import defaultdict
from pathlib import Path

from attrs import frozen


@frozen(kw_only=True)
class SeenRun:
    """A run as a worker has seen it, on the machine's steady clock."""

    task: str
    number: int
    worker: str
    born: int
    started_s: float
    ended_s: float
    how: str


def collect_runs(events: list[dict], end_s: float) -> list[SeenRun]:
    """Return all runs; those of a killed life end with the kill."""
    open_runs: dict[tuple, dict] = {}
    runs = []

    def close(key: tuple, ended_s: float, how: str) -> None:
        start = open_runs.pop(key)
        runs.append(
            SeenRun(
                task=start["task"],
                number=start["run"],
                worker=start["worker"],
                born=start["born"],
                started_s=start["t"],
                ended_s=ended_s,
                how=how,
            )
        )

    for event in events:
        match event["event"]:
            case "start":
                key = event["worker"], event["born"], event["task"], event["run"]
                open_runs[key] = event
            case "end":
                key = event["worker"], event["born"], event["task"], event["run"]
                if key in open_runs:
                    close(key, event["t"], event["how"])
            case "crash":
                life = event["worker"], event["born"]
                for key in [key for key in open_runs if key[:2] == life]:
                    close(key, event["t"], "crashed")
    for key in list(open_runs):
        close(key, end_s, "open")
    return runs


def find_overlaps(runs: list[SeenRun]) -> list[tuple[SeenRun, SeenRun, float]]:
    """Return pairs of runs of one task that were at work at the same time."""
    by_task = defaultdict(list)
    for run in runs:
        by_task[run.task].append(run)
    return [
        (first, second, min(first.ended_s, second.ended_s) - second.started_s)
        for same in by_task.values()
        for position, first in enumerate(sorted(same, key=lambda r: r.started_s))
        for second in sorted(same, key=lambda r: r.started_s)[position + 1 :]
        if second.started_s < min(first.ended_s, second.ended_s)
    ]


def write_record(path: Path, summary: list[str], events: list[dict]) -> None:
    """Write the verdict and what was sent, answered and run."""
    first_s = events[0]["t"] if events else 0.0
    lines = [
        json.dumps(
            {"t": round(e["t"] - first_s, 4), **{k: e[k] for k in e if k != "t"}}
        )
        for e in events
    ]
    path.write_text("\n".join([*summary, "", *lines]) + "\n")
