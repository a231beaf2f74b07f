"""HTTP client of the platform's table service and host list."""

import json
from collections.abc import Iterator
from contextlib import contextmanager
from urllib.parse import quote

import gevent
from attrs import define, frozen

from gentianhub.core import PlatformError, Step
from gentianhub.web import EXCHANGE_ERRORS, HttpConnection, open_connection

REQUEST_TIMEOUT_S = 1.0


@frozen(kw_only=True)
class VersionedRow:
    """A row of the table service; version 0 stands for an absent row."""

    key: str
    version: int
    value: object


@frozen(kw_only=True)
class Conflict:
    """Sentinel: a checked row had another version; nothing was written."""

    reason: str


@define(kw_only=True, eq=False)
class PlatformClient:
    """One connection to the platform; used by one greenlet."""

    peer: str
    _connection: HttpConnection
    timeout_s: float = REQUEST_TIMEOUT_S

    def read_rows(self, prefix: str, after: str = "") -> tuple[VersionedRow, ...]:
        """Return the rows whose keys start with `prefix`, ordered, after a key."""
        path = f"/table/rows?prefix={quote(prefix)}&after={quote(after)}"
        content = self._request(Step.READ_PLATFORM, "GET", path)
        return tuple(VersionedRow(**row) for row in content["rows"])

    def write_rows(
        self, rows: dict[str, object], expected: dict[str, int]
    ) -> Conflict | None:
        """Write rows in one transaction if the expected versions are in force."""
        checks = [{"key": key, "version": version} for key, version in expected.items()]
        writes = [{"key": key, "value": value} for key, value in rows.items()]
        content = self._request(
            Step.WRITE_PLATFORM,
            "POST",
            "/table/transact",
            {"checks": checks, "writes": writes},
        )
        return Conflict(reason=content["conflict"]) if "conflict" in content else None

    def read_hosts(self) -> dict:
        """Return the platform's lagging list of entry processes and targets."""
        return self._request(Step.READ_PLATFORM, "GET", "/hosts")

    def _request(self, step: Step, method: str, path: str, content=None):
        body = b"" if content is None else json.dumps(content).encode()
        try:
            with gevent.Timeout(self.timeout_s, TimeoutError):
                response = self._connection.request(method, path, body)
                reply = bytes(response.read())
                status = response.status_code
        except EXCHANGE_ERRORS as error:
            self._connection.reset()
            raise PlatformError(step=step, peer=self.peer, reason=repr(error)) from None
        if status not in (200, 409):
            raise PlatformError(step=step, peer=self.peer, reason=f"status {status}")
        return json.loads(reply)


@contextmanager
def open_platform(
    host: str, port: int, timeout_s: float = REQUEST_TIMEOUT_S
) -> Iterator[PlatformClient]:
    """Own one connection to the platform; close it at the end."""
    with open_connection(
        host, port, connect_timeout_s=timeout_s, reply_timeout_s=timeout_s
    ) as connection:
        yield PlatformClient(
            peer=f"platform {host}:{port}", connection=connection, timeout_s=timeout_s
        )
