"""Settings files: faults are told with file, key path and what was expected."""

import copy
import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import pyjson5

from gentianhub.core import SettingsError
from gentianhub.settings import load_settings
from tools.settings_reference import PAGE, build_page

EXAMPLE = Path(__file__).parents[3] / "examples" / "host.json"
CALLERS = "$.processes[1].callers"
# Path of the object, the key in it, its value
# (`...` removes the key), and what the message must contain.
FAULTS = (
    (("limits",), "drain", 3, ("unknown key drain", "$.limits")),
    (("limits",), "drain_s", "3", ("not a number", "$.limits.drain_s")),
    (("limits",), "drain_s", -1, ("'drain_s' must be >= 0", "$.limits")),
    (("limits",), "caller_connections", True, ("not a whole number",)),
    (("processes", 1, "callers"), "port", 70000, ("'port' must be <= 65535", CALLERS)),
    (("processes", 1, "callers"), "host", ..., ("missing key host", CALLERS)),
    (("processes", 1), "callers", ..., ("missing key callers", CALLERS)),
    ((), "platform", ..., ("missing key platform", "$.platform")),
    ((), "platform", "x", ("not an object with the keys host, port", "$.platform")),
    ((), "processes", {}, ("not a list of objects", "$.processes")),
    ((), "log_level", "loud", ("'log_level' must be in", "debug")),
)
BROKEN = (
    (b"{", "not JSON with comments"),
    (b"\xff", "not UTF-8"),
    (b"[]", "not an object with the keys data_centre"),
)


class LoaderTest(unittest.TestCase):
    """Guards against a fault that is passed over or told without its place."""

    def setUp(self):
        directory = self.enterContext(tempfile.TemporaryDirectory())
        self.path = Path(directory) / "host.json"

    def read_fault(self, content: bytes) -> str:
        self.path.write_bytes(content)
        with self.assertRaises(SettingsError) as caught:
            load_settings(self.path)
        self.assertEqual(caught.exception.peer, str(self.path))
        return caught.exception.reason

    def test_each_fault_names_its_place_and_what_was_expected(self):
        example = pyjson5.decode(EXAMPLE.read_text())
        for place, key, value, expected in FAULTS:
            with self.subTest(place=place, key=key, value=value):
                content = copy.deepcopy(example)
                part = content
                for step in place:
                    part = part[step]
                part[key] = value
                if value is ...:
                    del part[key]
                reason = self.read_fault(json.dumps(content).encode())
                for words in expected:
                    self.assertIn(words, reason)

    def test_broken_files_are_faults_of_the_file(self):
        for content, expected in BROKEN:
            with self.subTest(content=content):
                self.assertIn(expected, self.read_fault(content))

    def test_example_loads(self):
        self.assertEqual(len(load_settings(EXAMPLE).processes), 2)

    def test_entry_starts_nothing_on_a_bad_file(self):
        self.path.write_text(EXAMPLE.read_text().replace("7102", "70000"))
        command = [sys.executable, "-m", "gentianhub", "entry", "--process", "e1p0"]
        ended = subprocess.run(
            [*command, "--settings", str(self.path)], capture_output=True, text=True
        )
        self.assertEqual(ended.returncode, 2)
        self.assertEqual(ended.stdout, "")
        self.assertIn("'port' must be <= 65535", ended.stderr)
        self.assertNotIn("serving", ended.stderr)

    def test_reference_page_is_up_to_date(self):
        self.assertEqual(PAGE.read_text(), build_page())
