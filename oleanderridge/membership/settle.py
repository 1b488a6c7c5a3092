"""When an older host list or bundle version can no longer back a lease."""

from __future__ import annotations

from collections.abc import Iterable
from math import inf


class Step:
    """A change from one list or version to the next one this host knows.

    ``unknown_between`` is set when there may be lists or versions between
    the two that this host never saw. Another host may mint under such a one,
    but not before it settled ``older``; ``doubt_from`` is the last time at
    which a majority still stated ``older`` or less, and nobody settles it
    sooner than ``hold_s`` later.
    """

    def __init__(
        self,
        older: int,
        successor: int,
        unknown_between: bool,
        doubt_from: float,
    ) -> None:
        """Start unconfirmed."""
        self.older = older
        self.successor = successor
        self.unknown_between = unknown_between
        self.doubt_from = doubt_from
        self.confirmed_at = inf

    def doubt(self, since: float) -> None:
        """Note that a majority still stated ``older`` or less.

        Parameters
        ----------
        since : float
            Monotonic seconds; minus infinity for never.
        """
        self.doubt_from = max(self.doubt_from, since)

    def confirm(self, now: float) -> None:
        """Note that a majority has stated the successor or a later one.

        Parameters
        ----------
        now : float
            Monotonic seconds; only the first confirmation counts.
        """
        self.confirmed_at = min(self.confirmed_at, now)


def lease_bound(
    steps: Iterable[Step],
    now: float,
    lease_s: float,
    hold_s: float,
) -> float:
    """Return until when unseen lists or versions cannot back a lease.

    Parameters
    ----------
    steps : iterable of Step
        Unsettled changes.
    now : float
        Monotonic seconds.
    lease_s : float
        Seconds for which evidence backs a lease.
    hold_s : float
        Seconds from confirmation to settlement.

    Returns
    -------
    float
        Monotonic seconds; infinity when nothing is in doubt.
    """
    return min(
        (
            step.doubt_from + hold_s
            for step in steps
            if step.unknown_between and now < step.confirmed_at + lease_s
        ),
        default=inf,
    )


def unsettled(steps: Iterable[Step], now: float, hold_s: float) -> list[Step]:
    """Return the steps whose older side may still be in force.

    Parameters
    ----------
    steps : iterable of Step
        Known changes.
    now : float
        Monotonic seconds.
    hold_s : float
        Seconds from confirmation to settlement.

    Returns
    -------
    list of Step
        In the given order.
    """
    return [step for step in steps if now < step.confirmed_at + hold_s]
