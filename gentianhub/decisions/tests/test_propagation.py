import unittest

from gentianhub.core import TeamRow
from gentianhub.decisions.propagation import MAX_KEPT_CHANGES, TableHistory
from gentianhub.decisions.versions import TableChange


def build_change(version: int) -> TableChange:
    rows = (TeamRow(name=f"team-{version}"),)
    return TableChange(
        version=version, change_id=str(version), author="a", reason="r", rows=rows
    )


class TableHistoryTest(unittest.TestCase):
    """Guards against a table that reverts to an older version or lacks a change."""

    def test_gap_and_older_tables_change_nothing(self):
        history = TableHistory()
        list(history.adopt_changes([build_change(2), build_change(1)]))
        newest = history.table
        self.assertEqual(newest.version, 2)
        self.assertEqual(list(history.adopt_changes([build_change(4)])), [])
        older = TableHistory()
        list(older.adopt_changes([build_change(1)]))
        self.assertEqual(list(history.adopt_table(older.table)), [])
        self.assertIs(history.table, newest)

    def test_process_far_behind_gets_the_whole_table(self):
        history = TableHistory()
        count = MAX_KEPT_CHANGES + 1
        list(history.adopt_changes(map(build_change, range(1, count + 1))))
        self.assertIsNone(history.find_changes(0))
        self.assertEqual(len(history.find_changes(1)), MAX_KEPT_CHANGES)
        self.assertEqual(history.find_changes(count), ())
        receiver = TableHistory()
        list(receiver.adopt_table(history.table))
        self.assertEqual(receiver.table, history.table)
        self.assertIsNone(receiver.find_changes(0))
