"""Measures what heartbeats and token buckets cost one host.

``python -m bench.control_cost`` prints one line per size.
"""

from __future__ import annotations

import sys
import tracemalloc
from collections.abc import Callable
from functools import partial
from time import process_time
from typing import Any, Final

from oleanderridge.admission.buckets import TokenBuckets
from oleanderridge.admission.keys import (
    AdmissionIndex,
    build_index,
    hash_key,
    match_route,
)
from oleanderridge.membership.state import Membership
from oleanderridge.wire import decode, encode

_CELL_SIZES: Final = (3, 12, 36, 48)
_WORKSPACES: Final = (1000, 10_000, 88_000)
_ROUTES: Final = 11_000
_SECONDS: Final = 60
_LOOKUPS: Final = 20_000
_BYTES_PER_MB: Final = 1_000_000
_MICROSECONDS: Final = 1_000_000
_KEY_HASHES: Final = 2
# Clock readings are seldom whole; whole numbers take fewer bytes.
_FRACTION: Final = 0.001


def _settings(host: str) -> Any:
    return {
        'host': host,
        'zone': 'z0',
        'cell': 'default',
        'peer': {},
        'membership': {
            'heartbeat_interval_s': 1,
            'lease_s': 4,
            'hold_s': 6,
            'suspect_s': 3,
        },
        'admission': {
            'minters_max': 6,
            'grant_expiry_s': 0.05,
            'grant_hold_s': 0.06,
            'request_timeout_s': 0.1,
        },
    }


def _host_list(size: int) -> Any:
    return {
        'revision': 1,
        'targets_leaving': [],
        'hosts': [
            {
                'host': f'entry-{number:04}',
                'zone': f'z{number % 3}',
                'cell': 'default',
                'state': 'live',
                'caller_url': f'http://10.0.{number // 250}.{number % 250}:80',
                'peer_address': f'10.0.{number // 250}.{number % 250}:7000',
            }
            for number in range(size)
        ],
    }


def _document(workspaces: int, version: int = 1) -> Any:
    return {
        'version': version,
        'parent': '',
        'services': [],
        'workspaces': [
            {
                'name': f'workspace-{number}',
                'rate': 10,
                'burst': 60,
                'cell': 'default',
                'key_hashes': [
                    hash_key(f'{number} {place}')
                    for place in range(_KEY_HASHES)
                ],
            }
            for number in range(workspaces)
        ],
        'routes': [
            {'prefix': f'/area-{number % 97}/{number}', 'service': 's'}
            for number in range(_ROUTES)
        ],
    }


def _timed(work: Callable[[], object]) -> float:
    before = process_time()
    work()
    return process_time() - before


def _joined_pair(size: int) -> tuple[list[Membership], list[str]]:
    host_list = _host_list(size)
    names = [entry['host'] for entry in host_list['hosts']]
    members = [Membership(_settings(name), 1, 0) for name in names]
    for member in members:
        member.accept_list(host_list, 0)
        member.set_bundle(1, hash_key('manifest'), 0)
    return members, names


def heartbeat_cost(size: int) -> str:
    """Measure one host among the peers of its cell.

    Parameters
    ----------
    size : int
        Hosts of the cell.

    Returns
    -------
    str
        Bytes per peer and second, and processor time of one host.
    """
    members, names = _joined_pair(size)
    own = members[0]
    sent_bytes = 0
    sending = float(0)
    handling = float(0)
    for second in range(1, _SECONDS + 1):
        now = second + _FRACTION
        received = [
            encode(member.heartbeat_for(names[0], now))
            for member in members[1:]
        ]
        sent = _send(own, names[1:], now)
        sending += _timed(partial(_send, own, names[1:], now))
        sent_bytes = sum(len(payload) for payload in sent)
        handling += _timed(partial(_handle, own, received, now))
        for member, payload in zip(members[1:], sent, strict=True):
            _handle(member, [payload], now)
        _exchange(members[1:], names[1:], now)
    peers = size - 1
    per_beat = _MICROSECONDS / (peers * _SECONDS)
    core = (sending + handling) / _SECONDS
    return (
        f'hosts={size} heartbeat_bytes_per_peer_s={sent_bytes / peers:.0f} '
        f'host_bytes_per_s={sent_bytes} '
        f'send_us={sending * per_beat:.0f} handle_us={handling * per_beat:.0f} '
        f'core_percent={core * 100:.2f} '
        f'leased={own.lease_until(_SECONDS) > 0}'
    )


