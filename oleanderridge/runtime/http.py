"""Runs HTTP applications inside the loop of the host."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator

from uvicorn import Config, Server

_KEEP_ALIVE_S = 75
_BACKLOG = 2048


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
        http='h11',
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
