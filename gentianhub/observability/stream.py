"""Non-blocking output of log lines.

A greenlet writes the lines from a bounded queue, so that logging never blocks the
process. If the reader of the output is slower than the process, lines are dropped and
counted, and the count is logged after the next write.
"""

import logging
import sys

import gevent
from gevent.os import make_nonblocking, nb_write

from gentianhub.core import Mailbox, spawn_greenlet
from gentianhub.core.records import define, field

# Bounds the memory of the queue to a few MB.
MAX_QUEUED_LINES = 4000
# Unused: a write joins all queued lines. Each write is a system call.
LINES_PER_WRITE = 64
# Delay before a write, so that lines logged shortly after one another share it.
BATCH_DELAY_S = 0.02


@define(kw_only=True, eq=False)
class LineWriter:
    """Writes queued log lines to a file descriptor, which it owns."""

    descriptor: int
    lines: Mailbox[bytes] = field(factory=lambda: Mailbox(limit=MAX_QUEUED_LINES))
    dropped: int = 0

    def enqueue(self, line: str) -> None:
        """Queue a line; if the queue is full, drop and count it."""
        if not self.lines.try_put(line.encode(errors="replace") + b"\n"):
            self.dropped += 1

    def run(self) -> None:
        """Write queued lines until the process ends."""
        make_nonblocking(self.descriptor)
        for line in self.lines.iterate_messages():
            gevent.sleep(BATCH_DELAY_S)
            self._write_all(b"".join([line, *self._pop_queued()]))
            if self.dropped:
                dropped, self.dropped = self.dropped, 0
                logging.getLogger(__name__).warning(
                    "log lines dropped", extra={"count": dropped}
                )

    def flush(self) -> None:
        """Write the remaining queued lines, when the process ends."""
        while len(self.lines):
            self._write_all(b"".join(self._pop_queued()))

    def _pop_queued(self):
        while len(self.lines):
            yield self.lines.get()

    def _write_all(self, content: bytes) -> None:
        while content:
            try:
                content = content[nb_write(self.descriptor, content) :]
            except OSError:
                # The output is the only place where this could be reported.
                self.dropped += 1
                return


class QueueingHandler(logging.Handler):
    """Logging handler that formats records and queues the lines for a writer."""

    def __init__(self, *, writer: LineWriter):
        super().__init__()
        self.writer = writer

    def emit(self, record: logging.LogRecord) -> None:
        """Format and queue one record."""
        self.writer.enqueue(self.format(record))


def open_line_writer() -> LineWriter:
    """Start a greenlet that writes to standard output, and return its writer."""
    writer = LineWriter(descriptor=sys.stdout.fileno())
    spawn_greenlet(writer.run)
    return writer
