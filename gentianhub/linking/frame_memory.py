"""Memory of the frames that links have received in part."""

import socket
import sys
from typing import Any

from gentianhub.core.records import define, field

OVER_FRAME_MEMORY = "over the memory for frames"


@define(kw_only=True, eq=False)
class FrameMemory:
    """Counts what is received of large frames until they are complete.

    Parameters
    ----------
    max_bytes : int
        Memory for the frames of all links of a process.
    """

    max_bytes: int = sys.maxsize
    ended: int = field(init=False, default=0)
    held_bytes: int = field(init=False, default=0)
    _sizes: dict[Any, int] = field(init=False, factory=dict)

    def receive(self, sock, size: int) -> bool:
        """Count bytes of a link's frame; return whether its link may go on.

        If there is no room for them, the link with the largest frame ends.
        """
        self._sizes[sock] = self._sizes.get(sock, 0) + size
        self.held_bytes += size
        while self.held_bytes > self.max_bytes:
            largest = max(self._sizes, key=self._sizes.__getitem__)
            self.release(largest)
            self.ended += 1
            if largest is sock:
                return False
            try:
                largest.shutdown(socket.SHUT_RDWR)
            except OSError:
                # Its peer has ended it.
                continue
        return True

    def release(self, sock) -> None:
        """Stop counting the frame of a link, if it is counted."""
        self.held_bytes -= self._sizes.pop(sock, 0)
