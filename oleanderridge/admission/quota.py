"""Token buckets of workspaces for the part of the fleet that uses them."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Final, NamedTuple

from oleanderridge.gateway.model import Workspace
from oleanderridge.generated.gateway import BoundSettings

# A host that begins to stand for much of the fleet does not know what its
# predecessor handed out; small parts are whole at once.
_LEVEL_OF_NEW: Final = 0.25
# After a common restart nothing was handed out while the hosts were down.
_LEVEL_OF_RESTARTED: Final = 0.6
_SMALL_PART: Final = 0.5
# Parts of the operator's tolerance that are handed out besides the rate, so
# that a request which another clock would admit is not refused; the rest
# covers changes of the placing host.
_OVERAGE_USED: Final = 0.6
_SLACK_USED: Final = 0.4
# A workspace with less of its burst left than this is near its rate.
_PRESSED_PART: Final = 0.5
# Parts of a rate that a host which places alone may hand out to a workspace
# that was not near its rate: its requests do not come evenly to all hosts.
_RELAXED_PARTS: Final = 4
# Below one token nothing could ever be admitted.
_CAPACITY_LEAST: Final = 1.0


class _Bucket:
    """Level and time of one workspace's bucket, and the part it was for."""

    def __init__(self, level: float, now: float, part: float) -> None:
        self.level = level
        self.at = now
        self.part = part


class QuotaTake(NamedTuple):
    """Whether a token was taken, else when one will be there."""

    taken: bool
    retry_after_s: float


class FleetQuota:
    """Buckets whose rates are the part of the fleet that a host stands for.

    The operator's bound counts any span of a window and tolerates more than
    rate and burst in each, so a bucket refills with part of that besides.

    Parameters
    ----------
    bounds : BoundSettings
        Window and tolerance.
    """

    def __init__(self, bounds: BoundSettings) -> None:
        self._bounds = bounds
        self._workspaces: Mapping[str, Workspace] = {}
        self._bucket_by_workspace: dict[str, _Bucket] = {}
        self._part = 1.0
        self._pressed: Collection[str] | None = None
        self._level_of_new = _LEVEL_OF_NEW

    def note_restart(self, *, common: bool) -> None:
        """Say whether all known hosts started at about the same time."""
        self._level_of_new = _LEVEL_OF_RESTARTED if common else _LEVEL_OF_NEW

    def configure(self, workspaces: Mapping[str, Workspace]) -> None:
        """Put the rates of a configuration in force.

        Parameters
        ----------
        workspaces : mapping
            By name; buckets above a lowered burst lose the difference.
        """
        self._workspaces = workspaces
        for name in self._bucket_by_workspace.keys() - workspaces.keys():
            del self._bucket_by_workspace[name]

    def set_part(self, part: float) -> None:
        """Set the part of each rate that this host may hand out, 0 to 1."""
        self._part = part

    def set_pressed(self, names: Collection[str] | None) -> None:
        """Name the workspaces that are near their rate over the fleet.

        Parameters
        ----------
        names : collection of str or None
            The others may use more than this host's part while it places
            alone. None where this host counts for the fleet itself.
        """
        self._pressed = names

    def pressed(self, now: float) -> list[str]:
        """Return the workspaces whose buckets are half empty or emptier."""
        return [
            name
            for name, bucket in self._bucket_by_workspace.items()
            if name in self._workspaces
            and self._filled(self._workspaces[name], now).level
            < _PRESSED_PART * self._part * self._workspaces[name].burst
        ]

    def take(self, name: str, now: float) -> QuotaTake:
        """Take a token of a workspace.

        Parameters
        ----------
        name : str
            Unknown workspaces and rates of 0 are unlimited.
        now : float
            Monotonic seconds.

        Returns
        -------
        QuotaTake
            Nothing is taken from an empty bucket.
        """
        workspace = self._workspaces.get(name)
        if workspace is None or workspace.rate <= 0:
            return QuotaTake(True, 0)
        bucket = self._filled(workspace, now)
        if bucket.level >= 1:
            bucket.level -= 1
            return QuotaTake(True, 0)
        rate = self._refill(workspace) * self._part_of(name)
        return QuotaTake(False, (1 - bucket.level) / rate)

    def give_back(self, name: str) -> None:
        """Return the token of a request that was refused and not run."""
        bucket = self._bucket_by_workspace.get(name)
        if bucket is not None:
            bucket.level += 1

    def _part_of(self, name: str) -> float:
        if self._pressed is None or name in self._pressed:
            return self._part
        return min(1, self._part * _RELAXED_PARTS)

    def _refill(self, workspace: Workspace) -> float:
        bounds = self._bounds
        window_s = bounds['quota_window_s']
        in_window = workspace.rate * window_s + workspace.burst
        tolerated = (
            _OVERAGE_USED * bounds['quota_overage'] * in_window
            + _SLACK_USED * bounds['quota_slack']
        )
        return workspace.rate + tolerated / window_s

    def _filled(self, workspace: Workspace, now: float) -> _Bucket:
        part = self._part_of(workspace.name)
        capacity = max(_CAPACITY_LEAST, workspace.burst * part)
        bucket = self._bucket_by_workspace.get(workspace.name)
        if bucket is None:
            known = 1 if self._part < _SMALL_PART else self._level_of_new
            bucket = _Bucket(max(1, capacity * known), now, self._part)
            self._bucket_by_workspace[workspace.name] = bucket
        refill = self._refill(workspace) * part
        grown = bucket.level + (now - bucket.at) * refill
        if bucket.part < _SMALL_PART <= self._part:
            # A host that began alone now stands for much of the fleet.
            grown = max(grown, capacity * self._level_of_new)
        bucket.level = min(capacity, grown)
        bucket.at = now
        bucket.part = self._part
        return bucket
