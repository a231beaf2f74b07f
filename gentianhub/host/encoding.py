"""Encoding and decoding of the messages between front hosts and cells' owners.

Values are clamped to the range of their fields before they are written, because an
exception that Cap'n Proto raises in a greenlet terminates the process.
"""

import zlib
from pathlib import Path

import capnp

from gentianhub.capacity import events as ev
from gentianhub.capacity.evacuations import UNKNOWN, Evacuations
from gentianhub.capacity.jobs import Cell, JobStep, ListedTarget, TaskKey
from gentianhub.capacity.resources import Resources
from gentianhub.linking.frames import MalformedMessage
from gentianhub.linking.handshake import (
    Hello,
    build_hello,
    build_incarnation,
    build_name,
    fill_struct,
    read_hello,
    read_incarnation,
    read_name,
)
from gentianhub.linking.links import LinkCodec

capnp.remove_import_hook()
schema = capnp.load(str(Path(__file__).with_name("host.capnp")))

# Cap'n Proto counts each access to a word, and decoding accesses words several times.
TRAVERSAL_LIMIT_WORDS = 2**22
# A configuration of 1,330 routes shrinks from about 300 KB to a tenth of it.
COMPRESSION_LEVEL = 1
MAX_CONFIGURATION_BYTES = 32 * 1024 * 1024
MAX_UINT32 = 2**32 - 1
MAX_INT32 = 2**31 - 1
MAX_UINT16 = 2**16 - 1
MAX_INT64 = 2**63 - 1
MAX_UINT64 = 2**64 - 1


def encode_message(message) -> bytes:
    """Return the encoded message, which is the body of a frame."""
    builder = schema.Message.new_message()
    fill_struct(builder, _build_message(message))
    return builder.to_bytes()


def decode_message(body: bytes):
    """Return the message in a frame's body, or a `MalformedMessage`."""
    try:
        with schema.Message.from_bytes(body, TRAVERSAL_LIMIT_WORDS) as reader:
            name = reader._which_str()
            return READERS[name](reader._get(name))
    except (capnp.KjException, ValueError, zlib.error) as error:
        return MalformedMessage(reason=f"{error!r:.200}")


def build_codec() -> LinkCodec:
    """Return the codec of the links between hosts."""
    return LinkCodec(
        encode=encode_message,
        decode=decode_message,
        get_sender=lambda message: None,
        build_refusal=lambda message, local_host: None,
    )


def _build_message(message) -> dict:
    match message:
        case Hello():
            return {"hello": build_hello(message)}
        case ev.HostHeartbeat():
            return {"hostBeat": _build_heartbeat(message)}
        case ev.RunTasks():
            return {"runTasks": _build_task_request(message)}
        case ev.CancelTasks(cell=cell, job=job):
            return {"cancelTasks": {"cell": _build_cell(cell), "job": job}}
        case ev.CancelRequest():
            return {"cancelRequest": _build_cancel_request(message)}
        case ev.CancelReply():
            return {"cancelReply": _build_cancel_reply(message)}
        case ev.CancelledJobs(jobs=jobs):
            listed = [{"job": entry.job, "ageS": entry.age_s} for entry in jobs]
            return {"cancelledJobs": {"jobs": listed}}
        case ev.OpenJobs():
            return {"openJobs": _build_open_jobs(message)}
        case ev.TasksEnded():
            return {"tasksEnded": _build_tasks_ended(message)}
        case ev.ConfigurationRequest(known_version=version):
            return {"configurationRequest": {"knownVersion": version}}
        case ev.ConfigurationOffer(version=version, content=content):
            compressed = zlib.compress(content, COMPRESSION_LEVEL)
            return {"configurationOffer": {"version": version, "content": compressed}}
        case ev.CellTargets():
            return {"cellTargets": _build_cell_targets(message)}
        case ev.TargetLosses(losses=losses, is_passed_on=is_passed_on):
            built = list(map(_build_loss, losses))
            return {"targetLosses": {"losses": built, "isPassedOn": is_passed_on}}
        case ev.TargetsOffer(rows=rows, data_centre=data_centre):
            listed = [{"key": key, "value": value} for key, value in rows]
            return {"targetsOffer": {"rows": listed, "dataCentre": data_centre}}
        case ev.TargetsRequest(data_centre=data_centre):
            return {"targetsRequest": {"dataCentre": data_centre}}


