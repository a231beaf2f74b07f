"""Client for the platform's store, which holds rows in tables."""

import base64
import json
from collections.abc import Iterator
from contextlib import contextmanager
from urllib.parse import urlencode

import gevent

from gentianhub.core import PlatformError, Step
from gentianhub.core.records import define, frozen
from gentianhub.platform.content import decode_json
from gentianhub.platform.fields import FieldError, read_field
from gentianhub.web import HTTP_ERRORS, HttpConnection, open_connection

REQUEST_TIMEOUT_S = 1.5
# Tables written by the operator and by the targets; a target is a `server` there.
OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
# Prefix of the keys of evacuations in the operator's table; a data centre is a `zone`.
EVACUATION_PREFIX = "evacuate/"
TARGETS_TABLE = "servers"
STATUS_GONE = 410


@frozen(kw_only=True)
class StoredRow:
    """A row of a table that has no parts; `is_removed` marks a deleted row."""

    key: str
    version: int
    value: bytes = b""
    is_removed: bool = False


@frozen(kw_only=True)
class RowsRead:
    """Rows, and the version of the store at which they were read."""

    rows: tuple[StoredRow, ...]
    version: int


@frozen(kw_only=True)
class HistoryExpired:
    """Sentinel: the requested changes are no longer kept; read the table again."""


@define(kw_only=True, eq=False)
class StoreClient:
    """One connection to the store, used by one greenlet."""

    peer: str
    _connection: HttpConnection

    def read_rows(self, table: str) -> RowsRead:
        """Return all rows of a table, and the version of the first page.

        Each page is a snapshot of its own, and a change between two pages may be
        missing; it is among the changes after the first one.
        """
        rows: list[StoredRow] = []
        first_version = None
        start = ""
        while True:
            query = {"table": table, "part": ""}
            if start:
                query["from"] = start
            _, content = self._get("/api/rows-get", query, 0.0)
            page, version = self._decode_rows(content)
            rows += page
            first_version = version if first_version is None else first_version
            if not read_field(content, "has_more", bool, False) or not page:
                return RowsRead(rows=tuple(rows), version=first_version)
            # `from` is inclusive; the smallest key after it has a zero byte appended.
            start = page[-1].key + "\0"

    def follow_rows(
        self, table: str, after: int, wait_s: float
    ) -> RowsRead | HistoryExpired:
        """Return the rows changed after a version; wait for the first of them."""
        query = {"table": table, "after": after, "wait_ms": round(wait_s * 1000)}
        status, content = self._get("/api/rows-feed", query, wait_s)
        if status == STATUS_GONE:
            return HistoryExpired()
        rows, version = self._decode_rows(content)
        return RowsRead(rows=rows, version=version)

    def write_row(self, table: str, key: str, value: bytes) -> None:
        """Write one row unconditionally."""
        row = {"table": table, "part": "", "key": key}
        encoded = base64.b64encode(value).decode()
        self._transact({"set_keys": [row | {"value": encoded}]})

    def create_row(self, table: str, key: str, value: bytes) -> bytes:
        """Write a row unless it exists; return its current value."""
        row = {"table": table, "part": "", "key": key}
        encoded = base64.b64encode(value).decode()
        changes = {
            "if_rev": [row | {"ver": 0}],
            "set_keys": [row | {"value": encoded}],
        }
        status, content = self._send_changes(changes)
        if status == 200:
            return value
        rows, _ = self._decode_rows({"ver": 0} | content)
        if not rows or rows[0].is_removed:
            raise self._build_error(
                Step.WRITE_PLATFORM,
                f"row {key!r} was not created, and the response does not contain it",
            )
        return rows[0].value

    def read_row(self, table: str, key: str) -> bytes | None:
        """Return the value of one row, or None if there is no such row."""
        query = {"table": table, "part": "", "from": key, "to": key + "\0"}
        _, content = self._get("/api/rows-get", query, 0.0)
        rows, _ = self._decode_rows(content)
        return next((row.value for row in rows if row.key == key), None)

    def remove_row(self, table: str, key: str, version: int) -> bool:
        """Remove a row if it still has this version; return whether it was removed."""
        row = {"table": table, "part": "", "key": key}
        return self._transact({"if_rev": [row | {"ver": version}], "remove": [row]})

    def _transact(self, changes: dict) -> bool:
        return self._send_changes(changes)[0] == 200

    def _send_changes(self, changes: dict) -> tuple[int, dict]:
        body = {"if_rev": [], "set_keys": [], "remove": []} | changes
        status, content = self._exchange(
            Step.WRITE_PLATFORM, "POST", "/api/rows-tx", json.dumps(body).encode(), 0.0
        )
        self._check_status(Step.WRITE_PLATFORM, status, (200, 412))
        return status, content

    def _get(self, path: str, query: dict, wait_s: float) -> tuple[int, dict]:
        request_target = f"{path}?{urlencode(query)}"
        status, content = self._exchange(
            Step.READ_PLATFORM, "GET", request_target, b"", wait_s
        )
        self._check_status(Step.READ_PLATFORM, status, (200, STATUS_GONE))
        return status, content

    def _decode_rows(self, content: dict) -> tuple[tuple[StoredRow, ...], int]:
        try:
            rows = tuple(map(_decode_row, read_field(content, "rows", list, [])))
            return rows, read_field(content, "ver", int)
        except FieldError as error:
            raise self._build_error(Step.READ_PLATFORM, str(error)) from error

    def _exchange(
        self, step: Step, method: str, request_target: str, body: bytes, wait_s: float
    ) -> tuple[int, dict]:
        headers = {"Content-Type": "application/json"} if body else {}
        try:
            with gevent.Timeout(wait_s + REQUEST_TIMEOUT_S, TimeoutError):
                response = self._connection.request(
                    method, request_target, body, headers
                )
                content = bytes(response.read())
            return response.status_code, decode_json(content) if content else {}
        except HTTP_ERRORS as error:
            self._connection.reset()
            raise self._build_error(step, repr(error)) from error

    def _check_status(self, step: Step, status: int, allowed: tuple[int, ...]) -> int:
        if status not in allowed:
            raise self._build_error(step, f"status {status}")
        return status

    def _build_error(self, step: Step, reason: str) -> PlatformError:
        return PlatformError(step=step, peer=self.peer, reason=reason)


def _decode_row(content: object) -> StoredRow:
    is_removed = read_field(content, "deleted", bool, False)
    try:
        value = base64.b64decode(read_field(content, "value", str, ""), validate=True)
    except ValueError as error:
        raise FieldError(f"value: expected base64: {error}") from error
    return StoredRow(
        key=read_field(content, "key", str),
        version=read_field(content, "ver", int, 0),
        value=value,
        is_removed=is_removed,
    )


@contextmanager
def open_store(host: str, port: int) -> Iterator[StoreClient]:
    """Open a connection to the store; close it at the end of the block."""
    with open_connection(
        host, port, connect_timeout_s=REQUEST_TIMEOUT_S, reply_timeout_s=None
    ) as connection:
        yield StoreClient(peer=f"store {host}:{port}", connection=connection)
