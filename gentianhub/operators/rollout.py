"""Which version of the table each entry process has, from its operator port."""

import json
from collections.abc import Callable
from contextlib import closing
from http.client import HTTPException

import gevent
from attrs import frozen
from gevent.pool import Pool
from geventhttpclient import HTTPClient

from gentianhub.core import read_monotonic_s

DUMP_TIMEOUT_S = 1.0
POLL_PERIOD_S = 0.2
CONCURRENT_DUMPS = 32


@frozen(kw_only=True)
class OperatorAddress:
    """Operator port of an entry process; the name is DATA_CENTRE.PROCESS."""

    host: str
    port: int
    name: str = ""

    @property
    def label(self) -> str:
        """Name of the process, or the address if the name was not given."""
        return self.name or f"{self.host}:{self.port}"


@frozen(kw_only=True)
class VersionSeen:
    """An entry process said which version it has."""

    process: str
    version: int


@frozen(kw_only=True)
class VersionUnknown:
    """The version of an entry process cannot be known, and why."""

    process: str
    reason: str


@frozen(kw_only=True)
class VersionNotAsked:
    """No operator port that was given is that of this listed entry process."""

    process: str


ProcessVersion = VersionSeen | VersionUnknown | VersionNotAsked


def read_version(address: OperatorAddress) -> ProcessVersion:
    """Return the version that an entry process has."""
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
        return VersionSeen(process=process, version=int(state["table_version"]))
    except (OSError, EOFError, HTTPException, ValueError, KeyError, TypeError) as error:
        reason = f"no answer from {address.host}:{address.port}: {error!r}"
        return VersionUnknown(process=address.label, reason=reason)


def read_versions(
    addresses: tuple[OperatorAddress, ...], listed: tuple[str, ...]
) -> tuple[ProcessVersion, ...]:
    """Return the version of each process, and of those that are only listed.

    `listed` has the names of the entry processes in the platform's host list.
    """
    seen = Pool(CONCURRENT_DUMPS).map(read_version, addresses)
    names = {state.process for state in seen}
    missing = [VersionNotAsked(process=name) for name in listed if name not in names]
    return tuple(sorted([*seen, *missing], key=lambda state: state.process))


def wait_for_version(
    version: int, read: Callable[[], tuple[ProcessVersion, ...]], wait_s: float
) -> tuple[ProcessVersion, ...]:
    """Return the states once all processes that answer have the version.

    After `wait_s` seconds the states are returned as they are.
    """
    give_up_s = read_monotonic_s() + wait_s
    while True:
        states = read()
        if not any(may_follow(state, version) for state in states):
            return states
        if read_monotonic_s() + POLL_PERIOD_S > give_up_s:
            return states
        gevent.sleep(POLL_PERIOD_S)


def has_version(state: ProcessVersion, version: int) -> bool:
    """Tell whether a process is known to have the version or a newer one."""
    match state:
        case VersionSeen(version=seen):
            return seen >= version
        case VersionUnknown() | VersionNotAsked():
            return False


def may_follow(state: ProcessVersion, version: int) -> bool:
    """Tell whether asking again may show that a process has the version."""
    match state:
        case VersionSeen(version=seen):
            return seen < version
        case VersionUnknown():
            return True
        case VersionNotAsked():
            return False
