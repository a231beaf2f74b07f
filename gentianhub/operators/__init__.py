"""Peer: operators, who inspect processes and edit the table."""

from gentianhub.operators.server import OperatorHandler, serve_operators

__all__ = ["OperatorHandler", "serve_operators"]
