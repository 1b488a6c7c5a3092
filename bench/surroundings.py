"""Everything around the hosts: platform, targets and fault proxy."""

from __future__ import annotations

from typing import Any

from aiohttp import ClientSession

from bench.plans import LOOPBACK, TargetPlan
from bench.processes import Processes, free_ports, wait_until

START_S = 20


class Surroundings:
    """Runs the stand-ins and speaks their control interfaces."""

    def __init__(self, processes: Processes, session: ClientSession) -> None:
        self.processes = processes
        self.session = session
        ports = free_ports(2)
        self.platform_port = ports[0]
        self.proxy_port = ports[1]
        self.target_ports: dict[str, int] = {}
        self.control_ports: dict[str, int] = {}

    async def call(self, method: str, url: str, **options: Any) -> Any:
        """Send one control request and return the decoded answer.

        Raises
        ------
        ClientResponseError
            The stand-in refused the request.
        """
        async with self.session.request(method, url, **options) as response:
            response.raise_for_status()
            return await response.json()

    async def start(self, targets: tuple[TargetPlan, ...]) -> None:
        """Start the stand-ins and wait until all answer.

        Parameters
        ----------
        targets : tuple of TargetPlan
            The targets to start.
        """
        start = self.processes.start
        platform_port = str(self.platform_port)
        await start('platform', 'bench.platform', '--port', platform_port)
        proxy_port = str(self.proxy_port)
        await start('proxy', 'bench.fault_proxy', '--control-port', proxy_port)
        for target in targets:
            await self.start_target(target)
        urls = [
            f'{self._platform()}/counts',
            f'{self._proxy()}/links',
            *(f'{self._target(name)}/counts' for name in self.control_ports),
        ]
        for url in urls:
            await self._wait_answering(url)

    async def start_target(self, target: TargetPlan) -> None:
        """Start one target without waiting for it."""
        port, control_port = free_ports(2)
        self.target_ports[target.name] = port
        self.control_ports[target.name] = control_port
        await self.processes.start(
            target.name,
            'bench.target',
            f'--port={port}',
            f'--control-port={control_port}',
            f'--name={target.name}',
            *target.options,
        )

    async def _wait_answering(self, url: str) -> None:
        async def answering() -> bool:
            await self.call('GET', url)
            return True

        await wait_until(answering, START_S, f'{url} answers')

    async def set_value(self, key: str, content: bytes) -> None:
        """Store a value at the platform."""
        url = f'{self._platform()}/values/{key}'
        await self.call('PUT', url, data=content)

    async def platform_mode(self, mode: str) -> None:
        """Set the platform's mode."""
        await self.call('POST', f'{self._platform()}/mode/{mode}')

    async def platform_counts(self) -> Any:
        """Return the platform's call counts."""
        return await self.call('GET', f'{self._platform()}/counts')

    async def open_link(self, name: str, connect: str) -> int:
        """Open a link to ``connect`` (host:port); return its port."""
        (port,) = free_ports(1)
        await self.call(
            'PUT',
            f'{self._proxy()}/links/{name}',
            json={'listen': port, 'connect': connect},
        )
        return port

    async def link_faults(self, name: str, **faults: Any) -> None:
        """Set the faults of a link: ``forward={...}``, ``back={...}``."""
        url = f'{self._proxy()}/links/{name}/faults'
        await self.call('PUT', url, json=faults)

    async def target_faults(self, name: str, **faults: Any) -> None:
        """Replace the faults of a target."""
        await self.call('PUT', f'{self._target(name)}/faults', json=faults)

    async def target_drain(self, name: str, state: str = 'on') -> None:
        """Start (``on``) or end (``off``) draining a target."""
        await self.call('POST', f'{self._target(name)}/drain/{state}')

    async def target_counts(self, name: str) -> Any:
        """Return the counts of a target."""
        return await self.call('GET', f'{self._target(name)}/counts')

    async def target_records(self, name: str, contains: str) -> Any:
        """Return the executions of a target that contain a text."""
        return await self.call(
            'GET',
            f'{self._target(name)}/records',
            params={'contains': contains},
        )

    async def executions(self) -> dict[str, dict[str, int]]:
        """Return started and completed executions by operation id."""
        totals: dict[str, dict[str, int]] = {}
        for name in self.control_ports:
            counts = await self.target_counts(name)
            for operation, found in counts['by_operation'].items():
                total = totals.setdefault(
                    operation, {'started': 0, 'completed': 0}
                )
                for kind in total:
                    total[kind] += found[kind]
        return totals

    def _platform(self) -> str:
        return f'http://{LOOPBACK}:{self.platform_port}/control'

    def _proxy(self) -> str:
        return f'http://{LOOPBACK}:{self.proxy_port}'

    def _target(self, name: str) -> str:
        return f'http://{LOOPBACK}:{self.control_ports[name]}'
