"""Messages to the owners of cells and to front hosts, this host included."""

from collections import deque
from collections.abc import Iterable, Iterator

from gentianhub.core import Incarnation
from gentianhub.core.records import define, field
from gentianhub.host.links import HostLinks


@define(kw_only=True, eq=False)
class Outbox:
    """Sends messages to other hosts by link, and queues those to this host."""

    local_host: Incarnation
    links: HostLinks
    _own_messages: deque = field(init=False, factory=deque)

    def send(self, to: Incarnation, message) -> bool:
        """Send a message; return whether it was queued."""
        if to == self.local_host:
            self._own_messages.append(message)
            return True
        return self.links.send(to, message)

    def send_all(self, to: Incarnation, messages: Iterable) -> None:
        """Send messages one after another."""
        for message in messages:
            self.send(to, message)

    def pop_own_messages(self) -> Iterator:
        """Yield and remove the messages to this host, also those queued meanwhile."""
        while self._own_messages:
            yield self._own_messages.popleft()
