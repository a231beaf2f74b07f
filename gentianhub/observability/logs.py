"""Logs as JSON lines on standard error."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter


def configure_logging(*, process: str, level: str) -> None:
    """Log JSON lines with time, level, logger, process, step and peer."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "{asctime}{levelname}{name}{message}",
            style="{",
            rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
            static_fields={"process": process},
        )
    )
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
