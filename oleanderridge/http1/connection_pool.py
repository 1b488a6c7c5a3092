"""Pool of idle connections to targets and to the store."""

from __future__ import annotations

import asyncio
import math
from collections import deque

from oleanderridge.http1.client import (
    NOT_SENT,
    AnswerLimits,
    ExchangeError,
    TargetConnection,
    UnfinishedBytes,
)


class ConnectionPool:
    """Pool of idle connections by address.

    Parameters
    ----------
    connect_timeout_s : float
        Timeout in seconds for opening a connection.
    idle_connections_max : int
        Maximum number of idle connections over all addresses.
    limits : AnswerLimits or None
        Bounds on what peers may send; None for the defaults.
    """

    def __init__(
        self,
        connect_timeout_s: float,
        idle_connections_max: int,
        limits: AnswerLimits | None = None,
    ) -> None:
        self._limits = limits or AnswerLimits()
        self._unfinished = UnfinishedBytes()
        self._connect_timeout_s = connect_timeout_s
        self._idle_connections_max = idle_connections_max
        self._idle_by_address: dict[str, deque[TargetConnection]] = {}
        self._idle_count = 0
        self.connections_opened = 0

    async def take(
        self, address: str, idle_max_s: float = math.inf
    ) -> TargetConnection:
        """Return an idle connection, or open a new one.

        Parameters
        ----------
        address : str
            IP address and port.
        idle_max_s : float
            Connections that have been idle for longer are closed instead.

        Returns
        -------
        TargetConnection
            To be returned with ``give`` after a complete exchange.

        Raises
        ------
        ExchangeError
            The connection failed; the kind is ``not-sent``.
        """
        loop = asyncio.get_running_loop()
        idle = self._idle_by_address.get(address)
        now = loop.time()
        while idle:
            connection = idle.pop()
            self._idle_count -= 1
            if not connection.is_reusable(now):
                connection.close()
                continue
            if now - connection.idle_since < idle_max_s:
                return connection
            connection.close()
        try:
            return await self._connect(address, self._connect_timeout_s)
        except (OSError, ValueError) as error:
            detail = str(error) or 'no connection in time'
            raise ExchangeError(NOT_SENT, detail) from error

    async def is_refused(self, address: str, timeout_s: float) -> bool:
        """Return whether nothing listens at an address.

        Parameters
        ----------
        address : str
            IP address and port.
        timeout_s : float
            Timeout in seconds.

        Returns
        -------
        bool
            False if a connection opens, which is kept, or if nothing answers.
        """
        try:
            connection = await self._connect(address, timeout_s)
        except ConnectionRefusedError:
            return True
        except (OSError, ValueError):
            return False
        connection.idle_since = asyncio.get_running_loop().time()
        self.give(address, connection)
        return False

    def unfinished_bytes(self) -> int:
        """Return the bytes of answers that are not complete yet."""
        return self._unfinished.total

    async def _connect(
        self, address: str, timeout_s: float
    ) -> TargetConnection:
        host, _, port = address.rpartition(':')
        self.connections_opened += 1
        async with asyncio.timeout(timeout_s):
            _, connection = await asyncio.get_running_loop().create_connection(
                self._new_connection, host, int(port)
            )
        return connection

    def _new_connection(self) -> TargetConnection:
        return TargetConnection(self._limits, self._unfinished)

    def give(self, address: str, connection: TargetConnection) -> None:
        """Return a connection to the pool after a complete exchange.

        Parameters
        ----------
        address : str
            IP address and port of the peer.
        connection : TargetConnection
            Discarded if it is closed, closed if the pool is full.
        """
        if connection.closed:
            return
        if self._idle_count >= self._idle_connections_max:
            connection.close()
            return
        self._idle_count += 1
        self._idle_by_address.setdefault(address, deque()).append(connection)

    def sweep(self) -> None:
        """Close connections that are past their keep-alive timeout."""
        now = asyncio.get_running_loop().time()
        for address, idle in tuple(self._idle_by_address.items()):
            usable = deque(
                connection for connection in idle if connection.is_reusable(now)
            )
            for connection in idle:
                if connection not in usable:
                    connection.close()
            self._idle_count += len(usable) - len(idle)
            if usable:
                self._idle_by_address[address] = usable
            else:
                del self._idle_by_address[address]

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle_by_address.values():
            for connection in idle:
                connection.close()
        self._idle_by_address.clear()
        self._idle_count = 0
