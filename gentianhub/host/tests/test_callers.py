"""Headers of callers' requests."""

import unittest

from gentianhub.host.callers import MAX_WAIT_S, parse_wait_s


class TestWait(unittest.TestCase):
    def test_only_a_finite_wait_is_used(self):
        """A deadline at infinity would keep a job open for good."""
        cases = {
            None: None,
            "": None,
            "soon": None,
            "nan": None,
            "inf": None,
            "1e400": None,
            "-5": 0.0,
            "1500": 1.5,
            "1e300": MAX_WAIT_S,
        }
        for text, expected in cases.items():
            with self.subTest(text):
                self.assertEqual(expected, parse_wait_s(text))


if __name__ == "__main__":
    unittest.main()
