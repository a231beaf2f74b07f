"""Decoding of the rows that the operator and the targets write to the store."""

import json
import logging
import re
from collections.abc import Container, Iterator

from gentianhub.capacity.jobs import Configuration, ListedTarget, Route
from gentianhub.capacity.resources import Resources
from gentianhub.core.records import define, field
from gentianhub.core.request_limits import RequestLimits
from gentianhub.platform.fields import (
    FieldError,
    describe_value,
    read_field,
    read_number,
    read_strings,
)
from gentianhub.platform.settings import normalize_name, parse_address

# Deepest nesting of objects and lists; the formats of the platform have five levels.
MAX_NESTING = 32
# Largest amount of a resource that a target has or a task requests.
MAX_RESOURCE_AMOUNT = 2**31 - 1
# Unix times in milliseconds stay below this until the year 10889.
MAX_UNIX_MS = 2**48
# Largest values of a route: they can be encoded, and their products stay finite.
MAX_PRIORITY = 2**31 - 1
MAX_ATTEMPTS = 2**31 - 1
MAX_STRETCH = 1e6
MAX_DURATION_MS = 1e9
# Limits of requests: the memory of a host is below this, and no client sends a head in
# less time.
MAX_LIMIT_BYTES = 2**30
MIN_TIMEOUT_MS = 100
# The version of a configuration is encoded in 64 bits.
MAX_VERSION = 2**63 - 1
# A target's name is sent in a header.
_TARGET_NAME_PATTERN = re.compile(r"[!-~]{1,200}")

# The member of a target's entry that each heartbeat changes and nobody reads. Its name
# cannot be part of a text, in which quotes are escaped.
_HEARTBEAT_COUNT_PATTERN = re.compile(rb'"seq": ?(?:0|[1-9][0-9]{0,17})(?=[,}])')

READY_STATE = "ready"
DRAINING_STATE = "draining"


logger = logging.getLogger(__name__)


def decode_json(content: bytes) -> dict:
    """Return the JSON object in a body or a row.

    Raises
    ------
    FieldError
        If the bytes are not a JSON object.
    """
    try:
        decoded = json.loads(content)
    except (ValueError, RecursionError) as error:
        raise FieldError(f"expected a JSON object: {error!r:.100}") from error
    if not isinstance(decoded, dict):
        raise FieldError(f"expected a JSON object, got {describe_value(decoded)}")
    if content.count(b"[") + content.count(b"{") > MAX_NESTING:
        _check_nesting(decoded)
    return decoded


def _check_nesting(decoded: dict) -> None:
    """Reject values so deep that comparing or describing them fails."""
    level: list = [decoded]
    for _ in range(MAX_NESTING):
        level = [item for value in level for item in _iterate_containers(value)]
        if not level:
            return
    raise FieldError(f"expected at most {MAX_NESTING} levels of nesting")


def _iterate_containers(value: dict | list) -> Iterator[dict | list]:
    items = value.values() if isinstance(value, dict) else value
    return (item for item in items if isinstance(item, dict | list))


@define(kw_only=True, eq=False)
class ConfigurationDecoder:
    """Decodes the versions of a configuration; unchanged routes are decoded once.

    A version holds all routes, over a thousand of them, and mostly changes a few.
    """

    _known: dict[str, tuple[object, Route]] = field(init=False, factory=dict)

    def decode(self, content: bytes) -> Configuration:
        """Return the operator's configuration.

        A route that cannot be used is logged, and stays as it was before, if it was.

        Raises
        ------
        FieldError
            If a field is missing or has the wrong type.
        """
        decoded = decode_json(content)
        version = read_number(decoded, "version", int, 0, MAX_VERSION)
        rows = read_field(decoded, "routes", list, [])
        decoded_rows = list(self._decode_routes(rows, version))
        self._known = {route.name: (row, route) for row, route in decoded_rows}
        return Configuration(
            version=version,
            routes=tuple(route for _, route in decoded_rows),
            limits=decode_limits(decoded),
        )

    def _decode_routes(
        self, rows: list, version: int
    ) -> Iterator[tuple[object, Route]]:
        """Yield the row of each route and the decoded route."""
        for row in rows:
            try:
                name = read_field(row, "name", str)
                known_row, route = self._known.get(name, (None, None))
                yield row, route if known_row == row else _decode_route(row)
            except FieldError as error:
                earlier = self._find_earlier(row)
                logger.warning(
                    "invalid route",
                    extra={
                        "id": earlier.name if earlier else describe_value(row),
                        "version": version,
                        "reason": str(error),
                        "kept": earlier is not None,
                    },
                )
                if earlier is not None:
                    yield row, earlier

    def _find_earlier(self, row: object) -> Route | None:
        """Return the route of this name in the version before, if there is one."""
        name = row.get("name") if isinstance(row, dict) else None
        is_known = isinstance(name, str) and name in self._known
        return self._known[name][1] if is_known else None


