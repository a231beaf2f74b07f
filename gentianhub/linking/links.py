"""Links to other processes; two greenlets own the TCP connection of each."""

import logging
import socket
from collections.abc import Callable
from typing import Any

import gevent
from gevent import socket as gsocket

from gentianhub.core import (
    Incarnation,
    Mailbox,
    ProcessName,
    Step,
    send_message,
    spawn_greenlet,
)
from gentianhub.core.records import define, field, frozen
from gentianhub.linking.frame_memory import FrameMemory
from gentianhub.linking.frames import (
    ANY_RECEIVER_TOKEN,
    HEADER_BYTES,
    DamagedFrame,
    FrameReader,
    FrameTooLarge,
    LinkEnded,
    MalformedMessage,
    ReceivedFrame,
    encode_frame,
)
from gentianhub.linking.handshake import PROTOCOL_VERSION, Hello
from gentianhub.linking.handshake_limits import PendingHandshakes
from gentianhub.linking.link_events import (
    DialAddress,
    DialFailed,
    LinkClosed,
    LinkOpened,
    MessageReceived,
)

HANDSHAKE_TIMEOUT_S = 1.0
# Time for a whole greeting of an incoming connection, s.
GREETING_TIMEOUT_S = 2.0
# About one second of slot messages at one per 4 ms; a slower peer's link is closed.
LINK_QUEUE_LIMIT = 256
MAX_HELLO_BYTES = 4096
# Frames are added to a write until it has this size.
MAX_JOINED_BYTES = 2**16

logger = logging.getLogger(__name__)


@frozen(kw_only=True)
class LinkCodec:
    """Encoding of a link's messages.

    `get_sender` returns the sender named in a message for the dispatcher, and None for
    a message to the manager. `build_refusal` returns the reply to a message that was
    sent to an earlier incarnation, or None if it needs no reply.
    """

    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any]
    get_sender: Callable[[Any], Incarnation | None]
    build_refusal: Callable[[Any, Incarnation], Any]


@frozen(kw_only=True)
class LinkContext:
    """State shared by all links of a process.

    It holds the process's greeting, the encoding of messages, two mailboxes, the
    incoming connections without a greeting, and the memory of frames.
    """

    hello: Hello
    codec: LinkCodec
    manager_mailbox: Mailbox
    dispatcher_mailbox: Mailbox
    handshakes: PendingHandshakes = field(factory=PendingHandshakes)
    frame_memory: FrameMemory = field(factory=FrameMemory)


@frozen(kw_only=True)
class HandshakeFailed:
    """Sentinel: no link; `is_peer_gone` if the expected process no longer listens."""

    reason: str
    is_peer_gone: bool = False


@define(kw_only=True, eq=False)
class Link:
    """Handle to a link and its greenlets.

    `accepted` receives one message: whether the manager accepts the link.
    """

    peer: Hello
    dialled_by: ProcessName
    dial_address: DialAddress | None = None
    outgoing_queue: Mailbox[bytes] = field(
        factory=lambda: Mailbox(limit=LINK_QUEUE_LIMIT)
    )
    accepted: Mailbox[bool] = field(factory=lambda: Mailbox(limit=1))
    writer_greenlet: gevent.Greenlet | None = None
    sent_bytes: int = 0
    received_bytes: int = 0
    refused_messages: int = 0

    @property
    def incarnation(self) -> Incarnation:
        """Incarnation of the process at the other end."""
        return self.peer.sender

    def send(self, body: bytes) -> bool:
        """Queue an encoded message; close the link if the queue is full."""
        is_queued = self.outgoing_queue.try_put(body)
        if not is_queued:
            self.close()
        return is_queued

    def close(self) -> None:
        """End the link; its greenlets close the socket."""
        if self.writer_greenlet is not None:
            self.writer_greenlet.kill(block=False)


def dial_link(dial_address: DialAddress, context: LinkContext) -> None:
    """Connect, exchange greetings, and run the link until it ends."""
    match _connect(dial_address, context):
        case HandshakeFailed(reason=reason, is_peer_gone=is_peer_gone):
            failed = DialFailed(
                dial_address=dial_address, reason=reason, is_peer_gone=is_peer_gone
            )
            context.manager_mailbox.put(failed)
        case (frames, Hello() as peer):
            dialled_by = context.hello.sender.name
            _run_link(
                frames,
                Link(peer=peer, dialled_by=dialled_by, dial_address=dial_address),
                context,
            )


