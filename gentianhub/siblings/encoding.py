"""Encoding of messages to siblings; the schema is `gentianhub.capnp`.

Cap'n Proto must not raise an exception while it encodes: to unwind, it walks the C
stack, and the stack of a greenlet ends in overwritten memory, which crashes the
process. Union members are therefore initialised before they are set, and numbers are
checked for their range before they are written.
"""

import math
from pathlib import Path

import capnp

from gentianhub.core import (
    Complete,
    Failed,
    JobComplete,
    JobFailed,
    JobId,
    JobPending,
    JobRequest,
    NotRun,
    Refusal,
    ServiceRow,
    Table,
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
from gentianhub.decisions.versions import Row, TableChange
from gentianhub.linking.handshake import (
    build_hello,
    build_incarnation,
    build_name,
    check_size,
    fill_struct,
)
from gentianhub.siblings import messages as ms

capnp.remove_import_hook()
schema = capnp.load(str(Path(__file__).with_name("gentianhub.capnp")))

ABSENT_COUNT = -1


def encode_message(message: ms.SiblingMessage) -> bytes:
    """Return the message as the body of a frame."""
    builder = schema.Message.new_message()
    fill_struct(builder, _build_message(message))
    return builder.to_bytes()


def _build_message(message: ms.SiblingMessage) -> dict:
    match message:
        case ms.Heartbeat(table_version=version, leaving=leaving):
            return {"heartbeat": {"tableVersion": version, "leaving": list(leaving)}}
        case ms.Hello():
            return {"hello": build_hello(message)}
        case ms.ForwardRequest(number=number, operation=operation):
            content = {"number": number, "operation": _build_operation(operation)}
            return {"forwardRequest": content}
        case ms.ForwardReply(number=number, reply=reply):
            return {"forwardReply": {"number": number, "reply": _build_reply(reply)}}
        case ms.TableRequest(after=after):
            return {"tableRequest": {"after": after}}
        case ms.TableDeltas():
            return {"tableDeltas": _build_deltas(message)}
        case HostList():
            return {"hostList": _build_hosts(message)}
        case _:
            return _build_slot_message(message)


def _build_slot_message(message: ev.SlotMessage) -> dict:
    match message:
        case ev.SlotDemand():
            content = {
                "borrower": build_incarnation(message.borrower),
                "number": message.number,
                "wanted": check_size(message.wanted, 32),
                "weight": message.weight,
            }
            return {"slotDemand": content}
        case ev.SlotGrant():
            content = {
                "home": build_incarnation(message.home),
                "target": message.target,
                "count": check_size(message.count, 32),
                "demandNumber": message.demand_number,
                "leaseS": message.lease_s,
                "contended": message.contended,
            }
            return {"slotGrant": content}
        case ev.SlotReturn(borrower=borrower, target=target, count=count):
            content = {
                "borrower": build_incarnation(borrower),
                "target": target,
                "count": check_size(count, 32),
            }
            return {"slotReturn": content}
        case ev.SlotsHeld(borrower=borrower, counts=counts):
            content = {
                "borrower": build_incarnation(borrower),
                "counts": [
                    {"target": name, "count": check_size(count, 32)}
                    for name, count in counts
                ],
            }
            return {"slotsHeld": content}


def _build_job_id(job_id: JobId) -> dict:
    return {"owner": build_incarnation(job_id.owner), "sequence": job_id.sequence}


def _build_operation(operation: op.Operation) -> dict:
    match operation:
        case op.ReserveIdsOperation(count=count):
            return {"issue": check_size(count, 32)}
        case op.SubmitOperation(request=request, job_id=None):
            return {"submit": {"request": _build_request(request)}}
        case op.SubmitOperation(request=request, job_id=job_id):
            content = {"request": _build_request(request)}
            return {"submit": content | {"jobId": _build_job_id(job_id)}}
        case op.WatchOperation(job_id=job_id, wait_s=wait_s):
            return {"watch": {"jobId": _build_job_id(job_id), "waitS": wait_s}}
        case op.CancelOperation(job_id=job_id):
            return {"cancel": _build_job_id(job_id)}


def _build_request(request: JobRequest) -> dict:
    return {
        "service": request.service,
        "tasks": [_build_task(task) for task in request.tasks],
        "deadlineS": request.deadline_s,
        "idempotent": request.idempotent,
        "digest": request.digest,
    }


def _build_task(task: Task) -> dict:
    return {
        "kind": task.kind,
        "body": task.body,
        "declaredRunMs": _encode_optional_number(task.declared_run_ms),
        "declaredBytes": _encode_optional_count(task.declared_bytes),
    }


def _build_reply(reply) -> dict:
    match reply:
        case Refusal():
            return {"refusal": _build_refusal(reply)}
        case IdBlock(owner=owner, first=first, count=count):
            content = {"owner": build_incarnation(owner)}
            return {"ids": content | {"first": first, "count": count}}
        case JobAccepted(job_id=job_id, known=known):
            return {"accepted": {"jobId": _build_job_id(job_id), "known": known}}
        case JobPending(ended_tasks=ended, started_tasks=started):
            return {"pending": {"endedTasks": ended, "startedTasks": started}}
        case JobComplete(results=results):
            return {"complete": list(results)}
        case JobFailed(outcomes=outcomes):
            return {"failed": [_build_outcome(outcome) for outcome in outcomes]}


def _build_refusal(refusal: Refusal) -> dict:
    content = {
        "kind": refusal.kind.value,
        "step": refusal.step.value,
        "peer": refusal.peer,
        "reason": refusal.reason,
        "expected": refusal.expected,
        "field": refusal.field,
        "run": refusal.run.value,
        "retryAfterS": _encode_optional_number(refusal.retry_after_s),
    }
    return {name: value for name, value in content.items() if value is not None}


def _build_outcome(outcome: TaskOutcome) -> dict:
    match outcome:
        case Complete(result=result, run_s=run_s):
            return {"complete": result, "runS": run_s}
        case Failed(run_s=run_s):
            return {"failed": None, "runS": run_s} | _build_cause(outcome)
        case NotRun():
            return {"notRun": None} | _build_cause(outcome)
        case Unknown():
            return {"unknown": None} | _build_cause(outcome)


def _build_cause(outcome: Failed | NotRun | Unknown) -> dict:
    return {
        "step": outcome.step.value,
        "peer": outcome.peer,
        "reason": outcome.reason,
    }


def _build_deltas(deltas: ms.TableDeltas) -> dict:
    content = {"changes": [_build_change(change) for change in deltas.changes]}
    if deltas.snapshot is not None:
        content["snapshot"] = _build_table(deltas.snapshot)
    return content


def _build_table(table: Table) -> dict:
    sheets = (table.teams, table.services, table.targets)
    rows = [_build_row(row) for sheet in sheets for row in sheet.values()]
    return {"version": table.version, "rows": rows}


def _build_change(change: TableChange) -> dict:
    return {
        "version": change.version,
        "changeId": change.change_id,
        "author": change.author,
        "reason": change.reason,
        "rows": [_build_row(row) for row in change.rows],
        "removals": [
            {"sheet": removal.sheet, "name": removal.name}
            for removal in change.removals
        ],
    }


def _build_row(row: Row) -> dict:
    match row:
        case TeamRow(name=name, weight=weight, quota_slots=quota):
            content = {"weight": weight, "quotaSlots": _encode_optional_count(quota)}
            return {"name": name, "team": content}
        case ServiceRow(name=name):
            content = {
                "team": row.team,
                "weight": row.weight,
                "maxRunning": _encode_optional_count(row.max_running),
                "maxQueuedS": row.max_queued_s,
            }
            return {"name": name, "service": content}
        case TargetRow(name=name, slots=slots, connections=connections):
            content = {
                "slots": check_size(slots, 32),
                "connections": check_size(connections, 32),
            }
            return {"name": name, "target": content}


def _build_hosts(hosts: HostList) -> dict:
    processes = [
        {
            "name": build_name(process.name),
            "host": process.host,
            "port": check_size(process.port, 16),
            "leaving": process.leaving,
        }
        for process in hosts.processes
    ]
    targets = [
        {
            "name": target.name,
            "dataCentre": target.data_centre,
            "host": target.host,
            "port": check_size(target.port, 16),
            "leaving": target.leaving,
        }
        for target in hosts.targets
    ]
    return {"processes": processes, "targets": targets}


def _encode_optional_count(count: int | None) -> int:
    return ABSENT_COUNT if count is None else check_size(count, 63)


def _encode_optional_number(number: float | None) -> float:
    return math.nan if number is None else number
