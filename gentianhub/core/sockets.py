"""Writing to sockets."""

from typing import Any


def send_message(sock: Any, message: bytes) -> None:
    """Send a message completely.

    gevent's `sendall` asks for the size of the socket's buffer first, which is a system
    call for each message.
    """
    sent = sock.send(message)
    if sent < len(message):
        sock.sendall(memoryview(message)[sent:])
