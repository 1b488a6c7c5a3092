"""Gets a token for a request, from the own bucket or from a minter."""

from __future__ import annotations

from uuid import uuid4

from result import Err, Ok, Result

from oleanderridge.admission.buckets import grant_usable
from oleanderridge.forward.forwarder import Token
from oleanderridge.generated.messages import TokenRequest
from oleanderridge.refusals import Refusal, refuse
from oleanderridge.runtime.node import Node
from oleanderridge.wire import Message

_MS_PER_S = 1000
_REMEMBERED_MAX = 4096
# A lease comes back with the next heartbeats.
_NO_LEASE_RETRY_S = 1


class TokenClient:
    """Asks minters for tokens and remembers which of them are empty.

    Parameters
    ----------
    node : Node
        The host.
    """

    def __init__(self, node: Node) -> None:
        self._node = node
        self._empty_until_by_pair: dict[tuple[str, str], float] = {}
        node.handler_by_kind['token_request'] = self.on_token_request
        node.handler_by_kind['token_reply'] = self.on_token_reply

    def on_token_request(self, message: Message) -> None:
        """Answer a peer that asks for a token.

        Parameters
        ----------
        message : Message
            A ``token_request``.
        """
        node = self._node
        reply = node.buckets.on_token_request(
            message,
            node.clock(),
            node.lease_until(),
        )
        node.send_all([reply])

    def on_token_reply(self, message: Message) -> None:
        """Pass a minter's reply to the request that waits for it.

        Parameters
        ----------
        message : Message
            A ``token_reply``.
        """
        self._node.pending.deliver(message['request_id'], message)

    async def admit(self, workspace: str) -> Result[Token, Refusal]:
        """Return one token of a workspace.

        Parameters
        ----------
        workspace : str
            Workspace that pays.

        Returns
        -------
        Result of Token, Refusal
            The token; or ``rate-exceeded`` when minters are empty, and
            ``no-lease`` when none of them can say.
        """
        node = self._node
        sources = node.buckets.sources(
            workspace,
            node.clock(),
            node.lease_until(),
            node.rng,
        )
        waits: list[float] = []
        for source in self._reachable(workspace, sources, waits):
            if source == node.host:
                token = self._take(workspace, waits)
            else:
                token = await self._ask(workspace, source, waits)
            if token is not None:
                return Ok(token)
        if waits:
            return self._refuse(workspace, 'rate-exceeded', min(waits))
        return self._refuse(workspace, 'no-lease', _NO_LEASE_RETRY_S)

    def _refuse(
        self,
        workspace: str,
        reason: str,
        retry_after_s: float,
    ) -> Err[Refusal]:
        self._node.metrics.tokens.inc({'result': reason})
        self._node.refusals_by_workspace[workspace, reason] += 1
        return Err(refuse(reason, f'workspace {workspace}', retry_after_s))

    def refund(self, token: Token) -> None:
        """Give back the token of a request that did not run.

        Parameters
        ----------
        token : Token
            A granted token is dropped: only its minter could count it.
        """
        if not token.host:
            self._node.buckets.refund(token.workspace, self._node.clock())

    def _reachable(
        self,
        workspace: str,
        sources: tuple[str, ...],
        waits: list[float],
    ) -> list[str]:
        node = self._node
        now = node.clock()
        alive = {member.host for member in node.members() if member.alive}
        chosen = []
        for minter in sources:
            empty_until = self._empty_until_by_pair.get((workspace, minter), 0)
            if empty_until > now:
                waits.append(empty_until - now)
            elif minter == node.host or minter in alive:
                chosen.append(minter)
        return chosen

    def _take(self, workspace: str, waits: list[float]) -> Token | None:
        node = self._node
        taken = node.buckets.take(workspace, node.clock(), node.lease_until())
        if taken.status == 'taken':
            node.metrics.tokens.inc({'result': 'local'})
            return Token(workspace, '')
        if taken.status == 'empty':
            waits.append(taken.retry_after_s)
        return None

    async def _ask(
        self,
        workspace: str,
        minter: str,
        waits: list[float],
    ) -> Token | None:
        reply = await self._request(workspace, minter)
        if reply is not None and reply['granted']:
            self._node.metrics.tokens.inc({'result': 'granted'})
            return Token(workspace, minter)
        if reply is not None and reply['reason'] != 'no-lease':
            waits.append(reply['retry_after_ms'] / _MS_PER_S)
        return None

    async def _request(self, workspace: str, minter: str) -> Message | None:
        node = self._node
        request_id = uuid4().hex
        sent_at = node.clock()
        request = TokenRequest(
            kind='token_request',
            host=node.host,
            incarnation=node.incarnation,
            request_id=request_id,
            workspace=workspace,
        )
        node.pending.open(request_id)
        try:
            if not node.send(minter, request):
                return None
            reply = await node.pending.receive(
                request_id,
                node.settings['admission']['request_timeout_s'],
            )
        finally:
            node.pending.close(request_id)
        return self._checked(reply, workspace, minter, sent_at)

    def _checked(
        self,
        reply: Message | None,
        workspace: str,
        minter: str,
        sent_at: float,
    ) -> Message | None:
        now = self._node.clock()
        if reply is None:
            return None
        if reply['granted']:
            usable = grant_usable(sent_at, now, self._node.settings)
            return reply if usable else None
        if len(self._empty_until_by_pair) > _REMEMBERED_MAX:
            self._empty_until_by_pair.clear()
        retry_after_s = reply['retry_after_ms'] / _MS_PER_S
        self._empty_until_by_pair[workspace, minter] = now + retry_after_s
        return reply
