"""Decoding of messages from siblings; the schema is `gentianhub.capnp`."""

import math

import capnp

from gentianhub.core import (
    Complete,
    EntryProcessAddress,
    Failed,
    JobComplete,
    JobFailed,
    JobId,
    JobPending,
    JobRequest,
    NotRun,
    Refusal,
    RefusalKind,
    RunState,
    ServiceRow,
    Step,
    Table,
    TargetAddress,
    TargetRow,
    Task,
    TaskOutcome,
    TeamRow,
    Unknown,
)
from gentianhub.core import events as ev
from gentianhub.core import operations as op
from gentianhub.decisions import IdBlock, JobAccepted
from gentianhub.decisions.membership import HostList
from gentianhub.decisions.versions import Removal, Row, TableChange, get_sheet_name
from gentianhub.linking.frames import MalformedMessage
from gentianhub.linking.handshake import read_hello, read_incarnation, read_name
from gentianhub.siblings import messages as ms
from gentianhub.siblings.encoding import schema

# Cap'n Proto counts every read of a word, and decoding reads words several times.
TRAVERSAL_LIMIT_WORDS = 2**26


def decode_message(body: bytes) -> ms.SiblingMessage | MalformedMessage:
    """Return the message in a frame's body."""
    try:
        with schema.Message.from_bytes(body, TRAVERSAL_LIMIT_WORDS) as reader:
            return _read_message(reader)
    except (capnp.KjException, ValueError) as error:
        return MalformedMessage(reason=f"{error!r:.200}")


def _read_message(reader) -> ms.SiblingMessage:
    name = str(reader.which())
    content = getattr(reader, name)
    match name:
        case "heartbeat":
            leaving = tuple(content.leaving)
            return ms.Heartbeat(table_version=content.tableVersion, leaving=leaving)
        case "hello":
            return read_hello(content)
        case "forwardRequest":
            operation = _read_operation(content.operation)
            return ms.ForwardRequest(number=content.number, operation=operation)
        case "forwardReply":
            reply = _read_reply(content.reply)
            return ms.ForwardReply(number=content.number, reply=reply)
        case "tableRequest":
            return ms.TableRequest(after=content.after)
        case "tableDeltas":
            return _read_deltas(content)
        case "hostList":
            return _read_hosts(content)
        case _:
            return _read_slot_message(name, content)


def _read_slot_message(name: str, content) -> ev.SlotMessage:
    match name:
        case "slotDemand":
            return ev.SlotDemand(
                borrower=read_incarnation(content.borrower),
                number=content.number,
                wanted=content.wanted,
                weight=content.weight,
            )
        case "slotGrant":
            return ev.SlotGrant(
                home=read_incarnation(content.home),
                target=content.target,
                count=content.count,
                demand_number=content.demandNumber,
                lease_s=content.leaseS,
                contended=content.contended,
            )
        case "slotReturn":
            return ev.SlotReturn(
                borrower=read_incarnation(content.borrower),
                target=content.target,
                count=content.count,
            )
        case "slotsHeld":
            counts = tuple((entry.target, entry.count) for entry in content.counts)
            borrower = read_incarnation(content.borrower)
            return ev.SlotsHeld(borrower=borrower, counts=counts)
        case _:
            raise ValueError(f"unknown message type {name}")


def _read_job_id(content) -> JobId:
    return JobId(owner=read_incarnation(content.owner), sequence=content.sequence)


def _read_operation(content) -> op.Operation:
    match str(content.which()):
        case "issue":
            return op.ReserveIdsOperation(count=content.issue)
        case "submit":
            submit = content.submit
            has_id = submit._has("jobId")
            return op.SubmitOperation(
                request=_read_request(submit.request),
                job_id=_read_job_id(submit.jobId) if has_id else None,
            )
        case "watch":
            watch = content.watch
            return op.WatchOperation(
                job_id=_read_job_id(watch.jobId), wait_s=watch.waitS
            )
        case "cancel":
            return op.CancelOperation(job_id=_read_job_id(content.cancel))
        case name:
            raise ValueError(f"unknown operation type {name}")


def _read_request(content) -> JobRequest:
    return JobRequest(
        service=content.service,
        tasks=tuple(_read_task(task) for task in content.tasks),
        deadline_s=content.deadlineS,
        idempotent=content.idempotent,
        digest=content.digest,
    )


