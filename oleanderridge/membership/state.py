"""The view of the cell and the lease that allows minting tokens."""

from __future__ import annotations

from math import inf
from typing import NamedTuple

from oleanderridge.generated.messages import (
    Heartbeat,
    HostList,
    ListPush,
)
from oleanderridge.generated.settings import Settings
from oleanderridge.membership.evidence import PeerRecord, Statement
from oleanderridge.membership.history import ListHistory
from oleanderridge.membership.joining import Joining, may_join
from oleanderridge.membership.members import NO_STAMP, Member, describe
from oleanderridge.membership.settle import Step, lease_bound, unsettled
from oleanderridge.membership.weights import (
    holds_majority,
    majority_stamp,
)


class News(NamedTuple):
    """Which side of a heartbeat holds something that the other lacks."""

    list_behind: bool
    bundle_behind: bool
    list_ahead: bool


class Membership:
    """Host lists, evidence about peers, and the lease of this process."""

    def __init__(
        self,
        settings: Settings,
        incarnation: int,
        started: float,
    ) -> None:
        """Start without list, bundle or evidence."""
        self.watching = False
        self._settings = settings
        self._times = settings['membership']
        self._host = settings['host']
        self._incarnation = incarnation
        self._started = started
        self._bundle = (0, '')
        self._lists = ListHistory(settings['cell'])
        self._version_steps: list[Step] = []
        self._records: dict[str, PeerRecord] = {}
        self._joined = False
        self._leaving = False
        self._superseded = False
        self._evidence_end: float | None = None

    # Host lists

    def accept_list(self, host_list: HostList, now: float) -> bool:
        """Adopt a host list with a higher revision.

        Parameters
        ----------
        host_list : HostList
            From the platform or a peer.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            Whether the list is in force now.
        """
        if host_list['revision'] <= self._lists.revision:
            return False
        doubt_from = self._doubt_from_list(self._lists.revision, now)
        self._lists.adopt(host_list, doubt_from)
        self._refresh(now)
        return True

    def on_list_push(self, message: ListPush, now: float) -> None:
        """Adopt what a peer pushes, its unsettled lists included.

        Parameters
        ----------
        message : ListPush
            From any peer, at any delay.
        now : float
            Monotonic seconds.
        """
        pushed = sorted(
            (*message['unsettled'], message['newest']),
            key=_revision,
        )
        for host_list in pushed:
            if not self.accept_list(host_list, now):
                self._lists.add_older(host_list)
        self._refresh(now)

    def list_push(self) -> ListPush:
        """Return what a peer that is behind needs.

        Returns
        -------
        ListPush
            The current list and the older ones that are kept as unsettled.

        Raises
        ------
        ValueError
            There is no list yet.
        """
        if self._lists.current is None:
            raise ValueError('no host list to push')
        return {
            'kind': 'list_push',
            'host': self._host,
            'newest': self._lists.current,
            'unsettled': list(self._lists.older()),
            'released': sorted(self._released()),
        }

    def current_list(self) -> HostList | None:
        """Return the list with the highest revision.

        Returns
        -------
        HostList or None
            None before the first list.
        """
        return self._lists.current

    def unsettled_lists(self, now: float) -> tuple[HostList, ...]:
        """Return the lists under which some host may hold a lease.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        tuple of HostList
            Oldest first, the current one last.
        """
        self._settle(now)
        return self._lists.in_force()

    def targets_leaving(self) -> frozenset[str]:
        """Return the targets to which no new work goes.

        Returns
        -------
        frozenset of str
            Target names of the current list.
        """
        if self._lists.current is None:
            return frozenset()
        return frozenset(self._lists.current['targets_leaving'])

    # Bundle versions

    def set_bundle(self, version: int, digest: str, now: float) -> None:
        """Note the bundle version that is in force on this host.

        Parameters
        ----------
        version : int
            Higher than the earlier ones.
        digest : str
            Digest of its manifest.
        now : float
            Monotonic seconds.
        """
        older = self._bundle[0]
        if version <= older:
            return
        self._version_steps.append(
            Step(
                older=older,
                successor=version,
                unknown_between=older == 0 or version != older + 1,
                doubt_from=self._doubt_from_version(older, now),
            )
        )
        self._bundle = (version, digest)
        self._refresh(now)

    def unsettled_versions(self, now: float) -> tuple[int, ...]:
        """Return the versions under which some host may hold a lease.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        tuple of int
            Ascending, the current one last; empty without a bundle.
        """
        self._settle(now)
        older = (step.older for step in self._version_steps if step.older)
        current = (self._bundle[0],) if self._bundle[0] else ()
        return (*older, *current)

    # Heartbeats

    def heartbeat_for(self, peer: str, now: float) -> Heartbeat:
        """Return the heartbeat for one peer.

        Parameters
        ----------
        peer : str
            Host name.
        now : float
            Monotonic seconds; the stamp of the heartbeat.

        Returns
        -------
        Heartbeat
            To be sent at once: it states what holds at ``now``.
        """
        record = self._records.get(peer)
        entry = self._lists.entries.get(self._host)
        leaving_by_list = entry is not None and entry['state'] != 'live'
        self._settle(now)
        return {
            'kind': 'heartbeat',
            'host': self._host,
            'incarnation': self._incarnation,
            'zone': self._settings['zone'],
            'stamp': now,
            'echo': record.stamp if record else NO_STAMP,
            'echo_incarnation': record.incarnation if record else 0,
            'list_revision': self._lists.revision,
            'unsettled_revisions': self._lists.older_revisions,
            'bundle_version': self._bundle[0],
            'bundle_digest': self._bundle[1],
            'uptime_s': now - self._started,
            'joined': self._vouches(now),
            'leaving': self._leaving or leaving_by_list,
            'released': self._leaving,
            'watching': self.watching,
        }

    def on_heartbeat(self, message: Heartbeat, now: float) -> News:
        """Record what a peer states.

        Parameters
        ----------
        message : Heartbeat
            May arrive late, more than once or out of order.
        now : float
            Monotonic seconds.

        Returns
        -------
        News
            What to pull from or push to the sender.
        """
        if message['host'] == self._host:
            self._note_namesake(message)
            return News(
                list_behind=False, bundle_behind=False, list_ahead=False
            )
        if message['echo_incarnation'] > self._incarnation:
            self._superseded = True
        record = self._record_of(message)
        if record is not None:
            uptime_s = now - self._started
            record.receive(message, uptime_s + self._times['hold_s'])
            if self._dates(message, now):
                keep_s = self._times['lease_s']
                record.acknowledge(message, now, keep_s)
            self._refresh(now)
        revision = self._lists.revision
        return News(
            list_behind=message['list_revision'] > revision
            or not self._lists.knows_all(message['unsettled_revisions']),
            bundle_behind=message['bundle_version'] > self._bundle[0],
            list_ahead=message['list_revision'] < revision,
        )

    # Lease

    def joined(self, now: float) -> bool:
        """Return whether this process may vouch and mint at all.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            Once true it stays true.
        """
        if not self._joined:
            self._joined = self._joins(now)
            self._evidence_end = None
        return self._joined

    def lease_until(self, now: float) -> float:
        """Return until when this host may mint tokens.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        float
            Monotonic seconds, after ``now``; 0 without a lease.
        """
        if self._leaving or self._superseded or not self.joined(now):
            return 0
        if self._host not in self._lists.entries:
            return 0
        self._settle(now)
        if self._evidence_end is None:
            backed = self._majority_since(self._backs_lease, now)
            self._evidence_end = backed + self._times['lease_s']
        end = min(
            self._evidence_end,
            now + self._times['lease_s'],
            lease_bound(
                (*self._lists.steps, *self._version_steps),
                now,
                self._times['lease_s'],
                self._times['hold_s'],
            ),
        )
        return end if end > now else 0

    def begin_leaving(self, now: float) -> None:
        """Give up minting for good and let resolvers stop listing this host.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        self._leaving = True
        self._refresh(now)

    # View

    def view(self, now: float) -> tuple[Member, ...]:
        """Return the hosts of the cell in the current list.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        tuple of Member
            By host name; this host included when it is listed.
        """
        suspect_s = self._times['suspect_s']
        members = {
            host: describe(entry, self._records.get(host), now - suspect_s)
            for host, entry in sorted(self._lists.entries.items())
        }
        own = members.get(self._host)
        if own is not None:
            members[self._host] = own._replace(
                incarnation=self._incarnation,
                stamp=now,
                heard_at=now,
                alive=True,
                leaving=own.leaving or self._leaving,
                watching=self.watching,
            )
        return tuple(members.values())

    def peer_addresses(self) -> dict[str, str]:
        """Return where heartbeats are sent.

        Returns
        -------
        dict of str to str
            ``host:port`` by host name for the hosts of the cell in the
            current list and in older unsettled ones, without this host.
        """
        addresses = self._lists.addresses()
        addresses.pop(self._host, None)
        overrides = self._settings['peer'].get('address_overrides', {})
        return {
            host: overrides.get(host, address)
            for host, address in addresses.items()
        }

    # Evidence

    def _note_namesake(self, message: Heartbeat) -> None:
        if message['incarnation'] > self._incarnation:
            self._superseded = True

    def _record_of(self, message: Heartbeat) -> PeerRecord | None:
        incarnation = message['incarnation']
        record = self._records.get(message['host'])
        if record is None or record.incarnation < incarnation:
            record = PeerRecord(incarnation)
            self._records[message['host']] = record
        return record if record.incarnation == incarnation else None

    def _dates(self, message: Heartbeat, now: float) -> bool:
        if message['echo_incarnation'] != self._incarnation:
            return False
        return self._started <= message['echo'] <= now

    def _same_bundle_or_older(self, statement: Statement) -> bool:
        version, digest = self._bundle
        if statement.bundle_version == version:
            return statement.bundle_digest == digest
        return statement.bundle_version < version

    def _backs_lease(self, statement: Statement) -> bool:
        return (
            statement.joined
            and statement.list_revision <= self._lists.revision
            and self._same_bundle_or_older(statement)
        )

    def _is_adopted(self, statement: Statement) -> bool:
        return (
            statement.list_revision <= self._lists.revision
            and self._lists.knows_all(statement.unsettled)
            and self._same_bundle_or_older(statement)
        )

    def _stamps(self, accepts, now: float) -> dict[str, float]:
        stamps = {
            host: record.last_heard(accepts)
            for host, record in self._records.items()
        }
        stamps[self._host] = now
        return {host: at for host, at in stamps.items() if at > -inf}

    def _majority_since(self, accepts, now: float) -> float:
        # Every unsettled list needs its own majority: two lists with few
        # hosts in common could otherwise back different bundle versions.
        stamps = self._stamps(accepts, now)
        return min(
            (
                majority_stamp(weights, stamps)
                if self._host not in weights
                or not holds_majority(weights, (self._host,))
                else inf
                for weights in self._lists.weights.values()
            ),
            default=-inf,
        )

    def _doubt_from_list(self, older: int, now: float) -> float:
        return self._majority_since(
            lambda statement: (
                statement.joined and statement.list_revision <= older
            ),
            now,
        )

    def _doubt_from_version(self, older: int, now: float) -> float:
        return self._majority_since(
            lambda statement: (
                statement.joined and statement.bundle_version <= older
            ),
            now,
        )

    def _released(self) -> set[str]:
        return {
            host
            for host, record in self._records.items()
            if record.latest is not None and record.latest['released']
        }

    # Settlement

    def _refresh(self, now: float) -> None:
        self._evidence_end = None
        for step in self._lists.steps:
            if step.unknown_between:
                step.doubt(self._doubt_from_list(step.older, now))
        for step in self._version_steps:
            if step.unknown_between:
                step.doubt(self._doubt_from_version(step.older, now))
        self._confirm_lists(now)
        self._confirm_versions(now)
        self._settle(now)

    def _confirming(self, accepts, now: float) -> set[str]:
        # Only recent statements count, so that a process that joins later
        # under the name of a confirming host has heard one of the others.
        oldest = now - self._times['lease_s']
        hosts = {
            host
            for host, record in self._records.items()
            if record.last_heard(accepts) >= oldest
        }
        if self._vouches(now):
            hosts.add(self._host)
        return hosts

    def _confirm_lists(self, now: float) -> None:
        if not self._lists.steps:
            return
        current = self._lists.revision
        hosts = self._confirming(
            lambda statement: (
                statement.released
                or (
                    statement.joined
                    and statement.list_revision == current
                    and self._is_adopted(statement)
                )
            ),
            now,
        )
        if self._leaving:
            hosts.add(self._host)
        for step in self._lists.steps:
            confirmed = hosts | self._lists.fenced_after(step.older)
            if holds_majority(self._lists.weights[step.older], confirmed):
                step.confirm(now)

    def _confirm_versions(self, now: float) -> None:
        for step in self._version_steps:
            hosts = self._confirming(self._confirms_version(step), now)
            if self._lists.weights and all(
                holds_majority(weights, hosts)
                for weights in self._lists.weights.values()
            ):
                step.confirm(now)

    def _confirms_version(self, step: Step):
        return lambda statement: (
            statement.joined
            and statement.bundle_version >= step.successor
            and self._is_adopted(statement)
        )

    def _settle(self, now: float) -> None:
        hold_s = self._times['hold_s']
        if self._lists.steps and self._lists.settle(now, hold_s):
            self._forget_unlisted()
        if self._version_steps:
            self._version_steps = unsettled(self._version_steps, now, hold_s)

    def _forget_unlisted(self) -> None:
        listed = self._lists.addresses().keys() | self._lists.entries.keys()
        self._records = {
            host: record
            for host, record in self._records.items()
            if host in listed
        }
        self._evidence_end = None

    # Joining

    def _joins(self, now: float) -> bool:
        if self._host not in self._lists.entries:
            return False
        times = self._times
        joining = Joining(
            electorates=(
                self._lists.current_weights.keys(),
                self._lists.unfenced(),
            ),
            host=self._host,
            uptime_s=now - self._started,
            lease_s=times['lease_s'],
            hold_s=times['hold_s'],
            suspect_s=times['suspect_s'],
            fleet_runs=any(
                record.established for record in self._records.values()
            ),
        )
        adopted = {
            host: record
            for host, record in self._records.items()
            if record.statements and self._is_adopted(record.statements[-1])
        }
        return may_join(joining, adopted, now)

    def _vouches(self, now: float) -> bool:
        if self._leaving or self._superseded or not self.joined(now):
            return False
        return self._is_acknowledged(now)

    def _is_acknowledged(self, now: float) -> bool:
        # A process that a newer one has replaced still hears from peers that
        # do not know it yet; without a majority it must not vouch for them.
        oldest = now - self._times['suspect_s']
        heard = {
            host
            for host, record in self._records.items()
            if record.heard_at >= oldest
        }
        heard.add(self._host)
        return holds_majority(self._lists.current_weights, heard)


def _revision(host_list: HostList) -> int:
    return host_list['revision']
