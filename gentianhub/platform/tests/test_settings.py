"""Settings of a host as the platform writes them."""

import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from gentianhub.core import SettingsError
from gentianhub.platform.settings import (
    LOAD_SHEDDING_VARIABLE,
    SETTINGS_VARIABLE,
    HostSettings,
    load_host_settings,
)

SETTINGS = """
node = "front-1"
zone = "olten"
[bind_addrs]
front = "127.0.0.1:8161"
ready = "127.0.0.1:8167"
control = "127.0.0.1:8166"
[platform]
address = "127.0.0.1:8169"
"""


class TestBounds(unittest.TestCase):
    """Guards against a host that doesn't know when its callers come again."""

    def load(self, text: str) -> HostSettings:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "local.toml")
            path.write_text(SETTINGS + text)
            with mock.patch.dict(os.environ, {SETTINGS_VARIABLE: str(path)}):
                return load_host_settings()

    def test_bounds_are_read_in_seconds(self):
        settings = self.load("[bounds]\nresend_ms = 900\nstop_ms = 70.5\n")
        self.assertEqual(0.9, settings.caller_return_s)
        self.assertEqual(0.0705, settings.stop_s)

    def test_a_bound_on_evacuations_is_read_if_there_is_one(self):
        self.assertEqual(5.0, self.load("[bounds]\nevacuate_ms = 5000\n").evacuate_s)
        self.assertIsNone(self.load("").evacuate_s)

    def test_bounds_may_be_missing(self):
        settings = self.load("")
        self.assertEqual((1.3, 0.05), (settings.caller_return_s, settings.stop_s))
        self.assertEqual(1.0, settings.max_lease_s)

    def test_a_bound_of_another_type_is_a_clear_error(self):
        with self.assertRaisesRegex(SettingsError, "resend_ms"):
            self.load("[bounds]\nresend_ms = true\n")

    def test_load_shedding_is_off_unless_it_is_asked_for(self):
        """Deployments that do not ask for it are served as before."""
        self.assertFalse(self.load("").sheds_load)
        for value, expected in (("on", True), ("", False), ("yes", False)):
            with mock.patch.dict(os.environ, {LOAD_SHEDDING_VARIABLE: value}):
                self.assertIs(expected, self.load("").sheds_load)


if __name__ == "__main__":
    unittest.main()
