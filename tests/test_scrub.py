"""Tests that no form of the caller's key remains in a scrubbed request."""

import re
from base64 import b64decode, b64encode, urlsafe_b64encode
from urllib.parse import quote, unquote_to_bytes

import pytest
from hypothesis import assume, example, given
from hypothesis import strategies as st

from oleanderridge.forward.scrub import InboundRequest, remove_caller_key

KEY_CHARACTERS = ''.join(chr(code) for code in range(0x21, 0x7F))
keys = st.text(KEY_CHARACTERS, min_size=8, max_size=24)


def percent_encode(text):
    return ''.join(f'%{byte:02X}' for byte in text.encode())


KEY_FORMS = {
    'text': lambda key: key,
    'percent': percent_encode,
    'quoted': lambda key: quote(key, safe=''),
    'twice': lambda key: quote(percent_encode(key), safe=''),
    'lower': lambda key: percent_encode(key).lower(),
    'basic': lambda key: b64encode(f'user:{key}'.encode()).decode(),
    'after one': lambda key: b64encode(f'x{key}y'.encode()).decode(),
    'url safe': lambda key: urlsafe_b64encode(f'xy{key}'.encode()).decode(),
    'quoted base64': lambda key: quote(b64encode(key.encode()), safe=''),
}
CREDENTIALS = {
    'bearer': lambda key: ('headers', ('Authorization', f'Bearer {key}')),
    'lower bearer': lambda key: (
        'headers',
        ('AUTHORIZATION', f'bearer  {key}'),
    ),
    'x-api-key': lambda key: ('headers', ('x-API-key', key)),
    'query': lambda key: ('query', f'api_key={quote(key, safe="")}'),
    'odd query': lambda key: ('query', f'a=1;api%5Fkey={percent_encode(key)}'),
    'cookie': lambda key: ('headers', ('Cookie', f'a=1; api_key={key}')),
}
form_names = st.sampled_from(sorted(KEY_FORMS))
credential_names = st.sampled_from(sorted(CREDENTIALS))


def build_request(query='', headers=(), path='/work', body=b'', method='POST'):
    return InboundRequest('r-1', method, path, query, tuple(headers), body)


def decodings(data):
    """Return all byte strings that a target may decode from the data.

    Does not share code with the decoder under test.
    """
    decoded = {data}
    for _ in range(3):
        data = unquote_to_bytes(data)
        decoded.add(data)
    for text in tuple(decoded):
        for base64_run in re.findall(rb'[A-Za-z0-9+/_-]{8,}', text):
            for offset in range(4):
                candidate = base64_run[offset:].translate(
                    bytes.maketrans(b'-_', b'+/')
                )
                candidate = candidate[
                    : len(candidate) - (len(candidate) % 4 == 1)
                ]
                decoded.add(b64decode(candidate + b'=='))
    return decoded


def outgoing_texts(request):
    for name, value in request.headers:
        yield from (name.encode(), value.encode())
        yield from (
            value.encode().replace(b';', b' ').replace(b'=', b' ').split()
        )
    yield f'{request.path}?{request.query}'.encode()
    for pair in request.query.split('&'):
        yield pair.partition('=')[2].encode()
    yield request.body


