"""Codec of the messages between entry processes, which are bodies of frames."""

from functools import lru_cache

from gentianhub.core import Incarnation, Refusal, RefusalKind, RunState, Step
from gentianhub.core import events as ev
from gentianhub.linking.frames import (
    ANY_RECEIVER_TOKEN,
    HEADER_BYTES,
    MAX_FRAME_BYTES,
    DamagedFrame,
    FrameReader,
    FrameTooLarge,
    LinkEnded,
    MalformedMessage,
    ReceivedFrame,
    encode_frame,
)
from gentianhub.linking.links import LinkCodec
from gentianhub.siblings.decoding import decode_message
from gentianhub.siblings.encoding import encode_message
from gentianhub.siblings.messages import ForwardReply, ForwardRequest, SiblingMessage

__all__ = [
    "ANY_RECEIVER_TOKEN",
    "HEADER_BYTES",
    "MAX_CACHED_BODY_BYTES",
    "MAX_FRAME_BYTES",
    "DamagedFrame",
    "FrameReader",
    "FrameTooLarge",
    "LinkEnded",
    "MalformedMessage",
    "ReceivedFrame",
    "build_codec",
    "decode_cached_message",
    "decode_message",
    "encode_frame",
    "encode_message",
]

MAX_CACHED_BODY_BYTES = 256


@lru_cache(maxsize=256)
def decode_cached_message(body: bytes) -> SiblingMessage | MalformedMessage:
    """Decode a short message, such as a heartbeat, which often repeats unchanged."""
    return decode_message(body)


def build_codec() -> LinkCodec:
    """Return the codec of the links between entry processes."""
    return LinkCodec(
        encode=encode_message,
        decode=_decode_body,
        get_sender=_get_sender,
        build_refusal=_build_refusal,
    )


def _decode_body(body: bytes) -> SiblingMessage | MalformedMessage:
    is_cacheable = len(body) <= MAX_CACHED_BODY_BYTES
    return (decode_cached_message if is_cacheable else decode_message)(body)


def _get_sender(message) -> Incarnation | None:
    """Return the sender that a slot message names, or None for other messages.

    Slot messages go directly to the dispatcher, without the manager.
    """
    match message:
        case (
            ev.SlotDemand(borrower=claimed)
            | ev.SlotReturn(borrower=claimed)
            | ev.SlotsHeld(borrower=claimed)
            | ev.SlotGrant(home=claimed)
        ):
            return claimed
        case _:
            return None


def _build_refusal(message, local_process: Incarnation) -> ForwardReply | None:
    """Refuse a request for an earlier incarnation, so that none is performed twice."""
    match message:
        case ForwardRequest(number=number):
            refusal = Refusal(
                kind=RefusalKind.GONE,
                step=Step.FORWARD_REQUEST,
                peer=str(local_process),
                reason="the request is for an earlier incarnation; it may have run",
                run=RunState.UNKNOWN,
            )
            return ForwardReply(number=number, reply=refusal)
        case _:
            return None
