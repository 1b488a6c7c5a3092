"""Compresses configuration documents for their way between hosts."""

from __future__ import annotations

import zlib
from typing import Final

from result import Err, Ok, Result

_MAX_DOCUMENT_BYTES: Final = 1 << 26
# The fastest level: it runs on the event loop.
_LEVEL: Final = 1


def pack(document: bytes) -> bytes:
    """Return the compressed document."""
    return zlib.compress(document, _LEVEL)


def unpack(packed: bytes) -> Result[bytes, str]:
    """Return a document, or why it can't be decompressed.

    Parameters
    ----------
    packed : bytes
        From another host.

    Returns
    -------
    Result of bytes, str
        The document, of a bounded size.
    """
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(packed, _MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        return Err(str(error))
    if not decompressor.eof:
        return Err('not a whole document within the maximum size')
    return Ok(document)