def _clamp(number: int, largest: int = MAX_UINT32, smallest: int = 0) -> int:
    """Return the nearest number in the range of the field."""
    return max(smallest, min(largest, int(number)))


def _build_cell(cell: Cell) -> dict:
    return {"dataCentre": cell.data_centre, "index": cell.index, "count": cell.count}


def _build_heartbeat(heartbeat: ev.HostHeartbeat) -> dict:
    return {
        "number": heartbeat.number,
        "claims": [_build_claim(claim) for claim in heartbeat.claims],
        "configurationVersion": heartbeat.configuration_version,
        "isDraining": heartbeat.is_draining,
        "lacksTargets": heartbeat.lacks_targets,
        "canOwn": heartbeat.can_own,
        "isIdle": heartbeat.is_idle,
        "requestsOpenJobs": heartbeat.requests_open_jobs,
        **_build_evacuations(heartbeat.evacuations),
    }


def _build_evacuations(evacuations: Evacuations) -> dict:
    """Return the fields of a heartbeat that tell a known state."""
    if not evacuations.version:
        return {}
    return {
        "evacuationsVersion": _clamp(evacuations.version, MAX_UINT64),
        "evacuatedDataCentres": sorted(evacuations.data_centres),
    }


def _build_claim(claim: ev.CellClaim) -> dict:
    return {
        "cell": _build_cell(claim.cell),
        "term": claim.term,
        "freeMillicores": _clamp(claim.free_millicores),
        "queuedMillicoreS": _clamp(claim.queued_millicore_s),
        "totalMillicores": _clamp(claim.total_millicores),
    }


def _build_task_request(request: ev.RunTasks) -> dict:
    return {
        "cell": _build_cell(request.cell),
        "job": request.job,
        "stepNumber": request.step_number,
        "step": _build_step(request.step),
        "indexes": list(request.indexes),
        "payload": request.payload,
        "route": request.route,
        "service": request.service,
        "priority": _clamp(request.priority, MAX_INT32, -MAX_INT32),
        "maxAttempts": _clamp(request.max_attempts),
        "ageS": request.age_s,
        "objectiveS": request.objective_s,
        "stretch": request.stretch,
        "deadlineInS": request.deadline_in_s,
        "mayDecline": request.may_decline,
        "isRepeat": request.is_repeat,
        "heardHeartbeat": request.heard_heartbeat,
        "term": _clamp(request.term, MAX_UINT64),
    }


def _build_step(step: JobStep) -> dict:
    return {
        "count": step.count,
        "demand": _build_resources(step.demand),
        "estimateS": step.estimate_s,
        "after": list(step.after),
        "requiredLabel": step.required_label,
        "dataRack": step.data_rack,
        "maxPerTarget": _clamp(step.max_per_target),
    }


def _build_resources(resources: Resources) -> dict:
    return {
        "cpuMillicores": _clamp(resources.cpu_millicores),
        "memoryMb": _clamp(resources.memory_mb),
        "accelerators": _clamp(resources.accelerators),
    }


def _build_cell_targets(message: ev.CellTargets) -> dict:
    return {
        "cell": _build_cell(message.cell),
        "term": message.term,
        "targets": list(map(_build_target, message.targets)),
        "removed": list(message.removed),
        "isComplete": message.is_complete,
    }


def _build_target(target: ListedTarget) -> dict:
    return {
        "name": target.name,
        "incarnation": _clamp(target.incarnation, MAX_INT64, -MAX_INT64),
        "host": target.host,
        "port": _clamp(target.port, MAX_UINT16),
        "dataCentre": target.data_centre,
        "service": target.service,
        "capacity": _build_resources(target.capacity),
        "labels": list(target.labels),
        "isLeaving": target.is_leaving,
    }


def _build_loss(loss: ev.TargetLoss) -> dict:
    return {
        "lossId": loss.loss_id,
        "cell": _build_cell(loss.cell),
        "target": loss.target,
        "host": loss.host,
        "port": _clamp(loss.port, MAX_UINT16),
        "incarnation": _clamp(loss.incarnation, MAX_INT64, -MAX_INT64),
        "tasks": [
            {"job": key.job, "step": _clamp(key.step), "index": _clamp(key.index)}
            for key in loss.tasks
        ],
        "isComplete": loss.is_complete,
        "ageS": loss.age_s,
        "outcome": loss.outcome.value,
    }


