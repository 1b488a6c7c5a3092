"""Token buckets of workspaces for the part of the fleet that uses them."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final, NamedTuple

from oleanderridge.gateway.model import Workspace

# A host that begins to stand for much of the fleet does not know what its
# predecessor handed out; small parts are whole at once.
_LEVEL_OF_NEW: Final = 0.5
_SMALL_PART: Final = 0.5
# Below one token nothing could ever be admitted.
_CAPACITY_LEAST: Final = 1.0


class _Bucket:
    """Level and time of one workspace's bucket."""

    def __init__(self, level: float, now: float) -> None:
        self.level = level
        self.at = now


class QuotaTake(NamedTuple):
    """Whether a token was taken, else when one will be there."""

    taken: bool
    retry_after_s: float


class FleetQuota:
    """Buckets whose rates are the part of the fleet that a host stands for."""

    def __init__(self) -> None:
        self._workspaces: Mapping[str, Workspace] = {}
        self._bucket_by_workspace: dict[str, _Bucket] = {}
        self._part = 1.0

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
        rate = workspace.rate * self._part
        bucket = self._filled(workspace, rate, now)
        if bucket.level >= 1:
            bucket.level -= 1
            return QuotaTake(True, 0)
        return QuotaTake(False, (1 - bucket.level) / rate)

    def give_back(self, name: str) -> None:
        """Return the token of a request that was refused and not run."""
        bucket = self._bucket_by_workspace.get(name)
        if bucket is not None:
            bucket.level += 1

    def _filled(self, workspace: Workspace, rate: float, now: float) -> _Bucket:
        capacity = max(_CAPACITY_LEAST, workspace.burst * self._part)
        bucket = self._bucket_by_workspace.get(workspace.name)
        if bucket is None:
            known = 1 if self._part < _SMALL_PART else _LEVEL_OF_NEW
            bucket = _Bucket(max(1, capacity * known), now)
            self._bucket_by_workspace[workspace.name] = bucket
        grown = bucket.level + (now - bucket.at) * rate
        bucket.level = min(capacity, grown)
        bucket.at = now
        return bucket
