"""HTTP servers and client connections shared by the other packages."""

from gentianhub.web.bodies import BodyError
from gentianhub.web.connection import (
    HTTP_ERRORS,
    HttpConnection,
    open_connection,
)
from gentianhub.web.connections import ConnectionTable
from gentianhub.web.server import (
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
    "ConnectionTable",
    "ConnectionWatches",
    "HttpConnection",
    "Request",
    "Response",
    "build_application",
    "find_end",
    "open_connection",
    "open_server",
]
