"""Caller port, which converts HTTP requests into operations on jobs."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from gentianhub.callers.replies import encode_refusal, encode_reply
from gentianhub.callers.requests import decode_id_count, decode_job, decode_wait_s
from gentianhub.core import JobId, Refusal, RefusalKind, Step, parse_job_id
from gentianhub.core.operations import (
    CancelOperation,
    Operation,
    ReserveIdsOperation,
    SubmitOperation,
    WatchOperation,
)
from gentianhub.core.records import frozen
from gentianhub.decisions import JobAccepted
from gentianhub.web import (
    BodyError,
    Request,
    Response,
    build_application,
    open_server,
)

MAX_BODY_BYTES = 16 * 1024 * 1024
IDEMPOTENCY_KEY = "idempotency-key"


@frozen(kw_only=True)
class CallerHandler:
    """Handler of callers' requests.

    `perform` performs an operation at the owner of the job, in this process or in
    another one. `is_healthy` determines the result of the health check, by which the
    load balancer decides whether to send requests.
    """

    perform: Callable[[Operation], object]
    is_healthy: Callable[[], bool]

    def handle(self, request: Request) -> Response:
        """Handle one request and return the response."""
        match (request.method, *request.segments):
            case ("GET", "health"):
                return Response(status=200 if self.is_healthy() else 503)
            case ("POST", "v1", "ids"):
                return self._issue_ids(request)
            case ("POST", "v1", "jobs"):
                return self._submit(request, None)
            case (method, "v1", "jobs", text):
                return self._handle_job(method, text, request)
            case _:
                return encode_refusal(_refuse_path(request))

    def _handle_job(self, method: str, text: str, request: Request) -> Response:
        job_id = parse_job_id(text)
        match (method, job_id):
            case (_, Refusal()):
                return encode_refusal(job_id)
            case ("PUT", JobId()):
                return self._submit(request, job_id)
            case ("GET", JobId()):
                return self._watch_job(request, job_id)
            case ("DELETE", JobId()):
                reply = self.perform(CancelOperation(job_id=job_id))
                return encode_reply(reply, job_id)
            case _:
                return encode_refusal(_refuse_path(request))

    def _issue_ids(self, request: Request) -> Response:
        match decode_id_count(request.body):
            case Refusal() as refusal:
                return encode_refusal(refusal)
            case count:
                return encode_reply(self.perform(ReserveIdsOperation(count=count)))

    def _submit(self, request: Request, job_id: JobId | None) -> Response:
        match decode_job(request.body), decode_wait_s(request.query.get("wait_ms")):
            case (Refusal() as refusal, _) | (_, Refusal() as refusal):
                return encode_refusal(refusal)
            case job, wait_s:
                # The id already identifies the job, so a key is ignored.
                key = request.headers.get(IDEMPOTENCY_KEY) if job_id is None else None
                operation = SubmitOperation(request=job, job_id=job_id, key=key)
                return self._await_answer(self.perform(operation), wait_s)

    def _await_answer(self, accepted, wait_s: float) -> Response:
        """Wait for the answer of an accepted job, to save the caller a request."""
        match accepted:
            case JobAccepted(job_id=job_id) if wait_s > 0:
                operation = WatchOperation(job_id=job_id, wait_s=wait_s)
                return encode_reply(self.perform(operation), job_id)
            case _:
                return encode_reply(accepted)

    def _watch_job(self, request: Request, job_id: JobId) -> Response:
        match decode_wait_s(request.query.get("wait_ms")):
            case Refusal() as refusal:
                return encode_refusal(refusal)
            case wait_s:
                operation = WatchOperation(job_id=job_id, wait_s=wait_s)
                return encode_reply(self.perform(operation), job_id)


def _refuse_path(request: Request) -> Refusal:
    return Refusal(
        kind=RefusalKind.NOT_FOUND,
        step=Step.DECODE_REQUEST,
        peer=request.peer,
        reason=f"no {request.method} {request.path[:80]}",
        expected="POST /v1/ids, POST /v1/jobs, or PUT, GET, DELETE /v1/jobs/ID",
    )


def _refuse_body(error: BodyError) -> Response:
    kinds = {413: RefusalKind.TOO_LARGE, 408: RefusalKind.TIMED_OUT}
    return encode_refusal(
        Refusal(
            kind=kinds.get(error.status, RefusalKind.MALFORMED),
            step=Step.DECODE_REQUEST,
            peer="caller",
            reason=error.reason,
            expected=f"a complete body of at most {MAX_BODY_BYTES} bytes",
        )
    )


@contextmanager
def serve_callers(
    address: tuple[str, int], handler: CallerHandler, max_connections: int
) -> Iterator[None]:
    """Serve the caller port while the context is open."""
    application = build_application(handler.handle, _refuse_body, MAX_BODY_BYTES)
    with open_server(address, application, max_connections):
        yield
