"""The HTTP interface that callers use."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any, Final
from uuid import uuid4

from falcon.asgi import App, Request, Response
from result import Err

from oleanderridge.admission.keys import hash_key
from oleanderridge.admission.shares import minters
from oleanderridge.forward.forwarder import Forwarder
from oleanderridge.forward.reply import Reply, refusal_reply
from oleanderridge.forward.scrub import InboundRequest, remove_caller_key
from oleanderridge.forward.stream import TargetStream
from oleanderridge.generated.bundle import Workspace
from oleanderridge.refusals import refuse
from oleanderridge.resolver.answers import resolve
from oleanderridge.runtime.node import Node
from oleanderridge.telemetry.traces import server_span

_RESOLVE_PATH: Final = '/.oleanderridge/resolve'
_RECEIVE: Final = 'oleanderridge.receive'
_READ_BYTES: Final = 65536
# Falcon refuses to treat these as ordinary headers of a response.
_COOKIE_HEADER: Final = 'set-cookie'


def build_caller_app(node: Node, forwarder: Forwarder) -> Callable:
    """Return the ASGI application for callers.

    Parameters
    ----------
    node : Node
        The host.
    forwarder : Forwarder
        Handles every path that is not the resolver's.

    Returns
    -------
    callable
        ASGI application.
    """
    app = App()
    app.req_options.auto_parse_form_urlencoded = False
    app.add_sink(_make_sink(node, forwarder), '/')

    async def application(scope: dict, receive: Any, send: Any) -> None:
        scope[_RECEIVE] = receive
        await app(scope, receive, send)

    return application


def _make_sink(node: Node, forwarder: Forwarder) -> Callable:
    async def sink(req: Request, resp: Response, **_ignored: Any) -> None:
        if req.path == _RESOLVE_PATH:
            _answer_resolve(node, req, resp)
            return
        request = await _read_request(node, req)
        started = node.clock()
        with server_span('request', _header_map(request)) as span:
            span.set_attribute('http.request.method', request.method)
            span.set_attribute('oleanderridge.request_id', request.request_id)
            reply = await _handle_connected(node, forwarder, req, request)
            span.set_attribute('http.response.status_code', reply.status)
        _observe(node, reply, node.clock() - started)
        _write_reply(resp, reply)

    return sink


async def _handle_connected(
    node: Node,
    forwarder: Forwarder,
    req: Request,
    request: InboundRequest | None,
) -> Reply:
    if len(request.body) > node.settings['forward']['body_limit_bytes']:
        refusal = refuse('bad-request', 'the body is over the size limit')
        return refusal_reply(request, refusal)
    if node.stopping:
        refusal = refuse('stopping', 'the host is stopping', 0)
        return refusal_reply(request, refusal)
    if node.index is None:
        refusal = refuse('not-ready', 'no bundle has been accepted', 1)
        return refusal_reply(request, refusal)
    handling = asyncio.ensure_future(forwarder.handle(request))
    leaving = asyncio.ensure_future(_disconnected(req.scope[_RECEIVE]))
    # The server ignores what is sent to a caller that has gone, so the
    # request and its stream are told of it here.
    leaving.add_done_callback(lambda _done: handling.cancel())
    try:
        reply = await handling
    except BaseException:
        leaving.cancel()
        raise
    if isinstance(reply.stream, TargetStream):
        leaving.add_done_callback(partial(_abandon, reply.stream))
    else:
        leaving.cancel()
    return reply


def _abandon(stream: TargetStream, _leaving: asyncio.Future) -> None:
    stream.abandon('the caller disconnected')


async def _disconnected(receive: Callable[[], Awaitable[dict]]) -> None:
    while True:
        event = await receive()
        if event['type'] == 'http.disconnect':
            return


async def _read_request(node: Node, req: Request) -> InboundRequest:
    limit = node.settings['forward']['body_limit_bytes']
    body = bytearray()
    while len(body) <= limit:
        part = await req.stream.read(_READ_BYTES)
        if not part:
            break
        body += part
    return _head_of(req)._replace(body=bytes(body))


def _head_of(req: Request) -> InboundRequest:
    scope = req.scope
    raw_path = scope.get('raw_path') or scope['path'].encode()
    return InboundRequest(
        request_id=uuid4().hex,
        method=req.method,
        path=raw_path.decode('latin-1'),
        query=scope['query_string'].decode('latin-1'),
        headers=tuple(
            (name.decode('latin-1').lower(), value.decode('latin-1'))
            for name, value in scope['headers']
        ),
        body=b'',
    )


def _header_map(request: InboundRequest) -> dict[str, str]:
    return dict(request.headers)


def _observe(node: Node, reply: Reply, duration_s: float) -> None:
    node.metrics.request_seconds.observe({}, duration_s)
    reason = dict(reply.headers).get('Oleanderridge-Reason')
    outcome = 'refused' if reason else 'answered'
    node.metrics.requests.inc({'outcome': outcome})
    if reason:
        node.metrics.refusals.inc({'reason': reason})


def _write_reply(resp: Response, reply: Reply) -> None:
    resp.status = reply.status
    for name, value in reply.headers:
        if name.lower() == _COOKIE_HEADER:
            resp.append_header(name, value)
        else:
            resp.set_header(name, value)
    if reply.stream is None:
        resp.data = reply.body or b''
    else:
        resp.stream = reply.stream


def _answer_resolve(node: Node, req: Request, resp: Response) -> None:
    service = req.get_param('service') or ''
    if node.index is None or not node.services_by_name:
        refusal = refuse('not-ready', 'no bundle has been accepted', 1)
        _write_reply(resp, refusal_reply(_head_of(req), refusal))
        return
    if service and service not in node.services_by_name:
        refusal = refuse('no-route', f'there is no service {service!r}')
        _write_reply(resp, refusal_reply(_head_of(req), refusal))
        return
    workspace = _workspace_of(node, req)
    answer = resolve(
        node.members(),
        _minters_of(node, workspace),
        node.settings,
        node.rng,
    )
    resp.media = {
        'addresses': list(answer.addresses),
        'ttl_s': answer.ttl_s,
    }


def _minters_of(node: Node, workspace: Workspace | None) -> tuple[str, ...]:
    current = node.membership.current_list()
    if current is None or workspace is None:
        return ()
    return minters(
        current,
        workspace['name'],
        workspace['burst'],
        node.settings['admission']['minters_max'],
    )


def _workspace_of(node: Node, req: Request) -> Workspace | None:
    scrubbed = remove_caller_key(_head_of(req)._replace(path='/'))
    if isinstance(scrubbed, Err) or not scrubbed.ok_value.key:
        return None
    key_hash = hash_key(scrubbed.ok_value.key)
    return node.index.workspace_by_hash.get(key_hash)
