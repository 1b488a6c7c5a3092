"""Idempotency keys: parsing, and the key register of one host.

The register guarantees that a key reported as ``claimed`` was not claimed
before within the key lifetime. It never evicts a key early: when it is full,
it refuses new keys.
"""

from __future__ import annotations

import re
from collections import Counter
from heapq import heappop, heappush
from typing import Final, NamedTuple

from result import Err, Ok, Result

from oleanderridge.generated.messages import (
    HostList,
    KeyClaim,
    KeyClaimReply,
    KeyOutcome,
    StoredAnswer,
)
from oleanderridge.generated.settings import Settings
from oleanderridge.refusals import Refusal, refuse
from oleanderridge.rendezvous import rendezvous_score

CLAIMED: Final = 'claimed'
IN_PROGRESS: Final = 'in-progress'
DONE: Final = 'done'
OUTCOME_UNKNOWN: Final = 'unknown'
MISMATCH: Final = 'mismatch'
FULL: Final = 'full'
NOT_RUN: Final = 'not-run'

_KEY_LENGTH_MAX: Final = 256
_KEY_PATTERN: Final = re.compile('[!-~]+')
_BOUND_KEY_PATTERN: Final = re.compile(
    r'(?P<host>[a-z0-9][a-z0-9-]{0,62})'
    r'\.(?P<incarnation>[0-9]{1,18})\.(?P<issued>[0-9]{1,12})\.?'
    r'(?P<unique>.*)'
)


class KeyName(NamedTuple):
    """A parsed idempotency key; ``host`` is empty for a plain key."""

    host: str
    incarnation: int
    issued: int
    unique: str


class _KeyRecord:
    """Entry of the register for one key."""

    __slots__ = ('answer', 'claim_id', 'expires_at', 'fingerprint', 'state')

    def __init__(
        self, claim_id: str, fingerprint: str, expires_at: float
    ) -> None:
        self.claim_id = claim_id
        self.fingerprint = fingerprint
        self.expires_at = expires_at
        self.state = IN_PROGRESS
        self.answer: StoredAnswer | None = None


def parse_key(text: str) -> Result[KeyName, Refusal]:
    """Return the parts of an idempotency key.

    Parameters
    ----------
    text : str
        The value of the ``Idempotency-Key`` header.

    Returns
    -------
    Result of KeyName, Refusal
        Refused as ``bad-request`` when the key is empty, longer than 256
        characters, not printable ASCII, or a bound prefix alone.
    """
    if len(text) > _KEY_LENGTH_MAX or not _KEY_PATTERN.fullmatch(text):
        return Err(
            refuse(
                'bad-request',
                'the idempotency key must be 1 to 256 printable characters',
            )
        )
    match = _BOUND_KEY_PATTERN.fullmatch(text)
    if match is None:
        return Ok(KeyName('', 0, 0, text))
    if not match['unique']:
        return Err(
            refuse(
                'bad-request', 'the idempotency key ends at its bound prefix'
            )
        )
    return Ok(
        KeyName(
            match['host'],
            int(match['incarnation']),
            int(match['issued']),
            match['unique'],
        )
    )


def home_host_of_plain_key(host_list: HostList, key: str) -> str:
    """Return the host that records a plain key.

    Parameters
    ----------
    host_list : HostList
        The current host list.
    key : str
        The key's text.

    Returns
    -------
    str
        The live host with the highest rendezvous hash score; empty without
        live hosts.
    """
    live = [
        entry['host']
        for entry in host_list['hosts']
        if entry['state'] == 'live'
    ]
    return max(
        live,
        key=lambda host: rendezvous_score(key, host),
        default='',
    )


