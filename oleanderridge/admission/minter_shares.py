"""Rates and bursts by workspace, and the share of one host in them."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple

from oleanderridge.admission.shares import minter_count, minter_order
from oleanderridge.generated.bundle import BundleDocument, Workspace
from oleanderridge.generated.messages import HostList

_DEFAULT_CELL: Final = 'default'
# About 3 MB of cache.
_CACHE_ENTRIES_MAX: Final = 10_000

_CacheKey = tuple[int, str, int, str]


class Share(NamedTuple):
    """Share of a workspace's rate (tokens per second) and burst."""

    rate: float
    capacity: float


NO_SHARE: Final = Share(0, 0)

Table = dict[str, Workspace]


def build_table(document: BundleDocument, cell: str) -> Table:
    """Return the workspaces of one cell by name.

    Parameters
    ----------
    document : BundleDocument
        A validated bundle.
    cell : str
        The cell of this host; it mints for no other.

    Returns
    -------
    dict of str to Workspace
        Shares its values with the document.
    """
    return {
        entry['name']: entry
        for entry in document['workspaces']
        if cell_of(entry) == cell
    }


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
    """Return the workspaces whose rate, burst or cell differs in any table.

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


class MinterLookup:
    """Cache of minters by list revision and workspace."""

    def __init__(self, minters_max: int) -> None:
        """Create an empty cache."""
        self._minters_max = minters_max
        self._minters_by_key: dict[_CacheKey, tuple[str, ...]] = {}

    def __call__(
        self,
        host_list: HostList,
        workspace: Workspace,
    ) -> tuple[str, ...]:
        """Return the minters of a workspace within its cell.

        Parameters
        ----------
        host_list : HostList
            Hosts of any cells.
        workspace : Workspace
            One workspace of a bundle.

        Returns
        -------
        tuple of str
            Best first.
        """
        cell = cell_of(workspace)
        cache_key = (
            host_list['revision'],
            workspace['name'],
            workspace['burst'],
            cell,
        )
        minters = self._minters_by_key.get(cache_key)
        if minters is None:
            order = minter_order(host_list, workspace['name'], cell)
            count = minter_count(
                workspace['burst'], self._minters_max, len(order)
            )
            minters = tuple(order[:count])
            # Clearing the whole cache is rare and keeps the lookup simple.
            if len(self._minters_by_key) >= _CACHE_ENTRIES_MAX:
                self._minters_by_key.clear()
            self._minters_by_key[cache_key] = minters
        return minters


def smallest_share(
    host: str,
    lists: Iterable[HostList],
    workspaces: Sequence[Workspace | None],
    lookup: MinterLookup,
) -> Share:
    """Return the smallest share in any list and bundle possibly in force.

    Parameters
    ----------
    host : str
        This host.
    lists : iterable of HostList
        Unsettled host lists and the current one.
    workspaces : sequence of Workspace or None
        The workspace in each unsettled bundle and the current one; None
        where the bundle does not have it.
    lookup : MinterLookup
        Cache of minters.

    Returns
    -------
    Share
        ``NO_SHARE`` when this host is no minter in some combination.
    """
    shares = [
        _share(host, host_list, workspace, lookup)
        for host_list in lists
        for workspace in workspaces
    ]
    if not shares:
        return NO_SHARE
    return Share(
        rate=min(share.rate for share in shares),
        capacity=min(share.capacity for share in shares),
    )


def _share(
    host: str,
    host_list: HostList,
    workspace: Workspace | None,
    lookup: MinterLookup,
) -> Share:
    if workspace is None:
        return NO_SHARE
    minters = lookup(host_list, workspace)
    if host not in minters:
        return NO_SHARE
    return Share(
        rate=workspace['rate'] / len(minters),
        capacity=workspace['burst'] / len(minters),
    )
