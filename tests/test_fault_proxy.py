"""Tests of the fault proxy and of process handling."""

import asyncio
import signal
import sys
import time
from pathlib import Path

import pytest

from bench import fault_proxy
from bench.processes import Processes, free_ports, wait_until


async def _echo(reader, writer):
    while content := await reader.read(65536):
        writer.write(content)
    writer.close()


def _through_link(scenario):
    """Run a scenario with a link, a reader and a writer through it."""

    async def wrapped():
        listen, far = free_ports(2)
        link = fault_proxy.Link('link', listen, f'127.0.0.1:{far}')
        async with await asyncio.start_server(_echo, '127.0.0.1', far):
            await fault_proxy.open_link(link, '127.0.0.1')
            reader, writer = await asyncio.open_connection('127.0.0.1', listen)
            await scenario(link, reader, writer)
            writer.close()
            link.server.close()

    asyncio.run(asyncio.wait_for(wrapped(), 5))


def test_silence_accepts_and_forwards_after_it_ends():
    """Guards against silence that breaks the connection or loses bytes."""

    async def scenario(link, reader, writer):
        writer.write(b'one')
        assert await reader.readexactly(3) == b'one'
        link.set_faults({'forward': {'silence': True}})
        writer.write(b'two')
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.readexactly(3), 0.1)
        link.set_faults({})
        assert await reader.readexactly(3) == b'two'

    _through_link(scenario)


def test_delay_holds_one_direction_only():
    """Guards against a one-way fault that affects both directions."""

    async def scenario(link, reader, writer):
        link.set_faults({'back': {'delay_s': 0.2}})
        started = time.monotonic()
        writer.write(b'one')
        assert await reader.readexactly(3) == b'one'
        assert 0.2 <= time.monotonic() - started < 0.4

    _through_link(scenario)


def test_cut_resets():
    """Guards against a cut that looks like an orderly end."""

    async def scenario(link, reader, writer):
        writer.write(b'one')
        assert await reader.readexactly(3) == b'one'
        link.set_faults({'back': {'cut': True}})
        writer.write(b'two')
        with pytest.raises(ConnectionResetError):
            await reader.readexactly(3)

    _through_link(scenario)


def test_bandwidth_limits():
    """Guards against a bandwidth that is not applied."""

    async def scenario(link, reader, writer):
        link.set_faults({'forward': {'bandwidth': 1_000_000}})
        started = time.monotonic()
        writer.write(b'.' * 200_000)
        await reader.readexactly(200_000)
        assert time.monotonic() - started > 0.1

    _through_link(scenario)


def test_processes_end_with_their_context(tmp_path):
    """Guards against processes that outlive a scenario, paused or not."""

    async def scenario():
        async with Processes(tmp_path) as processes:
            (port,) = free_ports(1)
            await processes.start(
                'proxy', 'bench.fault_proxy', '--control-port', str(port)
            )

            async def listening():
                _, writer = await asyncio.open_connection('127.0.0.1', port)
                writer.close()
                return True

            await wait_until(listening, 5, 'the proxy listens')
            processes.by_name['proxy'].send(signal.SIGSTOP)
        assert processes.by_name['proxy'].process.returncode == 0

    asyncio.run(scenario())


_CRASHING_PARENT = """
import asyncio, os, sys
from pathlib import Path
from bench.processes import Processes

async def crash():
    processes = Processes(Path(sys.argv[1]))
    running = await processes.start(
        'proxy', 'bench.fault_proxy', '--control-port', sys.argv[2]
    )
    print(running.process.pid, flush=True)
    os._exit(1)

asyncio.run(crash())
"""


def _has_ended(stat):
    # A process that nobody waits for stays behind as a zombie.
    return not stat.exists() or ') Z ' in stat.read_text()


def test_processes_end_with_a_parent_that_crashes(tmp_path):
    """Guards against orphans of a run that did not reach its clean-up."""

    async def scenario():
        (port,) = free_ports(1)
        parent = await asyncio.create_subprocess_exec(
            sys.executable,
            '-c',
            _CRASHING_PARENT,
            str(tmp_path),
            str(port),
            stdout=asyncio.subprocess.PIPE,
        )
        output, _ = await parent.communicate()
        stat = Path(f'/proc/{int(output)}/stat')

        async def ended():
            return _has_ended(stat)

        await wait_until(ended, 5, 'the process has ended')

    asyncio.run(scenario())