def decode_limits(content: dict) -> RequestLimits:
    """Return the limits of requests; one that cannot be used is logged and skipped.

    An idle timeout below the default is not applied: it would close connections while
    the next request of their caller is on its way.
    """
    defaults = RequestLimits()

    def read_limit(name: str, smallest: int, largest: int, default: float) -> float:
        try:
            limits = read_field(content, "limits", dict, {})
            return read_number(limits, name, int, smallest, largest, default)
        except FieldError as error:
            logger.warning("limit not usable", extra={"id": name, "reason": str(error)})
            return default

    return RequestLimits(
        max_header_bytes=read_limit(
            "max_header_bytes", 256, MAX_LIMIT_BYTES, defaults.max_header_bytes
        ),
        max_body_bytes=read_limit(
            "max_body_bytes", 1, MAX_LIMIT_BYTES, defaults.max_body_bytes
        ),
        header_timeout_s=read_limit(
            "header_timeout_ms",
            MIN_TIMEOUT_MS,
            int(MAX_DURATION_MS),
            defaults.header_timeout_s * 1000,
        )
        / 1000,
        idle_timeout_s=max(
            defaults.idle_timeout_s,
            read_limit(
                "idle_timeout_ms",
                MIN_TIMEOUT_MS,
                int(MAX_DURATION_MS),
                defaults.idle_timeout_s * 1000,
            )
            / 1000,
        ),
    )


def decode_configuration(content: bytes) -> Configuration:
    """Return the operator's configuration, see `ConfigurationDecoder.decode`."""
    return ConfigurationDecoder().decode(content)


def _decode_route(content: object) -> Route:
    return Route(
        name=read_field(content, "name", str),
        host=read_field(content, "host", str),
        prefix=read_field(content, "prefix", str),
        service=read_field(content, "service", str),
        priority=read_number(content, "priority", int, -MAX_PRIORITY, MAX_PRIORITY, 0),
        max_attempts=read_number(content, "max_attempts", int, 1, MAX_ATTEMPTS, 1),
        objective_s=read_duration_s(content, "slo_ms"),
        stretch=read_number(content, "stretch", float, 0.0, MAX_STRETCH, 1.0),
        timeout_s=read_duration_s(content, "timeout_ms"),
        requires_advice=read_field(content, "advice", dict, None) is not None,
    )


def read_duration_s(content: object, name: str) -> float:
    """Return a duration that is given in milliseconds, s; 0 if the field is absent."""
    return read_number(content, name, float, 0.0, MAX_DURATION_MS, 0.0) / 1000


def decode_target(name: str, content: bytes) -> ListedTarget:
    """Return the target that an entry of the service discovery describes.

    Raises
    ------
    FieldError
        If the entry does not describe a target that can be used.
    """
    if not _TARGET_NAME_PATTERN.fullmatch(name):
        raise FieldError(f"name: expected visible ASCII, got {describe_value(name)}")
    decoded = decode_json(content)
    state = read_field(decoded, "state", str)
    if state not in (READY_STATE, DRAINING_STATE):
        raise FieldError(f"state: expected ready or draining, got {state!r:.60}")
    address = parse_address(read_field(decoded, "address", str))
    return ListedTarget(
        name=name,
        # `born` is the Unix time of the target's start, ms.
        incarnation=read_number(decoded, "born", int, 0, MAX_UNIX_MS, 0),
        host=address.host,
        port=address.port,
        # A data centre is a `zone` on the wire.
        data_centre=normalize_name(read_field(decoded, "zone", str)),
        service=read_field(decoded, "service", str),
        capacity=decode_resources(read_field(decoded, "capacity", dict)),
        labels=read_strings(decoded, "labels"),
        is_leaving=state == DRAINING_STATE,
    )


@define(kw_only=True, eq=False)
class TargetDecoder:
    """Decodes entries of the service discovery; unchanged targets are decoded once.

    Targets write their entries every 1.5 s, and mostly count heartbeats in them.
    """

    _known: dict[str, tuple[bytes, ListedTarget]] = field(init=False, factory=dict)

    def decode(self, name: str, content: bytes) -> ListedTarget:
        """Return the target that an entry describes, see `decode_target`."""
        lasting = _HEARTBEAT_COUNT_PATTERN.sub(b'"seq":0', content)
        known = self._known.get(name)
        if known is not None and known[0] == lasting:
            return known[1]
        target = decode_target(name, content)
        self._known[name] = (lasting, target)
        return target

    def retain(self, names: Container[str]) -> None:
        """Forget the targets that are not listed any more."""
        self._known = {k: v for k, v in self._known.items() if k in names}


def decode_resources(content: dict) -> Resources:
    """Return the resource amounts in an object; absent ones are zero.

    Raises
    ------
    FieldError
        If an amount is negative, too large or not a whole number.
    """
    return Resources(
        cpu_millicores=_read_amount(content, "cpu"),
        memory_mb=_read_amount(content, "mem_mb"),
        accelerators=_read_amount(content, "gpu"),
    )


def _read_amount(content: dict, name: str) -> int:
    return read_number(content, name, int, 0, MAX_RESOURCE_AMOUNT, 0)
