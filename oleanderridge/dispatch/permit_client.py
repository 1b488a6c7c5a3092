"""Obtains permits from the leader, or from the local placement."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from random import Random
from typing import Final, NamedTuple

from oleanderridge.dispatch.crash_evidence import UNKNOWN_REQUEST
from oleanderridge.dispatch.placement import (
    CRASHES_TARGETS,
    NO_TARGET,
    RATE_EXCEEDED,
    Placement,
)
from oleanderridge.dispatch.target_notices import limit_to_milli
from oleanderridge.gateway.compact import Compact
from oleanderridge.gateway.model import NO_NOTICE, TargetNotice
from oleanderridge.gateway.outcomes import Outcome
from oleanderridge.generated.fleet import (
    Acquire,
    Grant,
    Queued,
    Refused,
    Release,
)
from oleanderridge.telemetry.logs import log_event

_LOGGER = logging.getLogger(__name__)

# Timeouts of the successive copies of a request to the leader. After the last
# one the leader counts as unresponsive.
_REPLY_TIMEOUTS_S: Final = (0.035, 0.05, 0.07)
# Interval at which a queued request is resent to check that the leader still
# has it.
_QUEUE_POLL_INTERVAL_S: Final = 0.2
# How long an unresponsive leader is bypassed.
_LEADER_BYPASS_S: Final = 0.2
# When a caller may ask again whose host got no answer of any leader.
_ASK_AGAIN_AFTER_MS: Final = 250
# Lower part of a permit number; the address of the host is the upper part.
_SEQUENCE_BITS: Final = 32

SendMessage = Callable[[str, Compact], None]


class SendEvidence(NamedTuple):
    """What an attempt shows of its target and its request.

    ``notice`` is what the target said of itself; ``target_ended`` tells
    whether its process ended while it had the request.
    """

    notice: TargetNotice = NO_NOTICE
    fingerprint: int = UNKNOWN_REQUEST
    target_ended: bool = False


NO_EVIDENCE: Final = SendEvidence()


class LeaderLookup(NamedTuple):
    """Access to the current leader.

    ``current_leader`` returns the leader, ``on_unresponsive`` is called with
    a leader that answered no copy of a request, and ``peers_discovered`` is
    set once the host has discovered others or waited long enough for them.
    """

    current_leader: Callable[[], str]
    on_unresponsive: Callable[[str], None]
    peers_discovered: asyncio.Event


class PermitClient:
    """Requests permits for one host and tracks those that it holds.

    Parameters
    ----------
    host : str
        Address of this host.
    placement : Placement
        Local placement, used when this host is the leader or the leader
        does not answer.
    send : callable
        Sends a message to a host.
    leaders : LeaderLookup
        Provides the current leader.
    incarnation : int
        Distinguishes this process from earlier ones of the same host.
    """

    def __init__(
        self,
        host: str,
        placement: Placement,
        send: SendMessage,
        leaders: LeaderLookup,
        incarnation: int,
    ) -> None:
        self._leaders = leaders
        self._host = host
        self._placement = placement
        self._send = send
        self._future_by_permit: dict[int, asyncio.Future[Compact]] = {}
        self._acknowledged: set[int] = set()
        self._issuer_by_permit: dict[int, str] = {}
        self._leader_bypassed_until: float = 0
        # A leader remembers the permits of an earlier process of this host,
        # so each process numbers its own from another start.
        self._last_sequence = Random(incarnation).getrandbits(_SEQUENCE_BITS)
        self.fallbacks = 0
        address_bytes = (int(part) for part in host.split('.'))
        address_number = int.from_bytes(bytes(address_bytes), 'big')
        self._permit_prefix = address_number << _SEQUENCE_BITS

    def leader(self) -> str:
        """Return the current leader."""
        return self._leaders.current_leader()

    def granter(self, permit: int) -> str:
        """Return the host that granted a held permit."""
        return self._issuer_by_permit.get(permit, self._host)

    def held_permits(self, granter: str) -> list[int]:
        """Return the permits that a host has granted or may be granting."""
        held = [
            permit
            for permit, issuer in self._issuer_by_permit.items()
            if issuer == granter
        ]
        return held + [
            permit
            for permit in self._future_by_permit
            if permit not in self._issuer_by_permit
        ]

    def new_permit(self) -> int:
        """Return a permit number that is unique in the fleet."""
        self._last_sequence = (self._last_sequence + 1) % (1 << _SEQUENCE_BITS)
        return self._permit_prefix | self._last_sequence

    def on_message(self, message: Compact, sender: str) -> None:
        """Handle a reply from a leader.

        Parameters
        ----------
        message : Compact
            ``Grant``, ``Queued`` or ``Refused``.
        sender : str
            Host that sent it.
        """
        if not isinstance(message, (Grant, Queued, Refused)):
            return
        reply_future = self._future_by_permit.get(message.permit)
        if reply_future is None or reply_future.done():
            issuer = self._issuer_by_permit.get(message.permit)
            if isinstance(message, Grant) and issuer != sender:
                # The request has ended, so return the slot.
                release = Release(message.permit, Outcome.UNUSED, 0, 0)
                self._send(sender, release)
            return
        if isinstance(message, Queued):
            self._acknowledged.add(message.permit)
            return
        self._issuer_by_permit[message.permit] = sender
        reply_future.set_result(message)

    async def acquire(self, request: Acquire) -> Grant | Refused:
        """Return a permit or the reason for its refusal.

        Cancelling the call withdraws the request.

        Parameters
        ----------
        request : Acquire
            The request for a slot.

        Returns
        -------
        Grant or Refused
            A grant must be given back with ``release``.
        """
        loop = asyncio.get_running_loop()
        reply_future: asyncio.Future[Compact] = loop.create_future()
        self._future_by_permit[request.permit] = reply_future
        deadline = loop.time() + request.left_ms / 1000
        leader = self._host
        try:
            await self._leaders.peers_discovered.wait()
            leader = self._leaders.current_leader()
            reply = await self._request_permit(
                leader, request, reply_future, deadline
            )
        except asyncio.CancelledError:
            self._withdraw(request, leader)
            raise
        finally:
            self._future_by_permit.pop(request.permit, None)
            self._acknowledged.discard(request.permit)
        if isinstance(reply, Grant):
            return reply
        issuer = self._issuer_by_permit.pop(request.permit, None)
        if isinstance(reply, Refused):
            if reply.reason == CRASHES_TARGETS and issuer != self._host:
                evidence = self._placement.crash_evidence
                evidence.record_refusal(request.fingerprint, self._now())
            return reply
        self._withdraw(request, leader)
        return Refused(request.permit, NO_TARGET, 100)

    def release(
        self,
        grant: Grant,
        outcome: Outcome,
        latency_s: float,
        size: int,
        evidence: SendEvidence = NO_EVIDENCE,
    ) -> None:
        """Return a permit to the host that granted it.

        Parameters
        ----------
        grant : Grant
            The permit to release.
        outcome : Outcome
            Outcome of the attempt.
        latency_s : float
            Duration of the attempt in seconds.
        size : int
            Size of the answer in bytes.
        evidence : SendEvidence
            What the attempt shows of the target and the request.
        """
        notice = evidence.notice
        issuer = self._issuer_by_permit.pop(grant.permit, self._host)
        message = Release(
            grant.permit,
            outcome,
            int(latency_s * 1000),
            size,
            notice.leaving,
            limit_to_milli(notice.limit_per_s),
            math.ceil(notice.pause_s * 1000),
            evidence.fingerprint,
            evidence.target_ended,
        )
        if issuer == self._host:
            self.deliver_replies(self._placement.release(message, self._now()))
            return
        self._send(issuer, message)
        self._placement.observe(grant, self._host, message, self._now())

    def deliver_replies(self, replies: list[tuple[str, Compact]]) -> None:
        """Deliver replies for requests that were queued."""
        for host, message in replies:
            if host == self._host:
                self.on_message(message, self._host)
            else:
                self._send(host, message)

    async def _request_permit(
        self,
        leader: str,
        request: Acquire,
        reply_future: asyncio.Future[Compact],
        deadline: float,
    ) -> Compact | None:
        unresponsive = self._host
        if leader != self._host and self._now() >= self._leader_bypassed_until:
            reply = await self._request_from_leader(
                leader, request, reply_future, deadline
            )
            if reply is not None or self._now() >= deadline:
                return reply
            unresponsive = leader
            self._leaders.on_unresponsive(leader)
            self._leader_bypassed_until = self._now() + _LEADER_BYPASS_S
            self._send(leader, Release(request.permit, Outcome.UNUSED, 0, 0))
            log_event(
                _LOGGER,
                'leader-unanswering',
                logging.WARNING,
                leader=leader,
                permit=request.permit,
            )
        if leader != self._host:
            self.fallbacks += 1
        # This host itself may come to lead.
        successor = self._leaders.current_leader()
        reply = await self._request_locally(request, reply_future, deadline)
        if successor in {self._host, unresponsive}:
            return reply
        if not _is_rate_refusal(reply):
            return reply
        return await self._request_from_successor(
            successor, request, reply_future, deadline
        )

    async def _request_from_successor(
        self,
        successor: str,
        request: Acquire,
        reply_future: asyncio.Future[Compact],
        deadline: float,
    ) -> Compact | None:
        self._issuer_by_permit.pop(request.permit, None)
        answered = False
        try:
            reply = await self._request_from_leader(
                successor, request, reply_future, deadline
            )
            answered = reply is not None
        finally:
            if not answered:
                message = Release(request.permit, Outcome.UNUSED, 0, 0)
                self._send(successor, message)
        if reply is None:
            self._leaders.on_unresponsive(successor)
            return Refused(request.permit, RATE_EXCEEDED, _ASK_AGAIN_AFTER_MS)
        return reply

    async def _request_locally(
        self,
        request: Acquire,
        reply_future: asyncio.Future[Compact],
        deadline: float,
    ) -> Compact | None:
        reply = self._placement.acquire(request, self._now())
        if not isinstance(reply, Queued):
            self._issuer_by_permit[request.permit] = self._host
            return reply
        return await _wait_for_reply(reply_future, deadline - self._now())

    async def _request_from_leader(
        self,
        leader: str,
        request: Acquire,
        reply_future: asyncio.Future[Compact],
        deadline: float,
    ) -> Compact | None:
        for timeout_s in _REPLY_TIMEOUTS_S:
            self._send(leader, request)
            reply = await _wait_for_reply(reply_future, timeout_s)
            if reply is not None:
                return reply
            if request.permit in self._acknowledged:
                return await self._await_queued(
                    leader, request, reply_future, deadline
                )
        return None

    async def _await_queued(
        self,
        leader: str,
        request: Acquire,
        reply_future: asyncio.Future[Compact],
        deadline: float,
    ) -> Compact | None:
        missed_replies = 0
        while self._now() < deadline and missed_replies < len(
            _REPLY_TIMEOUTS_S
        ):
            timeout_s = min(
                _QUEUE_POLL_INTERVAL_S, max(0.001, deadline - self._now())
            )
            self._acknowledged.discard(request.permit)
            reply = await _wait_for_reply(reply_future, timeout_s)
            if reply is not None:
                return reply
            self._send(leader, request)
            reply = await _wait_for_reply(reply_future, _REPLY_TIMEOUTS_S[0])
            if reply is not None:
                return reply
            missed_replies = (
                0
                if request.permit in self._acknowledged
                else missed_replies + 1
            )
        return None

    def _withdraw(self, request: Acquire, leader: str) -> None:
        message = Release(request.permit, Outcome.UNUSED, 0, 0)
        self._issuer_by_permit.pop(request.permit, None)
        self.deliver_replies(self._placement.release(message, self._now()))
        if leader != self._host:
            self._send(leader, message)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


async def _wait_for_reply(
    reply_future: asyncio.Future[Compact], timeout_s: float
) -> Compact | None:
    done, _ = await asyncio.wait((reply_future,), timeout=max(0, timeout_s))
    return reply_future.result() if done else None


def _is_rate_refusal(reply: Compact | None) -> bool:
    return isinstance(reply, Refused) and reply.reason == RATE_EXCEEDED
