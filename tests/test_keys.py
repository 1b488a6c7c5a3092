"""Route matching and authorisation by API key."""

from oleanderridge.admission.keys import (
    authorise,
    build_index,
    hash_key,
    match_route,
)

_DOCUMENT = {
    'version': 1,
    'parent': '',
    'services': [],
    'workspaces': [
        {
            'name': 'mill',
            'rate': 10,
            'burst': 20,
            'cell': 'default',
            'key_hashes': [hash_key('k-mill')],
        },
        {
            'name': 'loom',
            'rate': 10,
            'burst': 20,
            'cell': 'north',
            'key_hashes': [hash_key('k-loom')],
        },
    ],
    'routes': [
        {'prefix': '/', 'service': 'root', 'open': True},
        {'prefix': '/a', 'service': 'a', 'workspaces': ['loom']},
        {'prefix': '/a/b/', 'service': 'ab', 'methods': ['GET']},
    ],
}
_INDEX = build_index(_DOCUMENT)


def _service(method, path):
    route = match_route(_INDEX, method, path)
    return route and route['service']


def test_longest_prefix_by_segments_wins():
    """Guards against matching inside a segment or ignoring the method."""
    assert _service('GET', '/a/b') == 'ab'
    assert _service('GET', '/a/b/c/d') == 'ab'
    assert _service('POST', '/a/b/c') == 'a'
    assert _service('GET', '/a/bc') == 'a'
    assert _service('GET', '/ab') == 'root'


def test_dot_segments_match_nothing():
    """Guards against reaching a path that requires a key by an open route."""
    for path in ('/x/../a', '/x/%2E%2e/a', '/./a'):
        assert _service('GET', path) is None


def test_refusals_name_the_reason():
    """Guards against admitting a missing key or the wrong workspace."""
    root, restricted, *_ = _DOCUMENT['routes']
    cases = (
        (root, None, 'open'),
        (root, 'k-mill', 'mill'),
        (root, 'no', 'key-unknown'),
        (restricted, None, 'key-missing'),
        (restricted, 'k-mill', 'key-not-allowed'),
        (restricted, 'k-loom', 'wrong-cell'),
    )
    for route, key, expected in cases:
        outcome = authorise(_INDEX, route, key, 'default')
        found = outcome.ok() or outcome.unwrap_err().reason
        assert found == expected
