"""Encoding and decoding of the messages between hosts."""

from __future__ import annotations

from typing import Any, Final, NamedTuple, TypeVar

from msgspec import DecodeError, ValidationError, convert
from msgspec.msgpack import Decoder, Encoder
from result import Err, Ok, Result

from oleanderridge.generated.messages import (
    ChunkPull,
    ChunkPush,
    Heartbeat,
    KeyClaim,
    KeyClaimReply,
    KeyOutcome,
    ListPull,
    ListPush,
    ManifestPull,
    ManifestPush,
    PermitCancel,
    PermitGrant,
    PermitQueued,
    PermitRefusal,
    PermitRequest,
    PermitReturn,
    TokenReply,
    TokenRequest,
)

Message = dict[str, Any]

_MessageT = TypeVar('_MessageT')


class Outgoing(NamedTuple):
    """A message with the host to send it to."""

    host: str
    message: Message


TYPE_BY_KIND: Final = {
    'heartbeat': Heartbeat,
    'list_pull': ListPull,
    'list_push': ListPush,
    'manifest_pull': ManifestPull,
    'manifest_push': ManifestPush,
    'chunk_pull': ChunkPull,
    'chunk_push': ChunkPush,
    'token_request': TokenRequest,
    'token_reply': TokenReply,
    'permit_request': PermitRequest,
    'permit_queued': PermitQueued,
    'permit_grant': PermitGrant,
    'permit_refusal': PermitRefusal,
    'permit_cancel': PermitCancel,
    'permit_return': PermitReturn,
    'key_claim': KeyClaim,
    'key_claim_reply': KeyClaimReply,
    'key_outcome': KeyOutcome,
}

# Messages are encoded as arrays: the kind, then the other fields in schema
# order. Field names would make up two thirds of an encoded heartbeat.
_FIELDS_BY_KIND: Final = {
    kind: tuple(name for name in message_type.__annotations__ if name != 'kind')
    for kind, message_type in TYPE_BY_KIND.items()
}

_ENCODER: Final = Encoder()
_DECODER: Final = Decoder(list)


def encode(message: _MessageT) -> bytes:
    """Encode a message.

    Parameters
    ----------
    message : TypedDict
        A message type of ``oleanderridge.generated.messages``.

    Returns
    -------
    bytes
        A MessagePack array: kind, then the fields in schema order; nil for
        an optional field that is absent.
    """
    kind = message['kind']
    fields = _FIELDS_BY_KIND[kind]
    return _ENCODER.encode([kind, *map(message.get, fields)])


def decode(payload: bytes) -> Result[Message, str]:
    """Decode and validate a message.

    Parameters
    ----------
    payload : bytes
        An encoded message as received.

    Returns
    -------
    Result of Message, str
        The message, or an error text with the kind and the path of the
        invalid field.
    """
    try:
        elements = _DECODER.decode(payload)
    except DecodeError as error:
        return Err(f'not a MessagePack array: {error}')
    kind = elements[0] if elements else None
    fields = _FIELDS_BY_KIND.get(kind) if isinstance(kind, str) else None
    if fields is None:
        return Err(f'unknown message kind {kind!r}')
    if len(elements) != len(fields) + 1:
        return Err(
            f'{kind}: {len(elements) - 1} fields, expected {len(fields)}'
        )
    fields_by_name = {
        name: value
        for name, value in zip(fields, elements[1:], strict=True)
        if value is not None
    }
    fields_by_name['kind'] = kind
    try:
        return Ok(convert(fields_by_name, TYPE_BY_KIND[kind]))
    except ValidationError as error:
        return Err(f'{kind}: {error}')