def _read_task(content) -> Task:
    return Task(
        kind=content.kind,
        body=bytes(content.body),
        declared_run_ms=_read_optional_number(content.declaredRunMs),
        declared_bytes=_read_optional_count(content.declaredBytes),
    )


def _read_reply(content):
    match str(content.which()):
        case "refusal":
            return _read_refusal(content.refusal)
        case "ids":
            ids = content.ids
            owner = read_incarnation(ids.owner)
            return IdBlock(owner=owner, first=ids.first, count=ids.count)
        case "accepted":
            accepted = content.accepted
            job_id = _read_job_id(accepted.jobId)
            return JobAccepted(job_id=job_id, known=accepted.known)
        case "pending":
            pending = content.pending
            return JobPending(
                ended_tasks=pending.endedTasks, started_tasks=pending.startedTasks
            )
        case "complete":
            return JobComplete(results=tuple(map(bytes, content.complete)))
        case "failed":
            return JobFailed(outcomes=tuple(map(_read_outcome, content.failed)))
        case name:
            raise ValueError(f"unknown reply type {name}")


def _read_refusal(content) -> Refusal:
    return Refusal(
        kind=RefusalKind(content.kind),
        step=Step(content.step),
        peer=content.peer,
        reason=content.reason,
        expected=content.expected if content._has("expected") else None,
        field=content.field if content._has("field") else None,
        run=RunState(content.run),
        retry_after_s=_read_optional_number(content.retryAfterS),
    )


def _read_outcome(content) -> TaskOutcome:
    name = str(content.which())
    if name == "complete":
        return Complete(result=bytes(content.complete), run_s=content.runS)
    cause = {
        "step": Step(content.step),
        "peer": content.peer,
        "reason": content.reason,
    }
    match name:
        case "failed":
            return Failed(run_s=content.runS, **cause)
        case "notRun":
            return NotRun(**cause)
        case "unknown":
            return Unknown(**cause)
        case _:
            raise ValueError(f"unknown outcome type {name}")


def _read_deltas(content) -> ms.TableDeltas:
    return ms.TableDeltas(
        snapshot=_read_table(content.snapshot) if content._has("snapshot") else None,
        changes=tuple(_read_change(change) for change in content.changes),
    )


def _read_table(content) -> Table:
    sheets = {"teams": {}, "services": {}, "targets": {}}
    for row in map(_read_row, content.rows):
        sheets[get_sheet_name(row)][row.name] = row
    return Table(version=content.version, **sheets)


def _read_change(content) -> TableChange:
    return TableChange(
        version=content.version,
        change_id=content.changeId,
        author=content.author,
        reason=content.reason,
        rows=tuple(_read_row(row) for row in content.rows),
        removals=tuple(
            Removal(sheet=removal.sheet, name=removal.name)
            for removal in content.removals
        ),
    )


def _read_row(content) -> Row:
    match str(content.which()):
        case "team":
            return TeamRow(
                name=content.name,
                weight=content.team.weight,
                quota_slots=_read_optional_count(content.team.quotaSlots),
            )
        case "service":
            return ServiceRow(
                name=content.name,
                team=content.service.team,
                weight=content.service.weight,
                max_running=_read_optional_count(content.service.maxRunning),
                max_queued_s=content.service.maxQueuedS,
            )
        case "target":
            return TargetRow(
                name=content.name,
                slots=content.target.slots,
                connections=content.target.connections,
            )
        case name:
            raise ValueError(f"unknown row type {name}")


def _read_hosts(content) -> HostList:
    return HostList(
        processes=tuple(
            EntryProcessAddress(
                name=read_name(process.name),
                host=process.host,
                port=process.port,
                leaving=process.leaving,
            )
            for process in content.processes
        ),
        targets=tuple(
            TargetAddress(
                name=target.name,
                data_centre=target.dataCentre,
                host=target.host,
                port=target.port,
                leaving=target.leaving,
            )
            for target in content.targets
        ),
    )


def _read_optional_count(count: int) -> int | None:
    return None if count < 0 else count


def _read_optional_number(number: float) -> float | None:
    return None if math.isnan(number) else number
