"""CBOR encoding of messages: a tag identifies the class, and fields are encoded by position."""

import zlib
from dataclasses import fields
from operator import attrgetter
from typing import Any

import cbor2

from . import messages
from .exceptions import CodecError

FIRST_TAG = 40_000
COMPRESSION_LEVEL = 1
"""Fastest level: entries of one kind differ little, and many followers wait for the result."""
MAX_UNPACKED_BYTES = 64 * 1024 * 1024
"""Limit on a decompressed snapshot, so that a malformed one does not exhaust the memory."""

Changes = list[tuple[str, bytes | None]]
MESSAGE_TYPES = (
    messages.Member,
    messages.ObjectUpdate,
    messages.Sync,
    messages.SyncReply,
    messages.Broadcast,
    messages.FetchBundle,
    messages.Bundle,
    messages.Prepare,
    messages.Prepared,
    messages.PrepareDomain,
    messages.PreparedDomain,
    messages.QueryStatus,
    messages.StatusReply,
    messages.StoredResponse,
    messages.Claim,
    messages.ClaimReply,
    messages.Settle,
    messages.Record,
    messages.Replicate,
    messages.ReplicateReply,
    messages.BackendDrainNotice,
    messages.CrashNotice,
    messages.Ack,
    messages.DomainDemand,
    messages.KindUpdate,
    messages.Follow,
    messages.FollowReply,
    messages.AcquirePermit,
    messages.AwaitPermit,
    messages.PermitReply,
    messages.ReleasePermit,
    messages.PackedSnapshot,
    messages.HeldState,
    messages.AskCarrier,
    messages.CarrierOffer,
    messages.Carry,
    messages.Carried,
    messages.CancelCarry,
)
"""The position of a class determines its tag."""
TYPE_BY_TAG = {FIRST_TAG + index: cls for index, cls in enumerate(MESSAGE_TYPES)}
TAG_BY_TYPE = {cls: tag for tag, cls in TYPE_BY_TAG.items()}
FIELD_GETTER_BY_TYPE = {
    cls: attrgetter(*(item.name for item in fields(cls)))
    for cls in MESSAGE_TYPES
    if len(fields(cls)) > 1
}
"""Returns a message's field values in order. Messages with fewer than two fields are missing,
because `attrgetter` returns no tuple for a single name."""


def encode(call_id: int, message: Any) -> bytes:
    """Encode one frame; ``call_id`` 0 means that no reply is expected."""
    return cbor2.dumps([call_id, message], default=_encode_message)


def decode(frame: bytes) -> tuple[int, Any]:
    """Decode one frame into (call id, message); raises `CodecError`."""
    try:
        call_id, message = cbor2.loads(frame, tag_hook=_decode_message)
    except (cbor2.CBORError, TypeError, ValueError, RecursionError, StopIteration) as error:
        raise CodecError(f"A frame of {len(frame)} bytes cannot be decoded.") from error
    if not isinstance(call_id, int):
        raise CodecError("A frame has no call id.")
    return call_id, message


def pack_changes(changes: Changes) -> bytes:
    """Encode and compress the names and values of a snapshot."""
    return zlib.compress(cbor2.dumps(changes), COMPRESSION_LEVEL)


def unpack_changes(packed: bytes) -> Changes:
    """Decompress and decode the names and values of a snapshot; raises `CodecError`."""
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(packed, MAX_UNPACKED_BYTES)
        if not decompressor.eof:
            raise CodecError("A packed snapshot is truncated or too large.")
        return [(str(name), value) for name, value in cbor2.loads(data)]
    except (zlib.error, cbor2.CBORDecodeError, TypeError, ValueError) as error:
        raise CodecError("A packed snapshot cannot be decoded.") from error


def _encode_message(encoder: cbor2.CBOREncoder, message: Any) -> None:
    cls = type(message)
    get_fields = FIELD_GETTER_BY_TYPE.get(cls)
    values = (
        get_fields(message) if get_fields else [getattr(message, item.name) for item in fields(cls)]
    )
    encoder.encode(cbor2.CBORTag(TAG_BY_TYPE[cls], values))


def _decode_message(*args: Any) -> Any:
    tag = next(item for item in args if isinstance(item, cbor2.CBORTag))
    cls = TYPE_BY_TAG.get(tag.tag)
    if cls is None:
        raise ValueError(f"unknown tag {tag.tag}")
    return cls(*tag.value)
