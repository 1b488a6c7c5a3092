"""Obtains permits from the leading host, else from the own placement."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Final, NamedTuple

from oleanderridge.dispatch.placement import NO_TARGET, Placement
from oleanderridge.gateway.compact import Compact
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

# A request to the leader is repeated after this long, and given up after
# the last of these waits.
_REPLY_WAITS_S: Final = (0.035, 0.05, 0.07)
# While queued, the leader is asked at this interval whether it still knows.
_POLL_S: Final = 0.2
# A leader that did not answer is passed over for so long.
_PASSED_OVER_S: Final = 0.2

Send = Callable[[str, Compact], None]


class Leaders(NamedTuple):
    """Whom a host asks for permits.

    ``leading`` returns the leading host, ``on_unanswering`` is called with a
    leader that answered none of a request's copies, and ``met`` is set once
    the host has heard of others or has waited long enough for them.
    """

    leading: Callable[[], str]
    on_unanswering: Callable[[str], None]
    met: asyncio.Event


class PermitClient:
    """Permits of one host that are asked for or held.

    Parameters
    ----------
    host : str
        Own address.
    placement : Placement
        Used when this host leads, and when no leader answers.
    send : callable
        Sends a message to a host.
    leaders : Leaders
        Whom to ask.
    """

    def __init__(
        self,
        host: str,
        placement: Placement,
        send: Send,
        leaders: Leaders,
    ) -> None:
        self._leaders = leaders
        self._host = host
        self._placement = placement
        self._send = send
        self._reply_by_permit: dict[int, asyncio.Future[Compact]] = {}
        self._acked: set[int] = set()
        self._granter_by_permit: dict[int, str] = {}
        self._passed_over_until: float = 0
        self._next = 0
        self.fallbacks = 0
        octets = (int(part) for part in host.split('.'))
        self._prefix = int.from_bytes(bytes(octets), 'big') << 32

    def leader(self) -> str:
        """Return the host that is asked first."""
        return self._leaders.leading()

    def granter(self, permit: int) -> str:
        """Return the host that granted a permit that is held."""
        return self._granter_by_permit.get(permit, self._host)

    def new_permit(self) -> int:
        """Return a number that no other permit of the fleet has."""
        self._next = (self._next + 1) & 0xFFFFFFFF
        return self._prefix | self._next

    def on_message(self, message: Compact, sender: str) -> None:
        """Take in an answer of a leader.

        Parameters
        ----------
        message : Compact
            ``Grant``, ``Queued`` or ``Refused``.
        sender : str
            Host that sent it.
        """
        if not isinstance(message, (Grant, Queued, Refused)):
            return
        reply = self._reply_by_permit.get(message.permit)
        if reply is None or reply.done():
            holder = self._granter_by_permit.get(message.permit)
            if isinstance(message, Grant) and holder != sender:
                # Nobody waits for it any more.
                unused = Release(message.permit, Outcome.UNUSED, 0, 0)
                self._send(sender, unused)
            return
        if isinstance(message, Queued):
            self._acked.add(message.permit)
            return
        self._granter_by_permit[message.permit] = sender
        reply.set_result(message)

    async def acquire(self, request: Acquire) -> Grant | Refused:
        """Return a permit, or why there is none.

        Cancelling gives the request up.

        Parameters
        ----------
        request : Acquire
            What is asked for.

        Returns
        -------
        Grant or Refused
            Release a grant with ``release``.
        """
        loop = asyncio.get_running_loop()
        reply: asyncio.Future[Compact] = loop.create_future()
        self._reply_by_permit[request.permit] = reply
        deadline = loop.time() + request.left_ms / 1000
        leader = self._host
        try:
            await self._leaders.met.wait()
            leader = self._leaders.leading()
            answered = await self._ask(leader, request, reply, deadline)
        except asyncio.CancelledError:
            self._abandon(request, leader)
            raise
        finally:
            self._reply_by_permit.pop(request.permit, None)
            self._acked.discard(request.permit)
        if isinstance(answered, Grant):
            return answered
        self._granter_by_permit.pop(request.permit, None)
        if isinstance(answered, Refused):
            return answered
        self._abandon(request, leader)
        return Refused(request.permit, NO_TARGET, 100)

    def release(
        self, grant: Grant, outcome: Outcome, latency_s: float, size: int
    ) -> None:
        """Give a permit back to the host that granted it.

        Parameters
        ----------
        grant : Grant
            The permit.
        outcome : Outcome
            What became of the send.
        latency_s : float
            Seconds from the send to its end.
        size : int
            Bytes of the answer.
        """
        granter = self._granter_by_permit.pop(grant.permit, self._host)
        message = Release(grant.permit, outcome, int(latency_s * 1000), size)
        if granter == self._host:
            self.answer_waiting(self._placement.release(message, self._now()))
            return
        self._send(granter, message)
        self._placement.observe(
            grant.target, self._host, outcome, latency_s, self._now()
        )

    def answer_waiting(self, sent: list[tuple[str, Compact]]) -> None:
        """Deliver what a placement decided later."""
        for host, message in sent:
            if host == self._host:
                self.on_message(message, self._host)
            else:
                self._send(host, message)

    async def _ask(
        self,
        leader: str,
        request: Acquire,
        reply: asyncio.Future[Compact],
        deadline: float,
    ) -> Compact | None:
        if leader != self._host and self._now() >= self._passed_over_until:
            answered = await self._ask_leader(leader, request, reply, deadline)
            if answered is not None or self._now() >= deadline:
                return answered
            self._leaders.on_unanswering(leader)
            self._passed_over_until = self._now() + _PASSED_OVER_S
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
        return await self._ask_own(request, reply, deadline)

    async def _ask_own(
        self,
        request: Acquire,
        reply: asyncio.Future[Compact],
        deadline: float,
    ) -> Compact | None:
        answered = self._placement.acquire(request, self._now())
        if not isinstance(answered, Queued):
            self._granter_by_permit[request.permit] = self._host
            return answered
        return await _until(reply, deadline - self._now())

    async def _ask_leader(
        self,
        leader: str,
        request: Acquire,
        reply: asyncio.Future[Compact],
        deadline: float,
    ) -> Compact | None:
        for wait_s in _REPLY_WAITS_S:
            self._send(leader, request)
            answered = await _until(reply, wait_s)
            if answered is not None:
                return answered
            if request.permit in self._acked:
                return await self._wait_queued(leader, request, reply, deadline)
        return None

    async def _wait_queued(
        self,
        leader: str,
        request: Acquire,
        reply: asyncio.Future[Compact],
        deadline: float,
    ) -> Compact | None:
        misses = 0
        while self._now() < deadline and misses < len(_REPLY_WAITS_S):
            wait_s = min(_POLL_S, max(0.001, deadline - self._now()))
            self._acked.discard(request.permit)
            answered = await _until(reply, wait_s)
            if answered is not None:
                return answered
            self._send(leader, request)
            answered = await _until(reply, _REPLY_WAITS_S[0])
            if answered is not None:
                return answered
            misses = 0 if request.permit in self._acked else misses + 1
        return None

    def _abandon(self, request: Acquire, leader: str) -> None:
        message = Release(request.permit, Outcome.UNUSED, 0, 0)
        self._granter_by_permit.pop(request.permit, None)
        self.answer_waiting(self._placement.release(message, self._now()))
        if leader != self._host:
            self._send(leader, message)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


async def _until(
    reply: asyncio.Future[Compact], wait_s: float
) -> Compact | None:
    done, _ = await asyncio.wait((reply,), timeout=max(0, wait_s))
    return reply.result() if done else None
