"""Shared options of the table commands, and the addresses that they give."""

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated

import typer

from gentianhub.cli.table_output import report_outage
from gentianhub.core import PlatformError, SettingsError
from gentianhub.core.records import frozen
from gentianhub.operators.rollout import (
    OperatorAddress,
    ProcessVersion,
    read_versions,
)
from gentianhub.settings import Endpoint, HostSettings, load_settings
from gentianhub.storage import PlatformClient, open_platform

# Longer than the time-out of the entry processes, since waiting costs an operator less
# than repeating the command.
OPERATOR_TIMEOUT_S = 5.0


def _require_text(text: str) -> str:
    if not text.strip():
        raise typer.BadParameter("must not be empty")
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
    int, typer.Option(min=0, help="Version on which the edit is based.")
]
Author = Annotated[
    str, typer.Option(callback=_require_text, help="Author of the change.")
]
Reason = Annotated[
    str,
    typer.Option(
        callback=_require_text, help="Reason for the change, shown in the history."
    ),
]
DryRun = Annotated[bool, typer.Option(help="Show the changes without writing them.")]
WaitS = Annotated[
    float, typer.Option(min=0, help="Seconds to wait for the entry processes.")
]


@frozen(kw_only=True)
class DeploymentAddresses:
    """Addresses of the platform and of the operator ports."""

    platform: Endpoint
    operators: tuple[OperatorAddress, ...]

    def read_versions(self, store: PlatformClient) -> tuple[ProcessVersion, ...]:
        """Return the versions of the entry processes from the options and host list."""
        return read_versions(self.operators, read_listed_names(store))


def read_listed_names(store: PlatformClient) -> tuple[str, ...]:
    """Return the entry processes in the host list; empty if it cannot be read."""
    try:
        hosts = store.read_hosts()
    except PlatformError:
        return ()
    return tuple(
        f"{entry['data_centre']}.{entry['name']}" for entry in hosts["entry_processes"]
    )


def load_deployment(
    platform: str | None, settings: list[Path] | None, operators: list[str] | None
) -> DeploymentAddresses:
    """Return the addresses from the options and the settings files.

    Raises
    ------
    typer.BadParameter
        A settings file or an address is not valid, or there is no platform address.
    """
    try:
        hosts = [load_settings(path) for path in settings or []]
    except SettingsError as error:
        message = f"{error.peer}:\n  {error.reason}"
        raise typer.BadParameter(message, param_hint="--settings") from None
    given = [_parse_operator(text) for text in operators or []]
    listed = [address for host in hosts for address in _list_operator_addresses(host)]
    if platform is not None:
        endpoint = _parse_endpoint(platform, "--platform")
    elif hosts:
        endpoint = hosts[0].platform
    else:
        raise typer.BadParameter("give --platform or --settings")
    return DeploymentAddresses(platform=endpoint, operators=(*given, *listed))


@contextmanager
def open_store(
    deployment: DeploymentAddresses, as_json: bool
) -> Iterator[PlatformClient]:
    """Connect to the platform; exit with an error if it is down."""
    endpoint = deployment.platform
    with open_platform(endpoint.host, endpoint.port, OPERATOR_TIMEOUT_S) as store:
        try:
            yield store
        except PlatformError as error:
            raise report_outage(error, as_json) from None


def _list_operator_addresses(host: HostSettings) -> Iterator[OperatorAddress]:
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
