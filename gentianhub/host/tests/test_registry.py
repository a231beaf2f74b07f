"""Rows of the hosts' own tables that another writer has left or changed."""

import json
import unittest

from gentianhub.host.registry import (
    MAX_CELLS,
    HostEntry,
    decode_host,
    decode_layout,
    encode_host,
    encode_layout,
)
from gentianhub.platform.fields import FieldError

ENTRY = HostEntry(
    data_centre="olten",
    name="host-1",
    address="127.0.0.1",
    port=8000,
    started_ms=1,
    cores=0.5,
)


class TestRows(unittest.TestCase):
    """Guards against rows that end the coordinator of every host that reads them."""

    def test_rows_decode_to_the_encoded_values(self):
        self.assertEqual(ENTRY, decode_host(encode_host(ENTRY)))
        self.assertEqual(3, decode_layout(encode_layout(3)))

    def test_hosts_that_cannot_be_used_are_rejected(self):
        values = json.loads(encode_host(ENTRY))
        changes = (
            {"name": "Host 1"},
            {"data_centre": ""},
            {"address": "host-1"},
            {"port": 0},
            {"port": 99_999},
            {"cores": float("nan")},
            {"cores": 10**400},
            {"started_ms": -1},
        )
        for change in changes:
            row = json.dumps(values | change).encode()
            with self.subTest(change), self.assertRaises(FieldError):
                decode_host(row)

    def test_a_layout_that_would_use_up_the_memory_is_rejected(self):
        for cells in (0, MAX_CELLS + 1, 10**9):
            with self.subTest(cells), self.assertRaises(FieldError):
                decode_layout(encode_layout(cells))


if __name__ == "__main__":
    unittest.main()
