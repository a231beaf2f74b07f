"""The handshake that opens a link, and the encoding of process names."""

from gentianhub.core import Incarnation, ProcessName
from gentianhub.core.records import frozen

PROTOCOL_VERSION = 1


@frozen(kw_only=True)
class Hello:
    """First message on a link, in both directions.

    `started_ms` is Unix time; `host` and `port` are the sender's own listener.
    """

    sender: Incarnation
    started_ms: int
    host: str
    port: int
    protocol_version: int = PROTOCOL_VERSION


def check_size(number: int, bits: int) -> int:
    """Return the number if it fits an unsigned field of this width."""
    if not 0 <= number < 2**bits:
        raise OverflowError(f"{number} does not fit {bits} bits")
    return number


def fill_struct(builder, content: dict) -> None:
    """Set the fields of a Cap'n Proto struct; initialise nested structs and lists."""
    for name, value in content.items():
        match value:
            case dict():
                fill_struct(builder.init(name), value)
            case [dict(), *_]:
                elements = builder.init(name, len(value))
                for index, element in enumerate(value):
                    fill_struct(elements[index], element)
            case _:
                setattr(builder, name, value)


def build_hello(hello: Hello) -> dict:
    """Return the fields of a greeting for `fill_struct`."""
    return {
        "protocolVersion": hello.protocol_version,
        "sender": build_incarnation(hello.sender),
        "startedMs": hello.started_ms,
        "host": hello.host,
        "port": check_size(hello.port, 16),
    }


def build_name(name: ProcessName) -> dict:
    """Return the fields of a process name for `fill_struct`."""
    return {"dataCentre": name.data_centre, "process": name.process}


def build_incarnation(incarnation: Incarnation) -> dict:
    """Return the fields of an incarnation for `fill_struct`."""
    return {
        "name": build_name(incarnation.name),
        "token": int(incarnation.token, 16),
    }


def read_hello(content) -> Hello:
    """Return the decoded greeting."""
    return Hello(
        protocol_version=content.protocolVersion,
        sender=read_incarnation(content.sender),
        started_ms=content.startedMs,
        host=content.host,
        port=content.port,
    )


def read_name(content) -> ProcessName:
    """Return the decoded process name."""
    return ProcessName(data_centre=content.dataCentre, process=content.process)


def read_incarnation(content) -> Incarnation:
    """Return the decoded incarnation."""
    return Incarnation(name=read_name(content.name), token=f"{content.token:016x}")
