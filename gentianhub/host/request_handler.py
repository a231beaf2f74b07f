"""Handling of callers' requests: decoding, submission of jobs, and answers."""

from collections.abc import Callable
from typing import Any

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity.cancelled_jobs import Recording
from gentianhub.capacity.front import SUSPENDED, FrontJobRegistry
from gentianhub.capacity.jobs import Route
from gentianhub.capacity.ownership import CellOwner
from gentianhub.capacity.submissions import (
    CallerDisconnected,
    CancelCapacityJob,
    RequestNotSent,
    SubmitCapacityJob,
)
from gentianhub.core import Incarnation, Mailbox
from gentianhub.core.records import define, evolve, field, frozen
from gentianhub.host import messages as ms
from gentianhub.host.cancellations import (
    Cancellations,
    CancelOutcome,
    JobCancelled,
    NoSuchJob,
    NotKnown,
)
from gentianhub.host.configuration import ConfigurationCache
from gentianhub.host.decision_log import log_decision, record_shed_job
from gentianhub.host.job_memory import OVER_JOB_MEMORY, JobMemory
from gentianhub.host.metrics import HostMetrics
from gentianhub.host.outbox import Outbox
from gentianhub.platform import callers
from gentianhub.platform.fields import FieldError
from gentianhub.web import ConnectionEnd, Response

# Applies if neither the request nor the route sets a wait, s.
DEFAULT_WAIT_S = 30.0
# Time after which a caller may come again whose job had no room, s.
MEMORY_RETRY_AFTER_S = 1.0


@frozen(kw_only=True)
class PendingRequest:
    """A submission that has no answer yet; `accepted_s` is monotonic.

    Its job is counted with `held_bytes`.
    """

    job_id: str
    accepted_s: float
    held_bytes: int


