"""Estimates the size of a fleet of which a host has heard nothing yet."""

from __future__ import annotations

from typing import Final

from oleanderridge.generated.gateway import FleetSettings

# Time for a host to read changed settings and to hear from the seeds.
_JOIN_TIME_S: Final = 1.0
# Fleet size that a host assumes that has found no other host in time.
_SMALL_FLEET_HOSTS: Final = 24


class Discovery:
    """The search of a host for the others.

    The seeds may be down when the whole fleet restarts. Until the settings are
    certain to name others, any number of hosts may search at the same time.

    Parameters
    ----------
    peers : FleetSettings
        Seeds, how long they may be out of date, and the largest fleet; read
        at each use.
    host : str
        Address of this host.
    """

    def __init__(self, peers: FleetSettings, host: str) -> None:
        self._peers = peers
        self._host = host
        self._seeds: list[str] = []
        self._alone_since: float | None = None

    def seeds(self) -> set[str]:
        """Return the addresses of the seeds but this host."""
        seeds = self._peers['seeds']
        addresses = {seed.rpartition(':')[0] or seed for seed in seeds}
        return addresses - {self._host}

    def end(self) -> None:
        """Record that another host is known."""
        self._alone_since = None

    def assumed_hosts(self, now: float) -> int:
        """Return the number of hosts to count on while no other is known.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        int
            The largest fleet until the seeds have had time to answer.
        """
        if self._alone_since is None or self._seeds != self._peers['seeds']:
            self._alone_since = now
            self._seeds = list(self._peers['seeds'])
        search_s = self._peers['seed_lag_s'] + _JOIN_TIME_S
        if self.seeds() and now - self._alone_since < search_s:
            return max(self._peers['hosts_max'], _SMALL_FLEET_HOSTS)
        return _SMALL_FLEET_HOSTS
