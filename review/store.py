"""The platform's store, with the operator's and the workers' rows."""

import asyncio
import base64
import json
import time

from attrs import define, field

from review.web import Reply, Request

FORBIDDEN_TABLES = ("op", "servers")
MAX_FEED_WAIT_S = 30.0
MAX_PAGE_ROWS = 500


@define(kw_only=True, eq=False)
class Store:
    """Rows of tables; a single counter numbers the transactions."""

    version: int = field(init=False, default=0)
    _rows: dict[tuple[str, str, str], dict] = field(init=False, factory=dict)
    _changed: asyncio.Condition = field(init=False, factory=asyncio.Condition)

    async def put(self, table: str, key: str, value: dict) -> None:
        """Write one row as the operator or a worker does."""
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        await self._apply([{"table": table, "part": "", "key": key, "value": encoded}])

    async def remove(self, table: str, key: str) -> None:
        """Remove one row as the platform does."""
        row = {"table": table, "part": "", "key": key, "deleted": True}
        await self._apply([row])

    async def _apply(self, rows: list[dict]) -> None:
        self.version += 1
        for row in rows:
            self._rows[_get_name(row)] = row | {"ver": self.version}
        async with self._changed:
            self._changed.notify_all()

    async def handle(self, request: Request) -> Reply:
        """Return the response to one call of the system."""
        match request.method, request.path:
            case "GET", "/api/rows-get":
                return self._read(request.query)
            case "GET", "/api/rows-feed":
                return await self._follow(request.query)
            case "POST", "/api/rows-tx":
                return await self._transact(request.decode())
        return Reply(status=404, content={})

    def _answer(self, status: int, **content) -> Reply:
        now_ms = round(time.monotonic() * 1000)
        return Reply(
            status=status, content={"ver": self.version, "now_ms": now_ms, **content}
        )

    def _read(self, query: dict[str, str]) -> Reply:
        first, last = query.get("from", ""), query.get("to")
        rows = [
            row
            for (table, part, key), row in sorted(self._rows.items())
            if (table, part) == (query["table"], query.get("part", ""))
            and key >= first
            and (last is None or key < last)
            and "deleted" not in row
        ]
        limit = min(MAX_PAGE_ROWS, int(query.get("limit", MAX_PAGE_ROWS)))
        return self._answer(200, rows=rows[:limit], has_more=len(rows) > limit)

    async def _follow(self, query: dict[str, str]) -> Reply:
        table, after = query["table"], int(query["after"])
        wait_s = min(int(query.get("wait_ms", 0)) / 1000, MAX_FEED_WAIT_S)
        until_s = time.monotonic() + wait_s
        while True:
            rows = [
                row
                for name, row in self._rows.items()
                if name[0] == table and row["ver"] > after
            ]
            remaining_s = until_s - time.monotonic()
            if rows or remaining_s <= 0:
                rows.sort(key=lambda row: row["ver"])
                return self._answer(200, rows=rows)
            try:
                async with asyncio.timeout(remaining_s), self._changed:
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def _transact(self, changes: dict) -> Reply:
        written = [*changes.get("set_keys", []), *changes.get("remove", [])]
        if any(row["table"] in FORBIDDEN_TABLES for row in written):
            return self._answer(403)
        expected = changes.get("if_rev", [])
        if any(self._find_version(row) != row["ver"] for row in expected):
            known = [self._rows.get(_get_name(row)) for row in expected]
            present = [row for row in known if row and "deleted" not in row]
            return self._answer(412, rows=present)
        removed = [row | {"deleted": True} for row in changes.get("remove", [])]
        await self._apply([*changes.get("set_keys", []), *removed])
        return self._answer(200)

    def _find_version(self, row: dict) -> int:
        known = self._rows.get(_get_name(row))
        return 0 if known is None or "deleted" in known else known["ver"]


def _get_name(row: dict) -> tuple[str, str, str]:
    return row["table"], row.get("part", ""), row["key"]
