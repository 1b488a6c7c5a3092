"""Chooses the hosts that a caller is told to use."""

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
    """Hosts in order of preference and how long the answer holds."""

    addresses: tuple[Address, ...]
    ttl_s: float


def key_prefix(member: Member) -> str:
    """Return the prefix of idempotency keys bound to a host.

    Parameters
    ----------
    member : Member
        The host as last heard.

    Returns
    -------
    str
        ``host.incarnation.issued``; the stamp was heard in the past, so a
        key never counts as younger than it is.
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
        The view of the answering host.
    minters : sequence of str
        Minters of the caller's workspace; named first, since they admit
        its requests without a message.
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
