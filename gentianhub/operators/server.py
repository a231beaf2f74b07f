"""HTTP server for operators: state dump, metrics, drain and log level."""

import json
import logging
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import cattrs

from gentianhub.core import Mailbox
from gentianhub.core.events import DescribeState
from gentianhub.core.records import frozen
from gentianhub.observability import RenderMetrics
from gentianhub.siblings import DescribeSiblings
from gentianhub.web import (
    BodyError,
    Request,
    Response,
    build_application,
    open_server,
)

MAX_BODY_BYTES = 1024 * 1024
MAX_CONNECTIONS = 32
LOG_LEVELS = frozenset({"debug", "info", "warning", "error"})


@frozen(kw_only=True)
class OperatorHandler:
    """Request handler of the operator port."""

    dispatcher: Mailbox
    siblings: Mailbox
    start_drain: Callable[[], None]

    def handle(self, request: Request) -> Response:
        """Return the response to a request.

        `GET /dump` and `GET /metrics` wait for the greenlets that own the state.
        """
        match (request.method, *request.segments):
            case ("GET", "dump"):
                return _build_json(200, self._dump_state())
            case ("GET", "metrics"):
                text = _request_reply(
                    self.dispatcher, lambda replies: RenderMetrics(reply_to=replies)
                )
                return Response(status=200, body=text, headers={})
            case ("POST", "drain"):
                self.start_drain()
                return _build_json(202, {"state": "draining"})
            case ("POST", "log-level", level) if level in LOG_LEVELS:
                logging.getLogger().setLevel(level.upper())
                return _build_json(200, {"log_level": level})
            case _:
                expected = "GET /dump, GET /metrics, POST /drain, POST /log-level/LEVEL"
                return _build_json(404, {"error": {"expected": expected}})

    def _dump_state(self) -> dict:
        state = _request_reply(
            self.dispatcher, lambda replies: DescribeState(reply_to=replies)
        )
        siblings = _request_reply(
            self.siblings, lambda replies: DescribeSiblings(reply_to=replies)
        )
        return cattrs.unstructure(state) | {"siblings": cattrs.unstructure(siblings)}


def _request_reply(mailbox: Mailbox, build_message):
    replies = Mailbox(limit=1)
    mailbox.put(build_message(replies))
    return replies.get()


def _build_json(status: int, content) -> Response:
    return Response(
        status=status,
        body=json.dumps(content, indent=2).encode(),
        headers={"Content-Type": "application/json"},
    )


def _refuse_body(error: BodyError) -> Response:
    return _build_json(error.status, {"error": {"reason": error.reason}})


@contextmanager
def serve_operators(address: tuple[str, int], port: OperatorHandler) -> Iterator[None]:
    """Serve the operator port while the context is open."""
    application = build_application(port.handle, _refuse_body, MAX_BODY_BYTES)
    with open_server(address, application, MAX_CONNECTIONS):
        yield
