"""Rates and bursts by workspace, and the smallest share of one host."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple

from oleanderridge.admission.shares import minter_count, minter_order
from oleanderridge.generated.bundle import BundleDocument, Workspace
from oleanderridge.generated.messages import HostList

_DEFAULT_CELL: Final = 'default'


class Share(NamedTuple):
    """Part of a workspace's rate (tokens per second) and burst."""

    rate: float
    capacity: float


NO_SHARE: Final = Share(0, 0)

Table = dict[str, Workspace]


def build_table(document: BundleDocument) -> Table:
    """Return the workspaces of a bundle by name.

    Parameters
    ----------
    document : BundleDocument
        A validated bundle.

    Returns
    -------
    dict of str to Workspace
        Shares its values with the document.
    """
    return {entry['name']: entry for entry in document['workspaces']}


def cell_of(workspace: Workspace) -> str:
    """Return the cell in which a workspace's tokens are minted.

    Parameters
    ----------
    workspace : Workspace
        One workspace of a bundle.

    Returns
    -------
    str
        Cell name.
    """
    return workspace.get('cell', _DEFAULT_CELL)


def _differs(one: Workspace | None, other: Workspace | None) -> bool:
    if one is None or other is None:
        return True
    return (
        one['rate'] != other['rate']
        or one['burst'] != other['burst']
        or cell_of(one) != cell_of(other)
    )


def changed_names(tables: Sequence[Table]) -> set[str]:
    """Return the workspaces whose terms are not equal in all tables.

    Parameters
    ----------
    tables : sequence of Table
        Workspaces by name.

    Returns
    -------
    set of str
        Workspace names.
    """
    if len(tables) < 2:
        return set()
    first, *others = tables
    names: set[str] = set()
    for other in others:
        names.update(
            name
            for name, workspace in other.items()
            if _differs(workspace, first.get(name))
        )
        names.update(first.keys() - other.keys())
    return names


def listed_minters(
    host_list: HostList,
    workspace: Workspace,
    minters_max: int,
) -> tuple[str, ...]:
    """Return the minters of a workspace within its cell.

    Parameters
    ----------
    host_list : HostList
        Hosts of any cells.
    workspace : Workspace
        One workspace of a bundle.
    minters_max : int
        From the settings.

    Returns
    -------
    tuple of str
        Best first.
    """
    order = minter_order(host_list, workspace['name'], cell_of(workspace))
    count = minter_count(workspace['burst'], minters_max, len(order))
    return tuple(order[:count])


def smallest_share(
    host: str,
    lists: Iterable[HostList],
    workspaces: Sequence[Workspace | None],
    minters_max: int,
) -> Share:
    """Return the smallest share over all combinations that may be in force.

    Parameters
    ----------
    host : str
        This host.
    lists : iterable of HostList
        Unsettled host lists and the current one.
    workspaces : sequence of Workspace or None
        The workspace in each unsettled bundle and the current one; None
        where the bundle does not have it.
    minters_max : int
        From the settings.

    Returns
    -------
    Share
        ``NO_SHARE`` when some combination gives this host nothing.
    """
    shares = [
        _share(host, host_list, workspace, minters_max)
        for host_list in lists
        for workspace in workspaces
    ]
    if not shares or NO_SHARE in shares:
        return NO_SHARE
    return Share(
        rate=min(share.rate for share in shares),
        capacity=min(share.capacity for share in shares),
    )


def _share(
    host: str,
    host_list: HostList,
    workspace: Workspace | None,
    minters_max: int,
) -> Share:
    if workspace is None:
        return NO_SHARE
    listed = listed_minters(host_list, workspace, minters_max)
    if host not in listed:
        return NO_SHARE
    return Share(
        rate=workspace['rate'] / len(listed),
        capacity=workspace['burst'] / len(listed),
    )
