"""Roll-out of a table version, as read from the operator ports of entry processes."""

import json
from collections.abc import Callable
from contextlib import closing
from http.client import HTTPException

import gevent
from gevent.pool import Pool
from geventhttpclient import HTTPClient

from gentianhub.core import read_monotonic_s
from gentianhub.core.records import frozen

DUMP_TIMEOUT_S = 1.0
POLL_PERIOD_S = 0.2
MAX_CONCURRENT_DUMPS = 32


@frozen(kw_only=True)
class OperatorAddress:
    """Address of an operator port; the name, if given, is DATA_CENTRE.PROCESS."""

    host: str
    port: int
    name: str = ""

    @property
    def label(self) -> str:
        """Name of the process, or its address if no name is given."""
        return self.name or f"{self.host}:{self.port}"


@frozen(kw_only=True)
class VersionReported:
    """An entry process reported its table version."""

    process: str
    version: int


@frozen(kw_only=True)
class VersionUnknown:
    """The version could not be read from the operator port."""

    process: str
    reason: str


@frozen(kw_only=True)
class VersionNotQueried:
    """The process is in the host list, but its operator port was not given."""

    process: str


ProcessVersion = VersionReported | VersionUnknown | VersionNotQueried


def read_version(address: OperatorAddress) -> ProcessVersion:
    """Return the table version of an entry process."""
    client = HTTPClient(
        address.host,
        address.port,
        connection_timeout=DUMP_TIMEOUT_S,
        network_timeout=DUMP_TIMEOUT_S,
    )
    try:
        with closing(client), gevent.Timeout(DUMP_TIMEOUT_S, TimeoutError):
            response = client.request("GET", "/dump")
            state = json.loads(bytes(response.read()))
        process = state["owner"].rpartition(".")[0]
        return VersionReported(process=process, version=int(state["table_version"]))
    except (OSError, EOFError, HTTPException, ValueError, KeyError, TypeError) as error:
        reason = f"no answer from {address.host}:{address.port}: {error!r}"
        return VersionUnknown(process=address.label, reason=reason)


def read_versions(
    addresses: tuple[OperatorAddress, ...], listed: tuple[str, ...]
) -> tuple[ProcessVersion, ...]:
    """Return the version of each process, sorted by process name.

    `listed` has the names of the entry processes in the platform's host list. Those
    without an address are returned as `VersionNotQueried`.
    """
    results = Pool(MAX_CONCURRENT_DUMPS).map(read_version, addresses)
    names = {state.process for state in results}
    missing = [VersionNotQueried(process=name) for name in listed if name not in names]
    return tuple(sorted([*results, *missing], key=lambda state: state.process))


def wait_for_version(
    version: int, read: Callable[[], tuple[ProcessVersion, ...]], wait_s: float
) -> tuple[ProcessVersion, ...]:
    """Poll until every queried process has the version, and return the states.

    After `wait_s` seconds the latest states are returned.
    """
    timeout_at_s = read_monotonic_s() + wait_s
    while True:
        states = read()
        if not any(needs_polling(state, version) for state in states):
            return states
        if read_monotonic_s() + POLL_PERIOD_S > timeout_at_s:
            return states
        gevent.sleep(POLL_PERIOD_S)


def has_version(state: ProcessVersion, version: int) -> bool:
    """Return whether a process reported the version or a newer one."""
    match state:
        case VersionReported(version=reported):
            return reported >= version
        case VersionUnknown() | VersionNotQueried():
            return False


def needs_polling(state: ProcessVersion, version: int) -> bool:
    """Return whether a later query may report that a process has the version."""
    match state:
        case VersionReported(version=reported):
            return reported < version
        case VersionUnknown():
            return True
        case VersionNotQueried():
            return False