@example(
    key='>>>???~~~>>>???', credential='bearer', copies=[('header', 'url safe')]
)
@given(
    key=keys,
    credential=credential_names,
    copies=st.lists(
        st.tuples(
            st.sampled_from(
                ['header', 'name', 'query', 'cookie', 'path', 'body']
            ),
            form_names,
        ),
        max_size=4,
    ),
)
def test_no_form_of_the_key_is_left(key, credential, copies):
    """Guards against forwarding a key in another location or encoding."""
    assume(not set(key) & set(';,"\\'))
    request_part, value = CREDENTIALS[credential](key)
    headers = [value] if request_part == 'headers' else []
    queries = [value] if request_part == 'query' else []
    path, body = '/work', b'body'
    for location, form in copies:
        text = KEY_FORMS[form](key)
        if location == 'header':
            headers.append(('X-Note', f'a {text} b'))
        elif location == 'name':
            headers.append((f'x-{text.lower()}', '1'))
        elif location == 'query':
            queries.append(f'note={quote(text, safe="%")}')
        elif location == 'cookie':
            headers.append(('Cookie', f'keep=1; note={text}'))
        elif location == 'path':
            path = f'/jobs/{quote(text, safe="%")}'
        else:
            body = f'note={text}'.encode()
    request = build_request('&'.join(queries), headers, path, body)
    result = remove_caller_key(request)
    if result.is_err():
        assert result.unwrap_err().reason in ('key-in-request', 'bad-request')
        assert result.unwrap_err().outcome == 'not-run'
        assert {'path', 'body', 'query'} & {location for location, _ in copies}
        return
    assert result.unwrap().key == key
    for text in outgoing_texts(result.unwrap().request):
        for decoded in decodings(text):
            assert key.encode() not in decoded
        assert key.lower().encode() not in text.lower()


@pytest.mark.parametrize('form', KEY_FORMS)
@pytest.mark.parametrize('location', ['path', 'body', 'idempotency-key'])
def test_key_where_it_cannot_be_removed_is_refused(location, form):
    """Guards against changing the meaning of a request or forwarding a key."""
    text = KEY_FORMS[form]('Secret/Key+1')
    request = build_request(
        path=f'/{quote(text, safe="%")}' if location == 'path' else '/work',
        body=text.encode() if location == 'body' else b'',
        headers=[
            ('X-Api-Key', 'Secret/Key+1'),
            *([('Idempotency-Key', text)] if location.startswith('id') else ()),
        ],
    )
    assert remove_caller_key(request).unwrap_err().reason == 'key-in-request'


def test_key_in_a_long_body_is_refused():
    """Guards against skipping the search in bodies too long to decode."""
    body = b'%' * 70000 + b'key-of-mill'
    request = build_request(headers=[('X-Api-Key', 'key-of-mill')], body=body)
    assert remove_caller_key(request).unwrap_err().reason == 'key-in-request'


def test_everything_else_is_passed_on_unchanged():
    """Guards against removing other parts of a request with the key."""
    kept_headers = (
        ('Accept', '*/*'),
        ('Authorization', 'Basic dXNlcjpwYXNz'),
        ('Cookie', 'a=1; b="2"'),
        ('X-Note', 'key'),
    )
    request = build_request(
        'a=1&api_key=secret-key&b=%20&&c',
        (
            *kept_headers[:2],
            ('Cookie', 'a=1; api_key=secret-key; b="2"'),
            kept_headers[3],
        ),
        '/a%2Fb',
        b'\x00%zz',
    )
    scrubbed = remove_caller_key(request).unwrap()
    assert scrubbed.key == 'secret-key'
    assert scrubbed.request == request._replace(
        query='a=1&b=%20&&c', headers=kept_headers
    )
    assert remove_caller_key(scrubbed.request).unwrap() == (
        None,
        scrubbed.request,
    )
    empty_credentials = build_request(
        headers=[('Authorization', 'Bearer'), ('X-Api-Key', '')]
    )
    assert remove_caller_key(empty_credentials).unwrap() == (
        None,
        build_request(),
    )


def test_requests_that_cannot_be_read_in_one_way_are_refused():
    """Guards against authorising one key and forwarding another."""
    two_keys = [('X-Api-Key', 'key-one'), ('Cookie', 'api_key=key-two')]
    for request in (
        build_request(headers=two_keys),
        build_request('api_key=a%20b'),
        build_request(path='/a b'),
        build_request(path='work'),
        build_request('a=#'),
        build_request(path='/a?b', query='#'),
    ):
        assert remove_caller_key(request).unwrap_err().reason == 'bad-request'
