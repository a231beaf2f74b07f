"""The operators' table of weights and limits."""

from collections.abc import Mapping

from attrs import Factory, validators

from gentianhub.core.ids import ProcessName
from gentianhub.core.records import field, frozen


@frozen(kw_only=True)
class TeamRow:
    """Weight and quota of a team; the quota is a number of slots per data centre."""

    name: str
    weight: float = field(default=1.0, validator=validators.gt(0))
    quota_slots: int | None = field(
        default=None, validator=validators.optional(validators.ge(0))
    )


@frozen(kw_only=True)
class ServiceRow:
    """Weight and limits of a service.

    `max_running` is a number of tasks per data centre; `max_queued_s` is the
    expected run time of the queued tasks per entry process, in seconds.
    """

    name: str
    team: str
    weight: float = field(default=1.0, validator=validators.gt(0))
    max_running: int | None = field(
        default=None, validator=validators.optional(validators.ge(0))
    )
    max_queued_s: float = field(default=600.0, validator=validators.gt(0))


@frozen(kw_only=True)
class TargetRow:
    """Limits of a target: concurrent tasks (`slots`) and open connections."""

    name: str
    slots: int = field(default=8, validator=validators.ge(0))
    connections: int = field(default=64, validator=validators.ge(1))


@frozen(kw_only=True)
class Table:
    """One version of the table; rows are keyed by name."""

    version: int = 0
    teams: Mapping[str, TeamRow] = Factory(dict)
    services: Mapping[str, ServiceRow] = Factory(dict)
    targets: Mapping[str, TargetRow] = Factory(dict)

    def get_target_row(self, name: str) -> TargetRow:
        """Return the row of a target, or the default limits if it has none."""
        return self.targets.get(name) or TargetRow(name=name)


@frozen(kw_only=True)
class TargetAddress:
    """Address of a target in the platform's host list."""

    name: str
    data_centre: str
    host: str
    port: int
    leaving: bool = False


@frozen(kw_only=True)
class EntryProcessAddress:
    """Address of an entry process's sibling port in the platform's host list."""

    name: ProcessName
    host: str
    port: int
    leaving: bool = False
