"""No form of the caller's key is left in an outgoing request."""

import re
from base64 import b64decode, b64encode, urlsafe_b64encode
from urllib.parse import quote, unquote_to_bytes

import pytest
from hypothesis import assume, example, given
from hypothesis import strategies as st

from oleanderridge.forward.scrub import InboundRequest, remove_caller_key

KEY_TEXT = ''.join(chr(code) for code in range(0x21, 0x7F))
keys = st.text(KEY_TEXT, min_size=8, max_size=24)


def percent(text):
    return ''.join(f'%{byte:02X}' for byte in text.encode())


FORMS = {
    'text': lambda key: key,
    'percent': percent,
    'quoted': lambda key: quote(key, safe=''),
    'twice': lambda key: quote(percent(key), safe=''),
    'lower': lambda key: percent(key).lower(),
    'basic': lambda key: b64encode(f'user:{key}'.encode()).decode(),
    'after one': lambda key: b64encode(f'x{key}y'.encode()).decode(),
    'url safe': lambda key: urlsafe_b64encode(f'xy{key}'.encode()).decode(),
    'quoted base64': lambda key: quote(b64encode(key.encode()), safe=''),
}
CARRIERS = {
    'bearer': lambda key: ('headers', ('Authorization', f'Bearer {key}')),
    'lower bearer': lambda key: (
        'headers',
        ('AUTHORIZATION', f'bearer  {key}'),
    ),
    'x-api-key': lambda key: ('headers', ('x-API-key', key)),
    'query': lambda key: ('query', f'api_key={quote(key, safe="")}'),
    'odd query': lambda key: ('query', f'a=1;api%5Fkey={percent(key)}'),
    'cookie': lambda key: ('headers', ('Cookie', f'a=1; api_key={key}')),
}
forms = st.sampled_from(sorted(FORMS))
carriers = st.sampled_from(sorted(CARRIERS))


def inbound(query='', headers=(), path='/work', body=b'', method='POST'):
    return InboundRequest('r-1', method, path, query, tuple(headers), body)


def decodings(data):
    """Return all that a target may read in some bytes, decoded our own way."""
    seen = {data}
    for _ in range(3):
        data = unquote_to_bytes(data)
        seen.add(data)
    for text in tuple(seen):
        for run in re.findall(rb'[A-Za-z0-9+/_-]{8,}', text):
            for start in range(4):
                part = run[start:].translate(bytes.maketrans(b'-_', b'+/'))
                part = part[: len(part) - (len(part) % 4 == 1)]
                seen.add(b64decode(part + b'=='))
    return seen


def outgoing(request):
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
    key='>>>???~~~>>>???', carrier='bearer', places=[('header', 'url safe')]
)
@given(
    key=keys,
    carrier=carriers,
    places=st.lists(
        st.tuples(
            st.sampled_from(
                ['header', 'name', 'query', 'cookie', 'path', 'body']
            ),
            forms,
        ),
        max_size=4,
    ),
)
def test_no_form_of_the_key_is_left(key, carrier, places):
    """Guards against keys that reach a target in another place or form."""
    assume(not set(key) & set(';,"\\'))
    kind, value = CARRIERS[carrier](key)
    headers = [value] if kind == 'headers' else []
    queries = [value] if kind == 'query' else []
    path, body = '/work', b'body'
    for place, form in places:
        text = FORMS[form](key)
        if place == 'header':
            headers.append(('X-Note', f'a {text} b'))
        elif place == 'name':
            headers.append((f'x-{text.lower()}', '1'))
        elif place == 'query':
            queries.append(f'note={quote(text, safe="%")}')
        elif place == 'cookie':
            headers.append(('Cookie', f'keep=1; note={text}'))
        elif place == 'path':
            path = f'/jobs/{quote(text, safe="%")}'
        else:
            body = f'note={text}'.encode()
    sent = inbound('&'.join(queries), headers, path, body)
    result = remove_caller_key(sent)
    if result.is_err():
        assert result.unwrap_err().reason in ('key-in-request', 'bad-request')
        assert result.unwrap_err().outcome == 'not-run'
        assert {'path', 'body', 'query'} & {place for place, _ in places}
        return
    assert result.unwrap().key == key
    for text in outgoing(result.unwrap().request):
        for decoded in decodings(text):
            assert key.encode() not in decoded
        assert key.lower().encode() not in text.lower()


@pytest.mark.parametrize('form', FORMS)
@pytest.mark.parametrize('place', ['path', 'body', 'idempotency-key'])
def test_key_where_it_cannot_be_removed_is_refused(place, form):
    """Guards against requests changed in meaning, or keys passed on."""
    text = FORMS[form]('Secret/Key+1')
    sent = inbound(
        path=f'/{quote(text, safe="%")}' if place == 'path' else '/work',
        body=text.encode() if place == 'body' else b'',
        headers=[
            ('X-Api-Key', 'Secret/Key+1'),
            *([('Idempotency-Key', text)] if place.startswith('id') else ()),
        ],
    )
    assert remove_caller_key(sent).unwrap_err().reason == 'key-in-request'


def test_key_in_a_long_body_is_refused():
    """Guards against a search that long bodies escape."""
    body = b'%' * 70000 + b'key-of-mill'
    sent = inbound(headers=[('X-Api-Key', 'key-of-mill')], body=body)
    assert remove_caller_key(sent).unwrap_err().reason == 'key-in-request'


def test_everything_else_is_passed_on_unchanged():
    """Guards against innocent parts lost together with the key."""
    kept = (
        ('Accept', '*/*'),
        ('Authorization', 'Basic dXNlcjpwYXNz'),
        ('Cookie', 'a=1; b="2"'),
        ('X-Note', 'key'),
    )
    sent = inbound(
        'a=1&api_key=secret-key&b=%20&&c',
        (*kept[:2], ('Cookie', 'a=1; api_key=secret-key; b="2"'), kept[3]),
        '/a%2Fb',
        b'\x00%zz',
    )
    clean = remove_caller_key(sent).unwrap()
    assert clean.key == 'secret-key'
    assert clean.request == sent._replace(query='a=1&b=%20&&c', headers=kept)
    assert remove_caller_key(clean.request).unwrap() == (None, clean.request)
    empty = inbound(headers=[('Authorization', 'Bearer'), ('X-Api-Key', '')])
    assert remove_caller_key(empty).unwrap() == (None, inbound())


def test_requests_that_cannot_be_read_in_one_way_are_refused():
    """Guards against two keys of which one is authorised, one passed on."""
    two = [('X-Api-Key', 'key-one'), ('Cookie', 'api_key=key-two')]
    for sent in (
        inbound(headers=two),
        inbound('api_key=a%20b'),
        inbound(path='/a b'),
        inbound(path='work'),
        inbound('a=#'),
        inbound(path='/a?b', query='#'),
    ):
        assert remove_caller_key(sent).unwrap_err().reason == 'bad-request'
