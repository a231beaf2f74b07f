import socket
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from gentianhub import core
from gentianhub.core import events as ev
from gentianhub.core import operations as op
from gentianhub.core.ids import MAX_JOB_SEQUENCE
from gentianhub.decisions import IdBlock, JobAccepted
from gentianhub.decisions.membership import HostList
from gentianhub.decisions.versions import Removal, TableChange, get_sheet_name
from gentianhub.siblings import messages as ms
from gentianhub.siblings import wire

# Strategies for fields whose wire type is narrower than their Python type.
texts = st.text(st.characters(exclude_categories=["Cs"]), max_size=8)
counts = st.integers(0, 2**32 - 1)
numbers = st.floats(0, allow_nan=False, allow_infinity=False)
names = st.from_regex(r"[a-z0-9][a-z0-9-]{0,5}", fullmatch=True)
ports = st.integers(0, 65535)
tokens = st.integers(0, 2**64 - 1).map(lambda token: f"{token:016x}")
positives = numbers.filter(bool)


def build(cls, **fields):
    """Draw every field by its type, except those given."""
    return st.builds(cls, **fields)


process_names = build(core.ProcessName, data_centre=names, process=names)
incarnations = build(core.Incarnation, name=process_names, token=tokens)
sequences = st.integers(1, MAX_JOB_SEQUENCE)
job_ids = build(core.JobId, owner=incarnations, sequence=sequences)
tasks = build(
    core.Task,
    kind=texts,
    body=st.binary(),
    declared_run_ms=st.none() | numbers,
    declared_bytes=st.none() | st.integers(0, 2**40),
)
requests = build(
    core.JobRequest,
    service=texts,
    tasks=st.lists(tasks, max_size=3).map(tuple),
    deadline_s=numbers,
    digest=texts,
)
operations = st.one_of(
    build(op.ReserveIdsOperation, count=counts),
    build(op.SubmitOperation, request=requests, job_id=st.none() | job_ids),
    build(op.WatchOperation, job_id=job_ids, wait_s=numbers),
    build(op.CancelOperation, job_id=job_ids),
)
cause = {"peer": texts, "reason": texts}
outcomes = st.one_of(
    build(core.Complete, result=st.binary(), run_s=numbers),
    build(core.Failed, run_s=numbers, **cause),
    build(core.NotRun, **cause),
    build(core.Unknown, **cause),
)
refusals = build(
    core.Refusal,
    expected=st.none() | texts,
    field=st.none() | texts,
    run=st.sampled_from(core.RunState),
    retry_after_s=st.none() | numbers,
    **cause,
)
replies = st.one_of(
    refusals,
    build(IdBlock, owner=incarnations, first=sequences, count=counts),
    build(JobAccepted, job_id=job_ids),
    build(core.JobPending, ended_tasks=counts, started_tasks=counts),
    build(core.JobComplete, results=st.lists(st.binary(), max_size=3).map(tuple)),
    build(core.JobFailed, outcomes=st.lists(outcomes, max_size=3).map(tuple)),
)
limits = st.none() | st.integers(0, 2**40)
rows = st.one_of(
    build(core.TeamRow, name=texts, weight=positives, quota_slots=limits),
    build(
        core.ServiceRow,
        name=texts,
        team=texts,
        weight=positives,
        max_running=limits,
        max_queued_s=positives,
    ),
    build(core.TargetRow, name=texts, slots=counts, connections=st.integers(1, 2**31)),
)
changes = build(
    TableChange,
    version=sequences,
    change_id=texts,
    author=texts,
    reason=texts,
    rows=st.lists(rows, max_size=3).map(tuple),
    removals=st.lists(build(Removal, sheet=texts, name=texts), max_size=2).map(tuple),
)


def build_table(version, table_rows):
    sheets = {"teams": {}, "services": {}, "targets": {}}
    for row in table_rows:
        sheets[get_sheet_name(row)][row.name] = row
    return core.Table(version=version, **sheets)


tables = st.builds(build_table, sequences, st.lists(rows, max_size=3))
addresses = {"host": texts, "port": ports}
messages = st.one_of(
    build(
        ms.Hello,
        sender=incarnations,
        started_ms=sequences,
        protocol_version=ports,
        **addresses,
    ),
    build(
        ms.Heartbeat,
        table_version=sequences,
        leaving=st.lists(texts, max_size=3).map(tuple),
    ),
    build(
        ev.SlotDemand,
        borrower=incarnations,
        number=sequences,
        wanted=counts,
        weight=numbers,
    ),
    build(
        ev.SlotGrant,
        home=incarnations,
        target=texts,
        count=counts,
        demand_number=sequences,
        lease_s=numbers,
    ),
    build(ev.SlotReturn, borrower=incarnations, target=texts, count=counts),
    build(
        ev.SlotsHeld,
        borrower=incarnations,
        counts=st.lists(st.tuples(texts, counts), max_size=3).map(tuple),
    ),
    build(ms.ForwardRequest, number=sequences, operation=operations),
    build(ms.ForwardReply, number=sequences, reply=replies),
    build(ms.TableRequest, after=sequences),
    build(
        ms.TableDeltas,
        changes=st.lists(changes, max_size=2).map(tuple),
        snapshot=st.none() | tables,
    ),
    build(
        HostList,
        processes=st.lists(
            build(core.EntryProcessAddress, name=process_names, **addresses), max_size=2
        ).map(tuple),
        targets=st.lists(
            build(core.TargetAddress, name=texts, data_centre=texts, **addresses),
            max_size=2,
        ).map(tuple),
    ),
)


class WireTest(unittest.TestCase):
    """Guards against messages changed on the way and damaged ones accepted."""

    @settings(max_examples=400, deadline=None)
    @given(messages)
    def test_every_message_arrives_unchanged(self, message):
        body = wire.encode_message(message)
        self.assertEqual(wire.decode_message(body), message)

    @settings(max_examples=400, deadline=None)
    @given(messages, st.data())
    def test_truncated_or_changed_body_never_raises(self, message, data):
        body = bytearray(wire.encode_message(message))
        position = data.draw(st.integers(0, len(body) - 1))
        cut = wire.decode_message(bytes(body[:position]))
        self.assertIsInstance(cut, wire.MalformedMessage)
        body[position] ^= data.draw(st.integers(1, 255))
        wire.decode_message(bytes(body))

    def read(self, content: bytes, max_bytes: int):
        ours, theirs = socket.socketpair()
        with ours, theirs:
            theirs.sendall(content)
            theirs.shutdown(socket.SHUT_WR)
            return wire.FrameReader(sock=ours).read_frame(max_bytes)

    def test_damaged_frame_is_refused(self):
        frame = wire.encode_frame("00000000000000ff", b"12345")
        for position in range(4, len(frame)):
            damaged = bytearray(frame)
            damaged[position] ^= 1
            self.assertEqual(self.read(damaged, 5), wire.DamagedFrame())

    def test_oversized_and_truncated_frames_are_refused(self):
        frame = wire.encode_frame("00000000000000ff", b"12345")
        whole = wire.ReceivedFrame(to_token="00000000000000ff", body=b"12345")
        self.assertEqual(self.read(frame, 5), whole)
        self.assertEqual(self.read(frame, 4), wire.FrameTooLarge(size=5))
        for size in range(len(frame)):
            self.assertIsInstance(self.read(frame[:size], 5), wire.LinkEnded)
