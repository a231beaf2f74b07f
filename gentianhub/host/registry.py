"""Rows in the store that hold the registry of hosts and the layout of cells."""

import json

from attrs import asdict

from gentianhub.core.ids import PROCESS_NAME_PATTERN
from gentianhub.core.records import frozen
from gentianhub.platform.content import MAX_UNIX_MS, decode_json
from gentianhub.platform.fields import (
    FieldError,
    describe_value,
    read_field,
    read_number,
)
from gentianhub.platform.settings import check_address

# Largest size of a host, and largest number of cells of a data centre, which a message
# has 16 bits for.
MAX_CORES = 1024.0
MAX_CELLS = 2**16 - 1

HOSTS_TABLE = "gentianhub-hosts"
# One row for each data centre: the number of cells that its targets are split into.
LAYOUT_TABLE = "gentianhub-layout"


@frozen(kw_only=True)
class HostEntry:
    """Address for links from other hosts, and size of a host.

    `started_ms` is Unix time; `cores` is the host's processor time, in cores.
    """

    data_centre: str
    name: str
    address: str
    port: int
    started_ms: int
    cores: float


def encode_host(entry: HostEntry) -> bytes:
    """Return the content of a host's row."""
    return json.dumps(asdict(entry)).encode()


def decode_host(content: bytes) -> HostEntry:
    """Return the host that a row describes.

    Raises
    ------
    FieldError
        If the row describes no host.
    """
    decoded = decode_json(content)
    address = check_address(
        read_field(decoded, "address", str), read_field(decoded, "port", int)
    )
    return HostEntry(
        data_centre=_read_name(decoded, "data_centre"),
        name=_read_name(decoded, "name"),
        address=address.host,
        port=address.port,
        started_ms=read_number(decoded, "started_ms", int, 0, MAX_UNIX_MS),
        cores=read_number(decoded, "cores", float, 0.0, MAX_CORES, 1.0),
    )


def _read_name(content: dict, name: str) -> str:
    value = read_field(content, name, str)
    if not PROCESS_NAME_PATTERN.fullmatch(value):
        raise FieldError(f"{name}: expected a name, got {describe_value(value)}")
    return value


def encode_layout(cells: int) -> bytes:
    """Return the content of a data centre's row in the layout."""
    return json.dumps({"cells": cells}).encode()


def decode_layout(content: bytes) -> int:
    """Return the number of cells of a data centre.

    Raises
    ------
    FieldError
        If the row does not hold it.
    """
    return read_number(decode_json(content), "cells", int, 1, MAX_CELLS)
