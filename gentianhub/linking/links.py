"""Links to other processes; two greenlets own the TCP connection of each."""

import logging
import socket
from collections.abc import Callable
from typing import Any

import gevent
from attrs import define, field, frozen
from gevent import socket as gsocket

from gentianhub.core import Incarnation, Mailbox, ProcessName, Step, spawn_task
from gentianhub.linking.frames import (
    HEADER_BYTES,
    UNKNOWN_RECEIVER,
    DamagedFrame,
    FrameReader,
    FrameTooLarge,
    LinkEnded,
    MalformedMessage,
    ReceivedFrame,
    pack_frame,
)
from gentianhub.linking.handshake import PROTOCOL_VERSION, Hello
from gentianhub.linking.link_events import (
    DialFailed,
    DialTarget,
    LinkClosed,
    LinkOpened,
    MessageReceived,
)

HANDSHAKE_TIMEOUT_S = 1.0
# About one second of slot messages at one per 4 ms; a slower peer's link is closed.
LINK_QUEUE_LIMIT = 256
MAX_HELLO_BYTES = 4096

logger = logging.getLogger(__name__)


@frozen(kw_only=True)
class LinkCodec:
    """Encoding of a link's messages.

    `find_claimed_sender` returns the sender named in a message for the dispatcher, and
    None for a message to the manager. `refuse` returns the reply to a message that was
    sent to an earlier incarnation, or None if it needs no reply.
    """

    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any]
    find_claimed_sender: Callable[[Any], Incarnation | None]
    refuse: Callable[[Any, Incarnation], Any]


@frozen(kw_only=True)
class LinkContext:
    """State shared by all links of a process.

    It holds the process's greeting, the encoding of messages, and two mailboxes.
    """

    hello: Hello
    codec: LinkCodec
    manager: Mailbox
    dispatcher: Mailbox


@frozen(kw_only=True)
class HandshakeFailed:
    """Sentinel: no link; `has_ended` if the expected process no longer listens."""

    reason: str
    has_ended: bool = False


@define(kw_only=True, eq=False)
class Link:
    """Handle to a link and its greenlets.

    `verdict` receives one message: whether the manager accepts the link.
    """

    peer: Hello
    dialler: ProcessName
    target: DialTarget | None = None
    outgoing: Mailbox[bytes] = field(factory=lambda: Mailbox(limit=LINK_QUEUE_LIMIT))
    verdict: Mailbox[bool] = field(factory=lambda: Mailbox(limit=1))
    writer: gevent.Greenlet | None = None
    sent_bytes: int = 0
    received_bytes: int = 0
    refused_messages: int = 0

    @property
    def incarnation(self) -> Incarnation:
        """Incarnation of the process at the other end."""
        return self.peer.sender

    def send(self, body: bytes) -> bool:
        """Queue an encoded message; close the link if the queue is full."""
        is_queued = self.outgoing.offer(body)
        if not is_queued:
            self.close()
        return is_queued

    def close(self) -> None:
        """End the link; its greenlets close the socket."""
        if self.writer is not None:
            self.writer.kill(block=False)


def dial_link(target: DialTarget, context: LinkContext) -> None:
    """Connect, exchange greetings, and run the link until it ends."""
    match _connect(target, context):
        case HandshakeFailed(reason=reason, has_ended=has_ended):
            failed = DialFailed(target=target, reason=reason, has_ended=has_ended)
            context.manager.put(failed)
        case (frames, Hello() as peer):
            dialler = context.hello.sender.name
            _run_link(frames, Link(peer=peer, dialler=dialler, target=target), context)


def accept_link(sock, context: LinkContext) -> None:
    """Exchange greetings with a connected process, and run the link until it ends."""
    frames = FrameReader(sock=sock)
    match _exchange_hello(frames, context, None):
        case HandshakeFailed(reason=reason):
            # Port checks by the service manager also end here.
            logger.debug("incoming link rejected: %s", reason)
            sock.close()
        case Hello() as peer:
            _run_link(frames, Link(peer=peer, dialler=peer.sender.name), context)


