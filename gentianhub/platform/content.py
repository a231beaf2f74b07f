"""Decoding of the rows that the operator and the targets write to the store."""

import json

from attrs import define, field

from gentianhub.capacity.jobs import Configuration, ListedTarget, Route
from gentianhub.capacity.resources import Resources
from gentianhub.platform.fields import FieldError, read_field, read_strings
from gentianhub.platform.settings import normalize_name, parse_address

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
        raise FieldError(f"expected a JSON object, got {decoded!r:.60}")
    return decoded


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
    decoded = decode_json(content)
    state = read_field(decoded, "state", str)
    if state not in (READY_STATE, DRAINING_STATE):
        raise FieldError(f"state: expected ready or draining, got {state!r:.60}")
    address = parse_address(read_field(decoded, "address", str))
    return ListedTarget(
        name=name,
        # `born` is the Unix time of the target's start, ms.
        incarnation=read_field(decoded, "born", int, 0),
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
    """Return the resource amounts in an object; absent ones are zero."""
    return Resources(
        cpu_millicores=read_field(content, "cpu", int, 0),
        memory_mb=read_field(content, "mem_mb", int, 0),
        accelerators=read_field(content, "gpu", int, 0),
    )
