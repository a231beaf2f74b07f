"""The register of hosts and the layout of cells, which live in the store."""

import json

from attrs import asdict, frozen

from gentianhub.platform.content import decode_json
from gentianhub.platform.fields import read_field

HOSTS_TABLE = "gentianhub-hosts"
# One row a data centre: into how many cells its targets are split.
LAYOUT_TABLE = "gentianhub-layout"


@frozen(kw_only=True)
class HostEntry:
    """Where a host's siblings reach it, and its size.

    `started_ms` is Unix time, `cores` the processor time that it has.
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
        If the row does not tell it.
    """
    return max(1, read_field(decode_json(content), "cells", int))
