"""CBOR encoding of messages: one tag for each class, fields in order."""

from dataclasses import fields
from operator import attrgetter
from typing import Any

import cbor2

from . import messages
from .exceptions import CodecError

FIRST_TAG = 40_000
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
    messages.StoredAnswer,
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
)
TYPE_BY_TAG = {FIRST_TAG + index: kind for index, kind in enumerate(MESSAGE_TYPES)}
TAG_BY_TYPE = {kind: tag for tag, kind in TYPE_BY_TAG.items()}
READ_BY_TYPE = {
    kind: attrgetter(*(item.name for item in fields(kind)))
    for kind in MESSAGE_TYPES
    if len(fields(kind)) > 1
}
"""Values of a message's fields in order; messages of one field or none are read apart."""


def encode(call_id: int, message: Any) -> bytes:
    """Encode one frame; ``call_id`` 0 means that no reply is wanted."""
    return cbor2.dumps([call_id, message], default=_encode_message)


def decode(frame: bytes) -> tuple[int, Any]:
    """Decode one frame into (call id, message); raises `CodecError`."""
    try:
        call_id, message = cbor2.loads(frame, tag_hook=_decode_message)
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        raise CodecError(f"A frame of {len(frame)} bytes can not be decoded.") from error
    if not isinstance(call_id, int):
        raise CodecError("A frame has no call id.")
    return call_id, message


def _encode_message(encoder: cbor2.CBOREncoder, message: Any) -> None:
    kind = type(message)
    read = READ_BY_TYPE.get(kind)
    values = read(message) if read else [getattr(message, item.name) for item in fields(kind)]
    encoder.encode(cbor2.CBORTag(TAG_BY_TYPE[kind], values))


def _decode_message(*args: Any) -> Any:
    tag = next(item for item in args if isinstance(item, cbor2.CBORTag))
    kind = TYPE_BY_TAG.get(tag.tag)
    if kind is None:
        raise ValueError(f"unknown tag {tag.tag}")
    return kind(*tag.value)