def accept_link(sock, context: LinkContext) -> None:
    """Exchange greetings with a connected process, and run the link until it ends."""
    frames = FrameReader(sock=sock, memory=context.frame_memory)
    greeting = HandshakeFailed(reason="no greeting in time")
    with context.handshakes.keep(sock), gevent.Timeout(GREETING_TIMEOUT_S, False):
        greeting = _exchange_hello(frames, context, None)
    match greeting:
        case HandshakeFailed(reason=reason):
            # Port checks by the service manager also end here.
            logger.debug("incoming link rejected: %s", reason)
            sock.close()
        case Hello() as peer:
            _run_link(frames, Link(peer=peer, dialled_by=peer.sender.name), context)


def _connect(dial_address: DialAddress, context: LinkContext):
    address = (dial_address.host, dial_address.port)
    try:
        sock = gsocket.create_connection(address, timeout=HANDSHAKE_TIMEOUT_S)
    except ConnectionRefusedError as error:
        return HandshakeFailed(reason=repr(error), is_peer_gone=True)
    except OSError as error:
        return HandshakeFailed(reason=repr(error))
    frames = FrameReader(sock=sock, memory=context.frame_memory)
    greeting = _exchange_hello(frames, context, dial_address)
    if isinstance(greeting, HandshakeFailed):
        sock.close()
        return greeting
    return frames, greeting


def _exchange_hello(
    frames: FrameReader, context: LinkContext, dial_address: DialAddress | None
) -> Hello | HandshakeFailed:
    sock = frames.sock
    sock.settimeout(HANDSHAKE_TIMEOUT_S)
    try:
        # Nagle's algorithm would delay heartbeats and forwarded requests.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.sendall(
            encode_frame(ANY_RECEIVER_TOKEN, context.codec.encode(context.hello))
        )
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
        case Hello(sender=sender) if dial_address and dial_address.name not in (
            None,
            sender.name,
        ):
            return HandshakeFailed(reason=f"{sender} answered", is_peer_gone=True)
        case Hello():
            sock.settimeout(None)
            return greeting
        case _:
            return HandshakeFailed(reason=f"expected a greeting, got {greeting!r:.100}")


def _run_link(frames: FrameReader, link: Link, context: LinkContext) -> None:
    link.writer_greenlet = spawn_greenlet(_write_frames, frames.sock, link)
    try:
        context.manager_mailbox.put(LinkOpened(link=link))
        reason = "refused"
        if link.accepted.get():
            reason = _read_messages(frames, link, context)
    finally:
        link.writer_greenlet.kill()
        frames.sock.close()
    context.manager_mailbox.put(LinkClosed(link=link, reason=reason))


def _write_frames(sock, link: Link) -> None:
    token = link.incarnation.token
    try:
        for body in link.outgoing_queue.iterate_messages():
            frames = [encode_frame(token, body)]
            size = len(frames[0])
            # Frames that wait already share a system call and a packet.
            while size < MAX_JOINED_BYTES and len(link.outgoing_queue):
                frames.append(encode_frame(token, link.outgoing_queue.get()))
                size += len(frames[-1])
            send_message(sock, b"".join(frames))
            link.sent_bytes += size
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
        claimed = context.codec.get_sender(message)
        if claimed is None:
            context.manager_mailbox.put(MessageReceived(link=link, message=message))
        elif claimed != link.incarnation:
            return f"{link.incarnation} sent a message in the name of {claimed}"
        else:
            context.dispatcher_mailbox.put(message)


def _refuse_message(message, link: Link, context: LinkContext) -> None:
    """Refuse a message to an earlier incarnation, so that no request runs twice."""
    reply = context.codec.build_refusal(message, context.hello.sender)
    if reply is not None:
        link.send(context.codec.encode(reply))
        return
    logger.warning(
        "message to an earlier incarnation refused",
        extra={"step": Step.SIBLING_LINK.value, "peer": str(link.incarnation)},
    )
