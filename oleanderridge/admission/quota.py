"""Token buckets for a host's share of the rates of workspaces."""

from __future__ import annotations

import math
from collections.abc import Mapping
from random import Random
from typing import Final, NamedTuple

from oleanderridge.gateway.model import Workspace
from oleanderridge.gateway.outcomes import Ground
from oleanderridge.generated.gateway import BoundSettings

# Fractions of the operator's tolerance that the leader admits in addition to
# the rate, so that a request that is within the rate by another clock is not
# refused; the rest is left to hosts that bypass it, and for its changes.
_OVERAGE_FRACTION: Final = 0.5
_SLACK_FRACTION: Final = 0.4
# Fraction of that rest that all hosts together admit while they bypass the
# leader, in each period of one window; a window has parts of two periods.
_BYPASS_FRACTION: Final = 0.25
# Seconds of the rate that a host has when it comes to lead: after a leader that
# it followed, and that admitted nothing for longer; after its start; and after
# a start of the whole fleet, which was down for longer.
_TAKEOVER_S: Final = 0.1
_START_S: Final = 0.2
_FLEET_START_S: Final = 0.5
# A leader that stands still is passed over after this long, so it earns no
# more tokens by then.
_STANDSTILL_MAX_S: Final = 0.155
_SMALL_SHARE_BELOW: Final = 0.5
# By then a host with a small share has mostly joined the others.
_SMALL_SHARE_RETRY_AFTER_MAX_S: Final = 1.0
# By then the leader, or the next one, is asked again.
_BYPASS_RETRY_AFTER_S: Final = 0.25
# With less than one token nothing would ever be admitted.
_CAPACITY_MIN: Final = 1.0


class _Bucket:
    """Tokens of one workspace, and up to where they were earned."""

    def __init__(self, level: float, earned_s: float) -> None:
        self.level = level
        self.earned_s = earned_s


class _Allowance:
    """Tokens of one workspace in a period in which the leader is bypassed."""

    def __init__(self, period: int, tokens: int) -> None:
        self.period = period
        self.tokens = tokens


class QuotaTake(NamedTuple):
    """Whether a token was taken, otherwise the time until the next.

    ``ground`` tells by which right it was.
    """

    taken: bool
    retry_after_s: float
    ground: Ground = Ground.UNLIMITED


