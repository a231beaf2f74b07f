"""Logging set-up: one JSON object per line."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter


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
        JsonFormatter(
            "{asctime}{levelname}{name}{message}",
            style="{",
            rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
            static_fields={"process": process},
        )
    )
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
