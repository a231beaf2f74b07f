"""The settings file that the platform writes for each host."""

import ipaddress
import os
import re
import tomllib
import zlib
from pathlib import Path
from typing import Any

from gentianhub.capacity.leases import CALLER_RETURN_S, MAX_LEASE_S, STOP_S
from gentianhub.core import ProcessName, SettingsError, Step
from gentianhub.core.ids import PROCESS_NAME_PATTERN
from gentianhub.core.records import frozen
from gentianhub.platform.fields import (
    FieldError,
    describe_value,
    read_field,
    read_strings,
)

SETTINGS_VARIABLE = "GENTIANHUB_BOOT"
# Set to "on" in the deploy file for load shedding by priority.
LOAD_SHEDDING_VARIABLE = "GENTIANHUB_LOAD_SHEDDING"
MAX_NAME_LENGTH = 31
MAX_PORT = 2**16 - 1
# Machine of a host whose settings do not describe it.
DEFAULT_MEMORY_MB = 512.0
DEFAULT_MAX_FDS = 4096.0
_PORT_PATTERN = re.compile(r"[0-9]{1,5}")


@frozen(kw_only=True)
class Address:
    """IP address and port."""

    host: str
    port: int

    def as_host_and_port(self) -> tuple[str, int]:
        """Return host and port."""
        return self.host, self.port


@frozen(kw_only=True)
class HostSettings:
    """Settings of one host; times are in seconds.

    The host listens on `caller_address` for callers, on `readiness_address` for the
    platform's readiness probe, and on `link_address` for links from other hosts. A
    caller whose connection broke comes again after `caller_return_s`; a target stops a
    run within `stop_s` and grants leases of up to `max_lease_s`. The process may use
    `memory_mb` and open `max_fds` file descriptors. `evacuate_s` bounds the starts in
    a data centre after its evacuation; None if the platform sets none. `sheds_load` is
    whether overload refuses jobs by priority, deadline and work.
    """

    name: ProcessName
    node: str
    caller_address: Address
    readiness_address: Address
    link_address: Address
    store: Address
    seeds: tuple[Address, ...]
    cores: float
    grace_s: float
    caller_return_s: float
    stop_s: float
    max_lease_s: float
    memory_mb: float
    max_fds: int
    evacuate_s: float | None = None
    sheds_load: bool = False


def load_host_settings() -> HostSettings:
    """Read the file named by the environment variable.

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
    listen_addresses = read_field(content, "bind_addrs", dict)
    bounds = read_field(content, "bounds", dict, {})
    limits = read_field(content, "limits", dict, {})
    node = read_field(content, "node", str)
    data_centre = read_field(content, "zone", str)
    return HostSettings(
        name=ProcessName(
            data_centre=normalize_name(data_centre), process=normalize_name(node)
        ),
        node=node,
        caller_address=parse_address(read_field(listen_addresses, "front", str)),
        readiness_address=parse_address(read_field(listen_addresses, "ready", str)),
        # The platform's name for the address of links between hosts is `control`.
        link_address=parse_address(read_field(listen_addresses, "control", str)),
        store=parse_address(
            read_field(read_field(content, "platform", dict), "address", str)
        ),
        seeds=tuple(map(parse_address, read_strings(content, "seeds"))),
        # The host gets a share of one core; `cores` is the speed of that core relative
        # to a standard one.
        cores=read_field(limits, "cpu_share", float, 1.0)
        * read_field(limits, "cores", float, 1.0),
        grace_s=read_field(bounds, "grace_s", float, 6.0),
        caller_return_s=read_field(bounds, "resend_ms", float, CALLER_RETURN_S * 1000)
        / 1000,
        stop_s=read_field(bounds, "stop_ms", float, STOP_S * 1000) / 1000,
        max_lease_s=read_field(bounds, "hold_max_ms", float, MAX_LEASE_S * 1000) / 1000,
        memory_mb=read_field(limits, "memory_mb", float, DEFAULT_MEMORY_MB),
        max_fds=int(read_field(limits, "max_fds", float, DEFAULT_MAX_FDS)),
        evacuate_s=(
            read_field(bounds, "evacuate_ms", float) / 1000
            if "evacuate_ms" in bounds
            else None
        ),
        sheds_load=os.environ.get(LOAD_SHEDDING_VARIABLE) == "on",
    )


def parse_address(text: str) -> Address:
    """Return the address in a text of the form `IP:PORT`.

    Raises
    ------
    FieldError
        If the text has another form.
    """
    host, _, port = text.rpartition(":")
    if not _PORT_PATTERN.fullmatch(port):
        raise FieldError(f"expected IP:PORT, got {describe_value(text)}")
    return check_address(host, int(port))


def check_address(host: str, port: int) -> Address:
    """Return an address if it can be connected to.

    Raises
    ------
    FieldError
        If the host is no IPv4 address or the port is out of range.
    """
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        found = describe_value(host)
        raise FieldError(f"address: expected IPv4, got {found}") from error
    if not 1 <= port <= MAX_PORT:
        raise FieldError(f"port: expected 1 to {MAX_PORT}, got {port}")
    return Address(host=host, port=port)


def normalize_name(text: str) -> str:
    """Return a name of a host or data centre in the characters allowed for names.

    A changed name gets a checksum of the original, so that names stay distinct.
    """
    if PROCESS_NAME_PATTERN.fullmatch(text):
        return text
    slug = re.sub(r"[^a-z0-9]+", "-", text.lower()).strip("-")
    checksum = f"{zlib.crc32(text.encode()):08x}"
    return f"{slug[: MAX_NAME_LENGTH - 9]}-{checksum}".lstrip("-")
