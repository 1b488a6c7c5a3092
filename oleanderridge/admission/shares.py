"""Which hosts mint a workspace's tokens."""

from __future__ import annotations

from typing import Final

from oleanderridge.generated.messages import HostEntry, HostList
from oleanderridge.rendezvous import rendezvous_score

# Each bucket holds at least this many tokens where the burst allows. With 4,
# random arrivals at 94% of the rate left 1.0 to 2.0% refused that one central
# bucket of 20 would have admitted; with 10 it is 0.5 to 0.8%
# (tests/test_rate_liveness.py).
_TOKENS_PER_MINTER: Final = 10


def minter_count(burst: int, minters_max: int, hosts: int) -> int:
    """Return among how many hosts a workspace's rate is divided.

    Parameters
    ----------
    burst : int
        Requests.
    minters_max : int
        From the settings.
    hosts : int
        Live hosts of the cell.

    Returns
    -------
    int
        At least one.
    """
    return max(1, min(minters_max, burst // _TOKENS_PER_MINTER, hosts))


def minter_order(
    host_list: HostList,
    workspace: str,
    cell: str | None = None,
) -> list[str]:
    """Return the live hosts in the order in which they become minters.

    The order takes the best host of every zone before the second best of
    any, so that every prefix of it is spread across zones.

    Parameters
    ----------
    host_list : HostList
        Any revision.
    workspace : str
        Workspace name.
    cell : str or None
        Only hosts of this cell; None takes all.

    Returns
    -------
    list of str
        Host names.
    """
    live = [
        entry
        for entry in host_list['hosts']
        if entry['state'] == 'live' and cell in {None, entry['cell']}
    ]
    live.sort(key=lambda entry: _score(workspace, entry), reverse=True)
    taken_by_zone: dict[str, int] = {}
    ranks = []
    for entry in live:
        rank = taken_by_zone.get(entry['zone'], 0)
        taken_by_zone[entry['zone']] = rank + 1
        ranks.append(rank)
    # The sort is stable: within a rank the order of the scores remains.
    placed = sorted(range(len(live)), key=ranks.__getitem__)
    return [live[place]['host'] for place in placed]


def _score(workspace: str, entry: HostEntry) -> tuple[int, str]:
    return rendezvous_score(workspace, entry['host'])


def minters(
    host_list: HostList,
    workspace: str,
    burst: int,
    minters_max: int,
) -> tuple[str, ...]:
    """Return the hosts that mint a workspace's tokens.

    Parameters
    ----------
    host_list : HostList
        Hosts of the workspace's cell.
    workspace : str
        Workspace name.
    burst : int
        Requests.
    minters_max : int
        From the settings.

    Returns
    -------
    tuple of str
        Best first; empty when no host is live.
    """
    order = minter_order(host_list, workspace)
    return tuple(order[: minter_count(burst, minters_max, len(order))])
