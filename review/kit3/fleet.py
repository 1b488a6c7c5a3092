"""Starts hosts with the deploy file's command and the settings template."""

from __future__ import annotations

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.kit3.http import Message, answer, read_message
from review.kit3.store import Store
from review.kit3.target import Target

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2


def config(
    version: int, routes: list[dict], tenants: list[dict], **limits: float
) -> bytes:
    """Return ``op/config`` as the operator writes it."""
    services = sorted({route['service'] for route in routes})
    resources = [
        {
            'resource_type': 'routes',
            'metadata': {'name': route['name']},
            'spec': {
                name: value for name, value in route.items() if name != 'name'
            },
        }
        for route in routes
    ]
    resources += [
        {
            'resource_type': 'services',
            'metadata': {'name': service},
            'spec': {
                'health_path': '/health',
                'max_connections': 390,
                'protocol': 'h1',
                'tls': False,
            },
        }
        for service in services
    ]
    resources += [
        {
            'resource_type': 'tenants',
            'metadata': {'name': tenant['name']},
            'spec': {
                name: value for name, value in tenant.items() if name != 'name'
            },
        }
        for tenant in tenants
    ]
    bounds = {
        'max_header_bytes': 16384,
        'max_body_bytes': 67108864,
        'header_timeout_s': 3,
        'idle_timeout_s': 15,
    }
    resources.append(
        {
            'resource_type': 'limits',
            'metadata': {},
            'spec': {**bounds, **limits},
        }
    )
    return json.dumps(
        {'version': f'r{version}', 'resources': resources}
    ).encode()


def route(name: str, prefix: str, kind: str, service: str, **more) -> dict:
    """Return a route like those of the small deployments."""
    spec = {
        'name': name,
        'host': 'shop.example',
        'prefix': prefix,
        'type': kind,
        'service': service,
        'timeout_s': 2.5,
        'target_latency_s': 0.4,
        'priority': 1,
        'max_attempts': 2,
        'auth_exempt': False,
    }
    return {**spec, **more}


def tenant(name: str, key: str, rate: float = 0, burst: float = 0) -> dict:
    """Return a tenant."""
    return {
        'name': name,
        'api_keys': [key],
        'priority': 1,
        'rate_per_s': rate,
        'burst': burst,
    }


def free_ports(ip: str, count: int) -> list[int]:
    """Return ports that are free for TCP and UDP on an address."""
    held = []
    while len(held) < count:
        tcp = socket.socket()
        tcp.bind((ip, 0))
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            udp.bind((ip, tcp.getsockname()[1]))
        except OSError:
            tcp.close()
            udp.close()
            continue
        held.append((tcp, udp))
    ports = [tcp.getsockname()[1] for tcp, _ in held]
    for pair in held:
        for each in pair:
            each.close()
    return ports


class Host:
    """One machine: its settings and its process."""

    def __init__(self, name: str, ip: str, zone: str, fleet: Fleet) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.fleet = fleet
        self.process: subprocess.Popen | None = None
        self.starts = 0
        # Exit statuses of processes that ended by themselves.
        self.ended: list[int] = []

    @property
    def front(self) -> str:
        """Address for requesters."""
        return f'{self.ip}:{self.fleet.ports["front"]}'

    def fields(self) -> dict:
        """Return the settings as DEPLOY.md lists them."""
        ports = self.fleet.ports
        return {
            'node': self.name,
            'ip': self.ip,
            'zone': self.zone,
            'region': 'khomas',
            'internal_ports': [ports['peer'], ports['peer'] + 15],
            'seeds': [f'{ip}:{ports["control"]}' for ip in self.fleet.seeds],
            'heartbeat_s': 1.5,
            'listen': {
                name: f'{self.ip}:{ports[name]}'
                for name in ('front', 'ready', 'control', 'directory')
            },
            'limits': {'cpu_share': 0.86, 'memory_mb': 300},
            'bounds': {
                'grace_s': 6,
                'config_apply_s': 2,
                'retry_budget_ratio': 0.2,
                'budget_window_s': 10,
                'budget_slack': 64,
                'quota_window_s': 5,
                'quota_overage': 0.25,
                'quota_slack': 20,
                'ttl_max_s': 5,
            },
            'platform': {'address': self.fleet.store.address},
        }

    @property
    def settings(self) -> Path:
        """Path of the settings file."""
        return self.fleet.folder / f'{self.name}.yaml'

    def write_settings(self) -> None:
        """Fill in the template, as the platform does."""
        fields = self.fields()
        text = (ROOT / 'deploy' / 'host.yaml').read_text()
        self.settings.write_text(
            re.sub(
                r'\{\{([a-z_.0-9]+)\|json\}\}',
                lambda found: json.dumps(_lookup(fields, found[1])),
                text,
            )
        )

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self.write_settings()
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        words = deploy['roles']['host']['run'].split(' ')
        # The interpreter itself, in case `python3` is a wrapper here.
        in_place = {
            'python3': sys.executable,
            '/etc/oleanderridge/node.toml': str(self.settings),
        }
        words = [in_place.get(word, word) for word in words]
        self.starts += 1
        log = (self.fleet.folder / f'{self.name}.log').open('ab')
        self.process = subprocess.Popen(
            words,
            cwd=ROOT,
            env={
                'PATH': os.environ['PATH'],
                'HOME': str(self.fleet.folder),
                'LANG': 'C.UTF-8',
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                'PYTHONDONTWRITEBYTECODE': '1',
                'OLEANDERRIDGE_BOOT': str(self.settings),
            },
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
        )
        log.close()

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def memory_mb(self) -> float:
        """Return the resident memory of the process, mapped files left out."""
        try:
            text = Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return 0
        found = re.search(r'RssAnon:\s+(\d+) kB', text)
        return int(found[1]) / 1024 if found else 0

    def log(self) -> str:
        """Return what the process has written."""
        return (self.fleet.folder / f'{self.name}.log').read_text(
            errors='replace'
        )


