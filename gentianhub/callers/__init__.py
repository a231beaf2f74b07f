"""Peer: callers, who submit jobs over HTTP."""

from gentianhub.callers.server import CallerPort, serve_callers

__all__ = ["CallerPort", "serve_callers"]
