"""Voting weights of the hosts of a list, and weighted majorities."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from math import inf
from typing import Final

from oleanderridge.generated.messages import HostEntry, HostList

_TIE_BREAK_WEIGHT: Final = 1.5


def cell_entries(host_list: HostList, cell: str) -> dict[str, HostEntry]:
    """Return the entries of one cell by host name.

    Parameters
    ----------
    host_list : HostList
        Any revision.
    cell : str
        Name of the cell.

    Returns
    -------
    dict of str to HostEntry
        Hosts in any state.
    """
    return {
        entry['host']: entry
        for entry in host_list['hosts']
        if entry['cell'] == cell
    }


def list_weights(host_list: HostList, cell: str) -> dict[str, float]:
    """Return the voting weight of each host of a cell.

    Leaving and fenced hosts have no weight, so that planned removals never
    cost a list its majority. With an even number of voters, the host with the
    smallest name has a higher weight, so that one half can hold a majority.

    Parameters
    ----------
    host_list : HostList
        Any revision.
    cell : str
        Name of the cell.

    Returns
    -------
    dict of str to float
        Live hosts only.
    """
    entries = cell_entries(host_list, cell)
    weights = {
        host: 1.0 for host, entry in entries.items() if entry['state'] == 'live'
    }
    if weights and len(weights) % 2 == 0:
        weights[min(weights)] = _TIE_BREAK_WEIGHT
    return weights


def holds_majority(
    weights: Mapping[str, float],
    hosts: Collection[str],
) -> bool:
    """Return whether the hosts hold a strict majority of the weight.

    Parameters
    ----------
    weights : mapping of str to float
        Weight by host name.
    hosts : collection of str
        Distinct names; hosts without a weight are ignored.

    Returns
    -------
    bool
        False when the total weight is 0.
    """
    held = sum(weights.get(host, 0) for host in hosts)
    return 2 * held > sum(weights.values())


def majority_heard_since(
    weights: Mapping[str, float],
    stamps: Mapping[str, float],
) -> float:
    """Return the latest time since which a majority has been heard from.

    Parameters
    ----------
    weights : mapping of str to float
        Weight by host name.
    stamps : mapping of str to float
        When each host was last heard from, in monotonic seconds.

    Returns
    -------
    float
        The latest time such that the hosts heard from at or after it hold a
        strict majority; minus infinity if all of them together do not.
    """
    half = sum(weights.values()) / 2
    held = float(0)
    heard = ((stamps[host], host) for host in weights if host in stamps)
    for stamp, host in sorted(heard, reverse=True):
        held += weights[host]
        if held > half:
            return stamp
    return -inf
