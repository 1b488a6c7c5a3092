"""One-way messages between hosts over pynng sockets."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Final

from pynng import Closed, NNGException, Pull0, Push0
from result import Err

from oleanderridge.generated.settings import Settings
from oleanderridge.telemetry.logs import log_event
from oleanderridge.telemetry.metrics import Metrics
from oleanderridge.wire import Message, decode, encode

_LOGGER = logging.getLogger(__name__)

# Covers a burst of permits in one turn of the loop; a connected peer that
# reads nothing loses messages beyond it instead of blocking the sender.
_SEND_BUFFER_MESSAGES: Final = 256
_RECONNECT_MIN_MS: Final = 100
_RECONNECT_MAX_MS: Final = 1000
_RECEIVE_MAX_BYTES: Final = 2 * 1024 * 1024


class PeerTransport:
    """Receives on one Pull socket and sends on one Push socket per peer.

    Parameters
    ----------
    settings : Settings
        ``peer.address`` and ``peer.port`` to listen on.
    metrics : Metrics
        Counts messages, bytes and drops.
    on_message : callable
        Called with each well-formed message.
    """

    def __init__(
        self,
        settings: Settings,
        metrics: Metrics,
        on_message: Callable[[Message], None],
    ) -> None:
        self._settings = settings
        self._metrics = metrics
        self._on_message = on_message
        self._inbound: Pull0 | None = None
        self._outbound_by_address: dict[str, Push0] = {}

    def listen(self) -> None:
        """Open the receiving socket.

        Raises
        ------
        pynng.NNGException
            The address cannot be bound.
        """
        peer = self._settings['peer']
        self._inbound = Pull0(
            listen=f'tcp://{peer["address"]}:{peer["port"]}',
            recv_max_size=_RECEIVE_MAX_BYTES,
        )

    async def receive_forever(self) -> None:
        """Deliver messages until the transport is closed.

        Close the transport to end this: pynng drops a cancellation that
        meets an arriving message, and the next receive would wait for ever.
        """
        if self._inbound is None:
            return
        while True:
            try:
                payload = await self._inbound.arecv()
            except Closed:
                return
            self._deliver(payload)

    def connect(self, addresses: frozenset[str]) -> None:
        """Keep one sending socket for each address, and no others.

        Parameters
        ----------
        addresses : frozenset of str
            Peer addresses as ``ip:port``.
        """
        for gone in set(self._outbound_by_address) - addresses:
            self._outbound_by_address.pop(gone).close()
        for added in addresses - set(self._outbound_by_address):
            socket = Push0(
                send_buffer_size=_SEND_BUFFER_MESSAGES,
                reconnect_time_min=_RECONNECT_MIN_MS,
                reconnect_time_max=_RECONNECT_MAX_MS,
            )
            socket.dial(f'tcp://{added}', block=False)
            self._outbound_by_address[added] = socket

    def send(self, address: str, message: Message) -> bool:
        """Hand a message to the socket of a peer without waiting.

        Parameters
        ----------
        address : str
            Peer address as ``ip:port``.
        message : Message
            A typed message.

        Returns
        -------
        bool
            False when the peer is not connected or its buffer is full; the
            message is dropped then, since a late one would mislead.
        """
        socket = self._outbound_by_address.get(address)
        if socket is None or not socket.pipes:
            self._metrics.peer_drops.inc({'cause': 'not-connected'})
            return False
        payload = encode(message)
        try:
            socket.send(payload, block=False)
        except NNGException:
            self._metrics.peer_drops.inc({'cause': 'buffer-full'})
            return False
        self._count('out', message['kind'], len(payload))
        return True

    def close(self) -> None:
        """Close every socket."""
        for socket in self._outbound_by_address.values():
            socket.close()
        self._outbound_by_address.clear()
        if self._inbound is not None:
            self._inbound.close()

    def _deliver(self, payload: bytes) -> None:
        decoded = decode(payload)
        if isinstance(decoded, Err):
            self._metrics.peer_drops.inc({'cause': 'malformed'})
            log_event(
                _LOGGER,
                'peer-message-malformed',
                logging.WARNING,
                error=decoded.err_value,
                size=len(payload),
            )
            return
        message = decoded.ok_value
        self._count('in', message['kind'], len(payload))
        self._on_message(message)

    def _count(self, direction: str, kind: str, size: int) -> None:
        self._metrics.peer_messages.inc({'direction': direction, 'kind': kind})
        self._metrics.peer_bytes.add({'direction': direction}, size)
