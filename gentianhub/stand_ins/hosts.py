"""Starts hosts of the users' platform as processes, for tests and the soak test."""

import os
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import BinaryIO

from gevent import subprocess

from gentianhub.core.records import frozen
from gentianhub.platform.settings import SETTINGS_VARIABLE

ROOT = Path(__file__).resolve().parents[2]


@frozen(kw_only=True)
class HostPorts:
    """Ports of a host on its own address; the metrics port is fixed."""

    callers: int
    ready: int
    links: int


def write_settings(
    path: Path,
    *,
    name: str,
    data_centre: str,
    address: str,
    ports: HostPorts,
    store: str,
    grace_s: float = 6.0,
    limits: Mapping[str, float] | None = None,
) -> None:
    """Write a host's settings file in the format of the platform.

    Parameters
    ----------
    address : str
        IP address of the host; no two hosts may share one.
    store : str
        Address of the store as `IP:PORT`.
    grace_s : float
        Longest time that the host may take to drain.
    limits : Mapping[str, float], optional
        Limits of the machine, such as `memory_mb` and `max_fds`.
    """
    limit_lines = "\n".join(f"{key} = {value}" for key, value in (limits or {}).items())
    path.write_text(
        f"""
        node = "{name}"
        zone = "{data_centre}"
        [bind_addrs]
        front = "{address}:{ports.callers}"
        ready = "{address}:{ports.ready}"
        control = "{address}:{ports.links}"
        [platform]
        address = "{store}"
        [bounds]
        grace_s = {grace_s}
        [limits]
        {limit_lines}
        """
    )


def start_host(
    settings: Path, log: BinaryIO, suspensions: Path | None = None
) -> subprocess.Popen:
    """Start a host process that writes its output to `log`.

    With the file `suspensions`, its steady clock leaves out the time in that file.
    """
    module = ["gentianhub.host"]
    if suspensions is not None:
        module = ["gentianhub.stand_ins.suspendable_host", str(suspensions)]
    return subprocess.Popen(
        [sys.executable, "-m", *module],
        cwd=ROOT,
        env={**os.environ, SETTINGS_VARIABLE: str(settings)},
        stdout=log,
        stderr=subprocess.STDOUT,
    )
