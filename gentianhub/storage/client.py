"""HTTP client of the platform's table service, object store and host list."""

import json
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from urllib.parse import quote

import gevent

from gentianhub.core import PlatformError, Step
from gentianhub.core.records import define, field, frozen
from gentianhub.web import HTTP_ERRORS, HttpConnection, open_connection

REQUEST_TIMEOUT_S = 1.0
NOT_MODIFIED = 304


@frozen(kw_only=True)
class VersionedRow:
    """A row of the table service; version 0 stands for an absent row."""

    key: str
    version: int
    value: object


@frozen(kw_only=True)
class Conflict:
    """Result: a checked row had a different version, so nothing was written."""

    reason: str


@frozen(kw_only=True)
class Reply:
    """A complete HTTP reply; the entity tag is empty if there was none."""

    status: int
    body: bytes
    etag: str


@frozen(kw_only=True)
class CachedHosts:
    """The last host list that was read, with its entity tag."""

    etag: str
    hosts: dict


@define(kw_only=True, eq=False)
class PlatformClient:
    """One connection to the platform; must be used by a single greenlet."""

    peer: str
    _connection: HttpConnection
    timeout_s: float = REQUEST_TIMEOUT_S
    _cached_hosts: dict[str, CachedHosts] = field(init=False, factory=dict)

    def read_rows(
        self, prefix: str, after: str = "", limit: int = 0
    ) -> tuple[VersionedRow, ...]:
        """Return the rows with a key prefix that come after a key, in key order.

        A `limit` of 0 means all of them.
        """
        path = f"/table/rows?prefix={quote(prefix)}&after={quote(after)}&limit={limit}"
        content = self._request(Step.READ_PLATFORM, "GET", path)
        return tuple(VersionedRow(**row) for row in content["rows"])

    def read_keys(self, keys: tuple[str, ...]) -> tuple[VersionedRow, ...]:
        """Return the existing rows among `keys`, in one read."""
        content = self._request(
            Step.READ_PLATFORM, "POST", "/table/read", {"keys": keys}
        )
        return tuple(VersionedRow(**row) for row in content["rows"])

    def write_rows(
        self, rows: dict[str, object], expected: dict[str, int]
    ) -> Conflict | None:
        """Write rows in one transaction if the rows have the expected versions."""
        checks = [{"key": key, "version": version} for key, version in expected.items()]
        writes = [{"key": key, "value": value} for key, value in rows.items()]
        content = self._request(
            Step.WRITE_PLATFORM,
            "POST",
            "/table/transact",
            {"checks": checks, "writes": writes},
        )
        return Conflict(reason=content["conflict"]) if "conflict" in content else None

    def read_hosts(self, data_centre: str = "") -> dict:
        """Return the platform's list of entry processes and targets, which lags.

        With a data centre, only its targets are listed. The platform sends the list
        again only when it has changed; until then the same object is returned.
        """
        path = f"/hosts?data_centre={quote(data_centre)}"
        known = self._cached_hosts.get(path)
        headers = {} if known is None else {"If-None-Match": known.etag}
        reply = self._exchange(Step.READ_PLATFORM, "GET", path, b"", headers)
        if known is not None and reply.status == NOT_MODIFIED:
            return known.hosts
        hosts = self._decode(Step.READ_PLATFORM, reply, (200,))
        if reply.etag:
            self._cached_hosts[path] = CachedHosts(etag=reply.etag, hosts=hosts)
        return hosts

    def write_object(self, name: str, content: bytes) -> None:
        """Write a whole object; the write may be repeated with the same content."""
        path = f"/objects/{quote(name)}"
        reply = self._exchange(Step.WRITE_PLATFORM, "PUT", path, content)
        self._check_status(Step.WRITE_PLATFORM, reply.status, (200,))

    def read_object(self, name: str) -> bytes | None:
        """Return an object's content, or None if there is no such object."""
        path = f"/objects/{quote(name)}"
        reply = self._exchange(Step.READ_PLATFORM, "GET", path, b"")
        self._check_status(Step.READ_PLATFORM, reply.status, (200, 404))
        return reply.body if reply.status == 200 else None

    def _request(self, step: Step, method: str, path: str, content=None):
        body = b"" if content is None else json.dumps(content).encode()
        return self._decode(step, self._exchange(step, method, path, body), (200, 409))

    def _decode(self, step: Step, reply: Reply, allowed: tuple[int, ...]) -> dict:
        self._check_status(step, reply.status, allowed)
        try:
            return json.loads(reply.body)
        except ValueError as error:
            raise PlatformError(step=step, peer=self.peer, reason=str(error)) from None

    def _exchange(
        self,
        step: Step,
        method: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str] | None = None,
    ) -> Reply:
        try:
            with gevent.Timeout(self.timeout_s, TimeoutError):
                response = self._connection.request(method, path, body, headers)
                return Reply(
                    status=response.status_code,
                    body=bytes(response.read()),
                    etag=response.get("etag") or "",
                )
        except HTTP_ERRORS as error:
            self._connection.reset()
            raise PlatformError(step=step, peer=self.peer, reason=repr(error)) from None

    def _check_status(self, step: Step, status: int, allowed: tuple[int, ...]) -> None:
        if status not in allowed:
            raise PlatformError(step=step, peer=self.peer, reason=f"status {status}")


@contextmanager
def open_platform(
    host: str, port: int, timeout_s: float = REQUEST_TIMEOUT_S
) -> Iterator[PlatformClient]:
    """Open a connection to the platform; close it at the end of the context."""
    with open_connection(
        host, port, connect_timeout_s=timeout_s, reply_timeout_s=timeout_s
    ) as connection:
        yield PlatformClient(
            peer=f"platform {host}:{port}", connection=connection, timeout_s=timeout_s
        )
