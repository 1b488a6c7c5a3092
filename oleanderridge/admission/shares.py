"""Selection of the hosts that mint a workspace's tokens."""

from __future__ import annotations

from typing import Final

from oleanderridge.generated.messages import HostEntry, HostList
from oleanderridge.rendezvous import rendezvous_score

# Smallest capacity of a bucket, if the burst allows it. With random arrivals at
# 94% of the rate, 4 refused 1.0 to 2.0% of the requests that one central bucket
# of 20 would have admitted; 10 refuses 0.5 to 0.8%
# (tests/test_rate_liveness.py).
_TOKENS_PER_MINTER_MIN: Final = 10


def minter_count(burst: int, minters_max: int, hosts: int) -> int:
    """Return the number of hosts that share a workspace's rate.

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
    return max(1, min(minters_max, burst // _TOKENS_PER_MINTER_MIN, hosts))


def minter_order(
    host_list: HostList,
    workspace: str,
    cell: str | None = None,
) -> list[str]:
    """Return the live hosts in order of preference as minters.

    The best host of every zone precedes the second best of any, so that
    every prefix of the order is spread across zones.

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
    count_by_zone: dict[str, int] = {}
    ranks = []
    for entry in live:
        rank = count_by_zone.get(entry['zone'], 0)
        count_by_zone[entry['zone']] = rank + 1
        ranks.append(rank)
    # The sort is stable: equal ranks stay in the order of their scores.
    order = sorted(range(len(live)), key=ranks.__getitem__)
    return [live[index]['host'] for index in order]


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