def _send(member: Membership, peers: list[str], now: float) -> list[bytes]:
    return [encode(member.heartbeat_for(peer, now)) for peer in peers]


def _handle(member: Membership, payloads: list[bytes], now: float) -> None:
    for payload in payloads:
        member.on_heartbeat(decode(payload).unwrap(), now)
        member.lease_until(now)


def _exchange(members: list[Membership], names: list[str], now: float) -> None:
    # Heartbeats among the peers, so that they join and can support leases.
    for sender in members:
        for receiver, name in zip(members, names, strict=True):
            if sender is not receiver:
                receiver.on_heartbeat(sender.heartbeat_for(name, now), now)


def bucket_cost(workspaces: int) -> str:
    """Measure the buckets of a host that mints for every workspace.

    Parameters
    ----------
    workspaces : int
        Workspaces of the cell.

    Returns
    -------
    str
        Memory of the buckets and of the lookup tables, and processor time.
    """
    host_list = _host_list(36)
    own = host_list['hosts'][0]['host']
    document = _document(workspaces)
    changed = _document(workspaces, 2)
    names = [entry['name'] for entry in document['workspaces']]
    tracemalloc.start()
    index = build_index(document)
    index_bytes = tracemalloc.get_traced_memory()[0]
    buckets = TokenBuckets(own, _settings(own))
    buckets.update([host_list], [document], 0)
    table_bytes = tracemalloc.get_traced_memory()[0] - index_bytes
    _take_all(buckets, names)
    held = len(buckets.snapshot(workspaces))
    bucket_bytes = (
        tracemalloc.get_traced_memory()[0] - index_bytes - table_bytes
    )
    tracemalloc.stop()
    update_s = _timed(
        lambda: buckets.update([host_list], [document, changed], 2)
    )
    relist_s = _timed(
        lambda: buckets.update(
            [host_list, {**host_list, 'revision': 2}], [document, changed], 3
        )
    )
    takes = names[:_LOOKUPS]
    take_s = _timed(partial(_take_all, buckets, takes))
    paths = [f'/area-{at % 97}/{at}/x/y' for at in range(_ROUTES)]
    match_s = _timed(partial(_match_all, index, paths))
    return (
        f'workspaces={workspaces} buckets={held} '
        f'bucket_mb={bucket_bytes / _BYTES_PER_MB:.2f} '
        f'table_mb={table_bytes / _BYTES_PER_MB:.2f} '
        f'index_mb={index_bytes / _BYTES_PER_MB:.2f} '
        f'take_us={take_s / len(takes) * _MICROSECONDS:.1f} '
        f'match_us={match_s / len(paths) * _MICROSECONDS:.1f} '
        f'bundle_change_ms={update_s * 1000:.0f} '
        f'list_change_ms={relist_s * 1000:.0f}'
    )


def _take_all(buckets: TokenBuckets, names: list[str]) -> None:
    for name in names:
        buckets.take(name, 4, 8)


def _match_all(index: AdmissionIndex, paths: list[str]) -> None:
    for path in paths:
        match_route(index, 'GET', path)


def main() -> int:
    """Print one line per size.

    Returns
    -------
    int
        Always zero.
    """
    for size in _CELL_SIZES:
        print(heartbeat_cost(size), flush=True)
    for workspaces in _WORKSPACES:
        print(bucket_cost(workspaces), flush=True)
    return 0


if __name__ == '__main__':
    sys.exit(main())
