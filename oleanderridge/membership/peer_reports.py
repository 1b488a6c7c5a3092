"""Reports of a peer, each with the earliest time it can have been made."""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import NamedTuple

from oleanderridge.generated.messages import Heartbeat


class PeerReport(NamedTuple):
    """One report of a peer, dated on the local clock.

    The peer made it after it received the heartbeat that this host sent at
    ``heard_at``.
    """

    heard_at: float
    list_revision: int
    unsettled: tuple[int, ...]
    bundle_version: int
    bundle_digest: str
    joined: bool
    released: bool


class PeerRecord:
    """Reports of the newest known incarnation of one peer."""

    def __init__(self, incarnation: int) -> None:
        """Start without reports."""
        self.incarnation = incarnation
        self.stamp: float = -1
        self.heard_at = -inf
        self.first_acknowledged = inf
        self.seen_before_joining = False
        self.established = False
        self.latest: Heartbeat | None = None
        self.reports: list[PeerReport] = []

    def receive(self, message: Heartbeat, established_uptime_s: float) -> None:
        """Keep the newest heartbeat, ordered by the sender's stamp.

        A peer that was already joined when first seen and is much older than
        this process belongs to a running fleet. Other peers are taking part
        in the same initial start of the fleet.

        Parameters
        ----------
        message : Heartbeat
            From this incarnation; may arrive late or more than once.
        established_uptime_s : float
            Uptime above which a joined peer belongs to a running fleet.
        """
        if not message['joined']:
            self.seen_before_joining = True
        elif (
            not self.seen_before_joining
            and message['uptime_s'] > established_uptime_s
        ):
            self.established = True
        if message['stamp'] > self.stamp:
            self.stamp = message['stamp']
            self.latest = message

    def acknowledge(
        self,
        message: Heartbeat,
        now: float,
        retention_s: float,
    ) -> None:
        """Record a report that its echo dates on the local clock.

        Parameters
        ----------
        message : Heartbeat
            Its echo is a stamp sent by this process.
        now : float
            Monotonic seconds.
        retention_s : float
            Seconds for which reports are kept.
        """
        self.first_acknowledged = min(self.first_acknowledged, now)
        self.heard_at = max(self.heard_at, message['echo'])
        report = PeerReport(
            heard_at=message['echo'],
            list_revision=message['list_revision'],
            unsettled=tuple(message['unsettled_revisions']),
            bundle_version=message['bundle_version'],
            bundle_digest=message['bundle_digest'],
            joined=message['joined'],
            released=message['released'],
        )
        # A repeated report only updates the time, which keeps the list short.
        self.reports = [
            older
            for older in self.reports
            if older.heard_at >= now - retention_s
            and (older[1:] != report[1:] or older[0] > report[0])
        ]
        self.reports.append(report)

    def last_matching_at(self, matches: Callable[[PeerReport], bool]) -> float:
        """Return the time of the peer's last report that matches.

        Parameters
        ----------
        matches : callable
            Predicate on a report.

        Returns
        -------
        float
            Monotonic seconds of the local clock; minus infinity for never.
        """
        return max(
            (kept.heard_at for kept in self.reports if matches(kept)),
            default=-inf,
        )
