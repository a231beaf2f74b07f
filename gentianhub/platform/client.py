"""HTTP client of the platform's table service, object store and host list."""

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

    def read_rows(
        self, prefix: str, after: str = "", limit: int = 0
    ) -> tuple[VersionedRow, ...]:
        """Return the rows whose keys start with `prefix`, ordered, after a key.

        A `limit` of 0 means all of them.
        """
        path = f"/table/rows?prefix={quote(prefix)}&after={quote(after)}&limit={limit}"
        content = self._request(Step.READ_PLATFORM, "GET", path)
        return tuple(VersionedRow(**row) for row in content["rows"])

    def read_keys(self, keys: tuple[str, ...]) -> tuple[VersionedRow, ...]:
        """Return the rows that exist among the keys, in one read."""
        content = self._request(
            Step.READ_PLATFORM, "POST", "/table/read", {"keys": keys}
        )
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

    def write_object(self, name: str, content: bytes) -> None:
        """Write a whole object; the same name with the same content may repeat."""
        path = f"/objects/{quote(name)}"
        status, _ = self._exchange(Step.WRITE_PLATFORM, "PUT", path, content)
        self._check_status(Step.WRITE_PLATFORM, status, (200,))

    def read_object(self, name: str) -> bytes | None:
        """Return an object's content, or None if there is no such object."""
        path = f"/objects/{quote(name)}"
        status, content = self._exchange(Step.READ_PLATFORM, "GET", path, b"")
        self._check_status(Step.READ_PLATFORM, status, (200, 404))
        return content if status == 200 else None

    def _request(self, step: Step, method: str, path: str, content=None):
        body = b"" if content is None else json.dumps(content).encode()
        status, reply = self._exchange(step, method, path, body)
        self._check_status(step, status, (200, 409))
        try:
            return json.loads(reply)
        except ValueError as error:
            raise PlatformError(step=step, peer=self.peer, reason=str(error)) from None

    def _exchange(
        self, step: Step, method: str, path: str, body: bytes
    ) -> tuple[int, bytes]:
        try:
            with gevent.Timeout(self.timeout_s, TimeoutError):
                response = self._connection.request(method, path, body)
                return response.status_code, bytes(response.read())
        except EXCHANGE_ERRORS as error:
            self._connection.reset()
            raise PlatformError(step=step, peer=self.peer, reason=repr(error)) from None

    def _check_status(self, step: Step, status: int, allowed: tuple[int, ...]) -> None:
        if status not in allowed:
            raise PlatformError(step=step, peer=self.peer, reason=f"status {status}")


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
