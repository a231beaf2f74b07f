"""Entries of the service discovery that are decoded again and again."""

import json
import unittest
from unittest import mock

from gentianhub.platform import content
from gentianhub.platform.content import TargetDecoder, decode_target
from gentianhub.platform.fields import FieldError

NAME = "3f6c0a91d2b4e875"
ENTRY = {
    "service": "desk",
    "address": "10.200.0.7:8100",
    "zone": "olten",
    "state": "ready",
    "seq": 1,
    "born": 1_700_000_000_000,
    "capacity": {"cpu": 32_000, "mem_mb": 131_072, "gpu": 0},
    "labels": ["a", "r1-3"],
}
CHANGES = (
    {"seq": 2},
    {"seq": 2**40},
    {"state": "draining"},
    {"born": 1_700_000_000_001},
    {"address": "10.200.0.8:8100"},
    {"zone": "aarau"},
    {"capacity": {"cpu": 16_000, "mem_mb": 131_072, "gpu": 0}},
    {"capacity": {"cpu": 32_000, "mem_mb": 131_072, "gpu": 1, "seq": 4}},
    {"labels": ["b"]},
    {"labels": ['"seq":1', "a,"]},
    {"labels": ['"seq":2', "a,"]},
    {"service": 'desk"seq":3'},
    {"extra": {"seq": 3}},
)
INVALID = (
    b"",
    b"{",
    b"[]",
    json.dumps(ENTRY | {"state": "gone"}).encode(),
    json.dumps(ENTRY | {"born": True}).encode(),
    json.dumps(ENTRY | {"born": 1.0}).encode(),
    json.dumps(ENTRY).replace('"seq": 1', '"seq": 01').encode(),
    json.dumps(ENTRY).replace('"seq": 1', '"seq": 1 2').encode(),
    json.dumps(ENTRY).replace('"seq": 1', '"seq": ').encode(),
    json.dumps(ENTRY).replace('"seq": 1', "").encode(),
)


class TargetDecoderTest(unittest.TestCase):
    """Guards against targets that are kept although their entries have changed."""

    def test_each_entry_is_decoded_as_on_its_own(self):
        for separators in ((",", ":"), (", ", ": ")):
            decoder = TargetDecoder()
            for change in ({}, *CHANGES, {}, *reversed(CHANGES)):
                entry = json.dumps(ENTRY | change, separators=separators).encode()
                with self.subTest(entry=entry):
                    expected = decode_target(NAME, entry)
                    self.assertEqual(expected, decoder.decode(NAME, entry))

    def test_an_entry_that_becomes_invalid_names_no_target(self):
        for entry in INVALID:
            with self.subTest(entry=entry):
                decoder = TargetDecoder()
                decoder.decode(NAME, json.dumps(ENTRY).encode())
                with self.assertRaises(FieldError):
                    decoder.decode(NAME, entry)

    def test_a_heartbeat_is_not_decoded_again(self):
        """Guards against the largest cost of an idle owner."""
        decoder = TargetDecoder()
        with mock.patch.object(
            content, "decode_target", side_effect=decode_target
        ) as decode:
            for count in range(50):
                decoder.decode(NAME, json.dumps(ENTRY | {"seq": count}).encode())
            self.assertEqual(1, decode.call_count)
            decoder.retain(())
            decoder.decode(NAME, json.dumps(ENTRY).encode())
            self.assertEqual(2, decode.call_count)
