"""What a peer has stated, and when at the earliest it can have done so."""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import NamedTuple

from oleanderridge.generated.messages import Heartbeat


class Statement(NamedTuple):
    """One statement of a peer, dated on our own clock.

    The peer made it after it received what we sent at ``heard_at``.
    """

    heard_at: float
    list_revision: int
    unsettled: tuple[int, ...]
    bundle_version: int
    bundle_digest: str
    joined: bool
    released: bool


class PeerRecord:
    """Evidence about the newest known incarnation of one peer."""

    def __init__(self, incarnation: int) -> None:
        """Start without evidence."""
        self.incarnation = incarnation
        self.stamp: float = -1
        self.heard_at = -inf
        self.first_acknowledged = inf
        self.seen_unjoined = False
        self.established = False
        self.latest: Heartbeat | None = None
        self.statements: list[Statement] = []

    def receive(self, message: Heartbeat, older_by_s: float) -> None:
        """Keep the newest heartbeat by the sender's own stamp.

        A peer that has joined, was never seen before it joined and is much
        older than this process belongs to a running fleet; the others are
        founders of the same fleet start.

        Parameters
        ----------
        message : Heartbeat
            From this incarnation; may arrive late or more than once.
        older_by_s : float
            Uptime from which a joined peer belongs to a running fleet.
        """
        if not message['joined']:
            self.seen_unjoined = True
        elif not self.seen_unjoined and message['uptime_s'] > older_by_s:
            self.established = True
        if message['stamp'] > self.stamp:
            self.stamp = message['stamp']
            self.latest = message

    def acknowledge(
        self,
        message: Heartbeat,
        now: float,
        keep_s: float,
    ) -> None:
        """Record a statement whose echo dates it on our clock.

        Parameters
        ----------
        message : Heartbeat
            Its echo is a stamp of our own incarnation.
        now : float
            Monotonic seconds.
        keep_s : float
            Seconds after which a statement is of no use.
        """
        self.first_acknowledged = min(self.first_acknowledged, now)
        self.heard_at = max(self.heard_at, message['echo'])
        statement = Statement(
            heard_at=message['echo'],
            list_revision=message['list_revision'],
            unsettled=tuple(message['unsettled_revisions']),
            bundle_version=message['bundle_version'],
            bundle_digest=message['bundle_digest'],
            joined=message['joined'],
            released=message['released'],
        )
        # A repeated statement only moves its date, so the list stays short.
        self.statements = [
            older
            for older in self.statements
            if older.heard_at >= now - keep_s
            and (older[1:] != statement[1:] or older[0] > statement[0])
        ]
        self.statements.append(statement)

    def last_heard(self, accepts: Callable[[Statement], bool]) -> float:
        """Return when the peer last made a statement of some kind.

        Parameters
        ----------
        accepts : callable
            Says whether a statement is of that kind.

        Returns
        -------
        float
            Monotonic seconds on our clock; minus infinity for never.
        """
        return max(
            (kept.heard_at for kept in self.statements if accepts(kept)),
            default=-inf,
        )
