"""Rendezvous hashing: every host derives the same choice from one list."""

from __future__ import annotations

from xxhash import xxh64_intdigest


def rendezvous_score(key: str, host: str) -> tuple[int, str]:
    """Return the score of a host for a key; the highest score wins.

    Parameters
    ----------
    key : str
        What is assigned, for instance a service or a workspace.
    host : str
        A candidate.

    Returns
    -------
    tuple of int, str
        The 64-bit hash, and the host name for the unlikely tie.
    """
    return xxh64_intdigest(f'{key}\0{host}'.encode()), host
