"""HTTP server plumbing."""

from gentianhub.web.server import (
    BodyError,
    Request,
    Response,
    build_application,
    open_server,
)

__all__ = ["BodyError", "Request", "Response", "build_application", "open_server"]
