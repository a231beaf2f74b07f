"""Requests for newer tables of siblings."""

import unittest

from gentianhub.siblings.propagation import TABLE_REQUEST_TIMEOUT_S, TableSync


class RecordingLink:
    """Stand-in for `Link` that counts the messages."""

    def __init__(self):
        self.sent = 0

    def send(self, body: bytes) -> bool:
        self.sent += 1
        return True


class TestTableRequests(unittest.TestCase):
    def test_a_table_is_requested_again_after_an_answer_was_lost(self):
        """An old table would stay in force until the next change."""
        sync, link = TableSync(), RecordingLink()
        version = sync.history.table.version + 1
        for number in range(3):
            sync.request_table(link, version, 1.0 + number * TABLE_REQUEST_TIMEOUT_S)
            sync.request_table(link, version, 1.1 + number * TABLE_REQUEST_TIMEOUT_S)
        self.assertEqual(3, link.sent)


if __name__ == "__main__":
    unittest.main()