def _build_cancel_request(request: ev.CancelRequest) -> dict:
    return {
        "job": request.job,
        "askedBy": build_incarnation(request.asked_by),
        "number": request.number,
        "isPassedOn": request.is_passed_on,
        "passOnTo": list(map(build_name, request.pass_on_to)),
    }


def _build_cancel_reply(reply: ev.CancelReply) -> dict:
    return {
        "askedBy": build_incarnation(reply.asked_by),
        "number": reply.number,
        "wasOpen": reply.was_open,
        "recorded": list(map(build_name, reply.recorded)),
        "lost": list(map(build_name, reply.lost)),
    }


def _build_open_jobs(message: ev.OpenJobs) -> dict:
    return {
        "cell": _build_cell(message.cell),
        "jobs": list(message.jobs),
        "heardHeartbeat": message.heard_heartbeat,
    }


def _build_tasks_ended(ended: ev.TasksEnded) -> dict:
    # Hosts of earlier versions do not know the end "evacuated".
    is_evacuated = ended.end is ev.TaskEnd.EVACUATED
    end = ev.TaskEnd.EXPIRED if is_evacuated else ended.end
    return {
        "cell": _build_cell(ended.cell),
        "job": ended.job,
        "stepNumber": ended.step_number,
        "indexes": list(ended.indexes),
        "end": end.value,
        "hasStarted": ended.has_started,
        "term": ended.term,
        "isEvacuated": is_evacuated,
    }


# Attributes of a reader are looked up in its class first, which takes several times as
# long as `_get`; the messages below are the most frequent ones.


def _read_cell(content) -> Cell:
    get = content._get
    return Cell(data_centre=get("dataCentre"), index=get("index"), count=get("count"))


def _read_heartbeat(content) -> ev.HostHeartbeat:
    get = content._get
    return ev.HostHeartbeat(
        number=get("number"),
        claims=tuple(map(_read_claim, get("claims"))),
        configuration_version=get("configurationVersion"),
        is_draining=get("isDraining"),
        lacks_targets=get("lacksTargets"),
        can_own=get("canOwn"),
        is_idle=get("isIdle"),
        requests_open_jobs=get("requestsOpenJobs"),
        evacuations=_read_evacuations(get),
    )


def _read_evacuations(get) -> Evacuations:
    version = get("evacuationsVersion")
    if not version:
        return UNKNOWN
    data_centres = frozenset(get("evacuatedDataCentres"))
    return Evacuations(version=version, data_centres=data_centres)


def _read_claim(content) -> ev.CellClaim:
    get = content._get
    return ev.CellClaim(
        cell=_read_cell(get("cell")),
        term=get("term"),
        free_millicores=get("freeMillicores"),
        queued_millicore_s=get("queuedMillicoreS"),
        total_millicores=get("totalMillicores"),
    )


def _read_task_request(content) -> ev.RunTasks:
    return ev.RunTasks(
        cell=_read_cell(content.cell),
        job=content.job,
        step_number=content.stepNumber,
        step=_read_step(content.step),
        indexes=tuple(content.indexes),
        payload=content.payload,
        route=content.route,
        service=content.service,
        priority=content.priority,
        max_attempts=content.maxAttempts,
        age_s=content.ageS,
        objective_s=content.objectiveS,
        stretch=content.stretch,
        deadline_in_s=content.deadlineInS,
        may_decline=content.mayDecline,
        is_repeat=content.isRepeat,
        heard_heartbeat=content.heardHeartbeat,
        term=content.term,
    )


def _read_step(content) -> JobStep:
    return JobStep(
        count=content.count,
        demand=_read_resources(content.demand),
        estimate_s=content.estimateS,
        after=tuple(content.after),
        required_label=content.requiredLabel,
        data_rack=content.dataRack,
        max_per_target=content.maxPerTarget,
    )


def _read_resources(content) -> Resources:
    return Resources(
        cpu_millicores=content.cpuMillicores,
        memory_mb=content.memoryMb,
        accelerators=content.accelerators,
    )


def _read_cell_targets(content) -> ev.CellTargets:
    return ev.CellTargets(
        cell=_read_cell(content.cell),
        term=content.term,
        targets=tuple(map(_read_target, content.targets)),
        removed=tuple(content.removed),
        is_complete=content.isComplete,
    )


