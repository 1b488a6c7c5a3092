"""Gets a slot at a target, from the service's broker or on its own."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from uuid import uuid4

from result import Err, Ok, Result

from oleanderridge.dispatch.broker import broker_host
from oleanderridge.forward.forwarder import Permit
from oleanderridge.generated.messages import (
    PermitCancel,
    PermitRequest,
    PermitReturn,
)
from oleanderridge.refusals import Refusal, refuse
from oleanderridge.runtime.node import Node
from oleanderridge.wire import Message, Outgoing

_MS_PER_S = 1000
# A queued request is repeated so that a new broker learns of it and a lost
# grant is sent again.
_KEEP_ALIVE_S = 0.5
_FALLBACK_POLL_S = 0.005
_LOCAL_PREFIX = 'local:'


class PermitClient:
    """Asks brokers for slots and answers hosts that ask this one.

    Parameters
    ----------
    node : Node
        The host.
    """

    def __init__(self, node: Node) -> None:
        self._node = node
        self._broker_by_permit: dict[str, str] = {}
        handlers = node.handler_by_kind
        handlers['permit_request'] = self._on_broker_message
        handlers['permit_cancel'] = self._on_broker_message
        handlers['permit_return'] = self._on_broker_message
        handlers['permit_queued'] = self._on_reply
        handlers['permit_refusal'] = self._on_reply
        handlers['permit_grant'] = self._on_grant

    async def acquire(
        self,
        service: str,
        request_id: str,
        workspace: str,
        deadline: float,
        excluded: Collection[str],
    ) -> Result[Permit, Refusal]:
        """Return a permit for one attempt at a target.

        Parameters
        ----------
        service : str
            Service of the route.
        request_id : str
            Request that the attempt belongs to.
        workspace : str
            Workspace for fair ordering.
        deadline : float
            Monotonic time in seconds after which a slot is of no use.
        excluded : collection of str
            Targets that were tried already.

        Returns
        -------
        Result of Permit, Refusal
            The permit, or a refusal that is always ``not-run``.
        """
        node = self._node
        started = node.clock()
        broker = broker_host(service, node.members())
        # Each attempt has an id of its own: a broker that missed the return
        # of an earlier permit would repeat that one.
        attempt_id = f'{request_id}.{uuid4().hex}'
        outcome = None
        if broker is not None:
            request = PermitRequest(
                kind='permit_request',
                host=node.host,
                incarnation=node.incarnation,
                zone=node.settings['zone'],
                request_id=attempt_id,
                service=service,
                workspace=workspace,
                deadline_ms=0,
                excluded=sorted(excluded),
            )
            outcome = await self._ask_broker(broker, request, deadline)
        if outcome is None:
            outcome = await self._acquire_alone(
                service,
                attempt_id,
                deadline,
                excluded,
            )
        waited = node.clock() - started
        node.metrics.queue_seconds.observe({'service': service}, waited)
        if isinstance(outcome, Err):
            reason = outcome.err_value.reason
            node.refusals_by_workspace[workspace, reason] += 1
        return outcome

    def release(self, permit: Permit, outcome: str, latency_ms: float) -> None:
        """Give a slot back and report what happened at the target.

        Parameters
        ----------
        permit : Permit
            The permit of the attempt.
        outcome : str
            As in ``PermitReturn``.
        latency_ms : float
            Time from the request to the end of the answer.
        """
        node = self._node
        node.metrics.attempts.inc(
            {
                'service': permit.service,
                'outcome': outcome,
            }
        )
        if permit.permit_id.startswith(_LOCAL_PREFIX):
            node.fallback.record_outcome(
                permit.service,
                permit.target,
                outcome,
                latency_ms,
                node.clock(),
            )
            return
        broker = self._broker_by_permit.pop(permit.permit_id, None)
        if broker is not None:
            self._send_return(broker, permit, outcome, latency_ms)

    async def _ask_broker(
        self,
        broker: str,
        request: PermitRequest,
        deadline: float,
    ) -> Result[Permit, Refusal] | None:
        node = self._node
        request_id = request['request_id']
        node.pending.open(request_id)
        settled = False
        try:
            outcome = await self._converse(broker, request, deadline)
            settled = outcome is not None
            return outcome
        finally:
            self._abandon(broker, request, settled)

    async def _converse(
        self,
        broker: str,
        request: PermitRequest,
        deadline: float,
    ) -> Result[Permit, Refusal] | None:
        node = self._node
        timeout_s = node.settings['dispatch']['broker_timeout_s']
        while True:
            sent_at = node.clock()
            left_s = deadline - sent_at
            if left_s <= 0:
                return None
            request['deadline_ms'] = max(1, int(left_s * _MS_PER_S))
            if not node.send(broker, request):
                return None
            reply = await node.pending.receive(
                request['request_id'],
                timeout_s,
            )
            if reply is not None and reply['kind'] == 'permit_queued':
                reply = await self._wait_queued(request, left_s)
                if reply is None:
                    continue
            if reply is None or _hands_back(reply):
                return None
            return self._permit_of(broker, request, reply, sent_at)

    async def _wait_queued(
        self,
        request: PermitRequest,
        left_s: float,
    ) -> Message | None:
        wait_s = min(_KEEP_ALIVE_S, left_s)
        ends_at = self._node.clock() + wait_s
        while True:
            reply = await self._node.pending.receive(
                request['request_id'],
                max(0, ends_at - self._node.clock()),
            )
            if reply is None or reply['kind'] != 'permit_queued':
                return reply

    def _permit_of(
        self,
        broker: str,
        request: PermitRequest,
        reply: Message,
        sent_at: float,
    ) -> Result[Permit, Refusal]:
        if reply['kind'] == 'permit_refusal':
            return Err(refuse(reply['reason'], request['service']))
        permit = Permit(
            permit_id=reply['permit_id'],
            service=request['service'],
            target=reply['target'],
            url=self._node.url_by_target.get(reply['target'], ''),
            expires_at=sent_at + reply['lifetime_ms'] / _MS_PER_S,
        )
        if not permit.url:
            self._send_return(broker, permit, 'unused', 0)
            return Err(refuse('no-target', permit.target))
        self._broker_by_permit[permit.permit_id] = broker
        return Ok(permit)

    async def _acquire_alone(
        self,
        service: str,
        request_id: str,
        deadline: float,
        excluded: Collection[str],
    ) -> Result[Permit, Refusal]:
        node = self._node
        while node.clock() < deadline:
            target = node.fallback.pick(service, excluded, node.clock())
            if target is not None:
                return Ok(
                    Permit(
                        permit_id=f'{_LOCAL_PREFIX}{request_id}',
                        service=service,
                        target=target,
                        url=node.url_by_target[target],
                        expires_at=deadline,
                    ),
                )
            await asyncio.sleep(_FALLBACK_POLL_S)
        return Err(refuse('deadline', f'no slot at service {service}'))

    def _abandon(
        self,
        broker: str,
        request: PermitRequest,
        settled: bool,
    ) -> None:
        node = self._node
        for reply in node.pending.close(request['request_id']):
            if reply['kind'] == 'permit_grant':
                self._return_unused(broker, reply)
        if settled:
            return
        cancel = PermitCancel(
            kind='permit_cancel',
            host=node.host,
            request_id=request['request_id'],
            service=request['service'],
        )
        node.send(broker, cancel)

    def _on_broker_message(self, message: Message) -> None:
        node = self._node
        now = node.clock()
        decide_by_kind = {
            'permit_request': node.broker.on_request,
            'permit_cancel': node.broker.on_cancel,
            'permit_return': node.broker.on_return,
        }
        outgoing = decide_by_kind[message['kind']](message, now)
        node.send_all(_without_overtaken(outgoing))

    def _on_reply(self, message: Message) -> None:
        self._node.pending.deliver(message['request_id'], message)

    def _on_grant(self, message: Message) -> None:
        if message['permit_id'] in self._broker_by_permit:
            return
        if not self._node.pending.deliver(message['request_id'], message):
            self._return_unused(message['host'], message)

    def _return_unused(self, broker: str, grant: Message) -> None:
        permit_id = grant['permit_id']
        if permit_id in self._broker_by_permit:
            return
        permit = Permit(permit_id, '', grant['target'], '', 0)
        self._send_return(broker, permit, 'unused', 0)

    def _send_return(
        self,
        broker: str,
        permit: Permit,
        outcome: str,
        latency_ms: float,
    ) -> None:
        node = self._node
        service = permit.service
        if not service:
            service = _service_of(node, permit.target)
        message = PermitReturn(
            kind='permit_return',
            host=node.host,
            zone=node.settings['zone'],
            permit_id=permit.permit_id,
            service=service,
            target=permit.target,
            outcome=outcome,
            latency_ms=latency_ms,
        )
        node.send(broker, message)


def _without_overtaken(outgoing: list[Outgoing]) -> list[Outgoing]:
    """Leave out notices of queueing that a grant follows at once."""
    granted = {
        item.message['request_id']
        for item in outgoing
        if item.message['kind'] == 'permit_grant'
    }
    return [
        item
        for item in outgoing
        if item.message['kind'] != 'permit_queued'
        or item.message['request_id'] not in granted
    ]


def _hands_back(reply: Message) -> bool:
    return (
        reply['kind'] == 'permit_refusal'
        and reply['reason'] == 'broker-leaving'
    )


def _service_of(node: Node, target: str) -> str:
    for name, service in node.services_by_name.items():
        if any(entry['name'] == target for entry in service['targets']):
            return name
    return ''
