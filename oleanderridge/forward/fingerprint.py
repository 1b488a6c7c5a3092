"""Fingerprint of a request, by which it is known again when it comes again."""

from __future__ import annotations

from hashlib import blake2b
from typing import Final

from oleanderridge.gateway.model import Workspace
from oleanderridge.http1.messages import Inbound

# Fits a signed integer of the wire format.
_DIGEST_BYTES: Final = 7
# Of a long body the beginning, the end and the length are taken.
_BODY_PART_BYTES: Final = 32768


def fingerprint_of(
    inbound: Inbound, host: str, workspace: Workspace | None
) -> int:
    """Return what tells a request from others.

    Parameters
    ----------
    inbound : Inbound
        The request.
    host : str
        Host that it names.
    workspace : Workspace or None
        Its caller, if the caller showed a key.

    Returns
    -------
    int
        The same for requests of one caller with the same method, host, path,
        query and body. Never 0.
    """
    body = inbound.body
    digest = blake2b(digest_size=_DIGEST_BYTES)
    for part in (
        inbound.method,
        host.encode('latin-1', 'replace'),
        inbound.target,
        b'' if workspace is None else workspace.name.encode(),
        b'%d' % len(body),
    ):
        digest.update(b'%d:' % len(part))
        digest.update(part)
    digest.update(body[:_BODY_PART_BYTES])
    rest = body[_BODY_PART_BYTES:]
    digest.update(rest[-_BODY_PART_BYTES:])
    return int.from_bytes(digest.digest(), 'big') or 1
