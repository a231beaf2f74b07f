"""HTTP servers and client connections shared by the other packages."""

from gentianhub.web.connection import (
    HTTP_ERRORS,
    HttpConnection,
    open_connection,
)
from gentianhub.web.server import (
    BodyError,
    Request,
    Response,
    build_application,
    is_closed,
    open_server,
    watch_disconnect,
)

__all__ = [
    "HTTP_ERRORS",
    "BodyError",
    "HttpConnection",
    "Request",
    "Response",
    "build_application",
    "is_closed",
    "open_connection",
    "open_server",
    "watch_disconnect",
]
