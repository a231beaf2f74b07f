"""Options that the table commands share, and what they stand for."""

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated

import typer
from attrs import frozen

from gentianhub.cli.table_output import finish_outage
from gentianhub.core import PlatformError, SettingsError
from gentianhub.operators.rollout import (
    OperatorAddress,
    ProcessVersion,
    read_versions,
)
from gentianhub.settings import Endpoint, HostSettings, load_settings
from gentianhub.storage import PlatformClient, open_platform

# Longer than when serving: an operator would rather wait than repeat the command.
OPERATOR_TIMEOUT_S = 5.0


def _require_text(text: str) -> str:
    if not text.strip():
        raise typer.BadParameter("is empty")
    return text


Folder = Annotated[Path, typer.Argument(help="Folder with the three CSV files.")]
AsJson = Annotated[bool, typer.Option("--json", help="Print one JSON object.")]
Platform = Annotated[
    str | None, typer.Option(help="Platform as HOST:PORT, if not in the settings.")
]
Settings = Annotated[
    list[Path] | None,
    typer.Option(help="Settings file of an entry host; repeat it for more hosts."),
]
Operators = Annotated[
    list[str] | None,
    typer.Option(
        "--operator",
        help="Operator port of an entry process as [DATA_CENTRE.PROCESS=]HOST:PORT; "
        "repeat it for more.",
    ),
]
ExpectedVersion = Annotated[
    int, typer.Option(min=0, help="Version that the edit was made on.")
]
Author = Annotated[
    str, typer.Option(callback=_require_text, help="Who makes the change.")
]
Reason = Annotated[
    str, typer.Option(callback=_require_text, help="Why, for the history.")
]
DryRun = Annotated[bool, typer.Option(help="Show what would change, write nothing.")]
WaitS = Annotated[
    float, typer.Option(min=0, help="Seconds to wait for the entry processes.")
]


@frozen(kw_only=True)
class Deployment:
    """Addresses of the platform and of the operator ports."""

    platform: Endpoint
    operators: tuple[OperatorAddress, ...]

    def read_versions(self, store: PlatformClient) -> tuple[ProcessVersion, ...]:
        """Return the version of each entry process that is given or listed."""
        return read_versions(self.operators, read_listed_names(store))


def read_listed_names(store: PlatformClient) -> tuple[str, ...]:
    """Return the entry processes in the host list; none while it cannot be read."""
    try:
        hosts = store.read_hosts()
    except PlatformError:
        return ()
    return tuple(
        f"{entry['data_centre']}.{entry['name']}" for entry in hosts["entry_processes"]
    )


def load_deployment(
    platform: str | None, settings: list[Path] | None, operators: list[str] | None
) -> Deployment:
    """Return the addresses that the options and the settings files give."""
    try:
        hosts = [load_settings(path) for path in settings or []]
    except SettingsError as error:
        message = f"{error.peer}:\n  {error.reason}"
        raise typer.BadParameter(message, param_hint="--settings") from None
    given = [_parse_operator(text) for text in operators or []]
    listed = [address for host in hosts for address in _list_operators(host)]
    if platform is not None:
        endpoint = _parse_endpoint(platform, "--platform")
    elif hosts:
        endpoint = hosts[0].platform
    else:
        raise typer.BadParameter("give --platform or --settings")
    return Deployment(platform=endpoint, operators=(*given, *listed))


@contextmanager
def open_store(deployment: Deployment, as_json: bool) -> Iterator[PlatformClient]:
    """Connect to the platform; end the command if it is down."""
    endpoint = deployment.platform
    with open_platform(endpoint.host, endpoint.port, OPERATOR_TIMEOUT_S) as store:
        try:
            yield store
        except PlatformError as error:
            raise finish_outage(error, as_json) from None


def _list_operators(host: HostSettings) -> Iterator[OperatorAddress]:
    for process in host.processes:
        yield OperatorAddress(
            name=f"{host.data_centre}.{process.name}",
            host=process.operators.host,
            port=process.operators.port,
        )


def _parse_operator(text: str) -> OperatorAddress:
    name, _, address = text.rpartition("=")
    endpoint = _parse_endpoint(address, "--operator")
    return OperatorAddress(name=name, host=endpoint.host, port=endpoint.port)


def _parse_endpoint(text: str, option: str) -> Endpoint:
    host, _, port = text.rpartition(":")
    try:
        return Endpoint(host=host.strip("[]"), port=int(port))
    except ValueError:
        message = f"{text!r} is not HOST:PORT"
        raise typer.BadParameter(message, param_hint=option) from None
