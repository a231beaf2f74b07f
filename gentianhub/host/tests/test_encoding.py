"""Encoding of the messages between hosts, and rejection of damaged messages."""

import unittest

from gentianhub.capacity import events as ev
from gentianhub.capacity.evacuations import Evacuations
from gentianhub.capacity.jobs import Cell
from gentianhub.capacity.tests.builders import (
    build_host,
    build_key,
    build_request,
    build_step,
    build_target,
)
from gentianhub.host.encoding import decode_message, encode_message
from gentianhub.linking.frames import MalformedMessage
from gentianhub.linking.handshake import Hello

CELL = Cell(data_centre="olten", index=2, count=3)
CLAIM = ev.CellClaim(cell=CELL, term=2**52, free_millicores=5, queued_millicore_s=7)
MESSAGES = [
    Hello(sender=build_host("e1"), started_ms=1, host="10.0.0.1", port=80),
    ev.HostHeartbeat(
        number=4, claims=(CLAIM,), configuration_version=9, is_draining=True
    ),
    ev.HostHeartbeat(number=5, claims=(), configuration_version=0, lacks_targets=True),
    ev.HostHeartbeat(number=6, claims=(), configuration_version=0, is_idle=True),
    ev.HostHeartbeat(
        number=7,
        claims=(),
        configuration_version=0,
        evacuations=Evacuations(version=2**63, data_centres=frozenset({"bern", "b"})),
    ),
    build_request(
        "a",
        build_step(count=3, after=(0,), data_rack="r1"),
        is_repeat=True,
        term=2**52,
    ),
    ev.CancelTasks(cell=CELL, job="a"),
    ev.CancelRequest(
        job="a", asked_by=build_host("e1"), number=2**40, is_passed_on=True
    ),
    ev.CancelRequest(
        job="a",
        asked_by=build_host("e1"),
        number=1,
        pass_on_to=(build_host("e2").name, build_host("e3").name),
    ),
    ev.CancelReply(asked_by=build_host("e1", "f"), number=7, was_open=True),
    ev.CancelReply(
        asked_by=build_host("e1", "f"),
        number=7,
        was_open=False,
        recorded=(build_host("e2").name,),
        lost=(build_host("e3").name,),
    ),
    ev.CancelledJobs(jobs=(ev.CancelledJob(job="a", age_s=0.25),)),
    ev.TasksEnded(
        cell=CELL,
        term=3,
        job="a",
        step_number=1,
        indexes=(0, 5),
        end=ev.TaskEnd.DECLINED,
        has_started=True,
    ),
    ev.TasksEnded(
        cell=CELL,
        term=3,
        job="a",
        step_number=1,
        indexes=(0, 5),
        end=ev.TaskEnd.EVACUATED,
        has_started=False,
    ),
    ev.ConfigurationRequest(known_version=2),
    ev.ConfigurationOffer(version=3, content=b"{}"),
    ev.CellTargets(
        cell=CELL,
        term=2**52,
        targets=(build_target("t1", labels=("r1", "b"), is_leaving=True),),
        removed=("t2",),
        is_complete=True,
    ),
    ev.TargetLosses(
        losses=(
            ev.TargetLoss(
                loss_id="7-1",
                cell=CELL,
                target="t1",
                host="10.0.0.1",
                port=8000,
                incarnation=2**41,
                tasks=(build_key("a"), build_key("b", 3)),
                is_complete=False,
                age_s=1.5,
                outcome=ev.LossOutcome.CRASHED,
            ),
        ),
        is_passed_on=True,
    ),
    ev.TargetsRequest(data_centre="olten"),
    ev.TargetsOffer(rows=(("i-3", b"{}"),), data_centre="olten"),
    ev.TargetsOffer(rows=(("i-1", b"\x00\xff"), ("i-2", b""))),
]


class TestEncoding(unittest.TestCase):
    def test_every_message_decodes_to_the_encoded_value(self):
        """Guards against fields that are lost, swapped or altered on the wire."""
        for message in MESSAGES:
            with self.subTest(type(message).__name__):
                self.assertEqual(message, decode_message(encode_message(message)))

    def test_load_outside_the_range_of_a_field_is_clamped(self):
        """An exception that Cap'n Proto raises in a greenlet ends the process."""
        claim = ev.CellClaim(cell=CELL, term=1, queued_millicore_s=2**40)
        heartbeat = ev.HostHeartbeat(number=1, claims=(claim,), configuration_version=1)
        decoded = decode_message(encode_message(heartbeat))
        self.assertEqual(2**32 - 1, decoded.claims[0].queued_millicore_s)

    def test_a_term_outside_the_range_of_its_field_is_clamped(self):
        """An exception that Cap'n Proto raises in a greenlet ends the process."""
        for term, expected in ((-1, 0), (2**65, 2**64 - 1)):
            decoded = decode_message(encode_message(build_request("a", term=term)))
            self.assertEqual(expected, decoded.term)

    def test_a_cancel_without_a_valid_age_is_rejected(self):
        """A negative age, or none, would keep the entry for ever."""
        for age_s in (-1.0, float("nan")):
            with self.subTest(age_s):
                jobs = (ev.CancelledJob(job="a", age_s=age_s),)
                decoded = decode_message(encode_message(ev.CancelledJobs(jobs=jobs)))
                self.assertIsInstance(decoded, MalformedMessage)

    def test_damaged_bodies_are_rejected(self):
        """A damaged body must not be handled as a request to run tasks."""
        for body in (b"", b"\x00" * 8, encode_message(MESSAGES[3])[:40]):
            with self.subTest(len(body)):
                decoded = decode_message(body)
                self.assertNotIsInstance(decoded, ev.RunTasks)
                if not body:
                    self.assertIsInstance(decoded, MalformedMessage)


if __name__ == "__main__":
    unittest.main()
