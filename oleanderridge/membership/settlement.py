"""Settlement: when an older list or version can no longer back a lease."""

from __future__ import annotations

from collections.abc import Iterable
from math import inf


class Transition:
    """A change from one list or version to the next one this host knows.

    ``has_gap`` is set if there may be lists or versions between the two that
    this host never received. Another host may mint tokens under one of those,
    but not before it has settled ``older``. ``older_majority_at`` is the last
    time at which a majority still reported ``older`` or lower; no host settles
    ``older`` sooner than ``hold_s`` after that. This host itself last reported
    ``older`` at ``adopted_at``.
    """

    def __init__(
        self,
        older: int,
        successor: int,
        has_gap: bool,
        older_majority_at: float,
        adopted_at: float,
    ) -> None:
        """Start unconfirmed."""
        self.older = older
        self.successor = successor
        self.has_gap = has_gap
        self.adopted_at = adopted_at
        self.older_majority_at = older_majority_at
        self.confirmed_at = inf

    def note_older_majority(self, majority_at: float) -> None:
        """Record that a majority still reported ``older`` or lower.

        Parameters
        ----------
        majority_at : float
            Monotonic seconds; minus infinity for never.
        """
        self.older_majority_at = max(self.older_majority_at, majority_at)

    def confirm(self, now: float) -> None:
        """Record that a majority has reported the successor or a later one.

        Parameters
        ----------
        now : float
            Monotonic seconds; only the first confirmation counts.
        """
        self.confirmed_at = min(self.confirmed_at, now)


def lease_bound(
    transitions: Iterable[Transition],
    now: float,
    lease_s: float,
    hold_s: float,
) -> float:
    """Return until when no list or version in a gap can back a lease.

    Parameters
    ----------
    transitions : iterable of Transition
        Unsettled changes.
    now : float
        Monotonic seconds.
    lease_s : float
        Seconds for which a report supports a lease.
    hold_s : float
        Seconds from confirmation to settlement.

    Returns
    -------
    float
        Monotonic seconds; infinity when no transition has an open gap.
    """
    return min(
        (
            transition.older_majority_at + hold_s
            for transition in transitions
            if transition.has_gap and now < transition.confirmed_at + lease_s
        ),
        default=inf,
    )


def unsettled_transitions(
    transitions: Iterable[Transition], now: float, hold_s: float
) -> list[Transition]:
    """Return the transitions whose older side may still back a lease.

    Parameters
    ----------
    transitions : iterable of Transition
        Changes that this host knows.
    now : float
        Monotonic seconds.
    hold_s : float
        Seconds from confirmation to settlement.

    Returns
    -------
    list of Transition
        In the order given.
    """
    return [
        transition
        for transition in transitions
        if now < transition.confirmed_at + hold_s
    ]
