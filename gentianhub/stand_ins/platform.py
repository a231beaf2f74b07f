"""In-memory stand-in for the platform: table service, object store, host list."""

import json

import gevent
import xxhash

from gentianhub.core.records import define, field
from gentianhub.web import (
    BodyError,
    Request,
    Response,
    build_application,
    open_server,
)

MAX_BODY_BYTES = 16 * 1024 * 1024


@define(kw_only=True, eq=False)
class PlatformStandIn:
    """Transactional rows, objects and a host list, with injected faults.

    Faults are set by `POST /faults` with `down` (bool), `delay_s` (seconds) and
    `drop_replies` (number of writes that take effect but
    are answered with status 503).
    """

    hosts: dict = field(factory=lambda: {"entry_processes": [], "targets": []})
    rows: dict[str, tuple[int, object]] = field(factory=dict)
    objects: dict[str, bytes] = field(factory=dict)
    is_down: bool = False
    delay_s: float = 0.0
    drop_replies: int = 0
    reads: int = 0
    writes: int = 0

    def handle(self, request: Request) -> Response:
        """Return the response to one request."""
        if request.segments == ("faults",):
            return self._set_faults(json.loads(request.body))
        gevent.sleep(self.delay_s)
        if self.is_down:
            return Response(status=503)
        match (request.method, *request.segments):
            case ("GET", "hosts"):
                self.reads += 1
                return answer_hosts(request, self.hosts)
            case ("PUT", "hosts"):
                self.hosts = json.loads(request.body)
                return _build_json({})
            case ("GET", "table", "rows"):
                self.reads += 1
                return self._read_rows(request)
            case ("POST", "table", "read"):
                self.reads += 1
                return _build_json(self._read_keys(json.loads(request.body)["keys"]))
            case ("GET", "objects", *name):
                self.reads += 1
                content = self.objects.get("/".join(name))
                return Response(
                    status=404 if content is None else 200, body=content or b""
                )
            case ("PUT", "objects", *name):
                self.writes += 1
                self.objects["/".join(name)] = request.body
                return self._acknowledge_write()
            case ("POST", "table", "transact"):
                self.writes += 1
                return self._transact(json.loads(request.body))
            case _:
                return Response(status=404)

    def _set_faults(self, content: dict) -> Response:
        self.is_down = content.get("down", self.is_down)
        self.delay_s = content.get("delay_s", self.delay_s)
        self.drop_replies = content.get("drop_replies", self.drop_replies)
        return _build_json({"reads": self.reads, "writes": self.writes})

    def _read_rows(self, request: Request) -> Response:
        prefix = request.query.get("prefix", "")
        after = request.query.get("after", "")
        limit = int(request.query.get("limit", 0)) or None
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        newer = [key for key in keys if key > after]
        return _build_json(self._read_keys(newer[:limit]))

    def _read_keys(self, keys: list[str]) -> dict:
        rows = [
            {"key": key, "version": self.rows[key][0], "value": self.rows[key][1]}
            for key in keys
            if key in self.rows
        ]
        return {"rows": rows}

    def _transact(self, content: dict) -> Response:
        for check in content["checks"]:
            version = self.rows.get(check["key"], (0, None))[0]
            if version != check["version"]:
                reason = f"{check['key']} is at version {version}"
                return _build_json({"conflict": reason}, status=409)
        for write in content["writes"]:
            version = self.rows.get(write["key"], (0, None))[0]
            self.rows[write["key"]] = (version + 1, write["value"])
        return self._acknowledge_write()

    def _acknowledge_write(self) -> Response:
        if self.drop_replies > 0:
            self.drop_replies -= 1
            return Response(status=503)
        return _build_json({})


def answer_hosts(request: Request, hosts: dict) -> Response:
    """Return the host list for one data centre, or 304 if its ETag matches."""
    data_centre = request.query.get("data_centre", "")
    targets = [
        target
        for target in hosts["targets"]
        if data_centre in ("", target["data_centre"])
    ]
    body = json.dumps({**hosts, "targets": targets}).encode()
    etag = xxhash.xxh64_hexdigest(body)
    if request.headers.get("if-none-match") == etag:
        return Response(status=304, headers={"ETag": etag})
    return Response(status=200, body=body, headers={"ETag": etag})


def _build_json(content: dict, status: int = 200) -> Response:
    return Response(status=status, body=json.dumps(content).encode())


def _refuse_body(error: BodyError) -> Response:
    return Response(status=error.status)


def serve_platform(stand_in: PlatformStandIn, address: tuple[str, int]):
    """Return a context that serves the stand-in platform."""
    application = build_application(stand_in.handle, _refuse_body, MAX_BODY_BYTES)
    return open_server(address, application, max_connections=1000)
