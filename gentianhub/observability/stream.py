"""Log lines on standard output that never hold up the process.

Lines wait in a bounded queue for a greenlet that writes them. When the reader of the
output is slower than the process, lines are dropped and counted; the count is logged
once there is room again.
"""

import logging
import sys

import gevent
from attrs import define, field
from gevent.os import make_nonblocking, nb_write

from gentianhub.core import Mailbox, spawn_task

# Lines that wait to be written; a few MB at most.
QUEUE_LIMIT = 4000
# Lines joined into one write at most; each write is a system call.
LINES_PER_WRITE = 64
# Lines of a moment are written together after this pause, s.
GATHERING_S = 0.02


@define(kw_only=True, eq=False)
class LineWriter:
    """Owns an output descriptor."""

    descriptor: int
    lines: Mailbox[bytes] = field(factory=lambda: Mailbox(limit=QUEUE_LIMIT))
    dropped: int = 0

    def offer(self, line: str) -> None:
        """Queue a line, or count it as dropped."""
        if not self.lines.offer(line.encode(errors="replace") + b"\n"):
            self.dropped += 1

    def run(self) -> None:
        """Write queued lines for ever."""
        make_nonblocking(self.descriptor)
        for line in self.lines.drain_messages():
            gevent.sleep(GATHERING_S)
            self._write_whole(b"".join([line, *self._take_more()]))
            if self.dropped:
                dropped, self.dropped = self.dropped, 0
                logging.getLogger(__name__).warning(
                    "log lines dropped", extra={"count": dropped}
                )

    def flush(self) -> None:
        """Write what is queued, at the end of the process."""
        while len(self.lines):
            self._write_whole(b"".join(self._take_more()))

    def _take_more(self):
        while len(self.lines):
            yield self.lines.take()

    def _write_whole(self, content: bytes) -> None:
        while content:
            try:
                content = content[nb_write(self.descriptor, content) :]
            except OSError:
                # Nobody reads the output; there is no other place to say so.
                self.dropped += 1
                return


class QueueingHandler(logging.Handler):
    """Formats records and queues the lines."""

    def __init__(self, *, writer: LineWriter):
        super().__init__()
        self.writer = writer

    def emit(self, record: logging.LogRecord) -> None:
        """Queue one record."""
        self.writer.offer(self.format(record))


def open_line_writer() -> LineWriter:
    """Start the greenlet that writes to standard output."""
    writer = LineWriter(descriptor=sys.stdout.fileno())
    spawn_task(writer.run)
    return writer
