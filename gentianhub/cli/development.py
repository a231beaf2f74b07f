"""Development commands: stand-ins of platform and targets, demo and test runs."""

import signal
from pathlib import Path
from typing import Annotated

import gevent
import typer
from gevent.event import Event

from gentianhub.cli.demo import run_demo
from gentianhub.fault_run import run_command
from gentianhub.observability import configure_logging
from gentianhub.soak import run_command as run_soak
from gentianhub.stand_ins.platform import PlatformStandIn, serve_platform
from gentianhub.stand_ins.target import TargetStandIn, serve_target

development = typer.Typer(
    help="Stand-ins for development and tests, and runs with them."
)
development.command("demo")(run_demo)
development.command("fault-run")(run_command)
development.command("soak")(run_soak)

Port = Annotated[int, typer.Option(min=1, max=65535, help="Port on 127.0.0.1.")]


def _wait_for_signal() -> None:
    stopped = Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    gevent.signal_handler(signal.SIGINT, stopped.set)
    stopped.wait()


@development.command("platform")
def run_platform(port: Port) -> None:
    """Serve a stand-in platform: table service and host list in memory."""
    configure_logging(process="platform", level="warning")
    with serve_platform(PlatformStandIn(), ("127.0.0.1", port)):
        _wait_for_signal()


@development.command("target")
def run_target(
    port: Port,
    name: Annotated[str, typer.Option(help="Name of the target.")],
    slots: Annotated[int, typer.Option(min=1)] = 8,
    speed: Annotated[
        float, typer.Option(min=0.01, help="Factor on the speed; 1.0 is normal.")
    ] = 1.0,
    starts_file: Annotated[
        Path | None, typer.Option(help="File to which each start is appended.")
    ] = None,
) -> None:
    """Serve a stand-in target that waits for the run time of each task."""
    configure_logging(process=name, level="warning")
    stand_in = TargetStandIn(
        name=name, slots=slots, speed=speed, starts_file=starts_file
    )
    with serve_target(stand_in, ("127.0.0.1", port)):
        _wait_for_signal()