def _read_target(content) -> ListedTarget:
    return ListedTarget(
        name=content.name,
        incarnation=content.incarnation,
        host=content.host,
        port=content.port,
        data_centre=content.dataCentre,
        service=content.service,
        capacity=_read_resources(content.capacity),
        labels=tuple(content.labels),
        is_leaving=content.isLeaving,
    )


def _read_losses(content) -> ev.TargetLosses:
    return ev.TargetLosses(
        losses=tuple(map(_read_loss, content.losses)),
        is_passed_on=content.isPassedOn,
    )


def _read_loss(content) -> ev.TargetLoss:
    return ev.TargetLoss(
        loss_id=content.lossId,
        cell=_read_cell(content.cell),
        target=content.target,
        host=content.host,
        port=content.port,
        incarnation=content.incarnation,
        tasks=tuple(
            TaskKey(job=key.job, step=key.step, index=key.index)
            for key in content.tasks
        ),
        is_complete=content.isComplete,
        age_s=content.ageS,
        outcome=ev.LossOutcome(content.outcome),
    )


def _read_cancel_tasks(content) -> ev.CancelTasks:
    return ev.CancelTasks(cell=_read_cell(content.cell), job=content.job)


def _read_cancel_request(content) -> ev.CancelRequest:
    return ev.CancelRequest(
        job=content.job,
        asked_by=read_incarnation(content.askedBy),
        number=content.number,
        is_passed_on=content.isPassedOn,
        pass_on_to=tuple(map(read_name, content.passOnTo)),
    )


def _read_cancel_reply(content) -> ev.CancelReply:
    return ev.CancelReply(
        asked_by=read_incarnation(content.askedBy),
        number=content.number,
        was_open=content.wasOpen,
        recorded=tuple(map(read_name, content.recorded)),
        lost=tuple(map(read_name, content.lost)),
    )


def _read_cancelled_jobs(content) -> ev.CancelledJobs:
    return ev.CancelledJobs(
        jobs=tuple(
            ev.CancelledJob(job=entry.job, age_s=_check_age_s(entry.ageS))
            for entry in content.jobs
        )
    )


def _check_age_s(age_s: float) -> float:
    if not age_s >= 0:
        raise ValueError(f"age_s: expected at least 0, got {age_s}")
    return age_s


def _read_open_jobs(content) -> ev.OpenJobs:
    return ev.OpenJobs(
        cell=_read_cell(content.cell),
        jobs=tuple(content.jobs),
        heard_heartbeat=content.heardHeartbeat,
    )


def _read_tasks_ended(content) -> ev.TasksEnded:
    get = content._get
    end = ev.TaskEnd(get("end"))
    return ev.TasksEnded(
        cell=_read_cell(get("cell")),
        job=get("job"),
        step_number=get("stepNumber"),
        indexes=tuple(get("indexes")),
        end=ev.TaskEnd.EVACUATED if get("isEvacuated") else end,
        has_started=get("hasStarted"),
        term=get("term"),
    )


def _read_configuration_offer(content) -> ev.ConfigurationOffer:
    decompressor = zlib.decompressobj()
    plain = decompressor.decompress(bytes(content.content), MAX_CONFIGURATION_BYTES)
    if not decompressor.eof:
        raise ValueError("configuration is cut short or too large")
    return ev.ConfigurationOffer(version=content.version, content=plain)


def _read_configuration_request(content) -> ev.ConfigurationRequest:
    return ev.ConfigurationRequest(known_version=content.knownVersion)


def _read_targets_offer(content) -> ev.TargetsOffer:
    return ev.TargetsOffer(
        rows=tuple((row.key, bytes(row.value)) for row in content.rows),
        data_centre=content.dataCentre,
    )


def _read_targets_request(content) -> ev.TargetsRequest:
    return ev.TargetsRequest(data_centre=content.dataCentre)


READERS = {
    "targetsOffer": _read_targets_offer,
    "targetsRequest": _read_targets_request,
    "cellTargets": _read_cell_targets,
    "targetLosses": _read_losses,
    "hello": read_hello,
    "hostBeat": _read_heartbeat,
    "runTasks": _read_task_request,
    "cancelTasks": _read_cancel_tasks,
    "cancelRequest": _read_cancel_request,
    "cancelReply": _read_cancel_reply,
    "cancelledJobs": _read_cancelled_jobs,
    "openJobs": _read_open_jobs,
    "tasksEnded": _read_tasks_ended,
    "configurationOffer": _read_configuration_offer,
    "configurationRequest": _read_configuration_request,
}
