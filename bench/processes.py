"""Starts, signals and always stops processes; waits on conditions."""

from __future__ import annotations

import asyncio
import ctypes
import os
import signal
import socket
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple

_POLL_S = 0.02
_TERMINATION_S = 2
_RUN_MODULE = '-m'
_PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None)


async def wait_until(
    condition: Callable[[], Awaitable[bool]], timeout_s: float, what: str
) -> float:
    """Poll a condition until it holds.

    Parameters
    ----------
    condition : callable
        Coroutine function; an ``OSError`` it raises counts as false.
    timeout_s : float
        Longest time to wait, in seconds.
    what : str
        The condition in words, for the error.

    Returns
    -------
    float
        Seconds waited.

    Raises
    ------
    TimeoutError
        The condition did not hold in time.
    """
    started = time.monotonic()
    while True:
        try:
            holds = await condition()
        except OSError:
            # aiohttp's connection errors are among these: not up yet.
            holds = False
        waited = time.monotonic() - started
        if holds:
            return waited
        if waited > timeout_s:
            raise TimeoutError(f'not within {timeout_s} s: {what}')
        await asyncio.sleep(_POLL_S)


def free_ports(count: int) -> list[int]:
    """Return loopback ports that are free now and differ from each other.

    Parameters
    ----------
    count : int
        How many ports to return.

    Returns
    -------
    list of int
        The ports, outside the range from which connections get theirs.
    """
    ports: list[int] = []
    candidate = _FIRST_PORT + (os.getpid() * _PORT_STRIDE) % _PORT_SPAN
    while len(ports) < count:
        candidate += 1
        if candidate >= _FIRST_PORT + _PORT_SPAN:
            candidate = _FIRST_PORT
        if candidate not in _issued and _bindable(candidate):
            _issued.add(candidate)
            ports.append(candidate)
    return ports


# Linux gives outgoing connections ports from 32768 upwards; a listener
# below that cannot lose its port to one between choice and bind.
_FIRST_PORT = 12_000
_PORT_SPAN = 20_000
_PORT_STRIDE = 97
_issued: set[int] = set()


def _bindable(port: int) -> bool:
    with socket.socket() as candidate:
        candidate.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            candidate.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True


def _end_with_parent() -> None:
    """Have the kernel kill this process when its parent ends.

    A parent that is killed or crashes cannot stop what it started.
    """
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class Running(NamedTuple):
    """One started process and where its output goes."""

    name: str
    process: asyncio.subprocess.Process
    log: Path

    def send(self, number: signal.Signals) -> None:
        """Send a signal unless the process has ended."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    def text(self) -> str:
        """Return the output so far."""
        return self.log.read_text(encoding='utf-8', errors='replace')


class Processes:
    """The processes of one scenario; leaving the context stops them all."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.by_name: dict[str, Running] = {}
        self.started: list[Running] = []

    async def __aenter__(self) -> Processes:
        """Return itself."""
        return self

    async def __aexit__(self, *_exception: object) -> None:
        """Stop every process."""
        await self.stop_all()

    async def start(self, name: str, module: str, *arguments: str) -> Running:
        """Start ``python -m module`` under a name; logs go to a file.

        Parameters
        ----------
        name : str
            Name for later reference; a second start under it replaces it.
        module : str
            Module to run.
        *arguments : str
            Command line of the module.

        Returns
        -------
        Running
            The process.
        """
        log = self.folder / f'{name}.{len(self.started)}.log'
        with log.open('wb') as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                _RUN_MODULE,
                module,
                *arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                preexec_fn=_end_with_parent,
            )
        running = Running(name, process, log)
        self.by_name[name] = running
        self.started.append(running)
        return running

    async def exit_status(self, name: str, timeout_s: float) -> int:
        """Wait for the end of a process.

        Raises
        ------
        TimeoutError
            It still runs after ``timeout_s`` seconds.
        """
        process = self.by_name[name].process
        return await asyncio.wait_for(process.wait(), timeout_s)

    async def stop_all(self) -> None:
        """Terminate every process, then kill those that remain."""
        for running in self.started:
            running.send(signal.SIGCONT)
            running.send(signal.SIGTERM)
        waits = [one.process.wait() for one in self.started]
        ending = asyncio.gather(*waits)
        try:
            await asyncio.wait_for(ending, _TERMINATION_S)
        except TimeoutError:
            for running in self.started:
                running.send(signal.SIGKILL)
            for running in self.started:
                await running.process.wait()
