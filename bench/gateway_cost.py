"""Measures what a gateway host costs as the fleet grows.

Prints the bytes of messages between hosts, the processor time of one
placement by the number of targets, and time and memory of a configuration by
its size. Nothing is sent.
"""

from __future__ import annotations

import argparse
import json
import time
import tracemalloc
from collections.abc import Iterable
from random import Random
from typing import Final

from msgspec.msgpack import encode

from oleanderridge.dispatch.placement import Placement
from oleanderridge.gateway.model import READY, TargetRecord
from oleanderridge.gateway.outcomes import Outcome, Purpose
from oleanderridge.gateway.settings import parse_gateway_settings
from oleanderridge.generated.fleet import (
    Acquire,
    Beat,
    Grant,
    MemberEntry,
    Release,
    TargetEntry,
)
from oleanderridge.generated.gateway import GatewaySettings
from oleanderridge.platform.records import decode_configuration

# IP and UDP headers of a datagram.
_HEADERS_BYTES: Final = 28
_SETTINGS: Final = """\
host: h
address: 127.0.0.1
zone: z0
caller: {address: "127.0.0.1:7001"}
readiness: {address: "127.0.0.1:7002"}
directory: {address: "127.0.0.1:7003"}
peers: {port: 7004}
store: {address: "127.0.0.1:7005"}
bounds: {}
"""
_ROUNDS: Final = 2000
_BUSY_PART: Final = 3


def _settings() -> GatewaySettings:
    return parse_gateway_settings(_SETTINGS, 'gateway_cost').unwrap()


def _acquire(permit: int) -> Acquire:
    return Acquire(
        permit,
        f'10.1.0.{permit % 200}',
        f'z{permit % 3}',
        'service-1',
        'r-route01',
        'workspace-1',
        1,
        permit % 3 > 0,
        Purpose.FIRST,
        permit % 3 == 0,
        2000,
        400,
        30,
        [],
    )


def print_messages() -> None:
    """Print the bytes of each message with its packet headers."""
    messages = {
        'beat': Beat(
            '10.1.0.21',
            'perth-a',
            1_777_680_069_399,
            1,
            1200,
            530_000,
            3_000_000_000,
            3_000_000_000,
            400,
            True,
            '10.1.0.22',
            1_777_680_069_399,
        ),
        'acquire': _acquire(10 << 56),
        'grant': Grant(10 << 56, 'i-7f3a91c2', '10.128.0.9:8080', 200, 5),
        'release': Release(10 << 56, Outcome.ANSWERED, 120, 4000),
    }
    for name, message in messages.items():
        size = len(encode(message)) + 1 + _HEADERS_BYTES
        print(f'message={name} bytes={size}')
    member = MemberEntry('10.1.0.21', 'perth-a', 1_777_680_069_399, 1, 300)
    target = TargetEntry(
        'i-7f3a91c2', 's', '10.128.0.9:8080', 'z', 2, READY, 0, 1, 530_000
    )
    print(f'entry=member bytes={len(encode(member))}')
    print(f'entry=target bytes={len(encode(target))}')


def _records(count: int) -> dict[str, TargetRecord]:
    return {
        f'i-{place}': TargetRecord(
            f'i-{place}',
            'service-1',
            f'10.0.0.1:{place}',
            f'z{place % 3}',
            2,
            READY,
            0,
            1,
            place + 1,
        )
        for place in range(count)
    }


def print_placement(counts: Iterable[int]) -> None:
    """Print the processor time of a placement by targets of one service."""
    for count in counts:
        placement = Placement(_settings(), Random(1))
        placement.set_targets(_records(count), 0)
        live: list[Grant] = []
        now = 100.0
        started = time.process_time()
        for permit in range(_ROUNDS):
            now += 0.005
            granted = placement.acquire(_acquire(permit), now)
            if isinstance(granted, Grant):
                live.append(granted)
            if len(live) > count / _BUSY_PART:
                done = live.pop(0)
                placement.release(
                    Release(done.permit, Outcome.ANSWERED, 100, 4000), now
                )
        spent_us = (time.process_time() - started) / _ROUNDS * 1e6
        print(f'placement targets={count} us_per_request={spent_us:.0f}')


def _document(routes: int, workspaces: int) -> bytes:
    route = {
        'host': 'a.example',
        'type': 'safe',
        'timeout_s': 2,
        'target_latency_s': 0.4,
        'priority': 2,
        'service': 's',
        'max_attempts': 2,
    }
    resources = [
        {
            'resource_type': 'routes',
            'metadata': {'name': f'r{place}'},
            'spec': {**route, 'prefix': f'/p{place}/'},
        }
        for place in range(routes)
    ]
    resources += [
        {
            'resource_type': 'tenants',
            'metadata': {'name': f'w{place}'},
            'spec': {
                'api_keys': [f'key-{place}'],
                'rate_per_s': 10,
                'burst': 10,
            },
        }
        for place in range(workspaces)
    ]
    return json.dumps({'version': 'r1', 'resources': resources}).encode()


def print_configuration(sizes: Iterable[tuple[int, int]]) -> None:
    """Print time and memory of configurations by routes and workspaces."""
    for routes, workspaces in sizes:
        source = _document(routes, workspaces)
        tracemalloc.start()
        started = time.process_time()
        decoded = decode_configuration(source).unwrap()
        spent_s = time.process_time() - started
        held_mb = tracemalloc.get_traced_memory()[0] / 1e6
        tracemalloc.stop()
        print(
            f'configuration routes={routes} workspaces={workspaces} '
            f'source_mb={len(source) / 1e6:.2f} seconds={spent_s:.3f} '
            f'held_mb={held_mb:.1f} version={decoded.version}'
        )


def main() -> int:
    """Print all figures.

    Returns
    -------
    int
        Exit status.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--targets', type=int, nargs='+', default=[30, 300])
    arguments = parser.parse_args()
    print_messages()
    print_placement(arguments.targets)
    print_configuration(((50, 8), (400, 80), (11_000, 88_000)))
    return 0


if __name__ == '__main__':
    raise SystemExit(main())
