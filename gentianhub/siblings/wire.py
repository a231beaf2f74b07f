"""Codec of the messages between entry processes, which are bodies of frames."""

from functools import lru_cache

from gentianhub.core import Incarnation, Refusal, RefusalKind, RunState, Step
from gentianhub.core import events as ev
from gentianhub.linking.frames import (
    HEADER_BYTES,
    MAX_FRAME_BYTES,
    UNKNOWN_RECEIVER,
    DamagedFrame,
    FrameReader,
    FrameTooLarge,
    LinkEnded,
    MalformedMessage,
    ReceivedFrame,
    pack_frame,
)
from gentianhub.linking.links import LinkCodec
from gentianhub.siblings.decoding import decode_message
from gentianhub.siblings.encoding import encode_message
from gentianhub.siblings.messages import ForwardReply, ForwardRequest, SiblingMessage

__all__ = [
    "HEADER_BYTES",
    "MAX_FRAME_BYTES",
    "MAX_CACHED_BODY_BYTES",
    "UNKNOWN_RECEIVER",
    "DamagedFrame",
    "FrameReader",
    "FrameTooLarge",
    "LinkEnded",
    "MalformedMessage",
    "ReceivedFrame",
    "build_codec",
    "decode_message",
    "decode_cached_message",
    "encode_message",
    "pack_frame",
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
        find_claimed_sender=_find_claimed_sender,
        refuse=_refuse_message,
    )


def _decode_body(body: bytes) -> SiblingMessage | MalformedMessage:
    is_cacheable = len(body) <= MAX_CACHED_BODY_BYTES
    return (decode_cached_message if is_cacheable else decode_message)(body)


def _find_claimed_sender(message) -> Incarnation | None:
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


def _refuse_message(message, own: Incarnation) -> ForwardReply | None:
    """Refuse a request for an earlier incarnation, so that none is performed twice."""
    match message:
        case ForwardRequest(number=number):
            refusal = Refusal(
                kind=RefusalKind.GONE,
                step=Step.FORWARD_REQUEST,
                peer=str(own),
                reason="the request is for an earlier incarnation; it may have run",
                run=RunState.UNKNOWN,
            )
            return ForwardReply(number=number, reply=refusal)
        case _:
            return None
