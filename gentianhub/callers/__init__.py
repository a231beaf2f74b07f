"""HTTP port for callers, who submit jobs."""

from gentianhub.callers.server import CallerPort, serve_callers

__all__ = ["CallerPort", "serve_callers"]
