"""Runs one host of a deployment: `python -m gentianhub.host`."""

import gc
import sys

import gevent

from gentianhub.core import SettingsError
from gentianhub.host import HostProcess
from gentianhub.observability import (
    QueueingHandler,
    configure_logging,
    open_line_writer,
)
from gentianhub.platform.settings import load_host_settings

# Allocations between two collections of the youngest generation. Few objects of a host
# are part of cycles.
GC_THRESHOLD = 10_000
EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_SERVE = 3


def run() -> int:
    """Run the host that the environment's settings describe; return an exit code."""
    try:
        settings = load_host_settings()
    except SettingsError as error:
        print(f"{error.peer}:\n  {error.reason}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    # All addresses are numeric; the default resolver starts a thread for each lookup,
    # which delays every new connection.
    gevent.config.resolver = "block"
    writer = open_line_writer()
    configure_logging(
        process=str(settings.name), level="info", handler=QueueingHandler(writer=writer)
    )
    # The imported modules last until the end, so that collections need not visit them.
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    try:
        HostProcess(settings=settings).run()
    except OSError as error:
        print(f"{settings.name}: cannot serve: {error}", file=sys.stderr)
        return EXIT_CANNOT_SERVE
    finally:
        writer.flush()
    return 0


if __name__ == "__main__":
    sys.exit(run())