class Fleet:
    """A store, upstreams and hosts on loopback addresses."""

    def __init__(self, case: Path, hosts: int, net: int) -> None:
        # Signals that the caller of the script ignores stay so in children.
        signal.signal(signal.SIGHUP, signal.SIG_DFL)
        self.case = case
        self.folder = Path(tempfile.mkdtemp(prefix='case-'))
        self.net = net
        self.store = Store()
        self.targets: list[Target] = []
        self.ips = [f'127.{net}.1.{number}' for number in range(1, hosts + 1)]
        self.seeds = self.ips[:3]
        names = ('front', 'ready', 'control', 'directory', 'peer')
        numbers = free_ports(self.ips[0], len(names))
        self.ports = dict(zip(names, numbers, strict=True))
        self.hosts = [
            Host(f'front-{number}', ip, f'khomas-{"abc"[number % 3]}', self)
            for number, ip in enumerate(self.ips)
        ]
        self.began = time.monotonic()
        self.record = (case / 'record.txt').open('w')

    def write(self, text: str) -> None:
        """Write a line to the record."""
        at = time.monotonic() - self.began
        self.record.write(f'{at:8.3f} {text}\n')
        self.record.flush()

    async def add_target(self, target: Target, port: int = 0) -> Target:
        """Start an upstream and register it."""
        number = len(self.targets) + 1
        await target.start(f'127.{self.net}.2.{number}', port)
        self.targets.append(target)
        self.register(target)
        return target

    def register(self, target: Target, state: str = 'ready') -> int:
        """Write an upstream's entry; return the revision."""
        return self.store.put(
            f'servers/{target.name}', json.dumps(target.entry(state)).encode()
        )

    async def until_ready(self, hosts: list[Host], limit_s: float = 15) -> bool:
        """Wait until hosts say that they are ready."""
        end = time.monotonic() + limit_s
        waiting = list(hosts)
        while waiting and time.monotonic() < end:
            still = []
            for host in waiting:
                address = f'{host.ip}:{self.ports["ready"]}'
                reply = await request(address, 'GET', '/v1/ready', {}, b'', 1)
                if reply is None or reply.status != 200:
                    still.append(host)
            waiting = still
            await asyncio.sleep(0.05)
        return not waiting

    async def leader(self) -> Host | None:
        """Return the host that says on its own page that it leads."""
        for host in self.hosts:
            page = f'{host.ip}:{self.ports["directory"]}'
            found = await request(page, 'GET', '/state', {}, b'', 2)
            if found and json.loads(found.body)['leader'] == host.ip:
                return host
        return None

    async def close(self) -> None:
        """End all processes and remove the folder."""
        for host in self.hosts:
            if host.is_running():
                host.process.kill()
                host.process.wait()
        for target in self.targets:
            await target.stop()
        self.record.close()
        if os.environ.get('KEEP'):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def _lookup(fields: dict, name: str) -> object:
    value: object = fields
    for part in name.split('.'):
        value = value[int(part)] if part.isdigit() else value[part]
    return value


def play(main: Callable[[], Awaitable[int]]) -> None:
    """Run a case and exit with its verdict."""
    try:
        verdict = asyncio.run(main())
    except Exception as error:
        print(f'could not run: {error!r}')
        verdict = NOT_RUN
    sys.exit(verdict)


class Kept:
    """A kept connection of a requester."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._streams: tuple | None = None

    async def send(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Message | None:
        """Return the answer; None if the connection ended without one."""
        if self._streams is None:
            host, _, port = self._address.rpartition(':')
            self._streams = await asyncio.open_connection(host, int(port))
        reader, writer = self._streams
        try:
            writer.write(request_bytes(method, path, headers, body))
            await writer.drain()
            found = await read_message(reader)
        except ConnectionError:
            found = None
        if found is None or 'close' in found.headers.get('connection', ''):
            self.close()
        return found

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None


_attempts = 0


def new_attempt() -> str:
    """Return an id that no other attempt has."""
    global _attempts
    _attempts += 1
    return f'{os.getpid():x}{_attempts:08x}'


def request_bytes(
    method: str, path: str, headers: dict[str, str], body: bytes
) -> bytes:
    """Return the bytes of a request."""
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode('latin-1') + body


def caller_headers(attempt: str, key: str, limit_ms: int) -> dict[str, str]:
    """Return the headers of a requester."""
    return {
        'Host': 'shop.example',
        'Oleanderridge-Attempt-Id': attempt,
        'Oleanderridge-Deadline-Ms': str(limit_ms),
        'Authorization': f'Token {key}',
    }


async def request(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    timeout_s: float,
) -> Message | None:
    """Send one request on a new connection; None without a whole answer."""
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                request_bytes(method, path, {'Host': 'x', **headers}, body)
            )
            await writer.drain()
            return await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()


__all__ = [
    'BROKEN',
    'HELD',
    'NOT_RUN',
    'TROUBLE',
    'Fleet',
    'Host',
    'Kept',
    'Target',
    'answer',
    'caller_headers',
    'config',
    'new_attempt',
    'play',
    'read_message',
    'request',
    'request_bytes',
    'route',
    'tenant',
]
