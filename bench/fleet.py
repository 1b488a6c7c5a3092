"""Runs hosts as processes and operates them as operators would."""

from __future__ import annotations

import json
import signal
from collections.abc import Callable, Collection
from hashlib import sha256
from pathlib import Path
from typing import Any, NamedTuple

import yaml

from bench.plans import (
    CHART_SERVICE,
    LOOKUP_SERVICE,
    LOOPBACK,
    FleetPlan,
)
from bench.processes import free_ports, wait_until
from bench.surroundings import START_S, Surroundings
from oleanderridge.config import chunks as config_chunks
from oleanderridge.config import document as config_document
from oleanderridge.config import signing
from oleanderridge.findings import format_finding

_OK = 200
_LOG_TAIL = 600
_ADMIN_TOKEN = 'admin-token-of-the-bench'  # noqa: S105 - loopback only
_SILENT = {'silence': True}


def digest_of(secret: str) -> str:
    """Return the hash under which keys and tokens are published."""
    return sha256(secret.encode()).hexdigest()


class HostPorts(NamedTuple):
    """Listening ports of one host."""

    caller: int
    admin: int
    peer: int


class Fleet:
    """Hosts, their bundle and their list."""

    def __init__(
        self, plan: FleetPlan, surroundings: Surroundings, folder: Path
    ) -> None:
        self.plan = plan
        self.around = surroundings
        self.folder = folder
        self.names = (*plan.zone_by_host, *plan.spares)
        self.ports = {name: HostPorts(*free_ports(3)) for name in self.names}
        # A spare takes the zone of the host that it replaces.
        self.zones = {**dict.fromkeys(plan.spares, ''), **plan.zone_by_host}
        self.listed = dict.fromkeys(plan.zone_by_host, 'live')
        self.targets_leaving: list[str] = []
        self.revision = 0
        self.lists: list[bytes] = []
        self.keypair = signing.generate_keypair()
        self.document: dict[str, Any] = {}
        self.manifest: Any = None
        self.link_ports: dict[str, int] = {}

    async def start(self) -> None:
        """Start everything and wait until every host serves."""
        await self.around.start(self.plan.targets)
        if self.plan.proxied:
            await self._open_links()
        self.document = self._document()
        await self.publish_bundle()
        await self.publish_hosts()
        for name in self.plan.zone_by_host:
            await self.start_host(name)
        for name in self.plan.zone_by_host:
            await self.wait_serving(name)

    async def _open_links(self) -> None:
        platform = f'{LOOPBACK}:{self.around.platform_port}'
        connects = {f'platform-{name}': platform for name in self.names}
        for target, port in self.around.target_ports.items():
            connects[f'target-{target}'] = f'{LOOPBACK}:{port}'
        for sender in self.names:
            for receiver in self.names:
                if sender != receiver:
                    address = self.peer_address(receiver)
                    connects[f'peer-{sender}-{receiver}'] = address
        for link, connect in connects.items():
            self.link_ports[link] = await self.around.open_link(link, connect)

    def caller_url(self, host: str) -> str:
        """Return where callers reach a host."""
        return f'http://{LOOPBACK}:{self.ports[host].caller}'

    def peer_address(self, host: str) -> str:
        """Return where peers reach a host without the proxy."""
        return f'{LOOPBACK}:{self.ports[host].peer}'

    def _target_url(self, target: str) -> str:
        port = self.around.target_ports[target]
        linked = self.link_ports.get(f'target-{target}', port)
        return f'http://{LOOPBACK}:{linked}'

    def _document(self) -> dict[str, Any]:
        timeouts = {
            LOOKUP_SERVICE: self.plan.timeout_ms,
            CHART_SERVICE: self.plan.chart_timeout_ms,
        }
        services: list[dict[str, Any]] = [
            {
                'name': service,
                'timeout_ms': timeout_ms,
                'buffer_limit_bytes': self.plan.buffer_limit_bytes,
                'health_path': '/health',
                'health': self.plan.health,
                'targets': [
                    {
                        'name': target.name,
                        'url': self._target_url(target.name),
                        'zone': target.zone,
                    }
                    for target in self.plan.targets
                    if target.service == service
                ],
            }
            for service, timeout_ms in timeouts.items()
        ]
        if self.plan.echo_header:
            for service in services:
                service['echo_header'] = self.plan.echo_header
        return {
            'version': 0,
            'parent': '',
            'workspaces': [
                {
                    'name': workspace.name,
                    'rate': workspace.rate,
                    'burst': workspace.burst,
                    'key_hashes': [digest_of(workspace.key)],
                }
                for workspace in self.plan.workspaces
            ],
            'services': services,
            'routes': [
                {'prefix': '/sett', 'service': LOOKUP_SERVICE},
                {'prefix': '/orders', 'service': LOOKUP_SERVICE},
                {'prefix': '/charts', 'service': CHART_SERVICE},
            ],
        }

    async def publish_bundle(self) -> None:
        """Sign the document as the next version and store it.

        Raises
        ------
        ValueError
            The document is invalid; the message holds all findings.
        """
        previous = self.manifest
        parent = signing.manifest_digest(previous) if previous else ''
        self.document['version'] += 1
        self.document['parent'] = parent
        source = yaml.safe_dump(self.document)
        parsed = config_document.parse_source(source, 'bench')
        if parsed.is_err():
            lines = map(format_finding, parsed.unwrap_err())
            raise ValueError('\n'.join(lines))
        content = config_document.canonical(parsed.unwrap())
        chunks = config_chunks.split(content)
        self.manifest = signing.sign(
            self.document['version'], parent, chunks, self.keypair.secret
        )
        for digest, chunk in chunks.items():
            await self.around.set_value(f'bundle/chunk/{digest}', chunk)
        encoded = json.dumps(self.manifest).encode()
        await self.around.set_value('bundle/manifest', encoded)

    async def change_bundle(
        self, edit: Callable[[dict[str, Any]], None]
    ) -> None:
        """Edit the document and publish it as a new version."""
        edit(self.document)
        await self.publish_bundle()

    async def withdraw_key(self, workspace: str) -> None:
        """Publish a bundle in which a workspace has no key."""

        def edit(document: dict[str, Any]) -> None:
            for entry in document['workspaces']:
                if entry['name'] == workspace:
                    entry['key_hashes'] = []

        await self.change_bundle(edit)

    async def publish_hosts(self) -> None:
        """Store the host list under the next revision."""
        self.revision += 1
        hosts = [
            {
                'host': name,
                'zone': self.zones[name],
                'cell': 'default',
                'state': state,
                'caller_url': self.caller_url(name),
                'peer_address': self.peer_address(name),
            }
            for name, state in self.listed.items()
        ]
        listed = {
            'revision': self.revision,
            'hosts': hosts,
            'targets_leaving': self.targets_leaving,
        }
        content = json.dumps(listed).encode()
        self.lists.append(content)
        await self.around.set_value('hosts', content)

    async def target_leaving(self, target: str) -> None:
        """List a target as leaving."""
        self.targets_leaving.append(target)
        await self.publish_hosts()

    def settings_of(self, host: str) -> dict[str, Any]:
        """Return the settings of a host, links in place of addresses."""
        ports = self.ports[host]
        others = [name for name in self.names if name != host]
        overrides = {
            name: f'{LOOPBACK}:{self.link_ports[f"peer-{host}-{name}"]}'
            for name in others
            if self.link_ports
        }
        seeds = [
            overrides.get(name, self.peer_address(name))
            for name in others
            if name in self.listed
        ]
        platform = self.link_ports.get(
            f'platform-{host}', self.around.platform_port
        )
        settings: dict[str, Any] = {
            'host': host,
            'zone': self.zones[host],
            'caller': {'address': LOOPBACK, 'port': ports.caller},
            'admin': {
                'address': LOOPBACK,
                'port': ports.admin,
                'token_hashes': [digest_of(_ADMIN_TOKEN)],
            },
            'peer': {
                'address': LOOPBACK,
                'port': ports.peer,
                'seeds': seeds,
                'address_overrides': overrides,
            },
            'platform': {'url': f'http://{LOOPBACK}:{platform}'},
            'bundle': {'trusted_keys': [self.keypair.public]},
        }
        for section, values in self.plan.settings.items():
            settings.setdefault(section, {}).update(values)
        return settings

    async def start_host(self, host: str) -> None:
        """Start a process for a host that has none."""
        path = self.folder / f'{host}.yaml'
        settings = yaml.safe_dump(self.settings_of(host))
        path.write_text(settings, encoding='utf-8')
        await self.around.processes.start(
            host, 'oleanderridge', 'serve', '--settings', str(path)
        )

    def send(self, host: str, number: signal.Signals) -> None:
        """Send a signal to the process of a host."""
        self.around.processes.by_name[host].send(number)

    async def stop_host(self, host: str, timeout_s: float) -> int:
        """Stop a host gracefully and return its exit status."""
        self.send(host, signal.SIGTERM)
        return await self.around.processes.exit_status(host, timeout_s)

    async def kill_host(self, host: str) -> None:
        """Kill a host; it stays in the list."""
        self.send(host, signal.SIGKILL)
        await self.around.processes.exit_status(host, START_S)

    async def replace_host(self, old: str, new: str) -> None:
        """List a spare in place of an ended host and start it."""
        self.zones[new] = self.zones[old]
        self.listed.pop(old, None)
        self.listed[new] = 'live'
        await self.start_host(new)
        await self.publish_hosts()

    async def separate(self, hosts: Collection[str], **faults: Any) -> None:
        """Set faults on all peer links between the hosts and the others.

        Without faults the links are silenced in both directions.
        """
        chosen = faults or {'forward': _SILENT, 'back': _SILENT}
        for sender in self.names:
            for receiver in self.names:
                if (sender in hosts) != (receiver in hosts):
                    link = f'peer-{sender}-{receiver}'
                    await self.around.link_faults(link, **chosen)

    async def rejoin(self) -> None:
        """Clear the faults of every link."""
        for link in self.link_ports:
            await self.around.link_faults(link)

    async def status(self, host: str) -> Any:
        """Return what the administration interface reports."""
        url = f'http://{LOOPBACK}:{self.ports[host].admin}/v1/status'
        headers = {'Authorization': f'Bearer {_ADMIN_TOKEN}'}
        return await self.around.call('GET', url, headers=headers)

    async def metrics(self, host: str) -> str:
        """Return the exposition of a host's metrics."""
        url = f'http://{LOOPBACK}:{self.ports[host].admin}/metrics'
        headers = {'Authorization': f'Bearer {_ADMIN_TOKEN}'}
        async with self.around.session.get(url, headers=headers) as response:
            response.raise_for_status()
            return await response.text()

    async def live_requests(self, host: str) -> list[str]:
        """Return the metrics lines about requests that are not finished."""
        url = f'http://{LOOPBACK}:{self.ports[host].admin}/metrics'
        headers = {'Authorization': f'Bearer {_ADMIN_TOKEN}'}
        async with self.around.session.get(url, headers=headers) as response:
            lines = (await response.text()).splitlines()
        return [line for line in lines if 'live_requests' in line]

    async def wait_serving(self, host: str, timeout_s: float = START_S) -> None:
        """Wait until a host answers a keyed request.

        Raises
        ------
        TimeoutError
            It does not serve in time; the message ends with its log.
        """
        key = self.plan.workspaces[-1].key
        headers = {'Authorization': f'Bearer {key}'}
        url = f'{self.caller_url(host)}/sett/ready'
        running = self.around.processes.by_name[host]

        async def serving() -> bool:
            if running.process.returncode is not None:
                log = running.text()[-_LOG_TAIL:]
                raise RuntimeError(f'{host} ended: {log}')
            session = self.around.session
            async with session.get(url, headers=headers) as response:
                return response.status == _OK

        try:
            await wait_until(serving, timeout_s, f'{host} serves')
        except TimeoutError as error:
            log = running.text()[-_LOG_TAIL:]
            raise TimeoutError(f'{error}; its log ends: {log}') from None
