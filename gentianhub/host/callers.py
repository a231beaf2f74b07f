"""HTTP servers for callers and for the host's readiness, metrics and state."""

import json
import math
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from gentianhub.core import Mailbox, read_monotonic_s
from gentianhub.core.records import evolve, field, frozen
from gentianhub.host import messages as ms
from gentianhub.host.client_limits import CALLERS
from gentianhub.host.decision_log import log_decision
from gentianhub.platform.callers import DEADLINE_HEADER, encode_error
from gentianhub.platform.settings import Address
from gentianhub.web import (
    BodyError,
    ConnectionEnd,
    ConnectionTable,
    ConnectionWatches,
    Request,
    Response,
    build_application,
    find_end,
    open_server,
)

# Longest wait for an answer that a caller can request, s.
MAX_WAIT_S = 86_400.0
# All requests are answered before the servers stop, but callers keep idle connections
# open until the process exits, which must happen within the grace period.
STOP_TIMEOUT_S = 0.1
# A readiness probe or a request for metrics has no body.
MAX_OPERATIONS_BODY_BYTES = 4096
# Time after which a caller may come again that was refused for want of memory, s.
RETRY_AFTER_S = 1.0
# deploy/system.toml names this port in the metrics address.
METRICS_PORT = 9464
CALLER_LEFT = "the caller has closed its connection"


@frozen(kw_only=True)
class _Departure:
    """The caller has left; its departure is reported unless the mailbox was full."""

    message: ms.CallerConnectionClosed
    is_reported: bool


@frozen(kw_only=True)
class CallerHandler:
    """Passes callers' requests to the coordinator and waits for their responses.

    While `is_draining` returns true, connections are closed after each response.
    `watches` are the connections of open requests.
    """

    coordinator: Mailbox
    is_draining: Callable[[], bool]
    watches: ConnectionWatches = field(factory=lambda: ConnectionWatches())

    def handle(self, request: Request) -> Response:
        """Return the response to one request."""
        if request.method == "POST" and find_end(request.connection):
            return _refuse_departed(request)
        replies = Mailbox(limit=2)
        message = ms.CallerRequest(
            method=request.method,
            host=request.headers.get("host", "").partition(":")[0],
            path=request.path,
            body=request.body,
            wait_s=parse_wait_s(request.headers.get(DEADLINE_HEADER)),
            reply_to=replies,
            read_s=read_monotonic_s(),
        )
        if not self.coordinator.try_put(message):
            return encode_error(503, "the coordinator's mailbox is full", 1.0)

        def report_departure(end: ConnectionEnd) -> bool:
            left = ms.CallerConnectionClosed(reply_to=replies, end=end)
            # A departure has to be in the mailbox before anything is handled that has
            # arrived with it, so that it is put there by the event loop itself.
            is_reported = self.coordinator.try_put(left)
            replies.try_put(_Departure(message=left, is_reported=is_reported))
            return is_reported

        with self.watches.watch(request.connection, report_departure):
            reply = replies.get()
            match reply:
                case _Departure(message=left, is_reported=False):
                    # The report of a full mailbox may be late, but not lost.
                    self.coordinator.put(left)
        match reply:
            case _Departure():
                # There is no answer for a caller that has left.
                return _add_close(encode_error(504, CALLER_LEFT))
            case response:
                return self._close_if_draining(response)

    def _close_if_draining(self, response: Response) -> Response:
        return _add_close(response) if self.is_draining() else response


def _add_close(response: Response) -> Response:
    """Return a response after which the connection is closed."""
    return evolve(response, headers={**response.headers, "Connection": "close"})


def parse_wait_s(text: str | None) -> float | None:
    """Return how long the caller waits, s; None without a valid header."""
    try:
        wait_s = float(text) / 1000 if text else math.nan
    except ValueError:
        return None
    return min(max(0.0, wait_s), MAX_WAIT_S) if math.isfinite(wait_s) else None


def _refuse_departed(request: Request) -> Response:
    """Refuse a job that its caller may have submitted again through another host."""
    log_decision("caller left", request.path.rpartition("/")[2], is_passed_on=False)
    return _add_close(encode_error(503, CALLER_LEFT))


def _refuse_body(error: BodyError) -> Response:
    retry_after_s = RETRY_AFTER_S if error.status == 503 else None
    return encode_error(error.status, error.reason, retry_after_s)


@contextmanager
def serve_callers(
    address: Address, handler: CallerHandler, connections: ConnectionTable
) -> Iterator[None]:
    """Serve callers until the end of the block; wait briefly for open requests."""
    application = build_application(handler.handle, _refuse_body)
    with open_server(
        address.as_host_and_port(),
        application,
        connections.max_connections[CALLERS],
        STOP_TIMEOUT_S,
        connections,
        CALLERS,
    ):
        yield


@contextmanager
def serve_operations(
    address: Address,
    coordinator: Mailbox,
    is_ready: Callable[[], bool],
    connections: ConnectionTable,
    port: str,
) -> Iterator[None]:
    """Serve readiness, metrics and the state dump until the end of the block."""

    def handle(request: Request) -> Response:
        match request.path:
            case "/metrics":
                text = _request_from_coordinator(coordinator, ms.RenderHostMetrics)
                return Response(status=200, body=text)
            case "/dump":
                state = _request_from_coordinator(coordinator, ms.DescribeHost)
                return Response(status=200, body=json.dumps(state).encode())
            case _:
                return Response(status=200 if is_ready() else 503)

    application = build_application(handle, _refuse_body, MAX_OPERATIONS_BODY_BYTES)
    with open_server(
        address.as_host_and_port(),
        application,
        connections.max_connections[port],
        STOP_TIMEOUT_S,
        connections,
        port,
    ):
        yield


def _request_from_coordinator(coordinator: Mailbox, message_type):
    replies = Mailbox(limit=1)
    coordinator.put(message_type(reply_to=replies))
    return replies.get()
