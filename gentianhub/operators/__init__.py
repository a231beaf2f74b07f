"""Peer: operators, who inspect processes and edit the table."""

from gentianhub.operators.server import OperatorPort, serve_operators

__all__ = ["OperatorPort", "serve_operators"]
