"""The ``status`` and ``resolve`` subcommands: ask a running host."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
from typing import Any
from urllib.parse import urlencode

from aiohttp import ClientError, ClientSession, ClientTimeout

_TIMEOUT_S = 5
_STATUS_PATHS = ('/v1/status', '/v1/fleet', '/v1/targets')
_EPILOG = """\
examples:
  OLEANDERRIDGE_ADMIN_TOKEN=... oleanderridge status --admin http://10.0.0.1:9001
  oleanderridge resolve --url http://10.0.0.1:9000 --service sett-lookup

exit status:
  0 fine, 1 the host refused, 2 the host cannot be reached
"""


def register(subparsers: argparse._SubParsersAction) -> None:
    """Add the subcommands.

    Parameters
    ----------
    subparsers : argparse subparsers
        Where to add them.
    """
    status = _add(subparsers, 'status', 'show a host and its view')
    status.add_argument('--admin', required=True, metavar='URL')
    status.set_defaults(run=run_status)
    resolve = _add(subparsers, 'resolve', 'show what a caller would be told')
    resolve.add_argument('--url', required=True)
    resolve.add_argument('--service', default='')
    resolve.add_argument(
        '--key-variable',
        metavar='NAME',
        help='environment variable that holds a caller key',
    )
    resolve.set_defaults(run=run_resolve)


def run_status(options: argparse.Namespace) -> int:
    """Print the state of a host and of the fleet as that host sees it.

    Parameters
    ----------
    options : argparse.Namespace
        ``admin`` is the administration address; the token is read from the
        environment variable ``OLEANDERRIDGE_ADMIN_TOKEN``.

    Returns
    -------
    int
        Exit status.
    """
    token = os.environ.get('OLEANDERRIDGE_ADMIN_TOKEN', '')
    urls = [options.admin.rstrip('/') + path for path in _STATUS_PATHS]
    return _report(options, urls, {'Authorization': f'Bearer {token}'})


def run_resolve(options: argparse.Namespace) -> int:
    """Print the addresses that a caller would get.

    Parameters
    ----------
    options : argparse.Namespace
        ``url``, ``service`` and the variable that holds a key.

    Returns
    -------
    int
        Exit status.
    """
    query = urlencode({'service': options.service})
    url = f'{options.url.rstrip("/")}/.oleanderridge/resolve?{query}'
    headers = {}
    if options.key_variable:
        headers['X-Api-Key'] = os.environ.get(options.key_variable, '')
    return _report(options, [url], headers)


def _add(
    subparsers: argparse._SubParsersAction,
    name: str,
    summary: str,
) -> argparse.ArgumentParser:
    parser = subparsers.add_parser(
        name,
        help=summary,
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument('--json', action='store_true', help='print JSON')
    return parser


def _report(
    options: argparse.Namespace,
    urls: list[str],
    headers: dict[str, str],
) -> int:
    try:
        answers = asyncio.run(_fetch(urls, headers))
    except (ClientError, TimeoutError, ValueError) as error:
        print(f'{urls[0]}: {error!r}', file=sys.stderr)
        return 2
    refused = [answer for status, answer in answers if status >= 400]
    if refused:
        print(json.dumps(refused[0]), file=sys.stderr)
        return 1
    merged: dict[str, Any] = {}
    for _status, answer in answers:
        merged.update(answer)
    if options.json:
        print(json.dumps(merged))
    else:
        _print_table(merged)
    return 0


async def _fetch(
    urls: list[str],
    headers: dict[str, str],
) -> list[tuple[int, dict[str, Any]]]:
    timeout = ClientTimeout(total=_TIMEOUT_S)
    answers = []
    async with ClientSession(timeout=timeout, headers=headers) as session:
        for url in urls:
            async with session.get(url) as response:
                body = await response.json(content_type=None)
                answers.append((response.status, body))
    return answers


def _print_table(merged: dict[str, Any]) -> None:
    for name, entry in merged.items():
        if isinstance(entry, list) and entry and isinstance(entry[0], dict):
            print(f'{name}:')
            for row in entry:
                pairs = ' '.join(f'{key}={row[key]}' for key in row)
                print(f'  {pairs}')
        else:
            print(f'{name}: {entry}')
