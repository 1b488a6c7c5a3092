"""Runs HTTP applications inside the loop of the host."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from typing import Any

from uvicorn import Config, Server
from uvicorn.protocols.http.h11_impl import H11Protocol

from oleanderridge.http1.parse_turns import limit_reads

_KEEP_ALIVE_S = 75
_BACKLOG = 2048
# What h11 parses in one step: 680 chunks of one byte.
_READ_BYTES = 4096


class _ShortReadsProtocol(H11Protocol):
    """A connection whose caller can't hold the loop with many small events."""

    def connection_made(self, transport: Any) -> None:
        limit_reads(transport, _READ_BYTES)
        super().connection_made(transport)


class LoopServer(Server):
    """A uvicorn server that leaves signals to the host."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers: the host drains before it stops."""
        yield


def make_server(app: Callable, address: str, port: int) -> LoopServer:
    """Return a server for an ASGI application.

    Parameters
    ----------
    app : callable
        ASGI application.
    address : str
        IP address to listen on.
    port : int
        TCP port to listen on.

    Returns
    -------
    LoopServer
        Not yet started; its ``serve`` runs until ``should_exit``.
    """
    config = Config(
        app,
        host=address,
        port=port,
        http=_ShortReadsProtocol,
        ws='none',
        lifespan='off',
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        timeout_keep_alive=_KEEP_ALIVE_S,
        backlog=_BACKLOG,
    )
    return LoopServer(config)
