"""Peer: targets, which run tasks sent to them by HTTP POST."""

from gentianhub.targets.exchange import Exchange, TargetClient, open_target_client
from gentianhub.targets.pool import ConnectionClosed, ConnectionEnded, TargetPool

__all__ = [
    "ConnectionClosed",
    "ConnectionEnded",
    "Exchange",
    "TargetClient",
    "TargetPool",
    "open_target_client",
]
