"""HTTP port for callers, who submit jobs."""

from gentianhub.callers.server import CallerHandler, serve_callers

__all__ = ["CallerHandler", "serve_callers"]
