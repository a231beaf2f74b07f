"""Rows in the store that hold the registry of hosts and the layout of cells."""

import json

from attrs import asdict, frozen

from gentianhub.platform.content import decode_json
from gentianhub.platform.fields import read_field

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
    return HostEntry(
        data_centre=read_field(decoded, "data_centre", str),
        name=read_field(decoded, "name", str),
        address=read_field(decoded, "address", str),
        port=read_field(decoded, "port", int),
        started_ms=read_field(decoded, "started_ms", int),
        cores=read_field(decoded, "cores", float, 1.0),
    )


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
    return max(1, read_field(decode_json(content), "cells", int))
