"""A fleet of gateway processes among stand-ins, for tests with real sockets."""

import asyncio
import json
import socket
import sys
from contextlib import asynccontextmanager

from aiohttp import ClientError, ClientSession, ClientTimeout, web

from bench import platform
from bench.slot_target import SlotTarget

HOSTS = ('127.0.0.11', '127.0.0.12', '127.0.0.13')
_SETTINGS = """\
host: {host}
address: {host}
zone: {zone}
caller: {{address: "{host}:{caller}"}}
readiness: {{address: "{host}:{ready}"}}
directory: {{address: "{host}:{directory}"}}
directory_ttl_s: 0.5
peers: {{port: {peer}, seeds: {seeds}}}
store: {{address: "{store}"}}
bounds: {{stop_s: {stop_s}}}
"""


def document(version, key='k1', service='s', timeout_s=1.0):
    """Return a configuration with a route for searches and one for orders."""

    def route(name, prefix, kind):
        return {
            'resource_type': 'routes',
            'metadata': {'name': name},
            'spec': {
                'host': 'h',
                'prefix': prefix,
                'type': kind,
                'timeout_s': timeout_s,
                'target_latency_s': 0.4,
                'priority': 1,
                'service': service,
                'max_attempts': 2,
            },
        }

    workspace = {
        'resource_type': 'tenants',
        'metadata': {'name': 'w'},
        'spec': {'api_keys': [key], 'rate_per_s': 0, 'burst': 0},
    }
    routes = [route('safe', '/s/', 'safe'), route('order', '/o/', 'unsafe')]
    return json.dumps(
        {'version': version, 'resources': [*routes, workspace]}
    ).encode()


class GatewayFleet:
    """A store, targets and gateway processes on loopback addresses."""

    def __init__(self, folder, ports, stop_s=2.0):
        self.folder = folder
        self.ports = ports
        self.stop_s = stop_s
        self.store = None
        self.store_address = ''
        self.targets = []
        self.processes = {}
        self.session = None
        self._attempts = 0

    def register_target(
        self, target, state='ready', service='s', sequence=1, slots=2
    ):
        """Write the registration of a target to the store."""
        self.store.set_value(
            f'servers/{target.target}',
            json.dumps(
                {
                    'service': service,
                    'address': target.address,
                    'zone': 'z1',
                    'version': 'v1',
                    'slots': slots,
                    'state': state,
                    'warmup_left_s': 0,
                    'sequence': sequence,
                    'born': 5,
                }
            ).encode(),
        )

    def write_settings(self, host, seeds=HOSTS[:2]):
        """Write the settings of a host; return their path."""
        path = self.folder / f'{host}.yaml'
        path.write_text(
            _SETTINGS.format(
                host=host,
                zone='z1',
                seeds=json.dumps([f'{seed}:1' for seed in seeds]),
                store=self.store_address,
                stop_s=self.stop_s,
                **self.ports,
            )
        )
        return path

    async def start_host(self, host, seeds=HOSTS[:2]):
        """Start one gateway process."""
        path = self.write_settings(host, seeds)
        self.processes[host] = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'oleanderridge',
            'gateway',
            '--settings',
            str(path),
            stdout=asyncio.subprocess.DEVNULL,
        )

    async def send(
        self, host, path='/s/1', key='k1', method='GET', limit_ms=1500
    ):
        """Send one request; return status, body and headers."""
        self._attempts += 1
        headers = {
            'Host': 'h',
            'Authorization': f'Token {key}',
            'Oleanderridge-Attempt-Id': f'a{self._attempts}',
            'Oleanderridge-Deadline-Ms': str(limit_ms),
        }
        url = f'http://{host}:{self.ports["caller"]}{path}'
        async with self.session.request(
            method, url, headers=headers
        ) as response:
            return response.status, await response.read(), response.headers

    def runs(self):
        """Return the attempts that targets have begun to run."""
        return [
            attempt for target in self.targets for attempt, _ in target.runs
        ]

    async def addresses(self, host):
        """Return the caller addresses that a host resolves."""
        url = f'http://{host}:{self.ports["directory"]}/v1/resolve?zone=z1'
        async with self.session.get(url) as response:
            return set((await response.json())['addresses'])

    async def until(self, condition, timeout_s=5.0):
        """Wait until a coroutine function returns a true value."""
        async with asyncio.timeout(timeout_s):
            while True:
                try:
                    if await condition():
                        return
                except (ClientError, OSError, TimeoutError):
                    pass
                await asyncio.sleep(0.05)

    async def until_ready(self, host):
        """Wait until the readiness page of a host says so."""
        url = f'http://{host}:{self.ports["ready"]}/v1/ready'

        async def ready():
            async with self.session.get(url) as response:
                return response.status == 200

        await self.until(ready, 10)

    async def until_serving(self, hosts=HOSTS):
        """Wait until hosts serve requests and resolve each other."""

        async def serving():
            for host in hosts:
                if (await self.send(host))[0] != 200:
                    return False
                if len(await self.addresses(host)) < len(hosts):
                    return False
            return True

        await self.until(serving, 10)


def free_ports():
    """Return ports that are free on one loopback address, by their use."""
    names = ('caller', 'ready', 'directory', 'peer')
    sockets = [socket.socket() for _ in names]
    for each in sockets:
        each.bind((HOSTS[0], 0))
    numbers = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return dict(zip(names, numbers, strict=True))


@asynccontextmanager
async def run_fleet(folder, ports, targets=3, slots=2, stop_s=2.0):
    """Start a fleet and its stand-ins; stop them at the end."""
    fleet = GatewayFleet(folder, ports, stop_s)
    app = platform.build_app()
    runner = web.AppRunner(app, handler_cancellation=True)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    fleet.store = app[platform.STATE]
    fleet.store_address = '{}:{}'.format(*runner.addresses[0])
    fleet.store.set_value('op/config', document('r1'))
    for index in range(targets):
        target = SlotTarget(f'i-{index}', slots)
        await target.start()
        fleet.targets.append(target)
        fleet.register_target(target, slots=slots)
    fleet.session = ClientSession(timeout=ClientTimeout(total=2))
    for host in HOSTS:
        await fleet.start_host(host)
    try:
        await fleet.until_serving()
        yield fleet
    finally:
        for process in fleet.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        await fleet.session.close()
        fleet.store.set_mode('down')
        for target in fleet.targets:
            await target.stop()
        await runner.cleanup()
