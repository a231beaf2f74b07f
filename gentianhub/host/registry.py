"""The register of hosts, which lives in the platform's store."""

import json

from attrs import asdict, frozen

from gentianhub.platform.content import decode_json
from gentianhub.platform.fields import read_field

HOSTS_TABLE = "gentianhub-hosts"


@frozen(kw_only=True)
class HostEntry:
    """Where a host's siblings reach it; `started_ms` is Unix time."""

    data_centre: str
    name: str
    address: str
    port: int
    started_ms: int


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
    )
