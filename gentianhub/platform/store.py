"""The platform's store: rows in tables, read, written and followed."""

import base64
import json
from collections.abc import Iterator
from contextlib import contextmanager
from urllib.parse import urlencode

import gevent
from attrs import define, frozen

from gentianhub.core import PlatformError, Step
from gentianhub.platform.content import decode_json
from gentianhub.platform.fields import FieldError, read_field
from gentianhub.web import EXCHANGE_ERRORS, HttpConnection, open_connection

REQUEST_TIMEOUT_S = 1.5
# Tables that the operator and the targets write.
OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
TARGETS_TABLE = "servers"
GONE = 410


@frozen(kw_only=True)
class StoredRow:
    """A row of a table without parts; `is_removed` marks one that was dropped."""

    key: str
    version: int
    value: bytes = b""
    is_removed: bool = False


@frozen(kw_only=True)
class RowsRead:
    """Rows and the store's newest version when they were read."""

    rows: tuple[StoredRow, ...]
    version: int


@frozen(kw_only=True)
class HistoryGone:
    """Sentinel: the changes asked for are no longer kept; read the table again."""


@define(kw_only=True, eq=False)
class StoreClient:
    """One connection to the store; used by one greenlet."""

    peer: str
    _connection: HttpConnection

    def read_rows(self, table: str) -> RowsRead:
        """Return all rows of a table as of one moment each page."""
        rows: list[StoredRow] = []
        start = ""
        while True:
            query = {"table": table, "part": ""}
            if start:
                query["from"] = start
            _, content = self._get("/api/rows-get", query, 0.0)
            page, version = self._decode_rows(content)
            rows += page
            if not read_field(content, "has_more", bool, False) or not page:
                return RowsRead(rows=tuple(rows), version=version)
            # The range begins with `from` itself; the next key follows it.
            start = page[-1].key + "\0"

    def follow_rows(
        self, table: str, after: int, wait_s: float
    ) -> RowsRead | HistoryGone:
        """Return the rows changed after a version; wait for the first of them."""
        query = {"table": table, "after": after, "wait_ms": round(wait_s * 1000)}
        status, content = self._get("/api/rows-feed", query, wait_s)
        if status == GONE:
            return HistoryGone()
        rows, version = self._decode_rows(content)
        return RowsRead(rows=rows, version=version)

    def write_row(self, table: str, key: str, value: bytes) -> None:
        """Write one row, whatever it holds at present."""
        row = {"table": table, "part": "", "key": key}
        encoded = base64.b64encode(value).decode()
        self._transact({"set_keys": [row | {"value": encoded}]})

    def create_row(self, table: str, key: str, value: bytes) -> bytes:
        """Write a row unless it exists; return what it holds now."""
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
            raise self._fail(Step.WRITE_PLATFORM, f"row {key!r} neither new nor known")
        return rows[0].value

    def read_row(self, table: str, key: str) -> bytes | None:
        """Return what one row holds, or None if there is no such row."""
        query = {"table": table, "part": "", "from": key, "to": key + "\0"}
        _, content = self._get("/api/rows-get", query, 0.0)
        rows, _ = self._decode_rows(content)
        return next((row.value for row in rows if row.key == key), None)

    def remove_row(self, table: str, key: str, version: int) -> bool:
        """Remove a row that still has this version; return whether it had."""
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
        target = f"{path}?{urlencode(query)}"
        status, content = self._exchange(Step.READ_PLATFORM, "GET", target, b"", wait_s)
        self._check_status(Step.READ_PLATFORM, status, (200, GONE))
        return status, content

    def _decode_rows(self, content: dict) -> tuple[tuple[StoredRow, ...], int]:
        try:
            rows = tuple(map(_decode_row, read_field(content, "rows", list, [])))
            return rows, read_field(content, "ver", int)
        except FieldError as error:
            raise self._fail(Step.READ_PLATFORM, str(error)) from error

    def _exchange(
        self, step: Step, method: str, target: str, body: bytes, wait_s: float
    ) -> tuple[int, dict]:
        headers = {"Content-Type": "application/json"} if body else {}
        try:
            with gevent.Timeout(wait_s + REQUEST_TIMEOUT_S, TimeoutError):
                response = self._connection.request(method, target, body, headers)
                content = bytes(response.read())
            return response.status_code, decode_json(content) if content else {}
        except EXCHANGE_ERRORS as error:
            self._connection.reset()
            raise self._fail(step, repr(error)) from error

    def _check_status(self, step: Step, status: int, allowed: tuple[int, ...]) -> int:
        if status not in allowed:
            raise self._fail(step, f"status {status}")
        return status

    def _fail(self, step: Step, reason: str) -> PlatformError:
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
    """Own one connection to the store; close it at the end."""
    with open_connection(
        host, port, connect_timeout_s=REQUEST_TIMEOUT_S, reply_timeout_s=None
    ) as connection:
        yield StoreClient(peer=f"store {host}:{port}", connection=connection)
