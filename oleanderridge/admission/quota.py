"""Token buckets for a host's share of the rates of workspaces."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Final, NamedTuple

from oleanderridge.gateway.model import Workspace
from oleanderridge.generated.gateway import BoundSettings

# Initial level of a bucket with a large share, relative to its capacity: the
# host does not know how much its predecessor admitted. Buckets with a small
# share start full.
_INITIAL_LEVEL_SHARE: Final = 0.25
# Higher after a restart of all hosts: nothing was admitted meanwhile.
_INITIAL_LEVEL_SHARE_AFTER_RESTART: Final = 0.6
_SMALL_SHARE_BELOW: Final = 0.5
# Fractions of the operator's tolerance that are admitted in addition to the
# rate, so that a request that is within the rate by another clock is not
# refused; the rest covers changes of the placing host.
_OVERAGE_FRACTION: Final = 0.6
_SLACK_FRACTION: Final = 0.4
# A workspace with a smaller share of its burst left is near its rate limit.
_NEAR_LIMIT_LEVEL_SHARE: Final = 0.5
# Factor on the share of a host that places alone, for workspaces that are not
# near their rate limit: their requests are not spread evenly over the hosts.
_RELAXED_SHARE_FACTOR: Final = 4
# With less than one token nothing would ever be admitted.
_CAPACITY_MIN: Final = 1.0


class _ShareBucket:
    """Level of one workspace's bucket, its last update and its share."""

    def __init__(self, level: float, now: float, part: float) -> None:
        self.level = level
        self.updated_at = now
        self.part = part


class QuotaTake(NamedTuple):
    """Whether a token was taken, otherwise the time until the next."""

    taken: bool
    retry_after_s: float


class FleetQuota:
    """Token buckets that refill at this host's share of each rate.

    The operator's bound applies to every span of one window and tolerates some
    overage beyond rate and burst, so a bucket also refills with a fraction of
    that tolerance.

    Parameters
    ----------
    bounds : BoundSettings
        Window and tolerance.
    """

    def __init__(self, bounds: BoundSettings) -> None:
        self._bounds = bounds
        self._workspaces: Mapping[str, Workspace] = {}
        self._bucket_by_workspace: dict[str, _ShareBucket] = {}
        self._share = 1.0
        self._near_limit: Collection[str] | None = None
        self._initial_level_share = _INITIAL_LEVEL_SHARE

    def record_fleet_restart(self, *, common: bool) -> None:
        """Set whether all known hosts started at about the same time."""
        self._initial_level_share = (
            _INITIAL_LEVEL_SHARE_AFTER_RESTART
            if common
            else _INITIAL_LEVEL_SHARE
        )

    def configure(self, workspaces: Mapping[str, Workspace]) -> None:
        """Apply the rates of a configuration.

        Parameters
        ----------
        workspaces : mapping
            By name; tokens above a lowered burst are dropped.
        """
        self._workspaces = workspaces
        for name in self._bucket_by_workspace.keys() - workspaces.keys():
            del self._bucket_by_workspace[name]

    def set_fleet_share(self, fleet_share: float) -> None:
        """Set the share of each rate that this host may admit, 0 to 1."""
        self._share = fleet_share

    def set_workspaces_near_limit(self, names: Collection[str] | None) -> None:
        """Set the workspaces that are near their rate limit in the fleet.

        Parameters
        ----------
        names : collection of str or None
            The others may use more than this host's share while it places
            alone. None if this host itself counts for the whole fleet.
        """
        self._near_limit = names

    def workspaces_near_limit(self, now: float) -> list[str]:
        """Return the workspaces whose buckets are less than half full."""
        return [
            name
            for name, bucket in self._bucket_by_workspace.items()
            if name in self._workspaces
            and self._refilled_bucket(self._workspaces[name], now).level
            < _NEAR_LIMIT_LEVEL_SHARE
            * self._share
            * self._workspaces[name].burst
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
        bucket = self._refilled_bucket(workspace, now)
        if bucket.level >= 1:
            bucket.level -= 1
            return QuotaTake(True, 0)
        rate = self._refill_per_s(workspace) * self._share_of(name)
        return QuotaTake(False, (1 - bucket.level) / rate)

    def refund(self, name: str) -> None:
        """Return the token of a request that was refused and not run."""
        bucket = self._bucket_by_workspace.get(name)
        if bucket is not None:
            bucket.level += 1

    def _share_of(self, name: str) -> float:
        if self._near_limit is None or name in self._near_limit:
            return self._share
        return min(1, self._share * _RELAXED_SHARE_FACTOR)

    def _refill_per_s(self, workspace: Workspace) -> float:
        bounds = self._bounds
        window_s = bounds['quota_window_s']
        window_tokens = workspace.rate * window_s + workspace.burst
        tolerated = (
            _OVERAGE_FRACTION * bounds['quota_overage'] * window_tokens
            + _SLACK_FRACTION * bounds['quota_slack']
        )
        return workspace.rate + tolerated / window_s

    def _refilled_bucket(
        self, workspace: Workspace, now: float
    ) -> _ShareBucket:
        part = self._share_of(workspace.name)
        capacity = max(_CAPACITY_MIN, workspace.burst * part)
        bucket = self._bucket_by_workspace.get(workspace.name)
        if bucket is None:
            initial = (
                1
                if self._share < _SMALL_SHARE_BELOW
                else self._initial_level_share
            )
            bucket = _ShareBucket(max(1, capacity * initial), now, self._share)
            self._bucket_by_workspace[workspace.name] = bucket
        refill = self._refill_per_s(workspace) * part
        level = bucket.level + (now - bucket.updated_at) * refill
        if bucket.part < _SMALL_SHARE_BELOW <= self._share:
            # The host's share has grown from small to large, as when a host
            # that began alone now places for much of the fleet.
            level = max(level, capacity * self._initial_level_share)
        bucket.level = min(capacity, level)
        bucket.updated_at = now
        bucket.part = self._share
        return bucket