class KeyRegister:
    """The idempotency keys whose home is this host.

    Parameters
    ----------
    settings : Settings
        ``host`` and the ``forward`` section are used.
    incarnation : int
        The incarnation of this process.
    started : float
        Monotonic seconds at which this process started.
    """

    def __init__(
        self, settings: Settings, incarnation: int, started: float
    ) -> None:
        forward = settings['forward']
        self._host = settings['host']
        self._incarnation = incarnation
        self._started = started
        self._key_lifetime_s = forward['key_lifetime_s']
        self._keys_max = forward['keys_max']
        self._workspace_keys_max = forward['workspace_keys_max']
        self._stored_answer_limit_bytes = forward['stored_answer_limit_bytes']
        self._records: dict[tuple[str, str], _KeyRecord] = {}
        self._count_by_workspace: Counter[str] = Counter()
        self._expiry_heap: list[tuple[float, tuple[str, str]]] = []

    def __len__(self) -> int:
        return len(self._records)

    def claim(
        self, message: KeyClaim, now: float, home_since: float, leased: bool
    ) -> KeyClaimReply:
        """Claim a key for one request.

        Parameters
        ----------
        message : KeyClaim
            The claim; a repeated claim with the same ``claim_id`` gets the
            same reply.
        now : float
            Monotonic seconds.
        home_since : float
            Time since which no other host can have claimed the plain key
            (monotonic seconds): when this host became the home of the key,
            plus the time for which an earlier home may still hold a lease.
            ``math.inf`` if this host is not its home.
        leased : bool
            Whether this host holds a lease at ``now``.

        Returns
        -------
        KeyClaimReply
            ``claimed``: run the request. ``done``: return the stored
            answer. ``in-progress`` and ``unknown``: do not run the request.
            ``mismatch``: the key belongs to another request or was issued
            in the future. ``full``: the key is new, but the register has no
            capacity for it.
        """
        self.expire(now)
        record = self._records.get((message['workspace'], message['key']))
        if record is not None:
            return self._reply_to_known_key(message, record)
        state, expires_at = self._classify_new_key(
            message, now, home_since, leased
        )
        if state == CLAIMED and self._is_full(message['workspace']):
            state = FULL
        if state == CLAIMED:
            self._insert(message, expires_at)
        return _reply(message, self._host, state)

    def complete(self, message: KeyOutcome, now: float) -> None:
        """Record the outcome of a claimed request; ``not-run`` frees the key.

        Parameters
        ----------
        message : KeyOutcome
            Ignored unless its claim holds the key and is still in progress.
        now : float
            Monotonic seconds.
        """
        self.expire(now)
        name = (message['workspace'], message['key'])
        record = self._records.get(name)
        if record is None or record.claim_id != message['claim_id']:
            return
        if record.state != IN_PROGRESS:
            return
        if message['state'] == NOT_RUN:
            self._remove(name)
            return
        record.state = OUTCOME_UNKNOWN
        answer = message.get('answer')
        is_storable = (
            answer is not None
            and len(answer['body']) <= self._stored_answer_limit_bytes
        )
        if message['state'] == DONE and is_storable:
            record.state = DONE
            record.answer = answer
        if not _is_bound(message['key']):
            record.expires_at = now + self._key_lifetime_s

    def expire(self, now: float) -> None:
        """Remove the keys whose lifetime has passed.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        if len(self._expiry_heap) > 2 * self._keys_max:
            # Freed keys leave stale entries in the heap; rebuild it.
            self._expiry_heap = sorted(
                (record.expires_at, name)
                for name, record in self._records.items()
            )
        while self._expiry_heap and self._expiry_heap[0][0] <= now:
            _, name = heappop(self._expiry_heap)
            record = self._records.get(name)
            if record is None:
                continue
            if record.expires_at <= now:
                self._remove(name)
            else:
                heappush(self._expiry_heap, (record.expires_at, name))

    def _reply_to_known_key(
        self, message: KeyClaim, record: _KeyRecord
    ) -> KeyClaimReply:
        if record.fingerprint != message['fingerprint']:
            return _reply(message, self._host, MISMATCH)
        if record.state != IN_PROGRESS:
            return _reply(message, self._host, record.state, record.answer)
        is_same_claim = record.claim_id == message['claim_id']
        return _reply(
            message, self._host, CLAIMED if is_same_claim else IN_PROGRESS
        )

    def _classify_new_key(
        self, message: KeyClaim, now: float, home_since: float, leased: bool
    ) -> tuple[str, float]:
        parsed = parse_key(message['key'])
        if parsed.is_err():
            return MISMATCH, 0
        name = parsed.unwrap()
        if not name.host:
            complete_since = max(self._started, home_since)
            if not leased or now - complete_since < self._key_lifetime_s:
                return OUTCOME_UNKNOWN, 0
            return CLAIMED, now + self._key_lifetime_s
        if (name.host, name.incarnation) != (self._host, self._incarnation):
            return OUTCOME_UNKNOWN, 0
        if name.issued > now:
            return MISMATCH, 0
        expires_at = name.issued + self._key_lifetime_s
        return (CLAIMED if now < expires_at else OUTCOME_UNKNOWN), expires_at

    def _insert(self, message: KeyClaim, expires_at: float) -> None:
        name = (message['workspace'], message['key'])
        self._records[name] = _KeyRecord(
            message['claim_id'], message['fingerprint'], expires_at
        )
        self._count_by_workspace[message['workspace']] += 1
        heappush(self._expiry_heap, (expires_at, name))

    def _remove(self, name: tuple[str, str]) -> None:
        workspace, _ = name
        self._records.pop(name)
        self._count_by_workspace[workspace] -= 1
        if not self._count_by_workspace[workspace]:
            self._count_by_workspace.pop(workspace)

    def _is_full(self, workspace: str) -> bool:
        count = self._count_by_workspace.get(workspace, 0)
        return (
            len(self._records) >= self._keys_max
            or count >= self._workspace_keys_max
        )


def _is_bound(key: str) -> bool:
    parsed = parse_key(key)
    return parsed.is_ok() and bool(parsed.unwrap().host)


def _reply(
    message: KeyClaim,
    host: str,
    state: str,
    answer: StoredAnswer | None = None,
) -> KeyClaimReply:
    reply: KeyClaimReply = {
        'kind': 'key_claim_reply',
        'host': host,
        'claim_id': message['claim_id'],
        'state': state,
    }
    if answer is not None:
        reply['answer'] = answer
    return reply