def _connect(target: DialTarget, context: LinkContext):
    address = (target.host, target.port)
    try:
        sock = gsocket.create_connection(address, timeout=HANDSHAKE_TIMEOUT_S)
    except ConnectionRefusedError as error:
        return HandshakeFailed(reason=repr(error), has_ended=True)
    except OSError as error:
        return HandshakeFailed(reason=repr(error))
    frames = FrameReader(sock=sock)
    greeting = _exchange_hello(frames, context, target)
    if isinstance(greeting, HandshakeFailed):
        sock.close()
        return greeting
    return frames, greeting


def _exchange_hello(
    frames: FrameReader, context: LinkContext, target: DialTarget | None
) -> Hello | HandshakeFailed:
    sock = frames.sock
    sock.settimeout(HANDSHAKE_TIMEOUT_S)
    try:
        # Nagle's algorithm would delay heartbeats and forwarded requests.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.sendall(pack_frame(UNKNOWN_RECEIVER, context.codec.encode(context.hello)))
    except OSError as error:
        return HandshakeFailed(reason=repr(error))
    greeting = frames.read_frame(MAX_HELLO_BYTES)
    match greeting:
        case ReceivedFrame(body=body):
            greeting = context.codec.decode(body)
        case FrameTooLarge() | DamagedFrame() | LinkEnded():
            return HandshakeFailed(reason=repr(greeting))
    match greeting:
        case Hello(protocol_version=version) if version != PROTOCOL_VERSION:
            return HandshakeFailed(reason=f"unsupported protocol version {version}")
        case Hello(sender=sender) if target and target.name not in (None, sender.name):
            return HandshakeFailed(reason=f"{sender} answered", has_ended=True)
        case Hello():
            sock.settimeout(None)
            return greeting
        case _:
            return HandshakeFailed(reason=f"expected a greeting, got {greeting!r:.100}")


def _run_link(frames: FrameReader, link: Link, context: LinkContext) -> None:
    link.writer = spawn_task(_write_frames, frames.sock, link)
    try:
        context.manager.put(LinkOpened(link=link))
        reason = "refused"
        if link.verdict.take():
            reason = _read_messages(frames, link, context)
    finally:
        link.writer.kill()
        frames.sock.close()
    context.manager.put(LinkClosed(link=link, reason=reason))


def _write_frames(sock, link: Link) -> None:
    token = link.incarnation.token
    try:
        for body in link.outgoing.drain_messages():
            sock.sendall(frame := pack_frame(token, body))
            link.sent_bytes += len(frame)
    except OSError as error:
        logger.debug("write to link failed: %r", error)
    finally:
        _shut_down_socket(sock)


def _shut_down_socket(sock) -> None:
    """Unblock the reading greenlet; ignore a socket that is already closed."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return


def _read_messages(frames: FrameReader, link: Link, context: LinkContext) -> str:
    """Deliver messages until the link ends; return the reason."""
    while True:
        frame = frames.read_frame()
        match frame:
            case FrameTooLarge() | DamagedFrame() | LinkEnded():
                return repr(frame)
        link.received_bytes += HEADER_BYTES + len(frame.body)
        message = context.codec.decode(frame.body)
        if isinstance(message, MalformedMessage):
            return message.reason
        if frame.to_token != context.hello.sender.token:
            link.refused_messages += 1
            _refuse_message(message, link, context)
            continue
        claimed = context.codec.find_claimed_sender(message)
        if claimed is None:
            context.manager.put(MessageReceived(link=link, message=message))
        elif claimed != link.incarnation:
            return f"{link.incarnation} sent a message in the name of {claimed}"
        else:
            context.dispatcher.put(message)


def _refuse_message(message, link: Link, context: LinkContext) -> None:
    """Refuse a message to an earlier incarnation, so that no request runs twice."""
    reply = context.codec.refuse(message, context.hello.sender)
    if reply is not None:
        link.send(context.codec.encode(reply))
        return
    logger.warning(
        "message to an earlier incarnation refused",
        extra={"step": Step.SIBLING_LINK.value, "peer": str(link.incarnation)},
    )
