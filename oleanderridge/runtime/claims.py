"""Claims idempotency keys at the host that holds their records."""

from __future__ import annotations

from result import Err, Ok, Result

from oleanderridge.forward.idempotency import home_host_of_plain_key, parse_key
from oleanderridge.generated.messages import (
    KeyClaim,
    KeyClaimReply,
    KeyOutcome,
    StoredAnswer,
)
from oleanderridge.refusals import Refusal, refuse
from oleanderridge.runtime.node import Node
from oleanderridge.wire import Message

# A record holder in another zone answers within a few milliseconds; longer
# silence counts as unreachable, and the request is not run.
_CLAIM_TIMEOUT_S = 0.5


class ClaimClient:
    """Claims and completes keys, here or at another host.

    Parameters
    ----------
    node : Node
        The host.
    """

    def __init__(self, node: Node) -> None:
        self._node = node
        handlers = node.handler_by_kind
        handlers['key_claim'] = self._on_claim
        handlers['key_claim_reply'] = self._on_reply
        handlers['key_outcome'] = self._on_outcome

    async def claim(
        self,
        key: str,
        claim_id: str,
        workspace: str,
        fingerprint: str,
    ) -> Result[KeyClaimReply, Refusal]:
        """Claim a key for one request.

        Parameters
        ----------
        key : str
            Value of the ``Idempotency-Key`` header.
        claim_id : str
            Unique for this request.
        workspace : str
            Workspace that the key belongs to.
        fingerprint : str
            Digest of the request.

        Returns
        -------
        Result of KeyClaimReply, Refusal
            The state of the key; ``duplicate-unknown`` when its record
            cannot be reached.
        """
        parsed = parse_key(key)
        if isinstance(parsed, Err):
            return parsed
        home = self._home(key)
        if home is None:
            return Err(refuse('not-ready', 'no host list'))
        message = KeyClaim(
            kind='key_claim',
            host=self._node.host,
            claim_id=claim_id,
            key=key,
            workspace=workspace,
            fingerprint=fingerprint,
            bound_incarnation=parsed.ok_value.incarnation,
        )
        if home == self._node.host:
            return Ok(self._decide(message))
        return await self._claim_remotely(home, message)

    def complete(
        self,
        key: str,
        claim_id: str,
        workspace: str,
        state: str,
        answer: StoredAnswer | None,
    ) -> None:
        """Record the outcome of a claimed request.

        Parameters
        ----------
        key : str
            The claimed key.
        claim_id : str
            Id under which it was claimed.
        workspace : str
            Workspace that the key belongs to.
        state : str
            ``done``, ``unknown`` or ``not-run``.
        answer : StoredAnswer or None
            What a repeated request is answered with.
        """
        home = self._home(key)
        if home is None:
            return
        message = KeyOutcome(
            kind='key_outcome',
            host=self._node.host,
            claim_id=claim_id,
            key=key,
            workspace=workspace,
            state=state,
        )
        if answer is not None:
            message['answer'] = answer
        if home == self._node.host:
            self._on_outcome(message)
            return
        self._node.send(home, message)

    async def _claim_remotely(
        self,
        home: str,
        message: KeyClaim,
    ) -> Result[KeyClaimReply, Refusal]:
        node = self._node
        claim_id = message['claim_id']
        node.pending.open(claim_id)
        try:
            reply = None
            if node.send(home, message):
                reply = await node.pending.receive(claim_id, _CLAIM_TIMEOUT_S)
        finally:
            node.pending.close(claim_id)
        if reply is not None:
            return Ok(reply)
        # The claim may have arrived; freeing it lets a later attempt run.
        self.complete(
            message['key'],
            claim_id,
            message['workspace'],
            'not-run',
            None,
        )
        detail = f'the record of this key is at {home}, which does not answer'
        return Err(refuse('duplicate-unknown', detail))

    def _home(self, key: str) -> str | None:
        name = parse_key(key).unwrap()
        if name.host:
            return name.host
        current = self._node.membership.current_list()
        return None if current is None else home_host_of_plain_key(current, key)

    def _decide(self, message: Message) -> KeyClaimReply:
        node = self._node
        now = node.clock()
        return node.register.claim(
            message,
            now,
            home_since(node, message['key']),
            node.lease_until() > now,
        )

    def _on_claim(self, message: Message) -> None:
        self._node.send(message['host'], self._decide(message))

    def _on_reply(self, message: Message) -> None:
        delivered = self._node.pending.deliver(message['claim_id'], message)
        if not delivered:
            self._node.metrics.peer_drops.inc({'cause': 'late-reply'})

    def _on_outcome(self, message: Message) -> None:
        self._node.register.complete(message, self._node.clock())


def home_since(node: Node, key: str) -> float:
    """Return since when this host is the home of a plain key.

    Parameters
    ----------
    node : Node
        The host with its history of accepted lists.
    key : str
        An idempotency key.

    Returns
    -------
    float
        Monotonic seconds: ``hold_s`` after the oldest list in an unbroken
        run of lists that name this host was accepted, since an earlier home
        may claim under its lease until then; infinity when the current list
        names another host.
    """
    since = float('inf')
    for accepted_at, host_list in reversed(node.list_history):
        if home_host_of_plain_key(host_list, key) != node.host:
            break
        since = accepted_at + node.settings['membership']['hold_s']
    return since