class FleetQuota:
    """What this host may admit of each rate.

    A host that leads earns its share of each rate, and none while it stands
    still. The others share a part of what the leader leaves of the operator's
    tolerance, for the times in which they get no answer of the leader. So all
    hosts together keep to the bound, whoever leads and whoever is lost.

    Parameters
    ----------
    bounds : BoundSettings
        Window and tolerance.
    rng : Random
        Rounds shares of a token, so that not all hosts round alike.
    """

    def __init__(self, bounds: BoundSettings, rng: Random) -> None:
        self._bounds = bounds
        self._rng = rng
        self._workspaces: Mapping[str, Workspace] = {}
        self._bucket_by_workspace: dict[str, _Bucket] = {}
        self._allowance_by_workspace: dict[str, _Allowance] = {}
        self._share = 1.0
        self._leads = True
        # The role from the next moment at which the time is known.
        self._next_share = 1.0
        self._next_leads = True
        # Seconds for which this host would have earned the whole rates.
        self._earned_s: float = 0
        self._began_at_s: float = 0
        self._most_share: float = 0
        self._leads_since: float = -math.inf
        self._has_followed = False
        self._restarted_with_fleet = False
        self._seen_at: float | None = None
        self._is_ticked = False

    def record_fleet_restart(self, *, common: bool) -> None:
        """Set whether all known hosts started at about the same time."""
        self._restarted_with_fleet = common

    def configure(self, workspaces: Mapping[str, Workspace]) -> None:
        """Apply the rates of a configuration.

        Parameters
        ----------
        workspaces : mapping
            By name; tokens above a lowered burst are dropped.
        """
        self._workspaces = workspaces
        for by_name in (
            self._bucket_by_workspace,
            self._allowance_by_workspace,
        ):
            for name in by_name.keys() - workspaces.keys():
                del by_name[name]

    def set_fleet_share(
        self, fleet_share: float, *, leads: bool = True
    ) -> None:
        """Set the share of each rate that this host may admit.

        Parameters
        ----------
        fleet_share : float
            0 to 1.
        leads : bool
            False if another host leads and admits most requests.
        """
        self._next_share = fleet_share
        self._next_leads = leads

    def tick(self, now: float) -> None:
        """Note that the host runs; call this several times a second."""
        self._advance(now)
        self._is_ticked = True

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
        self._advance(now)
        if not self._leads:
            return self._take_from_allowance(workspace, now)
        bucket = self._refilled_bucket(workspace)
        if bucket.level >= 1:
            bucket.level -= 1
            return QuotaTake(True, 0, Ground.LEADER)
        earned_per_s = self._earned_per_s(workspace) * self._share
        retry_after_s = (1 - bucket.level) / earned_per_s
        if self._share < _SMALL_SHARE_BELOW:
            retry_after_s = min(retry_after_s, _SMALL_SHARE_RETRY_AFTER_MAX_S)
        return QuotaTake(False, retry_after_s)

    def tokens_due(self, name: str, within_s: float, now: float) -> float:
        """Return how many tokens requests may wait for.

        A host that has come to lead begins with few tokens, though a workspace
        may be within its rate.

        Parameters
        ----------
        name : str
            A limited workspace.
        within_s : float
            How long they may wait.
        now : float
            Monotonic seconds.

        Returns
        -------
        float
            0 at a host that doesn't lead, or has led for a window.
        """
        self._advance(now)
        led_s = now - self._leads_since
        if not self._leads or led_s > self._bounds['quota_window_s']:
            return 0
        # Its share rises to the whole while its followers find it.
        return within_s * self._earned_per_s(self._workspaces[name])

    def refund(self, name: str, ground: Ground) -> None:
        """Return the token of a request that was refused and not run."""
        if ground is Ground.LEADER and name in self._bucket_by_workspace:
            self._bucket_by_workspace[name].level += 1
        if ground is Ground.ALONE and name in self._allowance_by_workspace:
            self._allowance_by_workspace[name].tokens += 1

    def _advance(self, now: float) -> None:
        """Earn until now, then take the role that was set."""
        if self._seen_at is not None:
            passed_s = now - self._seen_at
            if self._is_ticked and passed_s > _STANDSTILL_MAX_S:
                passed_s = _STANDSTILL_MAX_S
                self._leads_since = now
            self._earned_s += passed_s * self._share
        self._seen_at = now
        if self._next_leads and not self._leads:
            self._begin_to_lead(now)
        self._leads = self._next_leads
        self._has_followed |= not self._leads
        self._share = self._next_share
        if self._leads and self._share > self._most_share:
            risen = self._share - self._most_share
            self._most_share = self._share
            self._earned_s += risen * self._initial_s()

    def _initial_s(self) -> float:
        """Return the seconds of the rate that this host begins to lead with."""
        if self._has_followed:
            return _TAKEOVER_S
        return _FLEET_START_S if self._restarted_with_fleet else _START_S

    def _begin_to_lead(self, now: float) -> None:
        self._leads_since = now
        # What it had left, its predecessors have admitted since.
        self._bucket_by_workspace.clear()
        self._began_at_s = self._earned_s
        self._most_share = 0

    def _take_from_allowance(
        self, workspace: Workspace, now: float
    ) -> QuotaTake:
        period = math.floor(now / self._bounds['quota_window_s'])
        allowance = self._allowance_by_workspace.get(workspace.name)
        if allowance is None or allowance.period != period:
            left = self._share * self._left_by_leader(workspace)
            tokens = math.floor(_BYPASS_FRACTION * left + self._rng.random())
            allowance = _Allowance(period, tokens)
            self._allowance_by_workspace[workspace.name] = allowance
        if allowance.tokens < 1:
            return QuotaTake(False, _BYPASS_RETRY_AFTER_S)
        allowance.tokens -= 1
        return QuotaTake(True, 0, Ground.ALONE)

    def _left_by_leader(self, workspace: Workspace) -> float:
        """Return how many requests the leader leaves of the tolerance."""
        overage = (1 - _OVERAGE_FRACTION) * self._overage(workspace)
        return overage + (1 - _SLACK_FRACTION) * self._bounds['quota_slack']

    def _earned_per_s(self, workspace: Workspace) -> float:
        tolerated = (
            _OVERAGE_FRACTION * self._overage(workspace)
            + _SLACK_FRACTION * self._bounds['quota_slack']
        )
        return workspace.rate + tolerated / self._bounds['quota_window_s']

    def _overage(self, workspace: Workspace) -> float:
        window_s = self._bounds['quota_window_s']
        window_tokens = workspace.rate * window_s + workspace.burst
        return self._bounds['quota_overage'] * window_tokens

    def _refilled_bucket(self, workspace: Workspace) -> _Bucket:
        bucket = self._bucket_by_workspace.get(workspace.name)
        if bucket is None:
            bucket = self._new_bucket(workspace)
            self._bucket_by_workspace[workspace.name] = bucket
        capacity = max(_CAPACITY_MIN, workspace.burst * self._share)
        earned_s = self._earned_s - bucket.earned_s
        earned = earned_s * self._earned_per_s(workspace)
        bucket.level = min(capacity, bucket.level + earned)
        bucket.earned_s = self._earned_s
        return bucket

    def _new_bucket(self, workspace: Workspace) -> _Bucket:
        """Return a bucket with what was earned since this host leads.

        One that has never followed had no predecessor, so it has its share of
        the burst, too. A whole token at each of many hosts that lead only
        themselves would be more than the burst.
        """
        tokens = self._share
        if not self._has_followed and self._share < _SMALL_SHARE_BELOW:
            tokens *= workspace.burst
        level = math.floor(tokens + self._rng.random())
        earned_s = self._earned_s - self._began_at_s
        earned = earned_s * self._earned_per_s(workspace)
        return _Bucket(max(level, earned), self._earned_s)