@define(kw_only=True, eq=False)
class RequestHandler:
    """Turns callers' requests into events of the job registry, and answers them.

    `cancel_in_cells` ends the tasks of a job in this host's cells, and returns whether
    there were any.
    `find_heard_heartbeat` returns the number of an owner's last heartbeat.
    `rejects_jobs` is set when the host is about to exit. `resumed_s` is the monotonic
    time at which the machine was last found to run again after a suspension.
    """

    job_registry: FrontJobRegistry
    outbox: Outbox
    configuration: ConfigurationCache
    metrics: HostMetrics
    cancellations: Cancellations
    cancel_in_cells: Callable[[str, float], bool] = lambda job, now_s: False
    find_heard_heartbeat: Callable[[Incarnation], int] = lambda owner: 0
    rejects_jobs: bool = False
    resumed_s: float = float("-inf")
    memory: JobMemory = field(factory=lambda: JobMemory())
    _pending_requests: dict[Any, PendingRequest] = field(init=False, factory=dict)

    def handle_request(self, request: ms.CallerRequest, now_s: float) -> None:
        """Answer a request, or pass its job to the job registry."""
        if self.configuration.current is None:
            self._reply(request.reply_to, callers.encode_error(503, "not configured"))
            return
        route = self.configuration.current.find_route(request.host, request.path)
        if route is None:
            self._reply(request.reply_to, callers.encode_error(404, "no such queue"))
            return
        job_id = request.path[len(route.prefix) :].strip("/")
        match request.method:
            case "POST" if self.rejects_jobs:
                log_decision("job refused", job_id, reason="the host stops")
                refusal = callers.encode_error(503, "the host stops", 0.0)
                self._reply(request.reply_to, refusal)
            case "POST" if request.read_s < self.resumed_s:
                # The caller may have left meanwhile, and its departure may be lost.
                log_decision("job refused", job_id, reason=SUSPENDED)
                refusal = callers.encode_error(503, SUSPENDED, 0.0)
                self._reply(request.reply_to, refusal)
            case "POST":
                self._submit(request, route, job_id, now_s)
            case "GET" if not job_id:
                count = self.job_registry.count_unstarted_jobs(route.name)
                self._reply(request.reply_to, callers.encode_pending_count(count))
            case "GET":
                self._reply(request.reply_to, self._describe_job(job_id))
            case "DELETE":
                self._cancel(request, job_id, now_s)
            case _:
                self._reply(request.reply_to, callers.encode_error(405, "unknown"))

    def describe_state(self) -> dict:
        """Return the number of open jobs and the owners for the `/dump` endpoint."""
        return {
            "open_jobs": len(self.job_registry.jobs),
            "owners": {
                str(cell): [str(known.owner), known.claim.term]
                for cell, known in self.job_registry.owners.items()
            },
        }

    def handle_disconnect(
        self, reply_to: Any, end: ConnectionEnd, now_s: float
    ) -> None:
        """Abandon the job of a caller whose connection has closed."""
        pending = self._end_request(reply_to)
        if pending is not None:
            self.metrics.departures[end.value] += 1
            log_decision(
                "caller left",
                pending.job_id,
                end=end.value,
                waited_s=round(now_s - pending.accepted_s, 4),
            )
            self.handle_event(
                CallerDisconnected(job_id=pending.job_id, reply_to=reply_to), now_s
            )

    def handle_event(self, event, now_s: float) -> None:
        """Pass an event to the job registry and execute the effects that it returns."""
        for effect in self.job_registry.handle(event, now_s):
            self.execute_effect(effect, now_s)

    def execute_effect(self, effect: fx.FrontEffect, now_s: float) -> None:
        """Execute one effect of the job registry."""
        match effect:
            case fx.SendToOwner(cell=cell, message=message):
                cell_owner = self.job_registry.owners.get(cell)
                _log_task_request(message, cell_owner)
                if cell_owner is not None:
                    self._send_to_owner(cell_owner.owner, message, now_s)
            case fx.AnswerCaller():
                self._answer(effect, now_s)
            case fx.ShedJob():
                record_shed_job(effect, self.metrics)
            case fx.LogDecision():
                log_decision(effect.decision, effect.subject, **effect.inputs)

    def _send_to_owner(
        self, owner: Incarnation, message: ev.RunTasks | ev.CancelTasks, now_s: float
    ) -> None:
        match message:
            case ev.RunTasks():
                heard = self.find_heard_heartbeat(owner)
                message = evolve(message, heard_heartbeat=heard)
        if self.outbox.send(owner, message):
            return
        log_decision("order not sent", message.job, owner=str(owner))
        match message:
            case ev.RunTasks():
                self.handle_event(RequestNotSent(request=message), now_s)

    def _submit(
        self, request: ms.CallerRequest, route: Route, job_id: str, now_s: float
    ) -> None:
        try:
            if not callers.JOB_ID_PATTERN.fullmatch(job_id):
                raise FieldError(f"id: expected 16 hex digits, got {job_id!r:.40}")
            job = callers.decode_job(request.body)
        except FieldError as error:
            log_decision("job malformed", job_id, reason=str(error))
            self._reply(request.reply_to, callers.encode_error(400, str(error)))
            return
        held_bytes = self.memory.reserve(job)
        if held_bytes is None and self._is_known(job_id, now_s):
            # It takes little more, and a refusal would say that it has not run.
            held_bytes = 0
        if held_bytes is None:
            log_decision("job refused", job_id, reason=OVER_JOB_MEMORY)
            refusal = callers.encode_error(503, OVER_JOB_MEMORY, MEMORY_RETRY_AFTER_S)
            self._reply(request.reply_to, refusal)
            return
        log_decision(
            "job submitted",
            job_id,
            route=route.name,
            configuration=self.configuration.version,
            widths=[step.count for step in job.steps],
            estimates_s=[step.estimate_s for step in job.steps],
            wait_s=request.wait_s,
        )
        self._pending_requests[request.reply_to] = PendingRequest(
            job_id=job_id, accepted_s=now_s, held_bytes=held_bytes
        )
        self.metrics.count_submission(route.name)
        submit = SubmitCapacityJob(
            job_id=job_id,
            job=job,
            route=route,
            wait_s=request.wait_s or route.timeout_s or DEFAULT_WAIT_S,
            reply_to=request.reply_to,
            rank=self.configuration.find_rank(route),
        )
        self.handle_event(submit, now_s)

    def _is_known(self, job_id: str, now_s: float) -> bool:
        """Whether a job is open here, or its final answer is kept."""
        registry = self.job_registry
        kept = registry.kept_answers.find(job_id, now_s)
        return job_id in registry.jobs or kept is not None

    def _describe_job(self, job_id: str) -> Response:
        job = self.job_registry.jobs.get(job_id)
        if job is None:
            return callers.encode_error(410, "no such job")
        return callers.encode_state(200, "running" if job.has_started else "queued")

    def _cancel(self, request: ms.CallerRequest, job_id: str, now_s: float) -> None:
        if not callers.JOB_ID_PATTERN.fullmatch(job_id):
            # No job can have this id, which need not be remembered either.
            self._answer_cancel(NoSuchJob(reply_to=request.reply_to))
            return
        if not self._cancel_here(job_id, now_s):
            self._answer_cancel(NotKnown(reply_to=request.reply_to))
            return
        was_open = self.cancellations.record.was_open(job_id)
        reply_to = request.reply_to
        for outcome in self.cancellations.ask(job_id, was_open, reply_to, now_s):
            self._answer_cancel(outcome)

    def _cancel_here(self, job_id: str, now_s: float, age_s: float = 0.0) -> bool:
        """Record a cancel and end the job here; return whether the cancel will hold.

        The job also ends if the record is full.
        """
        record = self.cancellations.record
        recording = record.record(job_id, now_s, age_s)
        is_open = job_id in self.job_registry.jobs
        self.handle_event(CancelCapacityJob(job_id=job_id), now_s)
        is_open = self.cancel_in_cells(job_id, now_s) or is_open
        if is_open:
            record.mark_open(job_id)
        log_decision("cancel", job_id, is_open=is_open)
        if recording is Recording.FULL:
            self.metrics.unrecorded_cancels += 1
            log_decision("cancel not recorded", job_id, recorded=len(record))
        return recording is not Recording.FULL

    def _answer_cancel(self, outcome: CancelOutcome) -> None:
        match outcome:
            case JobCancelled():
                name, response = "cancelled", callers.encode_state(200, "cancelled")
            case NoSuchJob():
                name, response = "no_such_job", callers.encode_error(410, "no such job")
            case NotKnown():
                reason = "a host that may have the job has not recorded the cancel"
                name, response = "not_known", callers.encode_error(503, reason, 0.0)
        self.metrics.cancels[name] += 1
        self._reply(outcome.reply_to, response)

    def handle_cancel_message(
        self,
        message: ev.CancelRequest | ev.CancelReply | ev.CancelledJobs,
        sender: Incarnation,
        now_s: float,
    ) -> None:
        """Handle another host's request to cancel a job, its reply, or its record."""
        match message:
            case ev.CancelRequest(job=job):
                # A host that can't record a cancel does not reply.
                if self._cancel_here(job, now_s):
                    was_open = self.cancellations.record.was_open(job)
                    self.cancellations.answer(message, sender, was_open, now_s)
            case ev.CancelledJobs(jobs=jobs):
                for entry in jobs:
                    if not self.cancellations.record.covers(entry, now_s):
                        self._cancel_here(entry.job, now_s, entry.age_s)
            case ev.CancelReply():
                for outcome in self.cancellations.handle_reply(message, sender):
                    self._answer_cancel(outcome)

    def advance_cancels(self, now_s: float) -> None:
        """Ask other hosts again, and answer the callers whose time has passed."""
        for outcome in self.cancellations.handle_tick(now_s):
            self._answer_cancel(outcome)

    def _answer(self, answer: fx.AnswerCaller, now_s: float) -> None:
        pending = self._pending_requests.get(answer.reply_to)
        response_s = now_s - pending.accepted_s if pending else 0.0
        self.metrics.count_answer(answer.verdict, response_s)
        log_decision(
            "job answered",
            answer.job,
            verdict=answer.verdict.value,
            reason=answer.reason,
            response_s=round(response_s, 4),
        )
        self._reply(answer.reply_to, callers.encode_answer(answer))

    def _reply(self, reply_to: Mailbox, response: Response) -> None:
        self._end_request(reply_to)
        reply_to.try_put(response)

    def _end_request(self, reply_to: Mailbox) -> PendingRequest | None:
        """Return the submission that has its answer now, if the request was one."""
        pending = self._pending_requests.pop(reply_to, None)
        if pending is not None:
            self.memory.release(pending.held_bytes)
        return pending


def _log_task_request(
    message: ev.RunTasks | ev.CancelTasks, cell_owner: CellOwner | None
) -> None:
    """Log the owner that tasks are sent to, and its last reported load."""
    owner = str(cell_owner.owner) if cell_owner else "none"
    match message:
        case ev.RunTasks(cell=cell):
            log_decision(
                "tasks sent",
                message.job,
                step=message.step_number,
                tasks=list(message.indexes),
                cell=str(cell),
                owner=owner,
                term=cell_owner.claim.term if cell_owner else 0,
                free_millicores=cell_owner.claim.free_millicores if cell_owner else 0,
                may_decline=message.may_decline,
                repeat=message.is_repeat,
            )
        case ev.CancelTasks(cell=cell):
            log_decision("tasks cancelled", message.job, cell=str(cell), owner=owner)
