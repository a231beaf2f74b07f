"""Validated settings of an entry host; quantities have their unit in the name."""

import math

from attrs import validators

from gentianhub.core.ids import PROCESS_NAME_PATTERN
from gentianhub.core.records import field, frozen

_name_validator = validators.matches_re(PROCESS_NAME_PATTERN)
_port_validator = validators.and_(validators.ge(1), validators.le(65535))


def _explain(meaning: str) -> dict[str, str]:
    """Return the field metadata from which docs/settings.md is generated."""
    return {"meaning": meaning}


@frozen(kw_only=True)
class Endpoint:
    """An IP address and a port."""

    host: str = field(validator=validators.min_len(1), metadata=_explain("IP address"))
    port: int = field(
        validator=_port_validator, metadata=_explain("TCP port, 1 to 65535")
    )

    def as_host_and_port(self) -> tuple[str, int]:
        """Return the address as a (host, port) pair for the socket functions."""
        return (self.host, self.port)


@frozen(kw_only=True)
class ProcessSettings:
    """Name and listening addresses of one entry process."""

    name: str = field(
        validator=_name_validator,
        metadata=_explain(
            "name selected by `--process`, unique in the data centre: 1 to 31"
            " lower-case letters, digits and hyphens"
        ),
    )
    callers: Endpoint = field(
        metadata=_explain("address for callers, as configured in the load balancer")
    )
    siblings: Endpoint = field(
        metadata=_explain("address at which the other entry processes reach this one")
    )
    operators: Endpoint = field(
        metadata=_explain("address for operators: dump, metrics, drain, log level")
    )


@frozen(kw_only=True)
class LimitSettings:
    """Limits of one entry process."""

    caller_connections: int = field(
        default=1024,
        validator=validators.ge(1),
        metadata=_explain(
            "caller connections served concurrently; others wait to be accepted"
        ),
    )
    dispatcher_mailbox: int = field(
        default=10_000,
        validator=validators.ge(1),
        metadata=_explain("maximum number of messages queued for the dispatcher"),
    )
    siblings_mailbox: int = field(
        default=10_000,
        validator=validators.ge(1),
        metadata=_explain("maximum number of messages queued for the sibling manager"),
    )
    drain_s: float = field(
        default=30.0,
        validator=validators.and_(validators.ge(0), validators.lt(math.inf)),
        metadata=_explain(
            "time limit in seconds for accepted jobs to end after SIGTERM or"
            " `POST /drain`"
        ),
    )


@frozen(kw_only=True)
class HostSettings:
    """Settings of one entry host: its data centre, platform and processes."""

    data_centre: str = field(
        validator=_name_validator,
        metadata=_explain(
            "data centre of this host, as in the host list: 1 to 31 lower-case letters,"
            " digits and hyphens"
        ),
    )
    platform: Endpoint = field(
        metadata=_explain("address of the table service, object store and host list")
    )
    processes: tuple[ProcessSettings, ...] = field(
        validator=validators.min_len(1),
        metadata=_explain("entry processes of this host, at least one"),
    )
    limits: LimitSettings = field(
        factory=LimitSettings, metadata=_explain("limits of each entry process")
    )
    siblings: tuple[Endpoint, ...] = field(
        default=(),
        metadata=_explain(
            "sibling ports that a process queries when the platform does not respond"
        ),
    )
    log_level: str = field(
        default="info",
        validator=validators.in_(("debug", "info", "warning", "error")),
        metadata=_explain(
            "lowest log level written: `debug`, `info`, `warning` or `error`; an"
            " operator can change it in a running process"
        ),
    )
