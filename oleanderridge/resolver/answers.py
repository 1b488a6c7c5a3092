"""Selection of the hosts that a caller should use."""

from __future__ import annotations

import math
from collections.abc import Sequence
from random import Random
from typing import NamedTuple, TypedDict

from oleanderridge.generated.settings import Settings
from oleanderridge.membership.state import Member


class Address(TypedDict):
    """One host that a caller may use."""

    host: str
    url: str
    zone: str
    key_prefix: str


class ResolveAnswer(NamedTuple):
    """Hosts in order of preference, and how long to cache them."""

    addresses: tuple[Address, ...]
    ttl_s: float


def key_prefix(member: Member) -> str:
    """Return the prefix of idempotency keys bound to a host.

    Parameters
    ----------
    member : Member
        The host's last known state.

    Returns
    -------
    str
        ``host.incarnation.issued``; the stamp is from a past message, so a
        key never counts as newer than it is.
    """
    issued = max(0, math.floor(member.stamp))
    return f'{member.host}.{member.incarnation}.{issued}'


def resolve(
    members: Sequence[Member],
    minters: Sequence[str],
    settings: Settings,
    rng: Random,
) -> ResolveAnswer:
    """Return the hosts for one caller.

    Parameters
    ----------
    members : sequence of Member
        The members known to the answering host.
    minters : sequence of str
        Minters of the caller's workspace; listed first, because they admit
        its requests without a token request to another host.
    settings : Settings
        ``caller.resolve_ttl_s`` and ``caller.resolve_addresses``.
    rng : Random
        Spreads callers over hosts of equal preference.

    Returns
    -------
    ResolveAnswer
        Live hosts that are not leaving; empty when none is known.
    """
    usable = [
        member
        for member in members
        if member.alive and not member.leaving and member.incarnation
    ]
    rng.shuffle(usable)
    usable.sort(key=lambda member: member.host not in minters)
    limit = settings['caller']['resolve_addresses']
    return ResolveAnswer(
        addresses=tuple(
            Address(
                host=member.host,
                url=member.caller_url,
                zone=member.zone,
                key_prefix=key_prefix(member),
            )
            for member in usable[:limit]
        ),
        ttl_s=settings['caller']['resolve_ttl_s'],
    )
