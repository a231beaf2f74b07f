"""The settings file that the platform writes for each host."""

import os
import re
import tomllib
import zlib
from pathlib import Path
from typing import Any

from attrs import frozen

from gentianhub.core import ProcessName, SettingsError, Step
from gentianhub.core.ids import NAME_PATTERN
from gentianhub.platform.fields import FieldError, read_field, read_texts

SETTINGS_VARIABLE = "GENTIANHUB_BOOT"
MAX_NAME = 31


@frozen(kw_only=True)
class Address:
    """IP address and port."""

    host: str
    port: int

    def as_pair(self) -> tuple[str, int]:
        """Return host and port."""
        return self.host, self.port


@frozen(kw_only=True)
class HostSettings:
    """What a host learns from its settings; times in seconds.

    `callers` takes the callers' connections, `readiness` the platform's look at the
    host's readiness, `siblings` the links of other hosts.
    """

    name: ProcessName
    node: str
    callers: Address
    readiness: Address
    siblings: Address
    store: Address
    seeds: tuple[Address, ...]
    cores: float
    grace_s: float


def load_host_settings() -> HostSettings:
    """Read the file that the environment names.

    Raises
    ------
    SettingsError
        If the file cannot be read or lacks a field.
    """
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        content = tomllib.loads(Path(path).read_text())
        return _decode_settings(content)
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError, FieldError) as error:
        raise SettingsError(
            step=Step.READ_SETTINGS, peer=path or SETTINGS_VARIABLE, reason=str(error)
        ) from error


def _decode_settings(content: dict[str, Any]) -> HostSettings:
    listening = read_field(content, "bind_addrs", dict)
    bounds = read_field(content, "bounds", dict, {})
    limits = read_field(content, "limits", dict, {})
    node = read_field(content, "node", str)
    data_centre = read_field(content, "zone", str)
    return HostSettings(
        name=ProcessName(data_centre=make_name(data_centre), process=make_name(node)),
        node=node,
        callers=parse_address(read_field(listening, "front", str)),
        readiness=parse_address(read_field(listening, "ready", str)),
        siblings=parse_address(read_field(listening, "control", str)),
        store=parse_address(
            read_field(read_field(content, "platform", dict), "address", str)
        ),
        seeds=tuple(map(parse_address, read_texts(content, "seeds"))),
        # A share of one core that is `cores` times as fast as a common one.
        cores=read_field(limits, "cpu_share", float, 1.0)
        * read_field(limits, "cores", float, 1.0),
        grace_s=read_field(bounds, "grace_s", float, 6.0),
    )


def parse_address(text: str) -> Address:
    """Return the address written as `IP:PORT`."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise FieldError(f"expected IP:PORT, got {text!r:.60}")
    return Address(host=host, port=int(port))


def make_name(text: str) -> str:
    """Return a name of a host or data centre in the project's alphabet.

    Names that need a change get a checksum, so that they stay distinct.
    """
    if NAME_PATTERN.fullmatch(text):
        return text
    plain = re.sub(r"[^a-z0-9]+", "-", text.lower()).strip("-")
    digest = f"{zlib.crc32(text.encode()):08x}"
    return f"{plain[: MAX_NAME - 9]}-{digest}".lstrip("-")
