"""Log lines of the project's formatter beside those of the library."""

import enum
import io
import logging
import sys
import unittest
from contextlib import ExitStack
from unittest import mock

from pythonjsonlogger.json import JsonFormatter

from gentianhub.observability.logs import LineFormatter, configure_logging


class Colour(enum.Enum):
    """A value that only the library's encoder can encode."""

    RED = "red"


CALLS = (
    ("started", (), {}),
    ("job submitted", (), {"id": "5c0e", "wait_s": None, "widths": [1, 2], "ok": True}),
    ("é “quoted” \n", (), {"text": "\ud83d\ude00 \x00 ☃", "nested": {"a": (1, 2.5)}}),
    ("%d of %s", (3, "five"), {"_hidden": 1, "step": "read"}),
    ("100 % without arguments", (), {"lone": "\ud800"}),
    ("unusual", (), {"colour": Colour.RED, "raw": b"\x00", "kind": ValueError("x")}),
    ({"message": "a dict", "key": 1}, (), {"id": "x"}),
    (ValueError("an object"), (), {}),
    ("infinite", (), {"age_s": float("inf"), "missing": float("nan")}),
)
# Variables of the module that `configure_logging` sets.
LOGGING_FLAGS = (
    "logThreads",
    "logProcesses",
    "logMultiprocessing",
    "logAsyncioTasks",
    "_srcfile",
)
TIMES_S = (0.0, 1_700_000_000.0004, 1_700_000_000.9996, 1_700_000_001.25)


def build_formatter(formatter_class) -> logging.Formatter:
    """Return a formatter with the arguments of `configure_logging`."""
    return formatter_class(
        "{asctime}{levelname}{name}{message}",
        style="{",
        rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
        static_fields={"process": "olten.front-1"},
    )


def build_record(message, args, extra, created_s: float, exc_info=None):
    """Return the record that a logger creates, with another time."""
    record = logging.getLogger("gentianhub.test").makeRecord(
        "gentianhub.test", logging.INFO, "f", 1, message, args, exc_info, extra=extra
    )
    record.created, record.msecs = created_s, int(created_s % 1 * 1000) + 0.0
    return record


class LineFormatterTest(unittest.TestCase):
    """Guards against lines whose fields, order or texts differ from the library's."""

    def test_lines_are_those_of_the_library(self):
        expected = build_formatter(JsonFormatter)
        found = build_formatter(LineFormatter)
        for created_s in TIMES_S:
            for message, args, extra in CALLS:
                with self.subTest(message=message, created_s=created_s):
                    lines = [
                        formatter.format(build_record(message, args, extra, created_s))
                        for formatter in (expected, found)
                    ]
                    self.assertEqual(*lines)

    def test_exceptions_and_stacks_are_those_of_the_library(self):
        try:
            raise KeyError("missing")
        except KeyError:
            exc_info = sys.exc_info()
        lines = []
        for formatter_class in (JsonFormatter, LineFormatter):
            record = build_record("failed", (), {}, TIMES_S[1], exc_info)
            record.stack_info = "Stack"
            lines.append(build_formatter(formatter_class).format(record))
        self.assertEqual(*lines)
        self.assertIn("KeyError", lines[0])

    def test_configured_logging_writes_these_lines(self):
        root, written = logging.getLogger(), io.StringIO()
        before = root.handlers[:], root.level
        handler = logging.StreamHandler(written)
        with ExitStack() as stack:
            for name in LOGGING_FLAGS:
                value = getattr(logging, name, True)
                patch = mock.patch.object(logging, name, value, create=True)
                stack.enter_context(patch)
            configure_logging(process="olten.front-1", level="info", handler=handler)
            logging.getLogger("gentianhub.test").info("started", extra={"id": "x"})
            root.handlers[:], root.level = before
        self.assertIsInstance(handler.formatter, LineFormatter)
        self.assertRegex(
            written.getvalue(),
            r'^\{"time": "[^"]+", "level": "INFO", "logger": "gentianhub.test", '
            r'"message": "started", "process": "olten.front-1", "id": "x"\}\n$',
        )
