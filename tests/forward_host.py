"""A forwarder with the rest of the host replaced by recorded callables."""

import asyncio
import time
from contextlib import asynccontextmanager
from itertools import count

from result import Err, Ok

from oleanderridge.forward.client import TargetClient
from oleanderridge.forward.forwarder import Forwarder, Permit, Ports, Token
from oleanderridge.forward.idempotency import KeyRegister
from oleanderridge.forward.scrub import InboundRequest
from oleanderridge.refusals import refuse

SETTINGS = {
    'host': 'host-a',
    'forward': {
        'connect_timeout_s': 0.3,
        'attempts_max': 3,
        'key_lifetime_s': 600,
        'keys_max': 100,
        'stored_answer_limit_bytes': 4096,
    },
}
SERVICE = {'name': 'svc', 'timeout_ms': 1500, 'buffer_limit_bytes': 65536}
_ids = count(1)


def request(method='GET', path='/work', headers=(), body=b'', query=''):
    headers = (('X-Api-Key', 'key-of-mill'), *headers)
    name = f'r-{next(_ids)}'
    return InboundRequest(name, method, path, query, tuple(headers), body)


class Host:
    """The ports, and what the forwarder did with them."""

    def __init__(self, urls, service=SERVICE, register=None):
        self.urls = urls
        self.service = service
        self.route = {'prefix': '/', 'service': 'svc'}
        self.index = 'allowed'
        self.released = []
        self.refunded = []
        self.acquired = 0
        self.permit_wait = None
        self.register = register or KeyRegister(SETTINGS, 1, -1e6)
        self.client = TargetClient(SETTINGS)
        self.forwarder = Forwarder(SETTINGS, self.client, self._ports())

    def _ports(self):
        return Ports(
            match=lambda _index, _method, _path: self.route,
            authorise=self._authorise,
            service=lambda _name: self.service,
            admit=self._admit,
            acquire=self._acquire,
            release=lambda permit, outcome, _ms: self.released.append(outcome),
            refund=self.refunded.append,
            claim=self._claim,
            complete=self._complete,
            index=lambda: self.index,
            clock=time.monotonic,
        )

    def _authorise(self, index, _route, _key):
        if index != 'allowed':
            return Err(refuse('key-unknown'))
        return Ok('mill')

    async def _admit(self, workspace):
        return Ok(Token(workspace, ''))

    async def _acquire(self, service, _id, _workspace, deadline, _excluded):
        if self.permit_wait is not None:
            await self.permit_wait.wait()
        url = self.urls[self.acquired % len(self.urls)]
        self.acquired += 1
        name = f'target-{self.acquired}'
        return Ok(Permit(name, service, name, url, deadline + 1))

    async def _claim(self, key, claim_id, workspace, fingerprint):
        message = {
            'claim_id': claim_id,
            'key': key,
            'workspace': workspace,
            'fingerprint': fingerprint,
        }
        now = time.monotonic()
        return Ok(self.register.claim(message, now, -1e6, True))

    def _complete(self, key, claim_id, workspace, state, answer):
        message = {
            'claim_id': claim_id,
            'key': key,
            'workspace': workspace,
            'state': state,
        }
        if answer is not None:
            message['answer'] = answer
        self.register.complete(message, time.monotonic())

    async def until(self, condition):
        """Wait until the condition holds, at most 3 s."""
        for _ in range(600):
            if condition():
                return
            await asyncio.sleep(0.005)
        raise AssertionError('the condition did not come true')


@asynccontextmanager
async def host(*urls, **service):
    running = Host(urls, {**SERVICE, **service})
    await running.client.open()
    try:
        yield running
    finally:
        await running.client.close()


def header(reply, name):
    values = [text for key, text in reply.headers if key.lower() == name]
    assert len(values) < 2, values
    return values[0] if values else ''
