"""Route matching and authorisation by API key."""

from __future__ import annotations

from hashlib import sha256
from typing import Final, NamedTuple

from result import Err, Ok, Result

from oleanderridge.generated.bundle import BundleDocument, Route, Workspace
from oleanderridge.refusals import Refusal, refuse

OPEN: Final = 'open'
_DEFAULT_CELL: Final = 'default'
_DOT_SEGMENTS: Final = frozenset(('.', '..'))


class AdmissionIndex(NamedTuple):
    """Lookup tables of one bundle."""

    routes_by_prefix: dict[str, tuple[Route, ...]]
    workspace_by_hash: dict[str, Workspace]
    depth: int


def hash_key(key: str) -> str:
    """Return the digest under which bundles store a key.

    Parameters
    ----------
    key : str
        As the caller presents it.

    Returns
    -------
    str
        SHA-256 in hex.
    """
    return sha256(key.encode('utf-8', 'surrogateescape')).hexdigest()


def build_index(document: BundleDocument) -> AdmissionIndex:
    """Return the lookup tables of a bundle.

    Parameters
    ----------
    document : BundleDocument
        A validated bundle.

    Returns
    -------
    AdmissionIndex
        Lookup takes one step per path segment and one per key.
    """
    routes: dict[str, tuple[Route, ...]] = {}
    for route in document['routes']:
        prefix = route['prefix'].rstrip('/')
        routes[prefix] = (*routes.get(prefix, ()), route)
    return AdmissionIndex(
        routes_by_prefix=routes,
        workspace_by_hash={
            digest: workspace
            for workspace in document['workspaces']
            for digest in workspace['key_hashes']
        },
        depth=max((prefix.count('/') for prefix in routes), default=0),
    )


def match_route(
    index: AdmissionIndex,
    method: str,
    path: str,
) -> Route | None:
    """Return the route with the longest prefix that allows the method.

    Prefixes end at segment boundaries: ``/a`` matches ``/a`` and ``/a/b`` but
    not ``/ab``. A path with dot segments matches nothing: a target that
    resolves them would serve a path of another route.

    Parameters
    ----------
    index : AdmissionIndex
        Tables of the bundle in force.
    method : str
        Upper-case HTTP method.
    path : str
        Starts with a slash; without the query.

    Returns
    -------
    Route or None
        None when no route applies.
    """
    segments = path.split('/')
    if any(_is_dot_segment(segment) for segment in segments):
        return None
    prefix = '/'.join(segments[: index.depth + 1]).rstrip('/')
    while True:
        for route in index.routes_by_prefix.get(prefix, ()):
            methods = route.get('methods')
            if not methods or method in methods:
                return route
        if not prefix:
            return None
        prefix = prefix.rpartition('/')[0].rstrip('/')


def _is_dot_segment(segment: str) -> bool:
    return segment.lower().replace('%2e', '.') in _DOT_SEGMENTS


def authorise(
    index: AdmissionIndex,
    route: Route,
    key: str | None,
    cell: str,
) -> Result[str, Refusal]:
    """Return the workspace on whose behalf a request runs.

    Parameters
    ----------
    index : AdmissionIndex
        Tables of the bundle in force.
    route : Route
        The matching route.
    key : str or None
        As the caller presents it.
    cell : str
        The cell of this host.

    Returns
    -------
    Result of str, Refusal
        The workspace name; ``open`` on open routes without a key.
    """
    if not key:
        if route.get('open'):
            return Ok(OPEN)
        return Err(refuse('key-missing'))
    workspace = index.workspace_by_hash.get(hash_key(key))
    if workspace is None:
        return Err(refuse('key-unknown'))
    allowed = route.get('workspaces')
    if allowed is not None and workspace['name'] not in allowed:
        return Err(refuse('key-not-allowed'))
    home = workspace.get('cell', _DEFAULT_CELL)
    if home != cell:
        return Err(refuse('wrong-cell', home))
    return Ok(workspace['name'])
