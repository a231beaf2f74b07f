"""Connections to targets, which run tasks that are sent to them by HTTP POST."""

from gentianhub.targets.exchange import AttemptResult, TargetClient, open_target_client
from gentianhub.targets.pool import ConnectionIdle, ConnectionReleased, TargetPool

__all__ = [
    "AttemptResult",
    "ConnectionIdle",
    "ConnectionReleased",
    "TargetClient",
    "TargetPool",
    "open_target_client",
]
