"""Checked settings of the daemons; every field has its unit in its name."""

from attrs import field, frozen, validators

from gentianhub.core.ids import NAME_PATTERN

_valid_name = validators.matches_re(NAME_PATTERN)
_valid_port = validators.and_(validators.ge(1), validators.le(65535))


@frozen(kw_only=True)
class Endpoint:
    """An IP address and a port."""

    host: str = field(validator=validators.min_len(1))
    port: int = field(validator=_valid_port)

    def as_pair(self) -> tuple[str, int]:
        """Return the address in the form that sockets take."""
        return (self.host, self.port)


@frozen(kw_only=True)
class ProcessSettings:
    """Ports of one entry process."""

    name: str = field(validator=_valid_name)
    callers: Endpoint
    siblings: Endpoint
    operators: Endpoint


@frozen(kw_only=True)
class LimitSettings:
    """Limits of one entry process."""

    caller_connections: int = field(default=1024, validator=validators.ge(1))
    dispatcher_mailbox: int = field(default=10_000, validator=validators.ge(1))
    siblings_mailbox: int = field(default=10_000, validator=validators.ge(1))
    drain_s: float = field(default=30.0, validator=validators.ge(0))


@frozen(kw_only=True)
class HostSettings:
    """Settings of one entry host: its data centre, platform and processes."""

    data_centre: str = field(validator=_valid_name)
    platform: Endpoint
    processes: tuple[ProcessSettings, ...] = field(validator=validators.min_len(1))
    limits: LimitSettings = field(factory=LimitSettings)
    # Sibling ports that a process asks when the platform does not answer.
    siblings: tuple[Endpoint, ...] = ()
    log_level: str = field(
        default="info", validator=validators.in_(("debug", "info", "warning", "error"))
    )
