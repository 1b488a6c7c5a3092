"""State that the parts of one host share."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import Counter
from collections.abc import Callable, Iterable
from random import Random
from typing import Any

from oleanderridge.admission.buckets import TokenBuckets
from oleanderridge.admission.keys import AdmissionIndex
from oleanderridge.config.store import BundleStore
from oleanderridge.dispatch.broker import Broker
from oleanderridge.dispatch.independent import IndependentDispatch
from oleanderridge.forward.idempotency import KeyRegister
from oleanderridge.generated.bundle import Service
from oleanderridge.generated.messages import HostList
from oleanderridge.generated.settings import Settings
from oleanderridge.membership.state import Member, Membership
from oleanderridge.runtime.pending import PendingReplies
from oleanderridge.runtime.transport import PeerTransport
from oleanderridge.telemetry.logs import log_event
from oleanderridge.telemetry.metrics import Metrics
from oleanderridge.wire import Message, Outgoing

_LOGGER = logging.getLogger(__name__)


class Node:
    """The decision modules of one host and the queues between them.

    Parameters
    ----------
    settings : Settings
        Complete settings of the host.
    """

    def __init__(self, settings: Settings) -> None:
        now = self.clock()
        self.settings = settings
        self.host: str = settings['host']
        # Milliseconds of the wall clock: a replacement that reuses a host
        # name must have a higher incarnation, and hosts keep nothing.
        self.incarnation = time.time_ns() // 1_000_000
        self.started = now
        self.rng = Random()
        self.metrics = Metrics()
        self.membership = Membership(settings, self.incarnation, now)
        self.store = BundleStore(
            frozenset(settings['bundle']['trusted_keys']),
        )
        self.buckets = TokenBuckets(self.host, settings)
        self.broker = Broker(settings, self.rng)
        self.fallback = IndependentDispatch(settings, self.rng)
        self.register = KeyRegister(settings, self.incarnation, now)
        self.pending = PendingReplies()
        self.transport = PeerTransport(settings, self.metrics, self.deliver)
        self.index: AdmissionIndex | None = None
        self.services_by_name: dict[str, Service] = {}
        self.url_by_target: dict[str, str] = {}
        self.weight_by_workspace: dict[str, float] = {}
        self.list_history: list[tuple[float, HostList]] = []
        self.handler_by_kind: dict[str, Callable[[Message], None]] = {}
        self.bundle_accepted_at = now
        self.leaving = False
        # Set once no resolver's answer names this host any more.
        self.stopping = False
        # Only names of the bundle are counted, so its size bounds this one.
        self.refusals_by_workspace: Counter[tuple[str, str]] = Counter()
        self.loop_lag_s: float = 0
        self._address_by_host: dict[str, str] = {}

    def clock(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def members(self) -> tuple[Member, ...]:
        """Return the current view, the own host included."""
        return self.membership.view(self.clock())

    def lease_until(self) -> float:
        """Return the time at which the minting lease lapses, or 0."""
        return self.membership.lease_until(self.clock())

    def is_ready(self) -> bool:
        """Return whether callers may be sent to this host."""
        return (
            self.index is not None
            and self.membership.current_list() is not None
            and self.membership.joined(self.clock())
            and not self.leaving
        )

    def service(self, name: str) -> Service | None:
        """Return the definition of a service, or None."""
        return self.services_by_name.get(name)

    def connect_peers(self) -> None:
        """Open a sending socket for each peer and each seed."""
        overrides = self.settings['peer']['address_overrides']
        listed = self.membership.peer_addresses()
        self._address_by_host = {
            host: overrides.get(host, address)
            for host, address in listed.items()
        }
        seeds = self.settings['peer']['seeds']
        wanted = set(self._address_by_host.values())
        if not wanted:
            wanted = set(seeds)
        self.transport.connect(frozenset(wanted))

    def send(self, host: str, message: Message) -> bool:
        """Send a message to a host; the own host gets it in the next turn.

        Parameters
        ----------
        host : str
            Name of the receiving host.
        message : Message
            A typed message.

        Returns
        -------
        bool
            False when the host cannot be reached now.
        """
        if host == self.host:
            asyncio.get_running_loop().call_soon(self.deliver, message)
            return True
        address = self._address_by_host.get(host)
        if address is None:
            return False
        return self.transport.send(address, message)

    def send_all(self, outgoing: Iterable[Outgoing]) -> None:
        """Send what a decision module returned.

        Parameters
        ----------
        outgoing : iterable of Outgoing
            Messages with their receivers.
        """
        for host, message in outgoing:
            self.send(host, message)

    def deliver(self, message: Message) -> None:
        """Hand a message to the handler of its kind.

        Parameters
        ----------
        message : Message
            A well-formed message from a peer or from this host.
        """
        handler = self.handler_by_kind.get(message['kind'])
        if handler is None:
            return
        try:
            handler(message)
        except Exception:
            # A message that a decision module cannot handle must not end
            # the receiving loop of the host.
            _LOGGER.exception('peer-message-failed')
            self.metrics.peer_drops.inc({'cause': 'handler-failed'})

    def note(self, event: str, **fields: Any) -> None:
        """Log one event of the host.

        Parameters
        ----------
        event : str
            Event name in lower case with hyphens.
        **fields
            Values by name.
        """
        log_event(_LOGGER, event, **fields)

    def warn(self, event: str, **fields: Any) -> None:
        """Log one event that an operator may need to act on.

        Parameters
        ----------
        event : str
            Event name in lower case with hyphens.
        **fields
            Values by name.
        """
        log_event(_LOGGER, event, logging.WARNING, **fields)
