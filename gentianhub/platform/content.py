"""Decoding of the rows that the operator and the targets write to the store."""

import json
import re
from collections.abc import Iterator

from attrs import define, field

from gentianhub.capacity.jobs import Configuration, ListedTarget, Route
from gentianhub.capacity.resources import Resources
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
# A target's name is sent in a header.
_TARGET_NAME_PATTERN = re.compile(r"[!-~]{1,200}")

READY_STATE = "ready"
DRAINING_STATE = "draining"


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

        Raises
        ------
        FieldError
            If a field is missing or has the wrong type.
        """
        decoded = decode_json(content)
        limits = read_field(decoded, "limits", dict, {})
        rows = read_field(decoded, "routes", list, [])
        routes = tuple(map(self._decode_route, rows))
        self._known = {
            route.name: (row, route) for row, route in zip(rows, routes, strict=True)
        }
        return Configuration(
            version=read_field(decoded, "version", int),
            routes=routes,
            max_body_bytes=read_field(limits, "max_body_bytes", int, 262_144),
        )

    def _decode_route(self, row: object) -> Route:
        name = read_field(row, "name", str)
        known_row, route = self._known.get(name, (None, None))
        return route if known_row == row else _decode_route(row)


def decode_configuration(content: bytes) -> Configuration:
    """Return the operator's configuration, see `ConfigurationDecoder.decode`."""
    return ConfigurationDecoder().decode(content)


def _decode_route(content: object) -> Route:
    return Route(
        name=read_field(content, "name", str),
        host=read_field(content, "host", str),
        prefix=read_field(content, "prefix", str),
        service=read_field(content, "service", str),
        priority=read_field(content, "priority", int, 0),
        max_attempts=read_field(content, "max_attempts", int, 1),
        objective_s=read_field(content, "slo_ms", float, 0.0) / 1000,
        stretch=read_field(content, "stretch", float, 1.0),
        timeout_s=read_field(content, "timeout_ms", float, 0.0) / 1000,
        requires_advice=read_field(content, "advice", dict, None) is not None,
    )


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
