"""Encodes and decodes the messages between hosts."""

from __future__ import annotations

from typing import Any, Final, NamedTuple, TypeVar, cast

from msgspec import DecodeError, ValidationError
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
    """A message that a decision module wants sent to one host."""

    host: str
    message: Message


DECODER_BY_KIND: Final = {
    'heartbeat': Decoder(Heartbeat),
    'list_pull': Decoder(ListPull),
    'list_push': Decoder(ListPush),
    'manifest_pull': Decoder(ManifestPull),
    'manifest_push': Decoder(ManifestPush),
    'chunk_pull': Decoder(ChunkPull),
    'chunk_push': Decoder(ChunkPush),
    'token_request': Decoder(TokenRequest),
    'token_reply': Decoder(TokenReply),
    'permit_request': Decoder(PermitRequest),
    'permit_queued': Decoder(PermitQueued),
    'permit_grant': Decoder(PermitGrant),
    'permit_refusal': Decoder(PermitRefusal),
    'permit_cancel': Decoder(PermitCancel),
    'permit_return': Decoder(PermitReturn),
    'key_claim': Decoder(KeyClaim),
    'key_claim_reply': Decoder(KeyClaimReply),
    'key_outcome': Decoder(KeyOutcome),
}

_ENCODER: Final = Encoder()
_KIND_DECODER: Final = Decoder()


def encode(message: _MessageT) -> bytes:
    """Return the MessagePack form of a message.

    Parameters
    ----------
    message : TypedDict
        A message type of ``oleanderridge.generated.messages``.

    Returns
    -------
    bytes
        The encoded message.
    """
    return _ENCODER.encode(message)


def decode(payload: bytes) -> Result[Message, str]:
    """Return the typed message, or what is wrong and where.

    Parameters
    ----------
    payload : bytes
        One received message.

    Returns
    -------
    Result of Message, str
        The message; or an error that names the kind and the path in it.
    """
    try:
        untyped = _KIND_DECODER.decode(payload)
    except DecodeError as error:
        return Err(f'not MessagePack: {error}')
    kind = untyped.get('kind') if isinstance(untyped, dict) else None
    decoder = DECODER_BY_KIND.get(kind) if isinstance(kind, str) else None
    if decoder is None:
        return Err(f'unknown kind {kind!r} - at `$.kind`')
    try:
        return Ok(cast(Message, decoder.decode(payload)))
    except ValidationError as error:
        return Err(f'{kind}: {error}')
