"""Logging set-up: one JSON object per line."""

import logging
import sys
import time

from pythonjsonlogger.json import JsonEncoder, JsonFormatter


class LineFormatter(JsonFormatter):
    """Formats records as the library does, and plain ones in less time.

    The text of a second and the encoder are kept from one record to the next.
    """

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._encode = JsonEncoder().encode
        self._second = -1
        self._second_text = ""

    def formatTime(self, record: logging.LogRecord, datefmt: str | None = None) -> str:
        """Return the local time of a record with milliseconds."""
        second = int(record.created)
        if datefmt is not None:
            return super().formatTime(record, datefmt)
        if second != self._second:
            self._second = second
            self._second_text = time.strftime(
                self.default_time_format, time.localtime(second)
            )
        return self.default_msec_format % (self._second_text, record.msecs)

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
        if (
            type(record.msg) is not str
            or record.exc_info
            or record.exc_text
            or record.stack_info
        ):
            return super().format(record)
        skipped = self._skip_fields
        extra = {
            key: value
            for key, value in record.__dict__.items()
            if key not in skipped and key[:1] != "_"
        }
        line = {
            "time": self.formatTime(record),
            "level": record.levelname,
            "logger": record.name,
            "message": record.getMessage(),
            **self.static_fields,
            **extra,
        }
        return self._encode(line)


def configure_logging(
    *, process: str, level: str, handler: logging.Handler | None = None
) -> None:
    """Configure the root logger to write JSON lines.

    Each line has the time, level, logger, process and message, and the keys passed
    as `extra=`, such as step and peer. The default handler writes to standard error.
    """
    # No line has these values, and finding them takes time for each record.
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False
    logging.logAsyncioTasks = False
    logging._srcfile = None
    handler = handler or logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        LineFormatter(
            "{asctime}{levelname}{name}{message}",
            style="{",
            rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
            static_fields={"process": process},
        )
    )
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
