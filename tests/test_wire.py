"""Peer messages survive the wire, and malformed ones name their place."""

from oleanderridge.wire import decode, encode

_REQUEST = {
    'kind': 'token_request',
    'host': 'host-a',
    'incarnation': 7,
    'request_id': 'r-1',
    'workspace': 'mill',
}


def test_round_trip_keeps_every_field():
    """Guards against fields lost between schema and generated code."""
    assert decode(encode(_REQUEST)).unwrap() == _REQUEST


def test_wrong_type_names_kind_and_path():
    """Guards against a peer error that does not say where it is."""
    error = decode(encode({**_REQUEST, 'incarnation': 'seven'})).unwrap_err()
    assert error.startswith('token_request:')
    assert '$.incarnation' in error


def test_garbage_is_an_error_and_not_an_exception():
    """Guards against a malformed message stopping the receiving loop."""
    for payload in (b'', b'\xc1', encode(['list']), encode({'kind': 'x'})):
        assert decode(payload).is_err()
