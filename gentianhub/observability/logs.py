"""Logs as JSON lines."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter


def configure_logging(
    *, process: str, level: str, handler: logging.Handler | None = None
) -> None:
    """Log JSON lines with time, level, logger, process, step and peer.

    Without a handler the lines go to standard error.
    """
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
