"""HTTP servers and client connections shared by the other packages."""

from gentianhub.web.connection import (
    HTTP_ERRORS,
    HttpConnection,
    open_connection,
)
from gentianhub.web.server import (
    BodyError,
    ConnectionEnd,
    ConnectionWatches,
    Request,
    Response,
    build_application,
    find_end,
    open_server,
)

__all__ = [
    "HTTP_ERRORS",
    "BodyError",
    "ConnectionEnd",
    "ConnectionWatches",
    "HttpConnection",
    "Request",
    "Response",
    "build_application",
    "find_end",
    "open_connection",
    "open_server",
]
