"""Signs manifests with Ed25519 and verifies them."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from hashlib import sha256
from typing import Any, Final, NamedTuple

from msgspec.json import Encoder
from nacl.exceptions import CryptoError
from nacl.signing import SigningKey, VerifyKey
from result import Err, Ok, Result

from oleanderridge.config.chunks import top_level
from oleanderridge.generated.messages import ChunkEntry, Manifest

# Keeps a signature over a manifest from being valid for anything else that
# the same key signs.
_PURPOSE: Final = b'oleanderridge manifest 1\n'
_ENCODER: Final = Encoder(order='deterministic')


class KeyPair(NamedTuple):
    """An Ed25519 key pair in hex."""

    public: str
    secret: str


def generate_keypair() -> KeyPair:
    """Return a new key pair.

    Returns
    -------
    KeyPair
        Made from the system's random numbers.
    """
    key = SigningKey.generate()
    return KeyPair(key.verify_key.encode().hex(), key.encode().hex())


def _signed_part(manifest: Any) -> bytes:
    # The signer is left out: two trusted keys that sign the same content
    # sign the same bundle.
    fields = {name: manifest[name] for name in ('version', 'parent', 'chunks')}
    return _PURPOSE + _ENCODER.encode(fields)


def sign(
    version: int, parent: str, chunks: Mapping[str, bytes], secret: str
) -> Manifest:
    """Return the signed manifest of a bundle.

    Parameters
    ----------
    version : int
        Version of the bundle.
    parent : str
        Digest of the previous manifest or empty.
    chunks : mapping of str to bytes
        Content by digest in order, as ``chunks.split`` returns it.
    secret : str
        Secret key in hex.

    Returns
    -------
    Manifest
        The manifest with signer and signature.

    Raises
    ------
    ValueError
        The secret is not an Ed25519 key in hex.
    """
    return sign_entries(version, parent, top_level(chunks), secret)


def sign_entries(
    version: int, parent: str, entries: list[ChunkEntry], secret: str
) -> Manifest:
    """Return the signed manifest of chunks that are known by digest.

    Parameters
    ----------
    version : int
        Version of the bundle.
    parent : str
        Digest of the previous manifest or empty.
    entries : list of ChunkEntry
        Digest and size of each chunk in order.
    secret : str
        Secret key in hex.

    Returns
    -------
    Manifest
        The manifest with signer and signature.

    Raises
    ------
    ValueError
        The secret is not an Ed25519 key in hex.
    """
    try:
        key = SigningKey(bytes.fromhex(secret))
    except (CryptoError, ValueError):
        # The original message may quote the secret.
        raise ValueError('the secret is not 32 bytes in hex') from None
    unsigned = {'version': version, 'parent': parent, 'chunks': entries}
    signature = key.sign(_signed_part(unsigned)).signature
    return {
        'version': version,
        'parent': parent,
        'chunks': entries,
        'signer': key.verify_key.encode().hex(),
        'signature': signature.hex(),
    }


def verify(manifest: Manifest, trusted: Collection[str]) -> Result[None, str]:
    """Check the signature of a manifest.

    Parameters
    ----------
    manifest : Manifest
        A manifest with all fields.
    trusted : collection of str
        Public keys in hex.

    Returns
    -------
    Result of None, str
        Nothing; or why the manifest is not to be trusted.
    """
    signer = manifest['signer']
    if signer not in trusted:
        return Err(f'signer {signer[:16]!r} is not trusted')
    try:
        VerifyKey(bytes.fromhex(signer)).verify(
            _signed_part(manifest), bytes.fromhex(manifest['signature'])
        )
    except (CryptoError, ValueError):
        return Err(f'the signature by {signer[:16]} is wrong')
    return Ok(None)


def manifest_digest(manifest: Manifest) -> str:
    """Return the digest that identifies a bundle.

    Parameters
    ----------
    manifest : Manifest
        A manifest; signer and signature do not count.

    Returns
    -------
    str
        SHA-256 in hex over version, parent and chunks.
    """
    return sha256(_signed_part(manifest)).hexdigest()
