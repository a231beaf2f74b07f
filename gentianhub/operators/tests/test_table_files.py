"""CSV files as written by spreadsheet programs and by hand."""

import tempfile
import unittest
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from gentianhub.core import ServiceRow, Table, TargetRow, TeamRow
from gentianhub.operators.changes import describe_consequences
from gentianhub.operators.table_files import (
    FaultyTable,
    read_table_files,
    write_table_files,
)

EXAMPLE = Path(__file__).parents[3] / "examples" / "table"
VALID_SHEETS = {"teams": "name\ndesk\n", "services": "name,team\n", "targets": "name\n"}


class TableFilesTest(unittest.TestCase):
    """Guards against faults that are missed, misplaced or hidden by others.

    Also guards against written files that read back as another table.
    """

    def setUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.folder = Path(folder)

    def read(self, **sheets: str | bytes):
        for sheet, text in {**VALID_SHEETS, **sheets}.items():
            content = text if isinstance(text, bytes) else text.encode()
            (self.folder / f"{sheet}.csv").write_bytes(content)
        return read_table_files(self.folder)

    def find_locations(self, **sheets: str | bytes) -> list[tuple[str, int, str]]:
        result = self.read(**sheets)
        self.assertIsInstance(result, FaultyTable)
        for fault in result.faults:
            self.assertTrue(fault.found and fault.expected)
        return [(fault.file, fault.row, fault.column) for fault in result.faults]

    def test_all_faults_are_reported_together_with_their_locations(self):
        locations = self.find_locations(
            teams="# comment\nname,weight,quota_slots\n\ndesk,0,1.5\ndesk,nan,\n,1,\n",
            services="name,team,max_queued_s\norders,desk,inf\nstock,dsek,1_0\n",
            targets="name,slots\nt1,-1,3\n",
        )
        expected = [
            ("teams.csv", 4, "weight"),
            ("teams.csv", 4, "quota_slots"),
            ("teams.csv", 5, "weight"),
            ("teams.csv", 5, "name"),
            ("teams.csv", 6, "name"),
            ("services.csv", 2, "max_queued_s"),
            ("services.csv", 3, "max_queued_s"),
            ("targets.csv", 2, ""),
            ("targets.csv", 2, "slots"),
            ("services.csv", 3, "team"),
        ]
        self.assertCountEqual(locations, expected)

    def test_invalid_files_are_faults_and_never_read_as_empty(self):
        invalid_files = {
            "empty": ("", 0),
            "only a comment": ("# name\n", 0),
            "not UTF-8": (b"name\n\xe9t\xe9\n", 0),
            "semicolons": ("name;weight\ndesk;1\n", 1),
            "unknown column": ("name,wieght\ndesk,1\n", 1),
            "column twice": ("name,weight,weight\ndesk,1,2\n", 1),
            "no name column": ("weight\n1\n", 1),
            "open quote": ('name\n"desk\n', 2),
        }
        for label, (text, row) in invalid_files.items():
            with self.subTest(label):
                self.assertIn(("teams.csv", row, ""), self.find_locations(teams=text))
        (self.folder / "teams.csv").unlink()
        self.assertIsInstance(read_table_files(self.folder), FaultyTable)

    def test_additions_by_spreadsheet_programs_are_accepted(self):
        text = '\ufeffname,weight,,\r\n"desk", 2 ,,\r\n,,,\r\n# end\r\n'
        table = self.read(teams=text)
        self.assertEqual(table.teams, {"desk": TeamRow(name="desk", weight=2.0)})

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(
        name=st.from_regex(r"[a-zé ,;\"'#-]{1,20}", fullmatch=True),
        weight=st.floats(min_value=1e-6, max_value=1e9),
        limit=st.none() | st.integers(0, 10**12),
    )
    def test_written_files_read_back_equal(self, name, weight, limit):
        name = "a" + name.strip()
        table = Table(
            teams={name: TeamRow(name=name, weight=weight, quota_slots=limit)},
            services={"s": ServiceRow(name="s", team=name, max_running=limit)},
            targets={name: TargetRow(name=name, slots=0)},
        )
        write_table_files(self.folder, table)
        self.assertEqual(read_table_files(self.folder), table)

    def test_edit_of_example_has_described_consequences(self):
        table = read_table_files(EXAMPLE)
        self.assertIsInstance(table, Table)
        self.read(
            teams=(EXAMPLE / "teams.csv")
            .read_text()
            .replace("hospitals,4", "hospitals,8"),
            services=(EXAMPLE / "services.csv").read_text().replace("depot-r", "d-r"),
            targets=(EXAMPLE / "targets.csv")
            .read_text()
            .replace("aarau-2,4", "aarau-2,0"),
        )
        lines = "\n".join(describe_consequences(table, read_table_files(self.folder)))
        self.assertIn("service depot-reports: new submissions are refused", lines)
        self.assertIn("service d-reports: submissions are accepted", lines)
        self.assertIn("target aarau-2: gets no new task", lines)
        self.assertIn("hospital-swap-dispatches: share of the slots", lines)
        self.assertIn("32.7% -> 41.6%", lines)
