"""Errors in settings files: reported with file, key path and expected value."""

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
# Path of the object, key in it, value (`...` removes the key), and texts that the
# message must contain.
INVALID_VALUES = (
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
UNREADABLE_FILES = (
    (b"{", "not JSON with comments"),
    (b"\xff", "not UTF-8"),
    (b"[]", "not an object with the keys data_centre"),
)


class LoaderTest(unittest.TestCase):
    """Guards against an error that is missed or reported without its key path."""

    def setUp(self):
        directory = self.enterContext(tempfile.TemporaryDirectory())
        self.path = Path(directory) / "host.json"

    def load_invalid(self, content: bytes) -> str:
        self.path.write_bytes(content)
        with self.assertRaises(SettingsError) as caught:
            load_settings(self.path)
        self.assertEqual(caught.exception.peer, str(self.path))
        return caught.exception.reason

    def test_each_error_has_its_key_path_and_expected_value(self):
        example = pyjson5.decode(EXAMPLE.read_text())
        for key_path, key, value, expected in INVALID_VALUES:
            with self.subTest(key_path=key_path, key=key, value=value):
                content = copy.deepcopy(example)
                part = content
                for step in key_path:
                    part = part[step]
                part[key] = value
                if value is ...:
                    del part[key]
                reason = self.load_invalid(json.dumps(content).encode())
                for text in expected:
                    self.assertIn(text, reason)

    def test_unreadable_files_raise_settings_error(self):
        for content, expected in UNREADABLE_FILES:
            with self.subTest(content=content):
                self.assertIn(expected, self.load_invalid(content))

    def test_example_loads(self):
        self.assertEqual(len(load_settings(EXAMPLE).processes), 2)

    def test_entry_exits_before_serving_on_invalid_settings(self):
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
