"""Tests of message encoding, decoding and decoding errors."""

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import msgpack

from oleanderridge.wire import TYPE_BY_KIND, decode, encode

_REQUEST = {
    'kind': 'token_request',
    'host': 'host-a',
    'incarnation': 7,
    'request_id': 'r-1',
    'workspace': 'mill',
}


def test_round_trip_keeps_every_field():
    """Guards against fields that are lost between schema and generated code."""
    assert decode(encode(_REQUEST)).unwrap() == _REQUEST


def test_wrong_type_names_kind_and_path():
    """Guards against decoding errors without the path of the invalid field."""
    error = decode(encode({**_REQUEST, 'incarnation': 'seven'})).unwrap_err()
    assert error.startswith('token_request:')
    assert '$.incarnation' in error


def test_optional_field_may_be_absent():
    """Guards against an absent field that is decoded as an empty one."""
    reply = {
        'kind': 'key_claim_reply',
        'host': 'host-a',
        'claim_id': 'c-1',
        'state': 'claimed',
    }
    assert decode(encode(reply)).unwrap() == reply


def test_malformed_payload_returns_an_error():
    """Guards against malformed messages that stop the receive loop."""
    arrays = ([], ['x'], [['heartbeat']], ['list_pull'], ['list_pull', 1, 2])
    payloads = (b'', b'\xc1', *map(msgpack.encode, arrays))
    for payload in payloads:
        assert decode(payload).is_err()


_FIELD_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-9, 9) | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=6,
)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(
    st.sampled_from(sorted(TYPE_BY_KIND)),
    st.lists(_FIELD_VALUES, max_size=18),
    st.binary(max_size=4),
)
def test_arbitrary_payloads_never_raise(kind, field_values, tail):
    """Guards against payloads from a peer that stop the receive loop."""
    payload = msgpack.encode([kind, *field_values])
    for variant in (payload, payload + tail, payload[: len(tail)], tail):
        result = decode(variant)
        assert result.is_err() or result.unwrap()['kind'] == kind
