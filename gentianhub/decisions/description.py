"""State of the dispatcher, in a readable form for the dump."""

from gentianhub.core.records import frozen


@frozen(kw_only=True)
class StateDescription:
    """State of the dispatcher, in a readable form for the dump."""

    owner: str
    table_version: int
    is_draining: bool
    open_jobs: int
    kept_jobs: int
    queued_tasks: int
    slots_held: dict[str, int]
    slots_in_use: dict[str, int]
    slots_lent: dict[str, int]
    slots_reserved: dict[str, int]
    unused_targets: dict[str, str]
    target_limits: dict[str, int]
    target_speeds: dict[str, float]
